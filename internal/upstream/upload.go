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
	sendStall = 5 * time.Second        // that a server may take nothing of it
	lastBytes = 200 * time.Millisecond // that an answer may be ahead of the note that its request is written whole
)

// errAttemptOver ends reads of a request for an attempt that has ended.
var errAttemptOver = errors.New("the attempt is over")

// watched reads the rest of a request for one attempt, and notes what became of it.
type watched struct {
	io.Reader
	mu   sync.Mutex
	used bool  // some of it may be gone
	over bool  // the attempt has ended
	cut  bool  // its client has cut it
	left int64 // that is still to be read; negative: not known
	last bool  // its end was read
}

func (w *watched) Read(p []byte) (int, error) {
	w.mu.Lock()
	over := w.over
	w.used = w.used || !over
	w.mu.Unlock()
	if over {
		return 0, errAttemptOver
	}
	n, err := w.Reader.Read(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left -= int64(n)
	w.last = w.last || err == io.EOF || n > 0 && w.left == 0
	w.cut = w.cut || err != nil && err != io.EOF
	return n, err
}

// all says that all of it was read, so that its last byte may be on its way.
func (w *watched) all() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// end keeps the attempt from reading more, which may be another one's by then, and tells whether it has.
func (w *watched) end() (used, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	return w.used, w.cut
}

// paced writes to a server that takes what it is given.
type paced struct{ *conn }

func (p paced) Write(text []byte) (int, error) {
	p.SetWriteDeadline(time.Now().Add(sendStall))
	return p.conn.Write(text)
}

// upload sends a request whose body still comes, as it comes. Its time runs from the last byte on. An answer that
// comes before that ends it: whatever it says, it is no answer to the whole.
func (b *Pool) upload(a *engine.Attempt, c *conn, waiter chan reply) engine.Outcome {
	rest := &watched{Reader: a.Request.Message.Rest, left: a.Request.Message.Length - int64(len(a.Request.Message.Body))}
	body := io.MultiReader(bytes.NewReader(a.Request.Message.Body), rest)
	if a.Request.IsLeft(b.clock.Now) {
		b.giveUp(c, waiter)
		return engine.Outcome{Result: balancer.Cancelled}
	}
	done := make(chan error, 1)
	go func() { done <- request(a, a.Deadline-a.Sent, body).Write(paced{c}) }()
	var (
		got     reply
		written bool
		late    atomic.Bool
	)
	complete := func() {
		written = true
		c.SetWriteDeadline(time.Time{})
		b.wrote(c)
		b.count.Relay()
		until := a.Uploaded(b.clock.Now())
		timer := time.AfterFunc(b.clock.Until(until), func() { late.Store(true); b.giveUp(c, waiter) })
		context.AfterFunc(a.Context(), func() { timer.Stop() })
	}
	select {
	case err := <-done:
		if err != nil {
			b.giveUp(c, waiter)
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
		case <-time.After(lastBytes):
			// Only the writer can tell whether the last byte left. The connection is closed by now, which ends its write.
			if got.err != nil && rest.all() && <-done == nil {
				complete()
			}
		}
	}
	out := got.Outcome
	used, cut := rest.end()
	switch {
	case got.err == nil && written:
	case got.err == nil:
		b.mu.Lock()
		b.drop(c)
		b.mu.Unlock()
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
