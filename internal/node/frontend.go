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

	"woodpick"
)

// Limits on what a caller may make the node wait for.
const (
	readTimeout   = 2500 * time.Millisecond // for a request, from its connection's start or its first bytes
	idleTimeout   = 4 * time.Second         // a caller that asks no more is let go
	writeTimeout  = 5 * time.Second
	maxHeader     = 16 << 10
	maxID         = 128
	maxWait       = time.Hour
	deadlineSlack = 2                      // times the class's deadline that X-Deadline may be
	quietGrace    = 300 * time.Millisecond // after the last connection was accepted
	idleGrace     = 500 * time.Millisecond
	drainStep     = 20 * time.Millisecond
)

// frontend serves callers: exactly one answer for each request taken.
type frontend struct {
	clock    clock
	post     func(event)
	ready    func() bool
	classes  map[string]woodpick.Class
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
	f := &frontend{clock: c, post: post, ready: ready, most: most, conns: map[*callerConn]callerState{}, idleGrace: idleGrace, classes: map[string]woodpick.Class{},
		advice: max(cfg.Settings.Tick, time.Millisecond)}
	for _, class := range cfg.Settings.Classes {
		f.classes[class.Name] = class
	}
	f.server = &http.Server{Handler: f, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		DisableGeneralOptionsHandler: true,
		ConnState:                    f.track, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
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

// health tells the front whether to send callers here.
func (f *frontend) health(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead || r.ContentLength != 0:
		http.Error(w, "only GET is served", http.StatusMethodNotAllowed)
		return
	case f.draining.Load():
	case !f.ready():
		w.Header().Del("Connection")
	default:
		w.Header().Del("Connection")
		return
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

// ServeHTTP answers one request.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Whatever is answered before the request has been read whole closes the connection: cheap, and
	// net/http would otherwise wait for the rest of a body.
	w.Header().Set("Connection", "close")
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path == "/health/ready" {
		f.health(w, r)
		return
	}
	c, err := f.readCall(w, r)
	if err != nil {
		status := http.StatusBadRequest
		var no *rejected
		if errors.As(err, &no) {
			status = no.status
		}
		http.Error(w, err.Error(), status)
		return
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{}) // it was for reading the request
	if !f.draining.Load() {
		w.Header().Del("Connection")
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

// rejected is a request that can't be used: it is answered without a look at any server.
type rejected struct {
	status int
	reason string
}

func (r *rejected) Error() string { return r.reason }

// readCall reads a request whole and checks what the node and the servers rely on. What it turns away
// here has been sent to no server.
func (f *frontend) readCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	c := &call{method: r.Method, target: r.RequestURI, id: r.Header.Get("X-Request-Id"),
		key: r.Header.Get("Idempotency-Key"), contentType: r.Header.Get("Content-Type"),
		answer: make(chan answer, 1)}
	if err := f.check(c, r); err != nil {
		return nil, err
	}
	if r.ContentLength > 0 {
		var err error
		if c.body, err = io.ReadAll(r.Body); err != nil {
			return nil, &rejected{http.StatusBadRequest, "the body is not whole"}
		}
	}
	c.at = f.clock.now()
	c.deadline += c.at
	return c, nil
}

// check tells what is wrong with a request's head, and fills in its class and how long it may take. A
// class that does not exist would be sent on as an unsafe one, only for the servers to turn it away,
// and the module would take that for their ill health.
func (f *frontend) check(c *call, r *http.Request) error {
	path, _, _ := strings.Cut(c.target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, known := f.classes[name]
	wait, err := parseWait(r.Header["X-Deadline"])
	keyed := len(r.Header["Idempotency-Key"])
	switch {
	case c.method != http.MethodGet && c.method != http.MethodPost:
		return &rejected{http.StatusMethodNotAllowed, "only GET and POST are served"}
	case len(r.TransferEncoding) > 0:
		// net/http drops a Content-Length beside it, so a request hidden in the body would pass on
		// unseen. The protocol has lengths only.
		return &rejected{http.StatusLengthRequired, "a body needs a Content-Length and no transfer coding"}
	case !strings.HasPrefix(path, "/") || !known:
		return &rejected{http.StatusNotFound, "the path names no class"}
	case (class.Effect == woodpick.Safe) != (c.method == http.MethodGet):
		return &rejected{http.StatusMethodNotAllowed, "the class is not asked for by this method"}
	case keyed > 1 || (keyed == 1) != (class.Effect == woodpick.Keyed) || keyed == 1 && c.key == "":
		return &rejected{http.StatusBadRequest, "Idempotency-Key does not fit the class, or comes twice"}
	case c.id == "" || len(c.id) > maxID || len(r.Header["X-Request-Id"]) > 1:
		return &rejected{http.StatusBadRequest, "X-Request-Id is missing, too long, or comes twice"}
	case err != nil:
		return &rejected{http.StatusBadRequest, err.Error()}
	case wait > deadlineSlack*class.Deadline:
		return &rejected{http.StatusBadRequest, "X-Deadline is far beyond the class's"}
	case r.ContentLength > maxBody:
		return &rejected{http.StatusRequestEntityTooLarge, "the body is too long"}
	case r.ContentLength > 0 && c.method == http.MethodGet:
		return &rejected{http.StatusBadRequest, "GET has no body"}
	}
	c.class, c.deadline = name, wait
	return nil
}

// parseWait reads X-Deadline: seconds in digits, with decimals or without, and nothing else that
// strconv would take (signs, exponents, hexadecimals, underscores).
func parseWait(values []string) (time.Duration, error) {
	if len(values) != 1 {
		return 0, errors.New("X-Deadline is missing or comes twice")
	}
	if strings.Trim(values[0], "0123456789.") != "" {
		return 0, errors.New("X-Deadline is no plain number")
	}
	s, err := strconv.ParseFloat(values[0], 64)
	if err != nil || !(s > 0 && s <= maxWait.Seconds()) {
		return 0, errors.New("X-Deadline is no number or out of range")
	}
	return time.Duration(math.Round(s * 1e9)), nil
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
