// Package http1 is the server side of HTTP/1.1 (RFC 9110, RFC 9112): it reads clients' requests, bounds what a client may
// make the node wait for or hold, and gives exactly one response to each request that it takes. What is in a request is
// checked by package validation; what becomes of it is the engine's; servers are package upstream's.
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

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/validation"
)

// Limits on what a client may make the node wait for.
const (
	headTimeout    = 2800 * time.Millisecond // for a request's head, from its connection's start or its first bytes
	idleTimeout    = 4 * time.Second         // a client that asks no more is closed
	writeTimeout   = 5 * time.Second
	maxHeaderBytes = 16 << 10
)

// Front serves clients of one listener: exactly one answer for each request taken.
type Front struct {
	listener   string // its name in the configuration
	clock      clock.Clock
	dispatcher *dispatch.Dispatcher
	clients    *downstream.Set
	counters   *metrics.Set
	draining   atomic.Bool   // unready
	closing    atomic.Bool   // each answer closes its connection
	grace      time.Duration // by which a body may be behind the least rate
	totalAhead atomic.Int64  // bytes that were read ahead of requests that are served
	server     *http.Server
}

// NewFront returns a Front that serves nobody before Serve.
func NewFront(listener string, c clock.Clock, set *downstream.Set, requests *dispatch.Dispatcher, count *metrics.Set, log *slog.Logger) *Front {
	f := &Front{listener: listener, clock: c, dispatcher: requests, clients: set, counters: count, grace: bodyGrace}
	f.server = &http.Server{
		Handler:                      f,
		ReadHeaderTimeout:            headTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    f.track,
		ConnContext:                  withConn,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return f
}

// Serve accepts clients until the listener fails, is closed or has a deadline in the past, and returns its
// error. What failures pass is the listener's to know.
func (f *Front) Serve(ln net.Listener) error {
	return f.server.Serve(clientListener{ln, f.clients, &f.totalAhead})
}

// SetReady has the health answer say from now on whether clients should be sent here.
func (f *Front) SetReady(is bool) { f.draining.Store(!is) }

// SetClosing says whether each answer from now on closes its connection.
func (f *Front) SetClosing(is bool) { f.closing.Store(is) }

// CloseQuiet closes the connections of clients that ask nothing. It returns how many are left.
func (f *Front) CloseQuiet() int { return f.clients.CloseQuiet(f) }

// health tells the front end whether to send clients here.
func (f *Front) health(w http.ResponseWriter, r *http.Request, conn *clientConn) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead || r.ContentLength != 0:
		http.Error(w, "only GET is served", http.StatusMethodNotAllowed)
		return
	case f.draining.Load():
	case !f.dispatcher.Snapshot().Ready():
		f.keepAlive(w, conn)
	default:
		f.keepAlive(w, conn)
		return
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

// keepAlive leaves a connection open behind an answer on health, unless it was to be closed.
func (f *Front) keepAlive(w http.ResponseWriter, conn *clientConn) {
	if may, _ := conn.isLast(); !may || !f.closing.Load() {
		w.Header().Del("Connection")
	}
}

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Whatever is answered before the request has been read completely closes the connection: cheap, and
	// net/http would otherwise wait for the rest of a body.
	w.Header().Set("Connection", "close")
	conn := connOf(r.Context())
	coded := len(r.TransferEncoding) > 0
	unframed := conn.takeHead(coded)
	if conn.hasEnded() { // what a client had sent behind a request that it did not wait for
		panic(http.ErrAbortHandler)
	}
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path == "/health/ready" {
		f.health(w, r, conn)
		return
	}
	rc := http.NewResponseController(w)
	if r.ContentLength != 0 {
		rc.SetReadDeadline(time.Now().Add(f.grace))
	}
	view := f.dispatcher.Snapshot()
	head := f.head(r, unframed)
	in, err := validation.Check(view, &head)
	if err != nil {
		f.reject(w, conn, view, err)
		return
	}
	body, rest, err := f.readBody(rc, r)
	if err != nil {
		f.reject(w, conn, view, errBodyIncomplete)
		return
	}
	at := f.clock.Now()
	rc.SetReadDeadline(time.Time{}) // it was for reading the request
	if !coded {                     // what is behind such a body is read by nobody, whoever put it there
		w.Header().Del("Connection") // write tells whether the answer is the last
	}
	in.Request.Gone = conn.hasDisconnected
	f.counters.Begin()
	var (
		more io.Reader
		cut  chan struct{}
	)
	gone := conn.ended
	if rest != nil {
		rc.EnableFullDuplex()                    // the answer may come while the body still does
		more, cut, gone = rest, rest.failed, nil // whose reader meets the connection's end
		defer rest.end()
	}
	if !f.clients.Begin(conn) {
		f.respond(w, r, in.Class, engine.Response{Kind: engine.Rejected, RetryAfter: view.RetryAfter()}, rest)
		return
	}
	c, err := validation.Take(f.dispatcher, view, &head, in, body, more, at)
	if err != nil {
		w.Header().Set("Connection", "close")
		f.reject(w, conn, view, err)
		f.counters.End(in.Class, metrics.Faulted)
		if rest != nil && !rest.end() {
			rc.Flush()
			rest.discard()
		}
		return
	}
	select {
	case a := <-c.Response():
		f.respond(w, r, in.Class, a, rest)
	case <-cut:
		f.disconnect(c)
		w.Header().Set("Connection", "close")
		f.reject(w, conn, view, errBodyIncomplete)
	case <-gone:
		f.abandon(w, conn, c)
	case <-conn.disconnected:
		f.abandon(w, conn, c)
	case <-r.Context().Done():
		if rest != nil && !rest.end() { // net/http takes a body that comes too slowly for its client's end
			f.disconnect(c)
			w.Header().Set("Connection", "close")
			f.reject(w, conn, view, errBodyIncomplete)
			return
		}
		f.abandon(w, conn, c)
	}
}

// abandon ends a request whose client has closed its connection, or its sending: nothing more is begun for it. One that
// still reads is told that it failed; net/http would tell it of an empty success.
func (f *Front) abandon(w http.ResponseWriter, conn *clientConn, c *engine.Request) {
	f.disconnect(c)
	w.Header().Set("Connection", "close")
	f.write(w, conn, engine.Response{Kind: engine.Failed})
}

// disconnect has a request end for a client that has gone.
func (f *Front) disconnect(c *engine.Request) {
	c.Disconnect(f.clock.Now())
	f.counters.Left()
}

// errBodyIncomplete answers a client that has not sent its body whole, or not within its time.
var errBodyIncomplete = &validation.Rejected{Status: http.StatusBadRequest, Reason: "the body is not whole, or came too slowly"}

// respond gives a request its answer, also where the rest of its body has not come yet.
func (f *Front) respond(w http.ResponseWriter, r *http.Request, class string, a engine.Response, rest *bodyRest) {
	early := rest != nil && !rest.end()
	if early {
		w.Header().Set("Connection", "close")
	}
	conn := connOf(r.Context())
	if err := f.write(w, conn, a); err != nil {
		f.counters.End(class, metrics.Faulted)
		if !r.ProtoAtLeast(1, 1) {
			conn.reset() // its end alone would look like the answer's
		}
		panic(http.ErrAbortHandler) // so that the client can tell that the answer is not complete
	}
	f.counters.End(class, validation.Result(a))
	if early {
		http.NewResponseController(w).Flush()
		rest.discard()
	}
}

// head is what a request's head says. net/http drops a Content-Length beside a transfer coding, so that the
// connection has to tell of it.
func (f *Front) head(r *http.Request, unframed bool) validation.Head {
	return validation.Head{Listener: f.listener, Protocol: config.HTTP1, Method: r.Method, Target: originForm(r.RequestURI), Host: r.Host,
		ID: r.Header["X-Request-Id"], Wait: r.Header["X-Deadline"], Key: r.Header["Idempotency-Key"],
		Type: r.Header.Get("Content-Type"), Unframed: unframed, Length: r.ContentLength, Headers: r.Header}
}

// originForm is a request's target without the authority that the absolute form has before it (RFC 9112 section
// 3.2.2).
func originForm(target string) string {
	const scheme = "http://"
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return target
	}
	after := target[len(scheme):]
	i := strings.IndexAny(after, "/?")
	switch {
	case i < 0:
		return "/"
	case after[i] == '?':
		return "/" + after[i:]
	}
	return after[i:]
}

// reject answers a request that can't be used, or whose listener has gone, with its connection's end.
func (f *Front) reject(w http.ResponseWriter, conn *clientConn, view *dispatch.Snapshot, err error) {
	var no *validation.Rejected
	if !errors.As(err, &no) {
		f.write(w, conn, engine.Response{Kind: engine.Rejected, RetryAfter: view.RetryAfter()})
		return
	}
	http.Error(w, no.Reason, no.Status)
}

// isLast says that an answer ends its connection. What was read behind its request is answered first, or it would be
// lost, unless that is too much.
func (f *Front) isLast(conn *clientConn, a engine.Response) bool {
	may, must := conn.isLast()
	return must || may && (f.clients.NearLimit() || f.closing.Load() || a.Elsewhere)
}

// write gives the answer to the client. With an error it was begun and is not complete.
func (f *Front) write(w http.ResponseWriter, conn *clientConn, a engine.Response) error {
	rc := http.NewResponseController(w)
	rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	if f.isLast(conn, a) {
		h.Set("Connection", "close")
	}
	if a.Settled {
		h.Set(validation.HeaderSettled, "1")
	}
	if a.Kind == engine.Served {
		if a.Reply.ContentType == "" {
			h["Content-Type"] = nil // none, rather than a guess
		} else {
			h.Set("Content-Type", a.Reply.ContentType)
		}
		if a.Reply.Rest != nil {
			if a.Reply.Length >= 0 {
				h.Set("Content-Length", strconv.FormatInt(a.Reply.Length, 10))
			}
			return streamReply(w, rc, a.Reply)
		}
		h.Set("Content-Length", strconv.Itoa(len(a.Reply.Body)))
		w.Write(a.Reply.Body)
		return nil
	}
	status, words := validation.Text(a)
	if a.Kind == engine.Rejected && a.NotRun && a.Why != "" { // to a partner's gateway, which must know that nothing ran
		h.Set(validation.HeaderNotRun, "1")
		h.Set(validation.HeaderRejectedBy, a.Why)
	}
	if retry := validation.RetryAfter(a); retry != "" {
		h.Set("Retry-After", retry)
	}
	http.Error(w, words, status)
	return nil
}
