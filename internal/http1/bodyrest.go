package http1

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/fairqueue"
	"damsontrestle/internal/netio"
)

// Limits of receiving a streamed body ahead of the server that reads it, in bytes.
const (
	bodyPartSize     = 16 << 10
	maxReceivedAhead = 4 << 20 // of one body; the input budget allows less if much of it is used
)

// maxUploadQueueing is the longest time for which a body waits for other transfers in all: clients with much to send are owed an end
// within 6 s.
const maxUploadQueueing = 4 * time.Second

// bodyParts holds buffers of bodyPartSize that are free.
var bodyParts = sync.Pool{New: func() any { return new([bodyPartSize]byte) }}

// receivedPart is a part of a body that was received and not read completely.
type receivedPart struct {
	buffer *[bodyPartSize]byte
	unread []byte // of buffer
}

// bodyRest is the rest of a streamed body. A goroutine receives it as the client sends it, and the upstream connection reads it as the
// server takes it. Bytes that waited in the kernel's buffers instead would hide when the client has sent the last one.
type bodyRest struct {
	body        *minRateBody
	conn        net.Conn // from which it is received
	clock       clock.Clock
	reservation *downstream.InputReservation
	reception   *engine.Reception
	transfer    *fairqueue.Transfer
	failed      chan struct{} // closed when receiving fails before the end of the body
	ended       chan struct{} // closed when receiving has ended
	over        chan struct{} // closed by stop

	mu       sync.Mutex
	changed  *sync.Cond
	parts    []receivedPart // in order
	buffered int64          // bytes of parts
	reserved int            // bytes of reservation beyond the first part
	stopped  bool           // Read returns errRequestEnded
	err      error          // that ended receiving; io.EOF: the body is complete
}

// receiveRest starts to receive the rest of a body, and ends its transfer. The reservation has room for one part.
func receiveRest(body *minRateBody, conn net.Conn, c clock.Clock, reservation *downstream.InputReservation, transfer *fairqueue.Transfer) *bodyRest {
	u := &bodyRest{
		body:        body,
		conn:        conn,
		clock:       c,
		reservation: reservation,
		reception:   engine.NewReception(c.Now(), func() time.Duration { return sinceUnreadInput(conn) }),
		transfer:    transfer,
		failed:      make(chan struct{}),
		ended:       make(chan struct{}),
		over:        make(chan struct{}),
	}
	u.changed = sync.NewCond(&u.mu)
	body.done = u.over
	go u.receive()
	return u
}

// sinceUnreadInput returns how long ago the last bytes of a connection came, or 0 if all were read.
func sinceUnreadInput(conn net.Conn) time.Duration {
	if downstream.PeekSocket(conn) != downstream.SocketUnread {
		return 0
	}
	return netio.SinceInput(conn)
}

// receive receives the body until its end, a failure or stop.
func (u *bodyRest) receive() {
	defer close(u.ended)
	defer u.transfer.End()
	for u.awaitRoom() {
		if err := u.transfer.Wait(bodyPartSize, u.over); err != nil {
			u.fail(err)
			return
		}
		buffer := bodyParts.Get().(*[bodyPartSize]byte)
		if downstream.PeekSocket(u.conn) == downstream.SocketOpen {
			u.reception.BeginAwait(u.clock.Now())
		}
		n, err := u.body.Read(buffer[:])
		u.reception.EndAwait(u.clock.Now())
		if err == io.EOF {
			u.reception.Complete(u.clock.Now() - netio.SinceInput(u.conn))
		}
		u.add(receivedPart{buffer, buffer[:n]}, err)
		if err != nil {
			return
		}
	}
}

// awaitRoom waits until another part may be received, and reports whether it may: it may not after stop.
func (u *bodyRest) awaitRoom() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for !u.stopped && len(u.parts) > 0 && !u.reservePart() {
		u.changed.Wait()
	}
	return !u.stopped
}

// reservePart reserves memory for a part beyond the first, and reports whether there was any. The caller holds mu.
func (u *bodyRest) reservePart() bool {
	if len(u.parts)*bodyPartSize <= u.reserved {
		return true
	}
	if u.reserved >= maxReceivedAhead || !u.reservation.GrowIfSpare(bodyPartSize) {
		return false
	}
	u.reserved += bodyPartSize
	return true
}

// add adds a part that was received, and the error that ended receiving, if any.
func (u *bodyRest) add(part receivedPart, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(part.unread) > 0 && !u.stopped {
		u.parts = append(u.parts, part)
		u.addBuffered(len(part.unread))
	} else {
		bodyParts.Put(part.buffer)
	}
	u.end(err)
}

// fail ends receiving before the end of the body.
func (u *bodyRest) fail(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.end(err)
}

// end records the error that ended receiving, if any. The caller holds mu.
func (u *bodyRest) end(err error) {
	u.err = err
	if err != nil && err != io.EOF {
		close(u.failed)
	}
	u.changed.Broadcast()
}

// failure returns the error that ended receiving before the end of the body: it came too slowly, or the node is too busy to receive it.
func (u *bodyRest) failure() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if errors.Is(u.err, fairqueue.ErrBusy) {
		return errTooBusy
	}
	return errBodyIncomplete
}

// Read implements io.Reader. It waits for bytes from the client.
func (u *bodyRest) Read(p []byte) (n int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for !u.stopped && len(u.parts) == 0 && u.err == nil {
		u.changed.Wait()
	}
	if u.stopped {
		return 0, errRequestEnded
	}
	for n < len(p) && len(u.parts) > 0 {
		n += u.take(p[n:])
	}
	if len(u.parts) == 0 {
		err = u.err
	}
	if n > 0 && err != io.EOF {
		err = nil
	}
	return n, err
}

// addBuffered adds to the number of bytes that are received and not read. The caller holds mu.
func (u *bodyRest) addBuffered(n int) {
	u.buffered += int64(n)
	u.reception.SetBuffered(u.buffered)
}

// take returns bytes of the first part. The caller holds mu.
func (u *bodyRest) take(p []byte) int {
	first := &u.parts[0]
	n := copy(p, first.unread)
	first.unread = first.unread[n:]
	u.addBuffered(-n)
	if len(first.unread) == 0 {
		bodyParts.Put(first.buffer)
		u.parts[0] = receivedPart{}
		u.parts = u.parts[1:]
		u.changed.Broadcast()
	}
	return n
}

// stop ends receiving and reading, and reports whether the body was received completely. It interrupts a read that waits for the
// client; the connection can't be used for another request then.
func (u *bodyRest) stop() (complete bool) {
	u.mu.Lock()
	if !u.stopped {
		close(u.over)
	}
	u.stopped = true
	complete = u.err == io.EOF
	for _, part := range u.parts {
		bodyParts.Put(part.buffer)
	}
	u.parts = nil
	u.changed.Broadcast()
	u.mu.Unlock()
	if !complete {
		u.body.control.SetReadDeadline(time.Unix(1, 0))
	}
	<-u.ended
	return complete
}

// discard reads and drops further bytes for a limited time: closing the connection at once would reset it, and a client that
// is still sending could lose the response.
func (u *bodyRest) discard() {
	u.body.control.SetReadDeadline(time.Now().Add(discardTimeout))
	discardInTurn(u.body.body, discardedBytes)
}

// reader returns u as an io.Reader, or a nil interface if u is nil.
func (u *bodyRest) reader() io.Reader {
	if u == nil {
		return nil
	}
	return u
}

// received returns when the body was received completely, or nil if there is no rest.
func (u *bodyRest) received() *engine.Reception {
	if u == nil {
		return nil
	}
	return u.reception
}
