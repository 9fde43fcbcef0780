package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
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
	quietGrace    = 500 * time.Millisecond
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
	conns map[net.Conn]callerState
}

// callerState is what a caller's connection does, and since when.
type callerState struct {
	state http.ConnState
	since time.Duration
}

func newFrontend(cfg Config, c clock, most int, post func(event), ready func() bool, log *slog.Logger) *frontend {
	f := &frontend{clock: c, post: post, ready: ready, most: most, conns: map[net.Conn]callerState{},
		advice: max(cfg.Settings.Tick, time.Millisecond)}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		ConnState: f.track, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	return f
}

// track follows the callers' connections. When there are too many it closes the one idle for longest:
// an accepted connection must be read, since its request counts as taken.
func (f *frontend) track(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(f.conns, c)
		return
	}
	f.conns[c] = callerState{s, f.clock.now()}
	if len(f.conns) <= f.most {
		return
	}
	var oldest net.Conn
	for o, st := range f.conns {
		if st.state == http.StateIdle && (oldest == nil || st.since < f.conns[oldest].since) {
			oldest = o
		}
	}
	if oldest != nil {
		delete(f.conns, oldest)
		oldest.Close()
	}
}

func (f *frontend) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) > f.most
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
		w.Header().Set("Connection", "close")
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
// and everything taken is answered. It returns once that is done, or when ctx ends.
func (f *frontend) drain(ctx context.Context, accept time.Duration) error {
	f.draining.Store(true)
	f.closeQuiet(false)
	sleep(ctx, accept)
	end := make(chan error, 1)
	go func() { end <- f.server.Shutdown(ctx) }()
	// Shutdown waits for seconds on connections that never sent a request. Those are nobody's loss,
	// but SIGKILL is near: they get a while to say something.
	sleep(ctx, quietGrace)
	f.closeQuiet(true)
	return <-end
}

// closeQuiet closes the callers' idle connections, and those that have sent nothing yet if asked to.
func (f *frontend) closeQuiet(fresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, s := range f.conns {
		if s.state == http.StateIdle || fresh && s.state == http.StateNew {
			c.Close()
		}
	}
}
