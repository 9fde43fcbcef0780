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
)

// Times of an upload.
const (
	maxWriteStall    = 5 * time.Second        // that a server may take nothing of it
	writeResultGrace = 200 * time.Millisecond // that a reply may be ahead of the word that its request is written completely
)

// errAttemptEnded ends reads of a request for an attempt that has ended.
var errAttemptEnded = errors.New("the attempt is over")

// attemptBody reads the rest of a request's body for one attempt, and notes what became of it.
type attemptBody struct {
	io.Reader

	mu        sync.Mutex
	remaining int64 // bytes that are still to be read; negative: not known
	consumed  bool  // some of it may have been read
	sawEnd    bool  // its end was read
	failed    bool  // a read failed: its client has cut it
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

// mayRead reports whether the attempt still reads, and notes that it does.
func (b *attemptBody) mayRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.consumed = true
	return true
}

// isFullyRead reports whether all of it was read, so that its last byte may be on its way.
func (b *attemptBody) isFullyRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sawEnd
}

// end keeps the attempt from reading more, which may be another one's by then, and returns what it has done.
func (b *attemptBody) end() (consumed, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	return b.consumed, b.failed
}

// stallLimited is a connection whose writes fail if the server takes nothing for too long.
type stallLimited struct{ *conn }

// Write implements io.Writer.
func (s stallLimited) Write(p []byte) (int, error) {
	s.SetWriteDeadline(time.Now().Add(maxWriteStall))
	return s.conn.Write(p)
}

// uploadAttempt is the attempt of a request whose body still comes from its client.
type uploadAttempt struct {
	*engine.Attempt
	pool     *Pool
	conn     *conn
	waiter   chan reply
	rest     *attemptBody
	written  chan error  // takes how the writing of the request ended
	complete bool        // the request was written completely
	timedOut atomic.Bool // its time ended after that
}

// upload sends a request whose body still comes, as it comes. Its time runs from the last byte on. A reply that comes before
// that ends it: whatever it says, it is no reply to the complete request.
func (p *Pool) upload(a *engine.Attempt, c *conn, waiter chan reply) engine.Outcome {
	message := &a.Request.Message
	u := &uploadAttempt{
		Attempt: a,
		pool:    p,
		conn:    c,
		waiter:  waiter,
		rest:    &attemptBody{Reader: message.Rest, remaining: message.Length - int64(len(message.Body))},
		written: make(chan error, 1),
	}
	if a.Request.IsDisconnected(p.clock.Now) {
		p.abandon(c, waiter)
		return engine.Outcome{Result: balancer.Cancelled}
	}
	body := io.MultiReader(bytes.NewReader(message.Body), u.rest)
	go func() { u.written <- newRequest(a, a.Deadline-a.SentAt, body).Write(stallLimited{c}) }()
	got := u.await()
	consumed, failed := u.rest.end()
	outcome := u.outcome(got, failed)
	outcome.NotReplayable = consumed
	return outcome
}

// await waits for the reply, or for the end of the connection, and learns whether the request was written completely.
func (u *uploadAttempt) await() reply {
	select {
	case err := <-u.written:
		if err != nil {
			u.pool.abandon(u.conn, u.waiter)
		} else {
			u.markComplete()
		}
		return <-u.waiter
	case got := <-u.waiter:
		u.awaitWriter(got)
		return got
	}
}

// awaitWriter learns from the writer, behind the reply or the end of the connection, whether the request was written completely.
func (u *uploadAttempt) awaitWriter(got reply) {
	select {
	case err := <-u.written:
		if err == nil {
			u.markComplete()
		}
	case <-time.After(writeResultGrace):
		// Only the writer can tell whether the last byte left. The connection is closed by now, which ends its write.
		if got.err != nil && u.rest.isFullyRead() && <-u.written == nil {
			u.markComplete()
		}
	}
}

// markComplete notes that the last byte is written: from now on the attempt's time runs.
func (u *uploadAttempt) markComplete() {
	p := u.pool
	u.complete = true
	u.conn.SetWriteDeadline(time.Time{})
	p.markWritten(u.conn)
	p.counters.Relay()
	deadline := u.Uploaded(p.clock.Now())
	timer := time.AfterFunc(p.clock.Until(deadline), func() {
		u.timedOut.Store(true)
		p.abandon(u.conn, u.waiter)
	})
	context.AfterFunc(u.Context(), func() { timer.Stop() })
}

// outcome returns how the attempt ended. failed: the client has cut the request's body.
func (u *uploadAttempt) outcome(got reply, failed bool) engine.Outcome {
	outcome := got.Outcome
	switch {
	case got.err == nil && u.complete:
	case got.err == nil:
		return u.earlyReply(got)
	case u.Cancelled():
		outcome.Result = balancer.Cancelled
	case failed:
		outcome.Result = balancer.NotStarted
	case !u.complete:
		outcome.Result = balancer.Unreachable
	case u.timedOut.Load():
		outcome.Result = balancer.TimedOut
	default:
		outcome.Result = balancer.ConnectionLost
	}
	return outcome
}

// earlyReply ends an attempt whose reply came before its request was written completely, with its connection. No such reply
// is a success.
func (u *uploadAttempt) earlyReply(got reply) engine.Outcome {
	u.pool.mu.Lock()
	u.pool.discard(u.conn)
	u.pool.mu.Unlock()
	got.Reply.Discard()
	if got.Result == balancer.Success {
		return engine.Outcome{Result: balancer.Failure}
	}
	return got.Outcome
}
