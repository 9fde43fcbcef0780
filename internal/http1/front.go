// Package http1 is the server side of HTTP/1.1 (RFC 9110, RFC 9112): it reads clients' requests, bounds what a client may
// make the node wait for or hold, and gives exactly one response to each request that it takes. What is in a request is
// checked by package validation; what becomes of it is the engine's; servers are package upstream's.
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
	counters   *metrics.Recorder
	draining   atomic.Bool   // unready
	closing    atomic.Bool   // each answer closes its connection
	grace      time.Duration // by which a body may be behind the least rate
	totalAhead atomic.Int64  // bytes that were read ahead of requests that are served
	server     *http.Server
}

// NewFront returns a Front that serves nobody before Serve. Its clients' connections are in the set; the dispatcher gives the
// routing snapshot under which each request is handled.
func NewFront(listener string, c clock.Clock, clients *downstream.Set, dispatcher *dispatch.Dispatcher, counters *metrics.Recorder, log *slog.Logger) *Front {
	f := &Front{
		listener:   listener,
		clock:      c,
		dispatcher: dispatcher,
		clients:    clients,
		counters:   counters,
		grace:      bodyGrace,
	}
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
// error. Which failures of accept are temporary is the listener's to know.
func (f *Front) Serve(ln net.Listener) error {
	return f.server.Serve(clientListener{ln, f.clients, &f.totalAhead})
}

// SetReady says what GET /health/ready answers from now on: whether clients should be sent here.
func (f *Front) SetReady(ready bool) { f.draining.Store(!ready) }

// SetClosing says whether each response from now on closes its connection.
func (f *Front) SetClosing(closing bool) { f.closing.Store(closing) }

// CloseIdle closes the connections without a request. It returns how many are left.
func (f *Front) CloseIdle() int { return f.clients.CloseIdle(f) }
