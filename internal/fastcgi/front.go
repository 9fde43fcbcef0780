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
	"damsontrestle/internal/validation"
)

// DefaultBounds are what a web server's connection may hold.
func DefaultBounds() Bounds {
	return Bounds{Requests: 64, Params: Limits{Bytes: 16 << 10, Count: 128}}
}

// Front serves web servers of one listener, as a responder: exactly one answer for each request taken.
type Front struct {
	listener string // its name in the configuration
	clock    clock.Clock
	calls    *dispatch.Dispatcher
	callers  *downstream.Set
	figures  *metrics.Recorder
	log      *slog.Logger
	bounds   Bounds
	unread   time.Duration
	part     time.Duration // for the next bytes of a request that has begun
	unready  atomic.Bool
	closing  atomic.Bool
}

// NewFront returns a Front that serves nobody before Serve.
func NewFront(listener string, c clock.Clock, set *downstream.Set, requests *dispatch.Dispatcher, count *metrics.Recorder, log *slog.Logger) *Front {
	return &Front{listener: listener, clock: c, calls: requests, callers: set, figures: count, log: log, bounds: DefaultBounds(), unread: unreadMost, part: partTimeout}
}

// Serve accepts web servers until the listener fails, is closed or has a deadline in the past, and returns its
// error. What failures pass is the listener's to know.
func (f *Front) Serve(ln net.Listener) error {
	for {
		c, err := f.callers.Accept(ln)
		if err != nil {
			return err
		}
		go f.serve(c)
	}
}

// SetReady has the health answer say from now on whether clients should be sent here.
func (f *Front) SetReady(is bool) { f.unready.Store(!is) }

// SetClosing says whether each connection from now on ends with its last answer.
func (f *Front) SetClosing(is bool) { f.closing.Store(is) }

// CloseQuiet closes the connections on which nothing is asked. It returns how many are left.
func (f *Front) CloseQuiet() int { return f.callers.CloseQuiet(f) }

// health tells whoever asks whether to send clients here.
func (c *client) health(r *call) {
	switch f := c.front; {
	case r.head.Method != http.MethodGet && r.head.Method != http.MethodHead || r.head.ContentLength > 0:
		c.say(r, said{http.StatusMethodNotAllowed, "only GET is served", ""})
	case f.unready.Load() || !f.calls.Snapshot().Ready():
		c.say(r, said{http.StatusServiceUnavailable, "not ready", ""})
	default:
		c.say(r, said{http.StatusOK, "ready", ""})
	}
}

// said is an answer that no server made.
type said struct {
	status     int
	words      string
	retryAfter string // empty: not said
}

// Reasons to turn a body away.
var (
	errTooLong = &validation.Error{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too long"}
	errLength  = &validation.Error{Status: http.StatusBadRequest, Reason: "STDIN does not have the bytes that CONTENT_LENGTH tells"}
)

// wordsOf are for a request that can't be used, or whose listener has gone.
func wordsOf(err error) said {
	var no *validation.Error
	if errors.As(err, &no) {
		return said{no.Status, no.Reason, ""}
	}
	return said{http.StatusServiceUnavailable, err.Error(), "1"}
}

// headText is an answer's head (RFC 3875 section 6.3). A negative length is not told.
func headText(status int, contentType string, length int64, retryAfter string) []byte {
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
