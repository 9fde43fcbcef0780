// Package http1 implements the server side of HTTP/1.1 (RFC 9110, RFC 9112): it reads client requests, limits how long a
// client can make the node wait and how much memory it can occupy, and sends exactly one response to each accepted request.
// Package validation checks requests, package engine decides which servers get them, and package upstream connects to servers.
package http1

import (
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/responselog"
)

// Limits on how long a client can make the node wait, and on the size of a request's head.
const (
	headTimeout    = 2800 * time.Millisecond // for a request's head, from the start of the connection or the first bytes
	idleTimeout    = 4 * time.Second         // for the next request
	writeTimeout   = 5 * time.Second
	maxHeaderBytes = 16 << 10
)

// Front is the front end of one listener. It sends exactly one response to each accepted request.
type Front struct {
	listener           string // name of the listener in the configuration
	clock              clock.Clock
	dispatcher         *dispatch.Dispatcher
	clients            *downstream.Set
	counters           *metrics.Recorder
	responses          *responselog.Log
	notReady           atomic.Bool   // GET /health/ready reports that no clients should be sent here
	closeAfterResponse atomic.Bool   // each response closes its connection
	bodyGrace          time.Duration // how far a body may lag behind the minimum rate
	uploadQueueing     time.Duration // longest time for which a streamed body waits for other transfers in all
	writeStall         time.Duration // longest time in which a client takes nothing of a streamed response
	totalReadAhead     atomic.Int64  // bytes read ahead by all connections while requests are served
	server             *http.Server
}

// NewFront returns a Front, which accepts no clients before Serve is called. It registers client connections in the set, and
// handles each request under the dispatcher's current routing snapshot.
func NewFront(listener string, c clock.Clock, clients *downstream.Set, dispatcher *dispatch.Dispatcher, counters *metrics.Recorder, log *slog.Logger) *Front {
	f := &Front{
		listener:   listener,
		clock:      c,
		dispatcher: dispatcher,
		clients:    clients,
		counters:   counters,
		responses:  responselog.New(log, counters),
		bodyGrace:  bodyGrace,
		writeStall: maxWriteStall,

		uploadQueueing: maxUploadQueueing,
	}
	f.server = &http.Server{
		Handler:                      f,
		ReadHeaderTimeout:            headTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    f.trackConnState,
		ConnContext:                  withConn,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return f
}

// Serve accepts clients until the listener fails, is closed or has a deadline in the past, and returns the listener's error.
// The listener decides which accept errors are temporary.
func (f *Front) Serve(ln net.Listener) error {
	return f.server.Serve(clientListener{ln, f.clients, &f.totalReadAhead})
}

// SetReady sets whether GET /health/ready reports that clients should be sent to this node.
func (f *Front) SetReady(ready bool) { f.notReady.Store(!ready) }

// SetClosing sets whether each response closes its connection.
func (f *Front) SetClosing(closing bool) { f.closeAfterResponse.Store(closing) }

// CloseIdle closes the connections without an open request and returns the number of connections left.
func (f *Front) CloseIdle() int { return f.clients.CloseIdle(f) }
