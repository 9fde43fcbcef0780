package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits on what a caller may make the node wait for.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 5 * time.Second
	writeTimeout  = 5 * time.Second
	maxHeader     = 16 << 10
	maxDeadline   = time.Hour
	quietGrace    = 300 * time.Millisecond // after the last connection was accepted
	idleGrace     = 500 * time.Millisecond
	drainStep     = 20 * time.Millisecond
)

// frontend serves callers: exactly one answer for each request taken.
type frontend struct {
	clock    clock
	post     func(event)
	ready    func() bool
	draining atomic.Bool
	server   *http.Server
	advice   time.Duration // when to come back after a refusal for want of descriptors

	most  int // connections; beyond them idle ones are closed, and requests refused if none is idle
	mu    sync.Mutex
	conns map[*callerConn]callerState
	// idleGrace is how long a connection must have been idle to be let go for others
	idleGrace time.Duration
	// leaving counts the connections that were let go and are not closed yet
	leaving int
}

// callerState is what a caller's connection does, and since when.
type callerState struct {
	state   http.ConnState
	since   time.Duration
	leaving bool
}

func newFrontend(cfg Config, c clock, most int, post func(event), ready func() bool, log *slog.Logger) *frontend {
	f := &frontend{clock: c, post: post, ready: ready, most: most, conns: map[*callerConn]callerState{}, idleGrace: idleGrace,
		advice: max(cfg.Settings.Tick, time.Millisecond)}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		ConnState: f.track, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	return f
}

// callerConn is a caller's connection that can be let go while it waits for a request, and only then.
//
// Close, in the gap between net/http's read of a request and its report of StateActive, would lose
// that request. A read deadline in the past ends the wait, or comes too late for it: the request is
// then either read and answered, or left unread, and its client sends it again. Whether one has
// begun to be read is noted here, since net/http reads its first byte early when the client is quick:
// behind an answer, before it reports StateIdle.
type callerConn struct {
	net.Conn
	mu       sync.Mutex
	begun    bool // bytes were read since the last answer
	leaving  bool
	deadline time.Time // as net/http wants it
}

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.begun = true
		if c.leaving {
			c.leaving = false
			c.Conn.SetReadDeadline(c.deadline)
		}
	}
	return n, err
}

// Write begins before the client can have sent its next request.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.begun = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.leaving {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http linger after an answer to a request that it did not read whole: at once
// closed, the connection would be reset, and the answer could be lost.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// letGo has the connection closed unless a request has begun on it.
func (c *callerConn) letGo() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		c.leaving = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.leaving
}

// callerListener makes callerConns.
type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // as it is: net/http looks at its kind
	}
	return &callerConn{Conn: c}, nil
}

// track follows the callers' connections. When there are too many it lets those go that have been idle
// for longest: an accepted connection must be read, since its request counts as taken. One idle for a
// moment only is likely to meet its next request on the way, and a client sends that again just once:
// while there are too many, each answer closes its connection instead, which nothing can cross.
func (f *frontend) track(nc net.Conn, s http.ConnState) {
	c := nc.(*callerConn)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[c].leaving {
		f.leaving--
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(f.conns, c)
		return
	}
	f.conns[c] = callerState{state: s, since: f.clock.now()}
	if len(f.conns)-f.leaving <= f.most {
		return
	}
	var idle []*callerConn
	now := f.clock.now()
	for o, st := range f.conns {
		if st.state == http.StateIdle && !st.leaving && now-st.since >= f.idleGrace {
			idle = append(idle, o)
		}
	}
	slices.SortFunc(idle, func(a, b *callerConn) int { return cmp.Compare(f.conns[a].since, f.conns[b].since) })
	for _, o := range idle {
		if f.letGo(o); len(f.conns)-f.leaving <= f.most {
			return
		}
	}
}

// letGo lets a connection go if it may be, and counts it as leaving. The caller holds mu.
func (f *frontend) letGo(c *callerConn) {
	if s := f.conns[c]; !s.leaving && c.letGo() {
		s.leaving = true
		f.conns[c] = s
		f.leaving++
	}
}

func (f *frontend) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)-f.leaving > f.most
}

// ServeHTTP answers one request.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		// Before an answer that leaves a body unread, net/http waits for the rest of it, without limit.
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health/ready" {
		if f.draining.Load() || !f.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	}
	c, status, err := f.readCall(w, r)
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if f.crowded() {
		f.write(w, answer{kind: refused, retryAfter: f.advice})
		return
	}
	f.post(arrived{c})
	select {
	case a := <-c.answer:
		f.write(w, a)
	case <-r.Context().Done():
		f.post(callerGone{call: c, at: f.clock.now()})
	}
}

// readCall reads a request whole and checks what the node relies on. What it turns away here has been
// sent to no server.
func (f *frontend) readCall(w http.ResponseWriter, r *http.Request) (*call, int, error) {
	c := &call{method: r.Method, target: r.RequestURI, id: r.Header.Get("X-Request-Id"),
		key: r.Header.Get("Idempotency-Key"), contentType: r.Header.Get("Content-Type"),
		answer: make(chan answer, 1)}
	c.class, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	wait, err := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
	switch {
	case c.method != http.MethodGet && c.method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, errors.New("only GET and POST are served")
	case c.id == "" || len(r.Header["X-Request-Id"]) > 1:
		return nil, http.StatusBadRequest, errors.New("X-Request-Id is missing or comes twice")
	case err != nil || !(wait > 0 && wait <= maxDeadline.Seconds()):
		return nil, http.StatusBadRequest, errors.New("X-Deadline is missing or out of range")
	case c.class == "":
		return nil, http.StatusNotFound, errors.New("the path names no class")
	case r.ContentLength > maxBody:
		return nil, http.StatusRequestEntityTooLarge, errors.New("the body is too long")
	}
	if r.ContentLength != 0 {
		rc := http.NewResponseController(w)
		rc.SetReadDeadline(time.Now().Add(bodyTimeout))
		c.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			return nil, http.StatusRequestEntityTooLarge, errors.New("the body is too long")
		}
		if err != nil {
			return nil, http.StatusBadRequest, errors.New("the body is not whole")
		}
		rc.SetReadDeadline(time.Time{})
		if !f.draining.Load() {
			w.Header().Del("Connection")
		}
	}
	c.at = f.clock.now()
	c.deadline = c.at + time.Duration(math.Round(wait*1e9))
	return c, 0, nil
}

// write gives the answer to the caller.
func (f *frontend) write(w http.ResponseWriter, a answer) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	if f.crowded() {
		h.Set("Connection", "close")
	}
	switch a.kind {
	case served:
		if a.header == "" {
			h["Content-Type"] = nil // none, rather than a guess
		} else {
			h.Set("Content-Type", a.header)
		}
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
		w.Write(a.body)
	case refused:
		if a.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case failed:
		http.Error(w, "failed", http.StatusBadGateway)
	case duplicate:
		http.Error(w, "X-Request-Id is in use", http.StatusConflict)
	}
}

// drain lets the callers go: the node keeps accepting for a while, each answer closes its connection,
// and everything taken is answered. It returns once that is done, or with an error when ctx ends.
// http.Server.Shutdown would wait for seconds on connections that never sent a request, past SIGKILL,
// and close idle ones under a request just read.
func (f *frontend) drain(ctx context.Context, ln net.Listener, accept time.Duration) error {
	f.draining.Store(true)
	f.letQuietGo(false)
	sleep(ctx, accept)
	ln.Close()
	sleep(ctx, quietGrace)
	for f.letQuietGo(true) > 0 {
		if ctx.Err() != nil {
			return fmt.Errorf("callers are left: %w", ctx.Err())
		}
		sleep(ctx, drainStep)
	}
	return nil
}

// letQuietGo closes the callers' idle connections, and those that have sent nothing yet if asked to.
// It returns how many of all are left.
func (f *frontend) letQuietGo(fresh bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, s := range f.conns {
		if s.state == http.StateIdle || fresh && s.state == http.StateNew {
			f.letGo(c)
		}
	}
	return len(f.conns)
}
