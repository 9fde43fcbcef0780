// Package http1 is the HTTP/1.1 side of the node (RFC 9110, RFC 9112): Front serves callers, Back carries
// attempts to servers. Which server gets what, and what is answered, is the engine's.
package http1

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"woodpick"
	"woodpick/internal/clock"
	"woodpick/internal/config"
	"woodpick/internal/dispatch"
	"woodpick/internal/engine"
	"woodpick/internal/route"
)

// Limits on what a caller may make the node wait for.
const (
	readTimeout   = 2500 * time.Millisecond // for a request, from its connection's start or its first bytes
	idleTimeout   = 4 * time.Second         // a caller that asks no more is let go
	writeTimeout  = 5 * time.Second
	maxHeader     = 16 << 10
	maxID         = 128
	maxWait       = time.Hour
	deadlineSlack = 2 // times the class's deadline that X-Deadline may be
)

// Front serves callers of one listener: exactly one answer for each request taken.
type Front struct {
	listener string // its name in the configuration
	clock    clock.Clock
	calls    *dispatch.Dispatcher
	callers  *Callers
	draining atomic.Bool // unready
	closing  atomic.Bool // each answer closes its connection
	server   *http.Server
}

// NewFront returns a Front that serves nobody before Serve.
func NewFront(listener string, c clock.Clock, callers *Callers, calls *dispatch.Dispatcher, log *slog.Logger) *Front {
	f := &Front{listener: listener, clock: c, calls: calls, callers: callers}
	f.server = &http.Server{
		Handler:                      f,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeader,
		DisableGeneralOptionsHandler: true,
		ConnState:                    callers.track,
		ConnContext:                  withConn,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return f
}

// Serve accepts callers until the listener fails, is closed or has a deadline in the past, and returns its
// error.
func (f *Front) Serve(ln net.Listener) error { return f.server.Serve(callerListener{ln, f, f.callers}) }

// Unready has the health answer say from now on that no callers should be sent here.
func (f *Front) Unready() { f.draining.Store(true) }

// Close has each answer from now on close its connection.
func (f *Front) Close() { f.closing.Store(true) }

// LetQuietGo closes the connections of callers that ask nothing. It returns how many are left.
func (f *Front) LetQuietGo() int { return f.callers.letQuietGo(f) }

// health tells the front whether to send callers here.
func (f *Front) health(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead || r.ContentLength != 0:
		http.Error(w, "only GET is served", http.StatusMethodNotAllowed)
		return
	case f.draining.Load():
	case !f.calls.View().Ready():
		w.Header().Del("Connection")
	default:
		w.Header().Del("Connection")
		return
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
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
	in, err := f.readRequest(view, r)
	if err != nil {
		f.reject(w, view, err)
		return
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{}) // it was for reading the request
	if !f.closing.Load() {
		w.Header().Del("Connection")
	}
	if !f.callers.open(connOf(r.Context())) {
		f.write(w, engine.Answer{Kind: engine.Refused, RetryAfter: view.ComeBack()})
		return
	}
	c, err := f.take(view, in, r)
	if err != nil {
		w.Header().Set("Connection", "close")
		f.reject(w, view, err)
		return
	}
	select {
	case a := <-c.Answer():
		f.write(w, a)
	case <-r.Context().Done():
		c.Leave(f.clock.Now())
	}
}

// take has a request taken under the view of now. One that was read under another is looked at again: what it
// may do can have changed meanwhile.
func (f *Front) take(view *dispatch.View, in request, r *http.Request) (*engine.Call, error) {
	for {
		c := engine.NewCall(in.id, engine.Request{Method: r.Method, Target: in.target, Key: in.key,
			ContentType: r.Header.Get("Content-Type"), Body: in.body})
		c.Class, c.At, c.Deadline = in.class, in.at, in.at+in.wait
		switch err := f.calls.Take(view, c, &in.route); {
		case err == nil:
			return c, nil
		case errors.Is(err, dispatch.ErrNoRoute):
			return nil, &rejected{http.StatusNotFound, err.Error()}
		}
		view = f.calls.View()
		again, err := f.check(view, r)
		if err != nil {
			return nil, err
		}
		again.body, again.at = in.body, in.at
		in = again
	}
}

// errGone says that the listener that a request came by is no longer there.
var errGone = errors.New("this listener is gone")

// reject answers a request that can't be used, or whose listener has gone, with its connection's end.
func (f *Front) reject(w http.ResponseWriter, view *dispatch.View, err error) {
	if errors.Is(err, errGone) {
		f.write(w, engine.Answer{Kind: engine.Refused, RetryAfter: view.ComeBack()})
		return
	}
	status := http.StatusBadRequest
	var no *rejected
	if errors.As(err, &no) {
		status = no.status
	}
	http.Error(w, err.Error(), status)
}

// rejected is a request that can't be used: it is answered without a look at any server.
type rejected struct {
	status int
	reason string
}

func (r *rejected) Error() string { return r.reason }

// request is what the node needs of a request.
type request struct {
	id, key, class string
	target         string        // path and query, as servers are to get them
	wait           time.Duration // how long its caller waits
	route          route.Call
	body           []byte
	at             time.Duration // clock time when its last byte was read
}

// readRequest reads a request whole and checks what the node and the servers rely on. What it turns away here
// has been sent to no server.
func (f *Front) readRequest(view *dispatch.View, r *http.Request) (request, error) {
	in, err := f.check(view, r)
	if err != nil {
		return request{}, err
	}
	if r.ContentLength > 0 {
		if in.body, err = io.ReadAll(r.Body); err != nil {
			return request{}, &rejected{http.StatusBadRequest, "the body is not whole"}
		}
	}
	in.at = f.clock.Now()
	return in, nil
}

// check tells what is wrong with a request's head, and reads its class and how long it may take. A class that
// does not exist would be sent on as an unsafe one, only for the servers to turn it away, and the module would
// take that for their ill health.
func (f *Front) check(view *dispatch.View, r *http.Request) (request, error) {
	l, listening := view.Listener(f.listener)
	if !listening || l.Protocol != config.HTTP1 {
		return request{}, errGone
	}
	in := request{id: r.Header.Get("X-Request-Id"), key: r.Header.Get("Idempotency-Key"), target: r.RequestURI}
	path, query, asked := strings.Cut(r.RequestURI, "?")
	path, misread := readPath(path, l.Paths)
	if asked && misread == nil && l.Paths != config.PathsAsSent {
		in.target = path + "?" + query
	} else if l.Paths != config.PathsAsSent {
		in.target = path
	}
	in.class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, known := view.Class(in.class)
	wait, err := parseWait(r.Header["X-Deadline"])
	keyed := len(r.Header["Idempotency-Key"])
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodPost:
		return request{}, &rejected{http.StatusMethodNotAllowed, "only GET and POST are served"}
	case len(r.TransferEncoding) > 0:
		// net/http drops a Content-Length beside it, so a request hidden in the body would pass on
		// unseen. The protocol has lengths only.
		return request{}, &rejected{http.StatusLengthRequired, "a body needs a Content-Length and no transfer coding"}
	case misread != nil:
		return request{}, &rejected{http.StatusBadRequest, "the path: " + misread.Error()}
	case !strings.HasPrefix(path, "/") || !known:
		return request{}, &rejected{http.StatusNotFound, "the path names no class"}
	case l.Paths == config.PathsAsSent && !route.Agrees(path, in.class):
		return request{}, &rejected{http.StatusBadRequest, "the path can be read as one of another class"}
	case (class.Effect == woodpick.Safe) != (r.Method == http.MethodGet):
		return request{}, &rejected{http.StatusMethodNotAllowed, "the class is not asked for by this method"}
	case keyed > 1 || (keyed == 1) != (class.Effect == woodpick.Keyed) || keyed == 1 && in.key == "":
		return request{}, &rejected{http.StatusBadRequest, "Idempotency-Key does not fit the class, or comes twice"}
	case in.id == "" || len(in.id) > maxID || len(r.Header["X-Request-Id"]) > 1:
		return request{}, &rejected{http.StatusBadRequest, "X-Request-Id is missing, too long, or comes twice"}
	case err != nil:
		return request{}, &rejected{http.StatusBadRequest, err.Error()}
	case wait > deadlineSlack*class.Deadline:
		return request{}, &rejected{http.StatusBadRequest, "X-Deadline is far beyond the class's"}
	case r.ContentLength > maxBody:
		return request{}, &rejected{http.StatusRequestEntityTooLarge, "the body is too long"}
	case r.ContentLength > 0 && r.Method == http.MethodGet:
		return request{}, &rejected{http.StatusBadRequest, "GET has no body"}
	}
	in.wait = wait
	in.route = route.Call{Listener: f.listener, Class: in.class, Host: r.Host, Path: path, Headers: r.Header, Draw: in.id}
	if class.Effect == woodpick.Keyed {
		in.route.Draw = in.key // a repeat must meet the servers that know its key
	}
	return in, nil
}

// readPath is the path that class and routes are told by, and unless paths pass as sent, that servers get.
func readPath(raw string, how config.Paths) (string, error) {
	if how == config.PathsAsSent || !strings.HasPrefix(raw, "/") {
		return raw, nil
	}
	plain, reading, err := route.Read(raw)
	if err == nil && reading == route.Moved && how != config.NormalizePaths {
		err = fmt.Errorf("servers could read it otherwise; its plain form is %s", plain)
	}
	return plain, err
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
func (f *Front) write(w http.ResponseWriter, a engine.Answer) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	if f.callers.crowded() || f.closing.Load() {
		h.Set("Connection", "close")
	}
	switch a.Kind {
	case engine.Served:
		if a.Reply.ContentType == "" {
			h["Content-Type"] = nil // none, rather than a guess
		} else {
			h.Set("Content-Type", a.Reply.ContentType)
		}
		h.Set("Content-Length", strconv.Itoa(len(a.Reply.Body)))
		w.Write(a.Reply.Body)
	case engine.Refused:
		if a.RetryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case engine.Failed:
		http.Error(w, "failed", http.StatusBadGateway)
	case engine.Duplicate:
		http.Error(w, "X-Request-Id is in use", http.StatusConflict)
	}
}
