package node

import (
	"context"
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
	drainStep     = 20 * time.Millisecond
)

// frontend serves callers: exactly one answer for each request taken.
type frontend struct {
	clock    clock
	post     func(event)
	ready    func() bool
	classes  map[string]woodpick.Class
	draining atomic.Bool // unready
	closing  atomic.Bool // each answer closes its connection
	server   *http.Server
	advice   time.Duration // when to come back after a refusal for want of descriptors

	callers *callers
}

func newFrontend(cfg Config, c clock, callers *callers, post func(event), ready func() bool, log *slog.Logger) *frontend {
	f := &frontend{clock: c, post: post, ready: ready, callers: callers, classes: map[string]woodpick.Class{},
		advice: max(cfg.Settings.Tick, time.Millisecond)}
	for _, class := range cfg.Settings.Classes {
		f.classes[class.Name] = class
	}
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
	if !f.closing.Load() {
		w.Header().Del("Connection")
	}
	if !f.callers.open(connOf(r.Context())) {
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
	if f.callers.crowded() || f.closing.Load() {
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

// ending tells, from the moment that the node was told to end, until when it accepts connections, until
// when callers may go on using those that they have, and when whatever is left is answered at once.
type ending struct{ accept, serve, last time.Duration }

// drain lets the callers go, and everything taken is answered: for a while they are served as ever on the
// connections that they have, for their requests would fail elsewhere until they are sent to another node;
// then each answer closes its connection. It returns once all are gone, or with an error when ctx ends.
// http.Server.Shutdown would wait for seconds on connections that never sent a request, past SIGKILL,
// and close idle ones under a request just read.
func (f *frontend) drain(ctx context.Context, ln net.Listener, e ending) error {
	begin := f.clock.now()
	f.draining.Store(true)
	sleep(ctx, e.accept)
	ln.Close()
	for serve := max(e.serve, e.accept+quietGrace); f.clock.now()-begin < serve && f.callers.held() > 0; {
		sleep(ctx, drainStep)
	}
	f.closing.Store(true)
	for told := false; f.callers.letQuietGo() > 0; sleep(ctx, drainStep) {
		if ctx.Err() != nil {
			return fmt.Errorf("callers are left: %w", ctx.Err())
		}
		if !told && f.clock.now()-begin >= e.last {
			f.post(lastCall{})
			told = true
		}
	}
	return nil
}
