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

const (
	maxBody   = 64 << 10 // the longest body of a request or an answer
	maxAnswer = 16 << 10 // all of an answer but its body: heads, 1xx before them, chunks' sizes
)

// attempt is one send of a call to a server.
type attempt struct {
	ctx            context.Context
	cancel         context.CancelFunc
	call           *call
	n              int
	to             host
	sent, deadline time.Duration
}

// host is one life of a server at one address. A server that starts anew, or another at an address that
// one has left, must not be met over its predecessor's connections.
type host struct {
	server, endpoint string
	boot             time.Duration
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
	to     host
	in     *bounded
	br     *bufio.Reader // over in; empty between answers
	waiter chan reply    // the attempt on it takes one reply here; nil while idle. Guarded by backend.mu
	since  time.Duration
	stage  stage // guarded by backend.mu
	dead   bool  // guarded by backend.mu
}

// stage is how far the request on a connection is.
type stage int

const (
	resting stage = iota // no byte of a request is written: whatever comes in answers none
	writing
	written // whole
)

// errTooLong ends an answer that is longer than one may be, be it by its head or by what comes before it.
var errTooLong = errors.New("the answer is too long")

// bounded reads up to a number of bytes that its reader sets anew for each answer. Neither http.ReadResponse
// nor io.ReadAll has a bound of its own: one endless head would fill the memory.
type bounded struct {
	io.Reader
	left int
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// backend runs attempts over pools of kept connections, the last used first. http.Transport would
// send some requests again by itself, and does not tell whether the last byte was written.
type backend struct {
	clock   clock
	dialer  net.Dialer
	idleFor time.Duration
	most    int // connections open or being opened

	mu   sync.Mutex
	idle map[host][]*conn // the oldest first
	open int
	made int
	seen map[string]target // the listed servers by uid
}

func newBackend(cfg Config, c clock, most int) *backend {
	return &backend{clock: c, most: most, idle: map[host][]*conn{}, seen: map[string]target{},
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
	var (
		c      *conn
		waiter chan reply
		text   []byte
	)
	for {
		waiter = make(chan reply, 1)
		var (
			fresh bool
			err   error
		)
		c, fresh, err = b.connect(ctx, a.to, waiter)
		switch {
		case errors.Is(err, errNoRoom):
			return result{ending: woodpick.Void}
		case err != nil && errors.Is(a.ctx.Err(), context.Canceled):
			return result{ending: woodpick.Withdrawn}
		case err != nil:
			return result{ending: woodpick.Unreachable}
		}
		if text, err = encode(a, b.clock.until(a.deadline)); err != nil {
			b.giveUp(c, waiter)
			return result{ending: woodpick.Void}
		}
		if b.begin(c, waiter) {
			break
		}
		if fresh {
			return result{ending: woodpick.Unreachable}
		}
	}
	// A timed-out or cancelled attempt closes its connection, which ends the wait below.
	stop := context.AfterFunc(ctx, func() { b.giveUp(c, waiter) })
	defer stop()
	sent, err := c.Write(text)
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
	case sent < len(text):
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

// connect takes the idle connection used last, or opens a fresh one.
func (b *backend) connect(ctx context.Context, to host, waiter chan reply) (c *conn, fresh bool, err error) {
	c, err = b.take(to, waiter)
	if c != nil || err != nil {
		return c, false, err
	}
	nc, err := b.dialer.DialContext(ctx, "tcp", to.endpoint)
	if err != nil {
		b.mu.Lock()
		b.open--
		b.mu.Unlock()
		for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
			if errors.Is(err, own) {
				err = errors.Join(errNoRoom, err)
			}
		}
		return nil, true, fmt.Errorf("connect: %w", err)
	}
	return b.watch(nc, to, waiter), true, nil
}

// watch starts the reader of a connection that an attempt is about to use.
func (b *backend) watch(nc net.Conn, to host, waiter chan reply) *conn {
	in := &bounded{Reader: nc}
	c := &conn{Conn: nc, to: to, in: in, br: bufio.NewReader(in), waiter: waiter}
	go b.read(c)
	return c
}

// begin has a request written next, unless the server has closed the connection or said something
// meanwhile, which can be no answer to it: then the connection is closed, and another will do.
func (b *backend) begin(c *conn, waiter chan reply) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiter == waiter && !spokenOrClosed(c.Conn) {
		c.stage = writing
		return true
	}
	if c.waiter == waiter {
		c.waiter = nil
		b.drop(c)
	}
	return false
}

// take returns an idle connection, or nil once there is room to open one. When short, idle
// connections to other servers are closed first.
func (b *backend) take(to host, waiter chan reply) (*conn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if free := b.idle[to]; len(free) > 0 {
		c := free[len(free)-1]
		b.idle[to] = free[:len(free)-1]
		c.waiter, c.stage = waiter, resting
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
	free := b.idle[c.to]
	for i, o := range free {
		if o == c {
			b.idle[c.to] = append(free[:i], free[i+1:]...)
			break
		}
	}
	if len(b.idle[c.to]) == 0 {
		delete(b.idle, c.to)
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

// connections is how many are open or being opened.
func (b *backend) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// wrote notes that a request is written whole, and frees the connection if it is answered already.
func (b *backend) wrote(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.stage = written
	if c.waiter == nil && !c.dead {
		b.rest(c)
	}
}

// rest keeps a connection for the next attempt, if its server is still the one that it was made to. The
// caller holds mu.
func (b *backend) rest(c *conn) {
	if t, listed := b.seen[c.to.server]; !listed || t.State != woodpick.Ready || t.host() != c.to {
		b.drop(c)
		return
	}
	b.idle[c.to] = append(b.idle[c.to], c)
}

// read watches a connection: it hands each answer to the attempt that waits for it, and drops the
// connection when it ends or says something that no request asked for. Until a request is being
// written it leaves what comes to the kernel, where begin sees it.
func (b *backend) read(c *conn) {
	for keep := true; keep; {
		awaitBytes(c.Conn)
		b.mu.Lock()
		asked := c.waiter != nil && c.stage != resting
		b.mu.Unlock()
		r := reply{err: errUnasked}
		if asked {
			r, keep = b.readAnswer(c)
		} else {
			keep = false
		}
		b.mu.Lock()
		waiter := c.waiter
		c.waiter = nil
		if waiter != nil && keep {
			c.since = r.at
			if c.stage == written { // an answer that came early must not let another request into this one
				b.rest(c)
			}
		} else {
			keep = false
			b.drop(c)
		}
		b.mu.Unlock()
		if waiter != nil {
			waiter <- r
		}
	}
}

var errUnasked = errors.New("the server spoke or closed before it was asked")

// errCut says that an answer is not whole, or can't be told to be.
var errCut = errors.New("the answer is not whole")

// readAnswer reads one answer, and tells whether the connection is of further use. Only a whole 200 is a
// success. What can't be read may have run. An answer is good even if more follows that belongs to none,
// but then the next answer could not be told from that.
func (b *backend) readAnswer(c *conn) (reply, bool) {
	c.in.left = maxAnswer
	resp, err := http.ReadResponse(c.br, nil)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.br, nil)
	}
	if err != nil {
		return reply{err: fmt.Errorf("answer: %w", err)}, false
	}
	ok := resp.StatusCode == http.StatusOK
	// Without a length the end of the connection ends the body, be it whole or cut.
	framed := (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0) && resp.ContentLength <= maxBody
	if ok && !framed {
		return reply{err: errCut}, false
	}
	var body []byte
	if framed {
		c.in.left += maxBody
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
		if err == nil && len(body) > maxBody {
			err = errTooLong
		}
		if ok && err != nil {
			return reply{err: errors.Join(errCut, err)}, false
		}
	}
	r := reply{result: result{at: b.clock.now()}}
	switch {
	case ok:
		r.ending, r.body, r.contentType = woodpick.Success, body, resp.Header.Get("Content-Type")
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Run") == "1":
		r.ending = woodpick.Overloaded
	default:
		r.ending = woodpick.Failure
	}
	return r, err == nil && framed && !resp.Close && c.br.Buffered() == 0
}

// rawConn is the connection below the runtime's, or nil if there is none.
func rawConn(nc net.Conn) syscall.RawConn {
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// peek looks into the kernel's buffer of a connection: whether its other side has said something that
// was not read yet, or has closed.
func peek(fd uintptr) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// awaitBytes waits until a connection has bytes to read, has been closed by either side, or has failed.
func awaitBytes(nc net.Conn) {
	if raw := rawConn(nc); raw != nil {
		raw.Read(peek) // an error shows at the next read
	}
}

// spokenOrClosed asks the same without waiting.
func spokenOrClosed(nc net.Conn) (is bool) {
	raw := rawConn(nc)
	if raw == nil {
		return false
	}
	// Control and not Read: the connection's reader holds the lock that Read takes.
	err := raw.Control(func(fd uintptr) { is = peek(fd) })
	return is || err != nil
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
		if known && (t.State != woodpick.Ready || t.host() != old.host()) {
			b.dropIdle(old.host())
		}
		if t.State == woodpick.Gone {
			delete(b.seen, t.ID)
		}
	}
	for id, t := range b.seen {
		if full && !named[id] {
			b.dropIdle(t.host())
			delete(b.seen, id)
		}
	}
}

// dropIdle closes the idle connections to a host. The caller holds mu.
func (b *backend) dropIdle(h host) {
	for free := b.idle[h]; len(free) > 0; free = b.idle[h] {
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
				free = b.idle[c.to]
			}
		}
		b.mu.Unlock()
	}
}
