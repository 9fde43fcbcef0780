package http1

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/validation"
)

// exchange holds one client request and what is needed to respond to it.
type exchange struct {
	front    *Front
	writer   http.ResponseWriter
	control  *http.ResponseController
	request  *http.Request
	conn     *clientConn
	snapshot *dispatch.Snapshot
	class    string
	rest     *bodyRest // part of the body that is read while the request is served; nil: the body was read completely
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A response that is sent before the request has been read completely closes the connection: this is cheap, and net/http
	// would otherwise wait for the rest of the body.
	w.Header().Set("Connection", "close")
	x := exchange{front: f, writer: w, control: http.NewResponseController(w), request: r, conn: connOf(r.Context())}
	ambiguousLength := x.conn.consumeHead(x.hasTransferCoding())
	if x.conn.hasEnded() { // pipelined behind a request whose response the client did not wait for
		panic(http.ErrAbortHandler)
	}
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path == "/health/ready" {
		x.serveHealth()
		return
	}
	x.serve(ambiguousLength)
}

// unservedCost is the work of a request that no server gets, in bytes of input.
const unservedCost = 4 << 10

// hasTransferCoding reports whether the request's body has a transfer coding.
func (x *exchange) hasTransferCoding() bool { return len(x.request.TransferEncoding) > 0 }

// serveHealth responds to /health/ready, which reports whether clients should be sent to this node.
func (x *exchange) serveHealth() {
	r := x.request
	if r.Method != http.MethodGet && r.Method != http.MethodHead || r.ContentLength != 0 {
		http.Error(x.writer, "only GET is served", http.StatusMethodNotAllowed)
		return
	}
	draining := x.front.notReady.Load()
	if !draining {
		x.keepAlive()
	}
	if draining || !x.front.dispatcher.Snapshot().Ready() {
		http.Error(x.writer, "not ready", http.StatusServiceUnavailable)
	}
	x.conn.unserved.Add(unservedCost)
}

// keepAlive keeps the connection open after a health response, unless the front end closes connections after each response and
// no further request was read.
func (x *exchange) keepAlive() {
	if !x.conn.mayCloseAfterResponse() || !x.front.closeAfterResponse.Load() {
		x.writer.Header().Del("Connection")
	}
}

// serve checks the request, submits it and waits for its response.
func (x *exchange) serve(ambiguousLength bool) {
	front := x.front
	if x.request.ContentLength != 0 {
		x.control.SetReadDeadline(time.Now().Add(front.bodyGrace))
	}
	x.snapshot = front.dispatcher.Snapshot()
	head := front.head(x.request, ambiguousLength)
	checked, err := validation.Check(x.snapshot, &head)
	if err != nil {
		x.reject(err)
		return
	}
	x.class = checked.Class
	var reservation *downstream.InputReservation
	if x.request.ContentLength != 0 {
		reservation = front.clients.Input().Begin(x.conn.AbortRead)
		defer reservation.Release()
	}
	body, rest, err := front.readBody(x.control, x.request, reservation)
	x.request.Trailer = nil // not forwarded, and many short fields would occupy far more memory than their bytes
	if err != nil {
		x.rejectIncomplete(err)
		return
	}
	readAt := front.clock.Now()
	if rest == nil {
		x.control.SetReadDeadline(time.Time{}) // the deadline was for reading the request
	}
	// Bytes behind a body with a transfer coding are never read: they could be a smuggled request.
	if !x.hasTransferCoding() {
		x.writer.Header().Del("Connection") // write sets it again for the last response
	}
	checked.Message.ClientDisconnected = x.conn.hasDisconnected
	front.counters.RequestStarted()
	if rest != nil {
		x.rest = rest
		defer rest.stop()
	}
	if !front.clients.BeginRequest(x.conn) {
		x.respond(&engine.Response{Kind: engine.Rejected, RetryAfter: x.snapshot.RetryAfter(), EndState: engine.EndState{Reason: engine.EndNoCapacity}})
		return
	}
	submitted, err := validation.Submit(front.dispatcher, x.snapshot, &head, checked, validation.Body{Buffered: body, Rest: rest.reader(), Received: rest.received(), ReadAt: readAt})
	if err != nil {
		x.rejectCounted(err)
		return
	}
	x.awaitResponse(submitted)
}

// awaitResponse waits for the response to a submitted request, or for its client to disconnect.
func (x *exchange) awaitResponse(submitted *engine.Request) {
	readEnded := x.conn.readEnded
	var bodyFailed <-chan struct{}
	if x.rest != nil {
		readEnded = nil // the reader of the rest of the body detects the end of the connection
		bodyFailed = x.rest.failed
	}
	select {
	case response := <-submitted.Response():
		x.respond(&response)
	case <-bodyFailed:
		x.abandonIncompleteBody(submitted)
	case <-readEnded:
		x.abandon(submitted)
	case <-x.conn.disconnected:
		x.abandon(submitted)
	case <-x.request.Context().Done():
		if x.rest != nil && !x.rest.stop() { // net/http takes a body that arrives too slowly for a disconnect
			x.abandonIncompleteBody(submitted)
			return
		}
		x.abandon(submitted)
	}
}

// abandon ends a request whose client has closed its connection or its write side: no further attempt is made. A client that
// still reads gets a failure; net/http would send an empty success.
func (x *exchange) abandon(submitted *engine.Request) {
	x.disconnect(submitted)
	x.writer.Header().Set("Connection", "close")
	response := engine.Response{Kind: engine.Failed, EndState: engine.EndState{Reason: engine.EndClientGone}}
	x.front.responses.Unserved(x.requestID(), x.class, response)
	x.write(&response)
}

// abandonIncompleteBody ends a request whose body was not received completely or in time.
func (x *exchange) abandonIncompleteBody(submitted *engine.Request) {
	x.disconnect(submitted)
	x.writer.Header().Set("Connection", "close")
	x.rejectIncomplete(x.rest.failure())
}

// rejectIncomplete responds to a request whose body was not received completely: because of its client, or because this node needs
// its memory or descriptor or is ending.
func (x *exchange) rejectIncomplete(err error) {
	if !errors.Is(err, errNoInputMemory) && !errors.Is(err, errTooBusy) && !x.conn.ReadAborted() {
		x.reject(errBodyIncomplete)
		return
	}
	x.front.responses.Refused(x.requestID(), x.class, http.StatusServiceUnavailable, engine.EndNoCapacity)
	x.write(&engine.Response{Kind: engine.Rejected, RetryAfter: x.snapshot.RetryAfter()})
}

// disconnect tells the engine that the client has disconnected, so that it starts no further attempts, and counts the
// disconnect.
func (x *exchange) disconnect(submitted *engine.Request) {
	submitted.Disconnect(x.front.clock.Now())
	x.front.counters.ClientDisconnected()
}

// head returns the head of a request for validation. net/http drops a Content-Length beside a transfer coding, so
// ambiguousLength comes from the connection.
func (f *Front) head(r *http.Request, ambiguousLength bool) validation.Head {
	return validation.Head{
		Listener:        f.listener,
		Protocol:        config.HTTP1,
		Method:          r.Method,
		Target:          originForm(r.RequestURI),
		Host:            r.Host,
		RequestIDs:      r.Header["X-Request-Id"],
		Deadlines:       r.Header["X-Deadline"],
		IdempotencyKeys: r.Header["Idempotency-Key"],
		ContentType:     r.Header.Get("Content-Type"),
		AmbiguousLength: ambiguousLength,
		ContentLength:   r.ContentLength,
		Headers:         r.Header,
	}
}

// originForm returns a request target without the scheme and authority of the absolute form (RFC 9112 section 3.2.2).
func originForm(target string) string {
	const scheme = "http://"
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return target
	}
	rest := target[len(scheme):]
	pathOrQuery := strings.IndexAny(rest, "/?")
	switch {
	case pathOrQuery < 0:
		return "/"
	case rest[pathOrQuery] == '?':
		return "/" + rest[pathOrQuery:]
	}
	return rest[pathOrQuery:]
}
