package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/fairqueue"
	"damsontrestle/internal/netio"
)

// Limits of an upload.
const (
	maxWriteStall    = 5 * time.Second        // longest time in which the server accepts nothing, unless the client waits for less
	writeResultGrace = 200 * time.Millisecond // how long the end of a connection may precede the result of writing its request
	maxQueueing      = 4 * time.Second        // longest time for which it waits for other transfers in all
	earlyReplyGrace  = 200 * time.Millisecond // how long a reply that precedes the end of its request may wait for that
)

// errAttemptEnded is returned by reads of the request's body after the attempt has ended.
var errAttemptEnded = errors.New("read request body: the attempt has ended")

// attemptBody reads the rest of a request's body for one attempt, and records its progress.
type attemptBody struct {
	io.Reader

	mu        sync.Mutex
	remaining int64 // bytes still to be read; negative if unknown
	consumed  bool  // some bytes may have been read
	sawEnd    bool  // the end was read
	failed    bool  // a read failed: the client has aborted the request
	ended     bool  // the attempt has ended
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	if !b.mayRead() {
		return 0, errAttemptEnded
	}
	n, err := b.Reader.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining -= int64(n)
	if err == io.EOF || n > 0 && b.remaining == 0 {
		b.sawEnd = true
	}
	if err != nil && err != io.EOF {
		b.failed = true
	}
	return n, err
}

// mayRead reports whether the attempt has not ended, and records that the body may be partly read from now on.
func (b *attemptBody) mayRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.consumed = true
	return true
}

// isFullyRead reports whether the body was read to its end, so that its last byte may have been sent.
func (b *attemptBody) isFullyRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sawEnd
}

// end prevents further reads by the attempt, as the body may belong to another attempt by then. It returns whether some of the
// body may have been read, and whether a read failed.
func (b *attemptBody) end() (consumed, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	return b.consumed, b.failed
}

// stallLimited is a connection whose writes fail if the server takes nothing for maxStall.
type stallLimited struct {
	*conn
	pool     *Pool
	maxStall time.Duration
	written  *atomic.Int64
	transfer *fairqueue.Transfer
	over     <-chan struct{} // closed with the connection
	unqueued int             // bytes since it last waited in the queue of transfers
}

// Write implements io.Writer.
func (s *stallLimited) Write(p []byte) (int, error) {
	if s.unqueued += len(p); s.unqueued >= fairqueue.PartSize {
		if err := s.transfer.Wait(s.unqueued, s.over); err != nil {
			return 0, err
		}
		s.unqueued = 0
	}
	return netio.WriteWhileTaken(s.Conn, p, s.maxStall, func(part []byte) (int, error) {
		n, err := s.pool.write(s.conn, part)
		s.written.Add(int64(n))
		return n, err
	})
}

// uploadAttempt is an attempt of a request whose body is still being received from the client.
type uploadAttempt struct {
	*engine.Attempt
	pool       *Pool
	conn       *conn
	waiter     chan reply
	clientBody *attemptBody
	writeDone  chan error    // receives the result of writing the request
	complete   bool          // the request was written completely
	wait       *replyWait    // for the reply, once complete is set
	clientTime time.Duration // how long the client waits once its last byte was received
	tooBusy    bool          // the node, not the server, has delayed the body for too long
	clientOver bool          // that time was over before the request was written completely
	written    atomic.Int64  // bytes written to conn
}

// upload sends a request while its body is received from the client. The client's time counts from the reception of the last byte.
// A reply that arrives before the last byte is written ends the attempt: it cannot be a reply to the complete request.
func (p *Pool) upload(attempt *engine.Attempt, c *conn, waiter chan reply) engine.Outcome {
	message := &attempt.Request.Message
	u := &uploadAttempt{
		Attempt:    attempt,
		pool:       p,
		conn:       c,
		waiter:     waiter,
		clientBody: &attemptBody{Reader: message.Rest, remaining: message.Length - int64(len(message.Body))},
		writeDone:  make(chan error, 1),
		clientTime: attempt.Request.Deadline - attempt.Request.At,
	}
	if attempt.Request.IsDisconnected(p.clock.Now) {
		p.abandon(c, waiter, closeAttemptEnded)
		return engine.Outcome{Result: balancer.Cancelled}
	}
	p.mu.Lock()
	c.uploading = true
	over := c.written
	p.mu.Unlock()
	body := io.MultiReader(bytes.NewReader(message.Body), u.clientBody)
	// The rest of the body may wait in the kernel's buffers, so that the client's time runs while the server accepts nothing.
	timeout := attempt.Deadline - attempt.SentAt
	to := &stallLimited{conn: c, pool: p, maxStall: min(maxWriteStall, timeout), written: &u.written, transfer: fairqueue.Process.Begin(maxQueueing), over: over}
	go func() {
		defer to.transfer.End()
		u.writeDone <- newRequest(attempt, timeout, body).Write(to)
	}()
	got := u.await()
	consumed, failed := u.clientBody.end()
	outcome := u.outcome(got, failed)
	outcome.NotReplayable = consumed
	if u.clientOver {
		outcome.EndState.Reason = engine.EndClientTime
	}
	return outcome
}

// await waits for the reply or the end of the connection, and records whether the request was written completely.
func (u *uploadAttempt) await() reply {
	reception := u.Request.Message.Received
	received := reception.Done()
	queue := backlog{clock: u.pool.clock, reception: reception, conn: u.conn, written: &u.written, clientTime: u.clientTime}
	looks := time.NewTicker(queue.interval())
	defer looks.Stop()
	var clientOver <-chan time.Time
	for {
		select {
		case <-received:
			received = nil
			clientOver = time.After(u.pool.clock.Until(u.clientDeadline()))
		case <-clientOver:
			u.endForClient()
		case <-looks.C:
			if queue.isHopeless() {
				u.tooBusy = queue.queued == 0 // the server has taken all that it got
				u.endForClient()
			}
		case err := <-u.writeDone:
			if err != nil {
				u.tooBusy = errors.Is(err, fairqueue.ErrBusy)
				u.pool.abandon(u.conn, u.waiter, closeWriteFailed)
			} else {
				u.markComplete()
			}
			return <-u.waiter
		case got := <-u.waiter:
			u.awaitWriter(got)
			return got
		}
	}
}

// endForClient ends the attempt because its client's time is over.
func (u *uploadAttempt) endForClient() {
	u.clientOver = true
	u.pool.abandon(u.conn, u.waiter, closeAttemptEnded)
}

// clientDeadline returns the clock time until which the client waits, as far as that is known: its time begins once its last byte was
// received.
func (u *uploadAttempt) clientDeadline() time.Duration {
	return u.Request.Message.Received.At(u.pool.clock.Now()) + u.clientTime
}

// awaitWriter waits for the writer after an early reply or the end of the connection, and records whether the request was written
// completely.
func (u *uploadAttempt) awaitWriter(got reply) {
	if got.err == nil { // the writer is no longer waited for, and its result must not count as sent in time
		u.pool.mu.Lock()
		u.pool.discard(u.conn, closeNotReusable)
		u.pool.mu.Unlock()
	}
	select {
	case err := <-u.writeDone:
		if err == nil {
			u.markComplete()
		}
	case <-time.After(writeResultGrace):
		// Only the writer knows whether the last byte was sent. The connection is closed by now, which ends the write.
		if u.clientBody.isFullyRead() && <-u.writeDone == nil {
			u.markComplete()
		}
	}
}

// markComplete records that the last byte was written, and starts the attempt's deadline.
func (u *uploadAttempt) markComplete() {
	p := u.pool
	now := p.clock.Now()
	u.complete = true
	u.conn.SetWriteDeadline(time.Time{})
	p.setClientDeadline(u.conn, u.clientDeadline())
	p.markWritten(u.conn)
	p.counters.AttemptSent()
	u.Uploaded(now, u.Request.Message.Received.At(now))
	// The server may still read what is in its system's buffers, so the attempt's time does not bound the wait for the head.
	u.wait = p.startReplyWait(u.conn, u.waiter, u.clientDeadline(), u.Deadline-u.SentAt, u.clientTime)
	context.AfterFunc(u.Context(), u.wait.stop)
}

// outcome returns the outcome of the attempt. failed: reading the request's body from the client has failed.
func (u *uploadAttempt) outcome(got reply, failed bool) engine.Outcome {
	outcome := got.Outcome
	switch {
	case got.err == nil && !got.early:
	case got.err == nil:
		return u.earlyReply(got)
	case u.Cancelled():
		outcome.Result = balancer.Cancelled
	case failed, u.tooBusy && !u.complete:
		outcome.Result = balancer.NotStarted
	case !u.complete:
		outcome.Result = balancer.Unreachable
	case u.wait.timedOut.Load():
		outcome.Result = balancer.TimedOut
	default:
		outcome.Result = balancer.ConnectionLost
		outcome.EndState.Reason = lostReason(got.err)
	}
	return outcome
}

// earlyReply ends an attempt whose reply arrived before its request was written completely, and closes its connection. Such a
// reply is never a success, and never a rejection if the request was written completely after all: it may belong to an earlier one.
func (u *uploadAttempt) earlyReply(got reply) engine.Outcome {
	u.pool.mu.Lock()
	u.pool.discard(u.conn, closeNotReusable)
	u.pool.mu.Unlock()
	got.Reply.Discard()
	switch {
	case u.complete:
		return engine.Outcome{Result: balancer.ConnectionLost}
	case got.Result == balancer.Success:
		return engine.Outcome{Result: balancer.Failure}
	}
	return got.Outcome
}
