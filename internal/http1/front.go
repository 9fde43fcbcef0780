// Package http1 is the HTTP/1.1 side of the node (RFC 9110, RFC 9112): Front serves callers, Back carries
// attempts to servers. Which server gets what, and what is answered, is the engine's.
package http1

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"woodpick/internal/callers"
	"woodpick/internal/clock"
	"woodpick/internal/config"
	"woodpick/internal/dispatch"
	"woodpick/internal/engine"
	"woodpick/internal/figures"
	"woodpick/internal/intake"
)

// Limits on what a caller may make the node wait for.
const (
	readTimeout  = 2500 * time.Millisecond // for a request, from its connection's start or its first bytes
	idleTimeout  = 4 * time.Second         // a caller that asks no more is let go
	writeTimeout = 5 * time.Second
	maxHeader    = 16 << 10
	maxBody      = intake.MaxBody // the longest body of a request or an answer
)

// Front serves callers of one listener: exactly one answer for each request taken.
type Front struct {
	listener string // its name in the configuration
	clock    clock.Clock
	calls    *dispatch.Dispatcher
	callers  *callers.Set
	figures  *figures.Set
	draining atomic.Bool // unready
	closing  atomic.Bool // each answer closes its connection
	server   *http.Server
}

// NewFront returns a Front that serves nobody before Serve.
func NewFront(listener string, c clock.Clock, set *callers.Set, calls *dispatch.Dispatcher, count *figures.Set, log *slog.Logger) *Front {
	f := &Front{listener: listener, clock: c, calls: calls, callers: set, figures: count}
	f.server = &http.Server{
		Handler:                      f,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeader,
		DisableGeneralOptionsHandler: true,
		ConnState:                    f.track,
		ConnContext:                  withConn,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return f
}

// Serve accepts callers until the listener fails, is closed or has a deadline in the past, and returns its
// error.
func (f *Front) Serve(ln net.Listener) error { return f.server.Serve(callerListener{ln, f.callers}) }

// SetReady has the health answer say from now on whether callers should be sent here.
func (f *Front) SetReady(is bool) { f.draining.Store(!is) }

// SetClosing says whether each answer from now on closes its connection.
func (f *Front) SetClosing(is bool) { f.closing.Store(is) }

// LetQuietGo closes the connections of callers that ask nothing. It returns how many are left.
func (f *Front) LetQuietGo() int { return f.callers.LetQuietGo(f) }

// health tells the front whether to send callers here.
func (f *Front) health(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead || r.ContentLength != 0:
		http.Error(w, "only GET is served", http.StatusMethodNotAllowed)
		return
	case f.draining.Load():
	case !f.calls.View().Ready():
		f.keep(w)
	default:
		f.keep(w)
		return
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

// keep leaves a connection open behind its answer, as it is unless it was to be closed.
func (f *Front) keep(w http.ResponseWriter) {
	if !f.closing.Load() {
		w.Header().Del("Connection")
	}
}

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Whatever is answered before the request has been read whole closes the connection: cheap, and
	// net/http would otherwise wait for the rest of a body.
	w.Header().Set("Connection", "close")
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path == "/health/ready" {
		f.health(w, r)
		return
	}
	view := f.calls.View()
	head := f.head(r)
	in, err := intake.Check(view, &head)
	if err != nil {
		f.reject(w, view, err)
		return
	}
	var body []byte
	if r.ContentLength > 0 {
		if body, err = io.ReadAll(r.Body); err != nil {
			f.reject(w, view, &intake.Rejected{Status: http.StatusBadRequest, Reason: "the body is not whole"})
			return
		}
	}
	at := f.clock.Now()
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{}) // it was for reading the request
	f.keep(w)
	f.figures.Begin()
	if !f.callers.Begin(connOf(r.Context())) {
		f.write(w, engine.Answer{Kind: engine.Refused, RetryAfter: view.ComeBack()})
		f.figures.End(in.Class, figures.Throttled)
		return
	}
	c, err := intake.Take(f.calls, view, &head, in, body, at)
	if err != nil {
		w.Header().Set("Connection", "close")
		f.reject(w, view, err)
		f.figures.End(in.Class, figures.Faulted)
		return
	}
	select {
	case a := <-c.Answer():
		f.write(w, a)
		f.figures.End(in.Class, resultOf(a))
	case <-r.Context().Done():
		c.Leave(f.clock.Now())
		f.figures.Left()
	}
}

// resultOf is how an answer counts.
func resultOf(a engine.Answer) figures.Result {
	switch a.Kind {
	case engine.Served:
		return figures.Fulfilled
	case engine.Refused:
		return figures.Throttled
	}
	return figures.Faulted
}

// head is what a request's head says. net/http drops a Content-Length beside a transfer coding, so a request
// hidden in the body would pass on unseen: the protocol has lengths only.
func (f *Front) head(r *http.Request) intake.Head {
	return intake.Head{Listener: f.listener, Protocol: config.HTTP1, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		ID: r.Header["X-Request-Id"], Wait: r.Header["X-Deadline"], Key: r.Header["Idempotency-Key"],
		Type: r.Header.Get("Content-Type"), Coded: len(r.TransferEncoding) > 0, Length: r.ContentLength, Headers: r.Header}
}

// reject answers a request that can't be used, or whose listener has gone, with its connection's end.
func (f *Front) reject(w http.ResponseWriter, view *dispatch.View, err error) {
	var no *intake.Rejected
	if !errors.As(err, &no) {
		f.write(w, engine.Answer{Kind: engine.Refused, RetryAfter: view.ComeBack()})
		return
	}
	http.Error(w, no.Reason, no.Status)
}

// write gives the answer to the caller.
func (f *Front) write(w http.ResponseWriter, a engine.Answer) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	if f.callers.Crowded() || f.closing.Load() {
		h.Set("Connection", "close")
	}
	if a.Kind == engine.Served {
		if a.Reply.ContentType == "" {
			h["Content-Type"] = nil // none, rather than a guess
		} else {
			h.Set("Content-Type", a.Reply.ContentType)
		}
		h.Set("Content-Length", strconv.Itoa(len(a.Reply.Body)))
		w.Write(a.Reply.Body)
		return
	}
	status, words := intake.Words(a)
	if retry := intake.RetryAfter(a); retry != "" {
		h.Set("Retry-After", retry)
	}
	http.Error(w, words, status)
}
