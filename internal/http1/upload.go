package http1

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"damsontrestle/internal/downstream"
	"damsontrestle/internal/validation"
)

// Limits on how slowly a client may send a body: it may lag behind the minimum rate by the grace period. Only time that the
// node spends waiting for the client counts, from the first byte of the request.
const (
	bodyGrace      = headTimeout
	minBodyRate    = 32 << 10 // bytes per second
	firstPartSize  = 16 << 10 // bytes of a streamed body of known length that are read before its request is submitted
	discardTimeout = 3 * time.Second

	streamedBodyBuffers = 36 << 10 // bytes of net/http's buffers through which the rest of a streamed body is written to a server
)

// minRateBody reads a request's body, and fails with a timeout if the body arrives at less than the minimum rate.
type minRateBody struct {
	body     io.Reader
	control  *http.ResponseController
	grace    time.Duration
	elapsed  time.Duration
	received int64
}

func (b *minRateBody) Read(p []byte) (int, error) {
	start := time.Now()
	b.control.SetReadDeadline(start.Add(b.grace + time.Duration(b.received)*time.Second/minBodyRate - b.elapsed))
	n, err := b.body.Read(p)
	b.elapsed += time.Since(start)
	if b.received += int64(n); b.received > validation.MaxStreamedBody {
		return n, errBodyTooLong
	}
	if err == io.EOF {
		b.control.SetReadDeadline(time.Time{}) // otherwise net/http would wait indefinitely for bytes to discard
	}
	return n, err
}

// bodyRest is the rest of a streamed body, which the upstream connection reads while the client sends it.
type bodyRest struct {
	body   *minRateBody
	failed chan struct{} // closed when reading fails before the end of the body

	mu       sync.Mutex // held while reading
	complete bool
	stopped  bool // Read returns errRequestEnded
	err      error
}

var errRequestEnded = errors.New("the request is over")

// errNoInputMemory is returned for a body if other requests occupy the memory for input.
var errNoInputMemory = errors.New("the memory for requests is used up")

// errBodyTooLong is returned for a body of more than validation.MaxStreamedBody bytes.
var errBodyTooLong = errors.New("the body is too long")

// reader returns u as an io.Reader, or a nil interface if u is nil.
func (u *bodyRest) reader() io.Reader {
	if u == nil {
		return nil
	}
	return u
}

// Read implements io.Reader.
func (u *bodyRest) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return 0, errRequestEnded
	}
	return u.read(p)
}

func (u *bodyRest) read(p []byte) (int, error) {
	if u.err != nil {
		return 0, u.err
	}
	n, err := u.body.Read(p)
	if err != nil {
		u.err, u.complete = err, err == io.EOF
		if !u.complete {
			close(u.failed)
		}
	}
	return n, err
}

// stop ends reading and reports whether the body was received completely. It interrupts a Read that waits for bytes; the
// connection can't be used for another request then.
func (u *bodyRest) stop() (complete bool) {
	idle := u.mu.TryLock()
	if !idle {
		u.body.control.SetReadDeadline(time.Unix(1, 0))
		u.mu.Lock()
	}
	defer u.mu.Unlock()
	u.stopped = true
	return u.complete && idle
}

// discard reads and drops further bytes for a limited time: closing the connection at once would reset it, and a client that
// is still sending could lose the response.
func (u *bodyRest) discard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.body.control.SetReadDeadline(time.Now().Add(discardTimeout))
	io.CopyN(io.Discard, u.body.body, minBodyRate*8)
}

// readBody reads a body that is buffered completely, or the first part of a streamed body, and returns the rest of that. It
// returns an error if the body was incomplete or too slow, or errNoInputMemory. What is buffered counts in the
// reservation, which a request without a body needs not have.
func (f *Front) readBody(control *http.ResponseController, r *http.Request, reservation *downstream.InputReservation) (part []byte, rest *bodyRest, err error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	start := connOf(r.Context()).requestStartTime()
	body := &minRateBody{body: r.Body, control: control, grace: f.bodyGrace, elapsed: time.Since(start)}
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
	return part, &bodyRest{body: body, failed: make(chan struct{})}, nil
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
