package fastcgi

import (
	"errors"
	"io"
	"strings"
	"sync/atomic"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/validation"
)

// call is a request that is open.
type call struct {
	id   uint16
	head validation.Head
	in   validation.Request
	body []byte
	with *engine.Request // once the module has it
	over bool            // its answer has been given, or nobody waits for it
	left atomic.Bool     // aborted, or its connection has ended
	gone chan struct{}
}

func (c *client) event(r *call, e Event) {
	switch e.Kind {
	case Called:
		c.called(r, e.Params)
	case Body:
		switch {
		case len(r.body)+len(e.Data) > validation.MaxBufferedBody:
			c.reject(r, errTooLong)
		case r.head.ContentLength >= 0 && int64(len(r.body)+len(e.Data)) > r.head.ContentLength:
			c.reject(r, errLength)
		default:
			r.body = append(r.body, e.Data...)
		}
	case BodyEnd:
		if r.head.ContentLength >= 0 && int64(len(r.body)) != r.head.ContentLength {
			c.reject(r, errLength)
			return
		}
		r.head.ContentLength = int64(len(r.body))
		c.whole()
		c.ask(r)
	case Aborted:
		r.left.Store(true)
		if r.with == nil {
			c.whole()
		} else {
			r.with.Disconnect(c.front.clock.Now())
			c.front.figures.ClientDisconnected()
		}
		c.finish(r, End{App: 1})
	}
}

// called looks at a request's head.
func (c *client) called(r *call, params []Param) {
	head, no := headOf(c.front.listener, params)
	if no != nil {
		c.reject(r, no)
		return
	}
	r.head = head
	if path, _, _ := strings.Cut(head.Target, "?"); path == "/health/ready" {
		c.whole()
		c.health(r)
		return
	}
	view := c.front.calls.Snapshot()
	probe := head
	probe.ContentLength = max(0, head.ContentLength)
	in, err := validation.Check(view, &probe)
	switch {
	case err != nil:
		c.reject(r, err)
	case head.ContentLength > validation.MaxBufferedBody:
		c.reject(r, errTooLong)
	}
	r.in = in
}

// ask has a request taken.
func (c *client) ask(r *call) {
	f := c.front
	f.figures.RequestStarted()
	view := f.calls.Snapshot()
	if !f.callers.Begin(c) {
		c.answer(r, engine.Response{Kind: engine.Rejected, RetryAfter: view.RetryAfter()})
		f.callers.End(c)
		return
	}
	r.in.Message.ClientDisconnected = func() bool { return c.hasLeft(r) }
	with, err := validation.Submit(f.calls, view, &r.head, r.in, r.body, nil, f.clock.Now())
	if err != nil {
		f.figures.RequestEnded(r.in.Class, metrics.Faulted)
		c.say(r, wordsOf(err))
		f.callers.End(c)
		c.phase()
		return
	}
	r.with = with
	c.owes(1)
	go c.wait(r)
}

// owes follows how many requests wait for an answer.
func (c *client) owes(more int) {
	c.state.Lock()
	defer c.state.Unlock()
	c.owed += more
}

// wait gives a request its answer, unless nobody waits for it any more.
func (c *client) wait(r *call) {
	f := c.front
	select {
	case a := <-r.with.Response():
		if a.Reply.Rest != nil {
			c.owes(-1)
			c.pass(r, a)
			break
		}
		c.mu.Lock()
		if !r.over {
			c.answer(r, a)
			c.flush()
		}
		c.mu.Unlock()
		c.owes(-1)
	case <-r.gone:
		c.owes(-1)
	}
	f.callers.End(c)
	c.mu.Lock()
	c.phase()
	c.mu.Unlock()
}

// answer gives a request an answer that is complete. The caller holds mu.
func (c *client) answer(r *call, a engine.Response) {
	c.front.figures.RequestEnded(r.in.Class, validation.Result(a))
	if a.Kind != engine.Served {
		status, words := validation.ErrorStatus(a)
		c.say(r, said{status, words, validation.RetryAfter(a)})
		return
	}
	c.out.Stream(Stdout, r.id, headText(200, a.Reply.ContentType, int64(len(a.Reply.Body)), ""))
	c.out.Stream(Stdout, r.id, a.Reply.Body)
	c.finish(r, End{})
}

// pass gives a request a long answer as it comes. One that breaks off ends with a status of the application that is
// not 0, and short of its length if it had one, so that the web server can tell.
func (c *client) pass(r *call, a engine.Response) {
	defer a.Reply.Rest.Close()
	put := func(p []byte) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if r.over {
			return false
		}
		c.patience = stall
		defer func() { c.patience = writeTimeout }()
		return errors.Join(c.out.Stream(Stdout, r.id, p), c.out.Flush()) == nil
	}
	on := put(headText(200, a.Reply.ContentType, a.Reply.Length, "")) && put(a.Reply.Body)
	buf := make([]byte, passSize)
	var err error
	for on && err == nil {
		var n int
		n, err = a.Reply.Rest.Read(buf)
		on = put(buf[:n])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.over:
		return // an abort or the connection's end has counted it
	case on && err == io.EOF:
		c.front.figures.RequestEnded(r.in.Class, metrics.Fulfilled)
		c.finish(r, End{})
	default:
		c.front.figures.RequestEnded(r.in.Class, metrics.Faulted)
		c.finish(r, End{App: 1})
	}
	c.flush()
}

// reject ends a request that can't be used; what still comes of it is passed over. The caller holds mu.
func (c *client) reject(r *call, err error) {
	c.whole()
	c.say(r, wordsOf(err))
}

// say answers a request with a few words. The caller holds mu.
func (c *client) say(r *call, s said) {
	text := s.words + "\n"
	c.out.Stream(Stdout, r.id, headText(s.status, "text/plain; charset=utf-8", int64(len(text)), s.retryAfter))
	c.out.Stream(Stdout, r.id, []byte(text))
	c.finish(r, End{})
}

// finish ends a request, and the connection if it is not to be kept. The caller holds mu.
func (c *client) finish(r *call, e End) {
	r.over = true
	close(r.gone)
	delete(c.calls, r.id)
	keep, err := c.app.Finish(r.id, e)
	if !keep || c.front.closing.Load() || c.front.callers.NearLimit() {
		c.ended = true
	}
	if err != nil || c.ended && len(c.calls) == 0 {
		c.flush()
		c.CutOff() // its reader ends, and closes it
	}
	c.phase()
}
