package http1

import (
	"errors"
	"io"
	"net/http"
	"time"

	"damsontrestle/internal/downstream"
	"damsontrestle/internal/fairqueue"
	"damsontrestle/internal/validation"
)

// Limits on how slowly a client may send a body: it may send nothing for the grace period, and lag behind the minimum rate by as much in
// all. Only time that the node spends waiting for the client counts, from the first byte of the request.
const (
	bodyGrace      = headTimeout
	minBodyRate    = 512       // bytes per second
	discardedBytes = 256 << 10 // of a body whose request is over, so that its response is not lost
	firstPartSize  = 16 << 10  // bytes of a streamed body of known length that are read before its request is submitted
	discardTimeout = 3 * time.Second

	// streamedBodyBuffers are the bytes through which the rest of a streamed body passes: net/http's buffers and one part.
	streamedBodyBuffers = 36<<10 + bodyPartSize
)

// minRateBody reads a request's body, and fails with a timeout if the body arrives at less than the minimum rate.
type minRateBody struct {
	body     io.Reader
	control  *http.ResponseController
	conn     *clientConn
	framing  int64           // bytes of conn beyond those of the body, as far as they were paced
	done     <-chan struct{} // closed when the request is over; nil: it is not before the body ends
	grace    time.Duration
	elapsed  time.Duration
	received int64

	receivedBefore int64 // bytes of conn before the body, less what was read of it with the head
}

// patience returns how long the client may send nothing now.
func (b *minRateBody) patience() time.Duration {
	lag := b.elapsed - time.Duration(b.received)*time.Second/minBodyRate
	return min(b.grace, b.grace-lag)
}

func (b *minRateBody) Read(p []byte) (int, error) {
	start := time.Now()
	b.control.SetReadDeadline(start.Add(b.patience()))
	select {
	case <-b.done: // its own deadline may have been set before this one
		return 0, errRequestEnded
	default:
	}
	n, err := b.body.Read(p)
	b.elapsed += time.Since(start)
	if b.received += int64(n); b.received > validation.MaxStreamedBody {
		return n, errBodyTooLong
	}
	b.paceFraming()
	if err == io.EOF {
		b.control.SetReadDeadline(time.Time{}) // otherwise net/http would wait indefinitely for bytes to discard
	}
	return n, err
}

// paceFraming slows down a client whose chunks have more framing than content.
func (b *minRateBody) paceFraming() {
	framing := b.conn.received.Load() - b.receivedBefore - 2*b.received
	if framing > b.framing {
		b.conn.pace.Spend(int(framing-b.framing), b.done)
		b.framing = framing
	}
}

var errRequestEnded = errors.New("the request is over")

// errNoInputMemory is returned for a body if other requests occupy the memory for input.
var errNoInputMemory = errors.New("the memory for requests is used up")

// errTooBusy is returned for a body that has waited too long for other transfers.
var errTooBusy = errors.New("the node is too busy to receive the body")

// errBodyTooLong is returned for a body of more than validation.MaxStreamedBody bytes.
var errBodyTooLong = errors.New("the body is too long")

// readBody reads a body that is buffered completely, or the first part of a streamed body, and returns the rest of that. It
// returns an error if the body was incomplete or too slow, or errNoInputMemory. What is buffered counts in the
// reservation, which a request without a body needs not have.
func (f *Front) readBody(control *http.ResponseController, r *http.Request, reservation *downstream.InputReservation) (part []byte, rest *bodyRest, err error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	conn := connOf(r.Context())
	start := conn.requestStartTime()
	body := &minRateBody{body: r.Body, control: control, conn: conn, receivedBefore: conn.received.Load(), grace: f.bodyGrace, elapsed: time.Since(start)}
	limit := validation.MaxBufferedBody
	if r.ContentLength > validation.MaxBufferedBody {
		limit = firstPartSize
	}
	expected := limit + 1
	if r.ContentLength > 0 {
		expected = int(min(r.ContentLength, int64(expected)))
	}
	part, complete, err := readPart(body, expected, reservation)
	switch {
	case err != nil:
		return nil, nil, err
	case !reservation.Complete():
		return nil, nil, errBodyIncomplete
	case complete || len(part) <= limit && int64(len(part)) == r.ContentLength:
		return part, nil, nil
	case !reservation.Grow(streamedBodyBuffers):
		return nil, nil, errNoInputMemory
	}
	control.EnableFullDuplex() // the response may begin before the body has been received
	return part, receiveRest(body, conn.Conn, f.clock, reservation, fairqueue.Process.Begin(f.uploadQueueing)), nil
}

// minBodyBuffer is the first size of the buffer for a body, in bytes.
const minBodyBuffer = 512

// readPart reads a body up to a number of bytes, and reports whether it ended before. The buffer grows with what has arrived, to at
// most twice as much.
func readPart(body io.Reader, limit int, reservation *downstream.InputReservation) (part []byte, complete bool, err error) {
	for len(part) < limit {
		if len(part) == cap(part) {
			size := min(max(minBodyBuffer, 2*cap(part)), limit)
			if !reservation.Grow(size - cap(part)) {
				return nil, false, errNoInputMemory
			}
			part = append(make([]byte, 0, size), part...)
		}
		n, err := body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		if err == io.EOF {
			return part, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return part, false, nil
}
