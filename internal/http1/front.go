// Package http1 is the HTTP/1.1 side of the node (RFC 9110, RFC 9112): Front serves callers, Back carries
// attempts to servers. Which server gets what, and what is answered, is the engine's.
package http1

import (
	"errors"
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
	"woodpick/internal/engine"
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

// Service is what a Front takes calls for.
type Service interface {
	// Ready says that callers may be sent here.
	Ready() bool
	// Class tells of a class of calls, if there is one of that name.
	Class(name string) (woodpick.Class, bool)
	// Take takes a call over; its answer comes on its channel.
	Take(*engine.Call)
	// Leave says that a call's caller has gone at a clock time.
	Leave(c *engine.Call, at time.Duration)
}

// Front serves callers: exactly one answer for each request taken.
type Front struct {
	clock    clock.Clock
	service  Service
	callers  *Callers
	draining atomic.Bool // unready
	closing  atomic.Bool // each answer closes its connection
	server   *http.Server
	advice   time.Duration // when to come back after a refusal for want of descriptors
}

// NewFront returns a Front that serves nobody before Serve. advice is when to come back after a refusal for
// want of descriptors.
func NewFront(c clock.Clock, callers *Callers, service Service, advice time.Duration, log *slog.Logger) *Front {
	f := &Front{clock: c, service: service, callers: callers, advice: advice}
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

// Serve accepts callers until the listener fails or is closed, and returns its error.
func (f *Front) Serve(ln net.Listener) error { return f.server.Serve(callerListener{ln, f.callers}) }

// Unready has the health answer say from now on that no callers should be sent here.
func (f *Front) Unready() { f.draining.Store(true) }

// Close has each answer from now on close its connection.
func (f *Front) Close() { f.closing.Store(true) }

// health tells the front whether to send callers here.
func (f *Front) health(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead || r.ContentLength != 0:
		http.Error(w, "only GET is served", http.StatusMethodNotAllowed)
		return
	case f.draining.Load():
	case !f.service.Ready():
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
	if !f.closing.Load() {
		w.Header().Del("Connection")
	}
	if !f.callers.open(connOf(r.Context())) {
		f.write(w, engine.Answer{Kind: engine.Refused, RetryAfter: f.advice})
		return
	}
	f.service.Take(c)
	select {
	case a := <-c.Answer():
		f.write(w, a)
	case <-r.Context().Done():
		f.service.Leave(c, f.clock.Now())
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
func (f *Front) readCall(w http.ResponseWriter, r *http.Request) (*engine.Call, error) {
	c := engine.NewCall(r.Header.Get("X-Request-Id"), engine.Request{Method: r.Method, Target: r.RequestURI,
		Key: r.Header.Get("Idempotency-Key"), ContentType: r.Header.Get("Content-Type")})
	if err := f.check(c, r); err != nil {
		return nil, err
	}
	if r.ContentLength > 0 {
		var err error
		if c.Request.Body, err = io.ReadAll(r.Body); err != nil {
			return nil, &rejected{http.StatusBadRequest, "the body is not whole"}
		}
	}
	c.At = f.clock.Now()
	c.Deadline += c.At
	return c, nil
}

// check tells what is wrong with a request's head, and fills in its class and how long it may take. A
// class that does not exist would be sent on as an unsafe one, only for the servers to turn it away,
// and the module would take that for their ill health.
func (f *Front) check(c *engine.Call, r *http.Request) error {
	path, _, _ := strings.Cut(c.Request.Target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, known := f.service.Class(name)
	wait, err := parseWait(r.Header["X-Deadline"])
	keyed := len(r.Header["Idempotency-Key"])
	switch {
	case c.Request.Method != http.MethodGet && c.Request.Method != http.MethodPost:
		return &rejected{http.StatusMethodNotAllowed, "only GET and POST are served"}
	case len(r.TransferEncoding) > 0:
		// net/http drops a Content-Length beside it, so a request hidden in the body would pass on
		// unseen. The protocol has lengths only.
		return &rejected{http.StatusLengthRequired, "a body needs a Content-Length and no transfer coding"}
	case !strings.HasPrefix(path, "/") || !known:
		return &rejected{http.StatusNotFound, "the path names no class"}
	case (class.Effect == woodpick.Safe) != (c.Request.Method == http.MethodGet):
		return &rejected{http.StatusMethodNotAllowed, "the class is not asked for by this method"}
	case keyed > 1 || (keyed == 1) != (class.Effect == woodpick.Keyed) || keyed == 1 && c.Request.Key == "":
		return &rejected{http.StatusBadRequest, "Idempotency-Key does not fit the class, or comes twice"}
	case c.ID == "" || len(c.ID) > maxID || len(r.Header["X-Request-Id"]) > 1:
		return &rejected{http.StatusBadRequest, "X-Request-Id is missing, too long, or comes twice"}
	case err != nil:
		return &rejected{http.StatusBadRequest, err.Error()}
	case wait > deadlineSlack*class.Deadline:
		return &rejected{http.StatusBadRequest, "X-Deadline is far beyond the class's"}
	case r.ContentLength > maxBody:
		return &rejected{http.StatusRequestEntityTooLarge, "the body is too long"}
	case r.ContentLength > 0 && c.Request.Method == http.MethodGet:
		return &rejected{http.StatusBadRequest, "GET has no body"}
	}
	c.Class, c.Deadline = name, wait
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
