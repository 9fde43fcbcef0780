package http1

import (
	"net/http"
	"strings"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/validation"
)

// exchange is one request that a client has sent, with all that its response takes.
type exchange struct {
	front    *Front
	writer   http.ResponseWriter
	control  *http.ResponseController
	request  *http.Request
	conn     *clientConn
	snapshot *dispatch.Snapshot
	class    string
	rest     *bodyRest // of the body, which is read while the request is served; nil: it was read completely
}

// ServeHTTP implements http.Handler: it gives one request its response.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Whatever is answered before the request has been read completely closes the connection: cheap, and
	// net/http would otherwise wait for the rest of a body.
	w.Header().Set("Connection", "close")
	x := exchange{front: f, writer: w, control: http.NewResponseController(w), request: r, conn: connOf(r.Context())}
	unframed := x.conn.takeHead(x.isCoded())
	if x.conn.hasEnded() { // the client had sent this behind a request whose response it did not wait for
		panic(http.ErrAbortHandler)
	}
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path == "/health/ready" {
		x.serveHealth()
		return
	}
	x.serve(unframed)
}

// isCoded reports whether the request's body has a transfer coding.
func (x *exchange) isCoded() bool { return len(x.request.TransferEncoding) > 0 }

// serveHealth answers whether clients should be sent here.
func (x *exchange) serveHealth() {
	r := x.request
	if r.Method != http.MethodGet && r.Method != http.MethodHead || r.ContentLength != 0 {
		http.Error(x.writer, "only GET is served", http.StatusMethodNotAllowed)
		return
	}
	draining := x.front.draining.Load()
	if !draining {
		x.keepAlive()
	}
	if draining || !x.front.dispatcher.Snapshot().Ready() {
		http.Error(x.writer, "not ready", http.StatusServiceUnavailable)
	}
}

// keepAlive leaves the connection open behind a response on health, unless it was to be closed.
func (x *exchange) keepAlive() {
	if may, _ := x.conn.isLast(); !may || !x.front.closing.Load() {
		x.writer.Header().Del("Connection")
	}
}

// serve checks the request, has it taken and waits for its response.
func (x *exchange) serve(unframed bool) {
	f := x.front
	if x.request.ContentLength != 0 {
		x.control.SetReadDeadline(time.Now().Add(f.grace))
	}
	x.snapshot = f.dispatcher.Snapshot()
	head := f.head(x.request, unframed)
	checked, err := validation.Check(x.snapshot, &head)
	if err != nil {
		x.reject(err)
		return
	}
	body, rest, err := f.readBody(x.control, x.request)
	if err != nil {
		x.reject(errBodyIncomplete)
		return
	}
	at := f.clock.Now()
	x.control.SetReadDeadline(time.Time{}) // it was for reading the request
	if !x.isCoded() {                      // what is behind a coded body is read by nobody, whoever put it there
		x.writer.Header().Del("Connection") // write says whether the response is the last
	}
	checked.Request.ClientDisconnected = x.conn.hasDisconnected
	x.class = checked.Class
	f.counters.RequestStarted()
	if rest != nil {
		x.rest = rest
		x.control.EnableFullDuplex() // the response may come while the body still does
		defer rest.end()
	}
	if !f.clients.BeginRequest(x.conn) {
		x.respond(engine.Response{Kind: engine.Rejected, RetryAfter: x.snapshot.RetryAfter()})
		return
	}
	taken, err := validation.Take(f.dispatcher, x.snapshot, &head, checked, body, rest.reader(), at)
	if err != nil {
		x.rejectTaken(err)
		return
	}
	x.await(taken)
}

// await waits for the response to a request that was taken, or for its client's end.
func (x *exchange) await(taken *engine.Request) {
	ended := x.conn.ended
	var bodyFailed <-chan struct{}
	if x.rest != nil {
		ended = nil // the reader of the rest meets the connection's end
		bodyFailed = x.rest.failed
	}
	select {
	case response := <-taken.Response():
		x.respond(response)
	case <-bodyFailed:
		x.abandonBody(taken)
	case <-ended:
		x.abandon(taken)
	case <-x.conn.disconnected:
		x.abandon(taken)
	case <-x.request.Context().Done():
		if x.rest != nil && !x.rest.end() { // net/http takes a body that comes too slowly for its client's end
			x.abandonBody(taken)
			return
		}
		x.abandon(taken)
	}
}

// abandon ends a request whose client has closed its connection, or its sending: nothing more is begun for it. One that
// still reads is told that it failed; net/http would tell it of an empty success.
func (x *exchange) abandon(taken *engine.Request) {
	x.disconnect(taken)
	x.writer.Header().Set("Connection", "close")
	x.write(engine.Response{Kind: engine.Failed})
}

// abandonBody ends a request whose client has not sent its body completely, or not within its time.
func (x *exchange) abandonBody(taken *engine.Request) {
	x.disconnect(taken)
	x.writer.Header().Set("Connection", "close")
	x.reject(errBodyIncomplete)
}

// disconnect has nothing more begun for a request, whose client nobody answers for any more.
func (x *exchange) disconnect(taken *engine.Request) {
	taken.Disconnect(x.front.clock.Now())
	x.front.counters.ClientDisconnected()
}

// head returns what a request's head says. net/http drops a Content-Length beside a transfer coding, so that unframed comes
// from the connection.
func (f *Front) head(r *http.Request, unframed bool) validation.Head {
	return validation.Head{
		Listener: f.listener,
		Protocol: config.HTTP1,
		Method:   r.Method,
		Target:   originForm(r.RequestURI),
		Host:     r.Host,
		ID:       r.Header["X-Request-Id"],
		Wait:     r.Header["X-Deadline"],
		Key:      r.Header["Idempotency-Key"],
		Type:     r.Header.Get("Content-Type"),
		Unframed: unframed,
		Length:   r.ContentLength,
		Headers:  r.Header,
	}
}

// originForm returns a request's target without the authority that the absolute form has before it (RFC 9112 section
// 3.2.2).
func originForm(target string) string {
	const scheme = "http://"
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return target
	}
	after := target[len(scheme):]
	pathOrQuery := strings.IndexAny(after, "/?")
	switch {
	case pathOrQuery < 0:
		return "/"
	case after[pathOrQuery] == '?':
		return "/" + after[pathOrQuery:]
	}
	return after[pathOrQuery:]
}
