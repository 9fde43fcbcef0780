package fastcgi

import (
	"errors"
	"fmt"
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
	"damsontrestle/internal/validation"
)

// DefaultConnLimits returns the limits of a web server's connection.
func DefaultConnLimits() ConnLimits {
	return ConnLimits{Requests: 64, Params: PairLimits{Bytes: 16 << 10, Count: 128}}
}

// Front serves the web servers of one listener in the Responder role. Each accepted request gets exactly one response.
type Front struct {
	listener        string // its name in the configuration
	clock           clock.Clock
	dispatcher      *dispatch.Dispatcher
	clients         *downstream.Set
	counters        *metrics.Recorder
	responses       *responselog.Log
	log             *slog.Logger
	limits          ConnLimits
	unreadTimeout   time.Duration
	progressTimeout time.Duration // for the next bytes of an incomplete request
	draining        atomic.Bool
	closing         atomic.Bool
}

// NewFront returns a Front for a listener. It accepts no connections before Serve is called.
func NewFront(listener string, c clock.Clock, clients *downstream.Set, dispatcher *dispatch.Dispatcher, counters *metrics.Recorder, log *slog.Logger) *Front {
	return &Front{listener: listener, clock: c, dispatcher: dispatcher, clients: clients, counters: counters, responses: responselog.New(log, counters), log: log, limits: DefaultConnLimits(), unreadTimeout: unreadTimeout, progressTimeout: progressTimeout}
}

// Serve accepts web servers until the listener fails, is closed or has a deadline in the past, and returns its
// error. The listener decides which failures of accept are temporary.
func (f *Front) Serve(ln net.Listener) error {
	for {
		c, err := f.clients.Accept(ln)
		if err != nil {
			return err
		}
		go f.serve(c)
	}
}

// SetReady sets whether /health/ready reports that clients should be sent here.
func (f *Front) SetReady(ready bool) { f.draining.Store(!ready) }

// SetClosing sets whether connections close after the response to their last open request.
func (f *Front) SetClosing(closing bool) { f.closing.Store(closing) }

// CloseIdle closes the connections without a request. It returns how many are left.
func (f *Front) CloseIdle() int { return f.clients.CloseIdle(f) }

// respondHealth answers a readiness check.
func (c *client) respondHealth(req *request) {
	switch f := c.front; {
	case req.head.Method != http.MethodGet && req.head.Method != http.MethodHead || req.head.ContentLength > 0:
		c.respondText(req, textResponse{http.StatusMethodNotAllowed, "only GET is served", ""})
	case f.draining.Load() || !f.dispatcher.Snapshot().Ready():
		c.respondText(req, textResponse{http.StatusServiceUnavailable, "not ready", ""})
	default:
		c.respondText(req, textResponse{http.StatusOK, "ready", ""})
	}
}

// textResponse is a response that the node itself generates.
type textResponse struct {
	status     int
	text       string
	retryAfter string // empty: no Retry-After header
}

// Errors of invalid bodies.
var (
	errTooLong        = &validation.Error{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too long"}
	errLengthMismatch = &validation.Error{Status: http.StatusBadRequest, Reason: "STDIN does not have the bytes that CONTENT_LENGTH tells"}
)

// errorResponse returns the response to a request that is invalid, or whose listener was removed.
func errorResponse(err error) textResponse {
	var rejected *validation.Error
	if errors.As(err, &rejected) {
		return textResponse{rejected.Status, rejected.Reason, ""}
	}
	return textResponse{http.StatusServiceUnavailable, err.Error(), "1"}
}

// responseHeader returns the header of a response (RFC 3875 section 6.3). A negative length is omitted.
func responseHeader(status int, contentType string, length int64, retryAfter string) []byte {
	text := fmt.Appendf(nil, "Status: %d %s\r\n", status, http.StatusText(status))
	if contentType != "" {
		text = fmt.Appendf(text, "Content-Type: %s\r\n", contentType)
	}
	if length >= 0 {
		text = fmt.Appendf(text, "Content-Length: %d\r\n", length)
	}
	if retryAfter != "" {
		text = fmt.Appendf(text, "Retry-After: %s\r\n", retryAfter)
	}
	return append(text, "\r\n"...)
}
