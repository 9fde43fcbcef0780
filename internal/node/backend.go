package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"woodpick"
)

// maxBody is the longest body of a request or an answer.
const maxBody = 64 << 10

// attempt is one send of a call to a server.
type attempt struct {
	ctx              context.Context
	cancel           context.CancelFunc
	call             *call
	n                int
	server, endpoint string
	sent, deadline   time.Duration
}

// result is how an attempt ended.
type result struct {
	ending      woodpick.Ending
	at          time.Duration // when: for an answer, when its last byte was read
	body        []byte
	contentType string
}

// reply is what came back on a connection: an answer read whole, or why there is none.
type reply struct {
	result
	err error
}

// conn is a connection to a server. Its reader watches it for as long as it is open, so that one
// closed by the server leaves the idle ones at once.
type conn struct {
	net.Conn
	endpoint string
	br       *bufio.Reader
	waiter   chan reply // the attempt on it takes one reply here; nil while idle. Guarded by backend.mu
	since    time.Duration
	writing  bool // an attempt's request is not written whole yet. Guarded by backend.mu
	dead     bool // guarded by backend.mu
}

// backend runs attempts over pools of kept connections, the last used first. http.Transport would
// send some requests again by itself, and does not tell whether the last byte was written.
type backend struct {
	clock   clock
	dialer  net.Dialer
	idleFor time.Duration
	most    int // connections open or being opened

	mu   sync.Mutex
	idle map[string][]*conn // by endpoint, the oldest first
	open int
	made int
	seen map[string]target // by uid
}

func newBackend(cfg Config, c clock, most int) *backend {
	return &backend{clock: c, most: most, idle: map[string][]*conn{}, seen: map[string]target{},
		dialer: net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1},
		// Closed a little before the server does, or a request might cross its close and end as a reset.
		idleFor: cfg.ConnIdle - cfg.ConnIdle/10}
}

// errNoRoom says that the node is out of descriptors, which is no server's fault.
var errNoRoom = errors.New("no descriptor left for a connection")

// run makes an attempt and tells how it ended. Its connection is closed by then, or idle again.
func (b *backend) run(a *attempt) result {
	ctx, cancel := context.WithTimeout(a.ctx, b.clock.until(a.deadline))
	defer cancel()
	r := b.try(ctx, a)
	if r.at == 0 {
		r.at = b.clock.now()
	}
	return r
}

func (b *backend) try(ctx context.Context, a *attempt) result {
	waiter := make(chan reply, 1)
	c, err := b.connect(ctx, a.endpoint, waiter)
	switch {
	case errors.Is(err, errNoRoom):
		return result{ending: woodpick.Void}
	case err != nil && errors.Is(a.ctx.Err(), context.Canceled):
		return result{ending: woodpick.Withdrawn}
	case err != nil:
		return result{ending: woodpick.Unreachable}
	}
	// A timed-out or cancelled attempt closes its connection, which ends the wait below.
	stop := context.AfterFunc(ctx, func() { b.giveUp(c, waiter) })
	defer stop()
	text, err := encode(a, b.clock.until(a.deadline))
	if err != nil {
		b.giveUp(c, waiter)
		return result{ending: woodpick.Void}
	}
	written, err := c.Write(text)
	if err != nil {
		b.giveUp(c, waiter)
	} else {
		b.wrote(c)
	}
	got := <-waiter
	switch {
	case got.err == nil:
		return got.result
	case errors.Is(a.ctx.Err(), context.Canceled):
		return result{ending: woodpick.Withdrawn}
	case written < len(text):
		// The server never got the last byte, so it has not begun: sending again is harmless.
		return result{ending: woodpick.Unreachable}
	case ctx.Err() != nil:
		return result{ending: woodpick.TimedOut}
	}
	return result{ending: woodpick.Broken}
}

// encode writes the request to a server. Method, target, body, id and idempotency key go on as they came.
func encode(a *attempt, left time.Duration) ([]byte, error) {
	h := http.Header{
		"User-Agent":   {""}, // none
		"X-Request-Id": {a.call.id},
		"X-Deadline":   {strconv.FormatFloat(max(left, time.Millisecond).Seconds(), 'f', 6, 64)},
	}
	if a.call.key != "" {
		h["Idempotency-Key"] = []string{a.call.key}
	}
	if a.call.contentType != "" {
		h["Content-Type"] = []string{a.call.contentType}
	}
	r := http.Request{Method: a.call.method, URL: &url.URL{Opaque: a.call.target}, Host: "backend.local",
		Header: h, ContentLength: int64(len(a.call.body))}
	if len(a.call.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(a.call.body))
	}
	// The whole request in one write: what Write returns tells whether its last byte left.
	var text bytes.Buffer
	text.Grow(512 + len(a.call.body))
	if err := r.Write(&text); err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	return text.Bytes(), nil
}

// connect takes the idle connection used last, or opens one.
func (b *backend) connect(ctx context.Context, endpoint string, waiter chan reply) (*conn, error) {
	for {
		c, err := b.take(endpoint, waiter)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		// The server may have closed it a moment ago, before the reader could see that.
		if !closedByPeer(c.Conn) {
			return c, nil
		}
		b.giveUp(c, waiter)
		<-waiter
	}
	nc, err := b.dialer.DialContext(ctx, "tcp", endpoint)
	if err != nil {
		b.mu.Lock()
		b.open--
		b.mu.Unlock()
		for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
			if errors.Is(err, own) {
				err = errors.Join(errNoRoom, err)
			}
		}
		return nil, fmt.Errorf("connect: %w", err)
	}
	return b.watch(nc, endpoint, waiter), nil
}

// watch starts the reader of a connection that an attempt is about to use.
func (b *backend) watch(nc net.Conn, endpoint string, waiter chan reply) *conn {
	c := &conn{Conn: nc, endpoint: endpoint, br: bufio.NewReader(nc), waiter: waiter, writing: true}
	go b.read(c)
	return c
}

// take returns an idle connection, or nil once there is room to open one. When short, idle
// connections to other servers are closed first.
func (b *backend) take(endpoint string, waiter chan reply) (*conn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if free := b.idle[endpoint]; len(free) > 0 {
		c := free[len(free)-1]
		b.idle[endpoint] = free[:len(free)-1]
		c.waiter, c.writing = waiter, true
		return c, nil
	}
	if b.open >= b.most {
		var oldest *conn
		for _, free := range b.idle {
			if len(free) > 0 && (oldest == nil || free[0].since < oldest.since) {
				oldest = free[0]
			}
		}
		if oldest == nil {
			return nil, errNoRoom
		}
		b.drop(oldest)
	}
	b.open++
	b.made++
	return nil, nil
}

// drop closes a connection and forgets it. The caller holds mu.
func (b *backend) drop(c *conn) {
	if c.dead {
		return
	}
	c.dead = true
	b.open--
	c.Close()
	free := b.idle[c.endpoint]
	for i, o := range free {
		if o == c {
			b.idle[c.endpoint] = append(free[:i], free[i+1:]...)
			break
		}
	}
	if len(b.idle[c.endpoint]) == 0 {
		delete(b.idle, c.endpoint)
	}
}

// giveUp closes a connection under the attempt that waits on it, unless its reply has come: then the
// connection may serve another attempt already.
func (b *backend) giveUp(c *conn, waiter chan reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiter == waiter {
		c.waiter = nil
		b.drop(c)
		waiter <- reply{err: context.Canceled}
	}
}

// wrote notes that a request is written whole, and frees the connection if it is answered already.
func (b *backend) wrote(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.writing = false
	if c.waiter == nil && !c.dead {
		b.idle[c.endpoint] = append(b.idle[c.endpoint], c)
	}
}

// read watches a connection: it hands each answer to the attempt that waits for it, and drops the
// connection when it ends or says something while idle.
func (b *backend) read(c *conn) {
	for {
		r := reply{}
		keep := false
		if _, r.err = c.br.Peek(1); r.err == nil {
			b.mu.Lock()
			idle := c.waiter == nil
			b.mu.Unlock()
			if !idle {
				r, keep = b.readAnswer(c)
			}
		}
		b.mu.Lock()
		waiter := c.waiter
		c.waiter = nil
		if waiter != nil && keep {
			c.since = r.at
			if !c.writing { // an answer that came early must not let another request into this one
				b.idle[c.endpoint] = append(b.idle[c.endpoint], c)
			}
		} else {
			keep = false
			b.drop(c)
		}
		b.mu.Unlock()
		if waiter != nil {
			waiter <- r
		}
		if !keep {
			return
		}
	}
}

// errCut says that an answer is not whole, or can't be told to be.
var errCut = errors.New("the answer is not whole")

// readAnswer reads one answer. Only a whole 200 is a success.
func (b *backend) readAnswer(c *conn) (reply, bool) {
	resp, err := http.ReadResponse(c.br, nil)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.br, nil)
	}
	if err != nil {
		return reply{err: fmt.Errorf("answer: %w", err)}, false
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.StatusCode == http.StatusOK && resp.ContentLength < 0 && !chunked {
		// Without a length the end of the connection ends the body, be it whole or cut.
		return reply{err: errCut}, false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if resp.StatusCode == http.StatusOK && (err != nil || len(body) > maxBody) {
		return reply{err: errors.Join(errCut, err)}, false
	}
	r := reply{result: result{at: b.clock.now()}}
	switch {
	case resp.StatusCode == http.StatusOK:
		r.ending, r.body, r.contentType = woodpick.Success, body, resp.Header.Get("Content-Type")
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Run") == "1":
		r.ending = woodpick.Overloaded
	default:
		r.ending = woodpick.Failure
	}
	return r, err == nil && !resp.Close && len(body) <= maxBody && (resp.ContentLength >= 0 || chunked)
}

// closedByPeer asks the kernel whether a connection's other side has closed it, without waiting.
func closedByPeer(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Control and not Read: the connection's reader holds the lock that Read takes.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n >= 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return closed || err != nil
}

// servers follows the list: idle connections to a server that left, drains or started anew are closed.
func (b *backend) servers(targets []target, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	named := map[string]bool{}
	for _, t := range targets {
		named[t.ID] = true
		old, known := b.seen[t.ID]
		b.seen[t.ID] = t
		if known && (t.State != woodpick.Ready || t.Boot != old.Boot || t.endpoint != old.endpoint) {
			b.dropIdle(old.endpoint)
		}
		if t.State == woodpick.Gone {
			delete(b.seen, t.ID)
		}
	}
	for id, t := range b.seen {
		if full && !named[id] {
			b.dropIdle(t.endpoint)
			delete(b.seen, id)
		}
	}
}

// dropIdle closes the idle connections to an endpoint. The caller holds mu.
func (b *backend) dropIdle(endpoint string) {
	for free := b.idle[endpoint]; len(free) > 0; free = b.idle[endpoint] {
		b.drop(free[len(free)-1])
	}
}

// sweep closes connections that have been idle for too long, until ctx ends.
func (b *backend) sweep(ctx context.Context) {
	every := time.NewTicker(max(b.idleFor/20, time.Millisecond))
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		b.mu.Lock()
		for _, free := range b.idle {
			for len(free) > 0 && b.clock.now()-free[0].since >= b.idleFor {
				c := free[0]
				b.drop(c)
				free = b.idle[c.endpoint]
			}
		}
		b.mu.Unlock()
	}
}
