// Package upstream owns the connections to servers: it opens them within a share of descriptors, keeps idle ones, carries
// attempts over them and reads servers' replies and load reports (RFC 9110, RFC 9112). Of each attempt it promises an outcome
// with proof of whether the request may have run: what was not written whole has not. It sends nothing twice; which server
// gets what, and whether an attempt is made again, is the engine's.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/descriptors"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
)

// Pool runs attempts over pools of kept connections, the last used first. http.Transport would
// send some requests again by itself, and does not tell whether the last byte was written.
type Pool struct {
	clock    clock.Clock
	share    *descriptors.Share // of all connections to servers, over all pools
	counters *metrics.Set
	dial     func(ctx context.Context, network, address string) (net.Conn, error) // for tests: instead of net.Dialer's
	receive  receiver                                                             // for tests: instead of syscall.Recvfrom

	mu      sync.Mutex
	limits  Limits
	idle    map[discovery.Host][]*conn     // the oldest first
	wanting map[discovery.Host][]*wantConn // attempts whose own connections are late, the longest waiting first
	open    int
	dialed  int
	listed  map[string]discovery.Target // the listed servers by uid
	closed  bool
}

// NewPool returns a Pool that knows no servers yet.
func NewPool(c clock.Clock, share *descriptors.Share, count *metrics.Set, l Limits) *Pool {
	return &Pool{clock: c, receive: syscall.Recvfrom, share: share, counters: count, limits: l, idle: map[discovery.Host][]*conn{},
		wanting: map[discovery.Host][]*wantConn{}, listed: map[string]discovery.Target{}}
}

// SetDial has connections be opened by something else than a net.Dialer, as tests do. It comes before the first attempt.
func (p *Pool) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	p.dial = dial
}

// Run makes an attempt and tells how it ended. Its connection is closed by then, or idle again.
func (p *Pool) Run(a *engine.Attempt) engine.Outcome {
	ctx, cancel := p.attemptContext(a)
	defer cancel()
	r := p.try(ctx, a)
	if r.At == 0 {
		r.At = p.clock.Now()
	}
	return r
}

// attemptContext ends with an attempt's time, and when it is called off. Of an upload the time begins with its end.
func (p *Pool) attemptContext(a *engine.Attempt) (context.Context, context.CancelFunc) {
	if a.Request.Message.Rest != nil {
		return context.WithCancel(a.Context())
	}
	return context.WithTimeout(a.Context(), p.clock.Until(a.Deadline))
}

func (p *Pool) try(ctx context.Context, a *engine.Attempt) engine.Outcome {
	var (
		c      *conn
		waiter chan reply
	)
	for {
		waiter = make(chan reply, 1)
		var (
			fresh bool
			err   error
		)
		c, fresh, err = p.connect(ctx, a.To, waiter)
		switch {
		case errors.Is(err, errNoCapacity):
			return engine.Outcome{Result: balancer.NotStarted}
		case err != nil && a.Withdrawn():
			return engine.Outcome{Result: balancer.Cancelled}
		case err != nil:
			return engine.Outcome{Result: balancer.Unreachable}
		}
		if !a.Allowed() {
			p.abandon(c, waiter)
			return engine.Outcome{Result: balancer.NotStarted}
		}
		err = p.begin(c, waiter)
		if err == nil {
			break
		}
		if fresh && errors.Is(err, errNoCapacity) {
			return engine.Outcome{Result: balancer.NotStarted}
		}
		if fresh {
			return engine.Outcome{Result: balancer.Unreachable}
		}
	}
	if why, begins := p.mayBegin(ctx, a, c); !begins {
		p.abandon(c, waiter)
		return engine.Outcome{Result: why}
	}
	// A timed-out or cancelled attempt closes its connection, which ends the wait below.
	stop := context.AfterFunc(ctx, func() { p.abandon(c, waiter) })
	defer stop()
	if a.Request.Message.Rest != nil {
		return p.upload(a, c, waiter)
	}
	// The complete request in one write: what Write returns tells whether its last byte left.
	text, why := p.requestText(a)
	if text == nil {
		p.abandon(c, waiter)
		return engine.Outcome{Result: why}
	}
	sent, err := c.Write(text)
	if err != nil {
		p.abandon(c, waiter)
	} else {
		p.markWritten(c)
		p.counters.Relay()
	}
	got := <-waiter
	switch {
	case got.err == nil:
		return got.Outcome
	case a.Withdrawn():
		return engine.Outcome{Result: balancer.Cancelled}
	case sent < len(text) && isLocalShortage(err):
		return engine.Outcome{Result: balancer.NotStarted}
	case sent < len(text):
		// The server never got the last byte, so it has not begun: sending again is harmless.
		return engine.Outcome{Result: balancer.Unreachable}
	case ctx.Err() != nil:
		return engine.Outcome{Result: balancer.TimedOut}
	}
	return engine.Outcome{Result: balancer.ConnectionLost}
}

// backendHost is the name that every server is asked by.
const backendHost = "backend.local"

// maxTextAge is how long a text may be older than the look at its client that goes before its writing: a process may be held up
// between the two.
const maxTextAge = 10 * time.Millisecond

// requestText is the request of an attempt as it is to be written now, or why nothing is: its time is over, or its client has left.
func (p *Pool) requestText(a *engine.Attempt) (text []byte, why balancer.Result) {
	for {
		left := p.clock.Until(a.Deadline)
		if left <= 0 {
			return nil, balancer.NotStarted
		}
		text, err := wholeRequest(a, left)
		if err != nil {
			return nil, balancer.NotStarted
		}
		if a.Request.IsLeft(p.clock.Now) {
			return nil, balancer.Cancelled
		}
		if left-p.clock.Until(a.Deadline) <= maxTextAge {
			return text, 0
		}
	}
}

// newRequest is what goes to a server. Method, target, body, id and idempotency key go on as they came.
func newRequest(a *engine.Attempt, left time.Duration, body io.Reader) *http.Request {
	h := http.Header{
		"User-Agent":   {""}, // none
		"X-Request-Id": {a.Request.ID},
		"X-Deadline":   {string(appendDeadline(nil, left))},
	}
	if a.Request.Message.Key != "" {
		h["Idempotency-Key"] = []string{a.Request.Message.Key}
	}
	for _, f := range a.Request.Message.Beside {
		h[f.Name] = []string{f.Value}
	}
	if a.Request.Message.ContentType != "" {
		h["Content-Type"] = []string{a.Request.Message.ContentType}
	}
	r := &http.Request{Method: a.Request.Message.Method, URL: &url.URL{Opaque: a.Request.Message.Target}, Host: backendHost,
		Header: h, ContentLength: int64(len(a.Request.Message.Body))}
	if a.Request.Message.Rest != nil {
		r.ContentLength = a.Request.Message.Length
	}
	if r.ContentLength != 0 {
		r.Body = io.NopCloser(body)
	}
	return r
}

// begin has a request written next, unless the server has closed the connection or said something
// meanwhile, which can be no answer to it: then the connection is closed, and another will do. The error says which it was;
// errNoCapacity: it could not be told.
func (p *Pool) begin(c *conn, waiter chan reply) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiter != waiter {
		return errUnsolicited
	}
	spoken, short := inputOf(c.Conn, p.receive)
	if !spoken && !short {
		c.stage, c.begunAt = stageWriting, p.clock.Now()
		return nil
	}
	c.waiter = nil
	p.discard(c)
	if short {
		return errNoCapacity
	}
	return errUnsolicited
}

// mayBegin says whether an attempt may begin on its connection, and how it ends if not. What it waited for may have taken
// long: its client may have gone by then, its time may be over, and its server may have been told to drain.
func (p *Pool) mayBegin(ctx context.Context, a *engine.Attempt, c *conn) (why balancer.Result, begins bool) {
	p.mu.Lock()
	serves := p.isReady(c.host)
	p.mu.Unlock()
	switch {
	case serves && ctx.Err() == nil && a.Begin(p.clock.Now(), c.dialTime):
		return 0, true
	case a.Withdrawn():
		return balancer.Cancelled, false
	case ctx.Err() != nil:
		return balancer.Unreachable, false
	}
	return balancer.NotStarted, false
}
