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
	writeResultGrace = 200 * time.Millisecond // that an answer may be ahead of the note that its request is written whole
)

// errAttemptOver ends reads of a request for an attempt that has ended.
var errAttemptOver = errors.New("the attempt is over")

// attemptBody reads the rest of a request for one attempt, and notes what became of it.
type attemptBody struct {
	io.Reader
	mu        sync.Mutex
	consumed  bool  // some of it may be gone
	ended     bool  // the attempt has ended
	failed    bool  // its client has cut it
	remaining int64 // that is still to be read; negative: not known
	sawEnd    bool  // its end was read
}

func (w *attemptBody) Read(p []byte) (int, error) {
	w.mu.Lock()
	over := w.ended
	w.consumed = w.consumed || !over
	w.mu.Unlock()
	if over {
		return 0, errAttemptOver
	}
	n, err := w.Reader.Read(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remaining -= int64(n)
	w.sawEnd = w.sawEnd || err == io.EOF || n > 0 && w.remaining == 0
	w.failed = w.failed || err != nil && err != io.EOF
	return n, err
}

// isReadWhole says that all of it was read, so that its last byte may be on its way.
func (w *attemptBody) isReadWhole() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sawEnd
}

// end keeps the attempt from reading more, which may be another one's by then, and tells whether it has.
func (w *attemptBody) end() (used, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	return w.consumed, w.failed
}

// stallLimited writes to a server that takes what it is given.
type stallLimited struct{ *conn }

func (p stallLimited) Write(text []byte) (int, error) {
	p.SetWriteDeadline(time.Now().Add(maxWriteStall))
	return p.conn.Write(text)
}

// upload sends a request whose body still comes, as it comes. Its time runs from the last byte on. An answer that
// comes before that ends it: whatever it says, it is no answer to the whole.
func (p *Pool) upload(a *engine.Attempt, c *conn, waiter chan reply) engine.Outcome {
	rest := &attemptBody{Reader: a.Request.Message.Rest, remaining: a.Request.Message.Length - int64(len(a.Request.Message.Body))}
	body := io.MultiReader(bytes.NewReader(a.Request.Message.Body), rest)
	if a.Request.IsLeft(p.clock.Now) {
		p.abandon(c, waiter)
		return engine.Outcome{Result: balancer.Cancelled}
	}
	done := make(chan error, 1)
	go func() { done <- newRequest(a, a.Deadline-a.Sent, body).Write(stallLimited{c}) }()
	var (
		got     reply
		written bool
		late    atomic.Bool
	)
	complete := func() {
		written = true
		c.SetWriteDeadline(time.Time{})
		p.markWritten(c)
		p.counters.Relay()
		until := a.Uploaded(p.clock.Now())
		timer := time.AfterFunc(p.clock.Until(until), func() { late.Store(true); p.abandon(c, waiter) })
		context.AfterFunc(a.Context(), func() { timer.Stop() })
	}
	select {
	case err := <-done:
		if err != nil {
			p.abandon(c, waiter)
		} else {
			complete()
		}
		got = <-waiter
	case got = <-waiter:
		select {
		case err := <-done:
			if err == nil {
				complete()
			}
		case <-time.After(writeResultGrace):
			// Only the writer can tell whether the last byte left. The connection is closed by now, which ends its write.
			if got.err != nil && rest.isReadWhole() && <-done == nil {
				complete()
			}
		}
	}
	out := got.Outcome
	used, cut := rest.end()
	switch {
	case got.err == nil && written:
	case got.err == nil:
		p.mu.Lock()
		p.discard(c)
		p.mu.Unlock()
		if got.Reply.Rest != nil {
			got.Reply.Rest.Close()
		}
		if out.Result == balancer.Success {
			out = engine.Outcome{Result: balancer.Failure}
		}
	case a.Withdrawn():
		out.Result = balancer.Cancelled
	case cut:
		out.Result = balancer.NotStarted
	case !written:
		out.Result = balancer.Unreachable
	case late.Load():
		out.Result = balancer.TimedOut
	default:
		out.Result = balancer.ConnectionLost
	}
	out.Spent = used
	return out
}
