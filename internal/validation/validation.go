// Package validation checks client requests independently of their protocol and submits them: it checks a request's head
// against the current routing snapshot, and each request is submitted under a single snapshot. A request that it rejects has
// been sent to no server. The front ends read heads and bodies and write responses.
package validation

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/route"
)

// Limits of a request.
const (
	MaxBufferedBody    = 64 << 10 // bytes of a request's or a reply's body that is held in memory; longer ones are streamed
	MaxStreamedBody    = 33 << 20 // bytes of a streamed body
	maxRequestIDLength = 128
	maxDeadline        = time.Hour
	maxDeadlineFactor  = 2 // largest X-Deadline, as a multiple of the class's deadline
)

// Head is a request's head, as the front end of a protocol reads it. Header fields that must not be repeated hold all values
// received, so that a repeated field is detected.
type Head struct {
	Listener        string          // name of the listener that received the request
	Protocol        config.Protocol // protocol of the request
	Method          string
	Target          string // path and query, as received
	Host            string
	RequestIDs      []string // X-Request-Id
	Deadlines       []string // X-Deadline, in seconds
	IdempotencyKeys []string // Idempotency-Key
	ContentType     string   // Content-Type
	AmbiguousLength bool     // the end of the body can be determined in two ways
	ContentLength   int64    // of the body; negative: unknown until the body ends
	Headers         route.Headers
}

// Request is a request whose head has passed Check.
type Request struct {
	Message engine.Message
	ID      string
	Class   string
	Timeout time.Duration // how long the client waits, from the end of the request
	route   route.Request
}

// Error is the reason for rejecting a request, with the HTTP status of the response (RFC 9110 section 15).
type Error struct {
	Status int
	Reason string
}

func (r *Error) Error() string { return r.Reason }

// ErrListenerRemoved is returned if the listener of a request is no longer configured: the request is rejected and its
// connection closed.
var ErrListenerRemoved = errors.New("this listener is gone")

// Check validates a request's head and returns the request with its class and timeout. It rejects unknown classes: they would
// be forwarded as unsafe, and the balancer would take the servers' rejections of them for failures.
func Check(snapshot *dispatch.Snapshot, head *Head) (Request, error) {
	listener, exists := snapshot.Listener(head.Listener)
	if !exists || listener.Protocol != head.Protocol {
		return Request{}, ErrListenerRemoved
	}
	target := head.Target
	path, query, hasQuery := strings.Cut(head.Target, "?")
	path, pathErr := canonicalPath(path, listener.Paths)
	if listener.Paths != config.AsSentPaths {
		target = path
		if hasQuery {
			target += "?" + query
		}
	}
	className, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, classExists := snapshot.Class(className)
	timeout, err := parseDeadline(head.Deadlines)
	id, key := first(head.RequestIDs), first(head.IdempotencyKeys)
	reject := func(status int, reason string) (Request, error) { return Request{}, &Error{status, reason} }
	switch {
	case head.Method != http.MethodGet && head.Method != http.MethodPost:
		return reject(http.StatusMethodNotAllowed, "only GET and POST are served")
	case head.AmbiguousLength:
		return reject(http.StatusBadRequest, "a body has a Content-Length or a transfer coding, not both")
	case pathErr != nil:
		return reject(http.StatusBadRequest, "the path: "+pathErr.Error())
	case !strings.HasPrefix(path, "/") || !classExists:
		return reject(http.StatusNotFound, "the path names no class")
	case listener.Paths == config.AsSentPaths && !route.PathHasClass(path, className):
		return reject(http.StatusBadRequest, "the path can be read as one of another class")
	case (class.Effect == balancer.Safe) != (head.Method == http.MethodGet):
		return reject(http.StatusMethodNotAllowed, "the class is not asked for by this method")
	case len(head.IdempotencyKeys) > 1 || (len(head.IdempotencyKeys) == 1) != (class.Effect == balancer.Keyed) ||
		len(head.IdempotencyKeys) == 1 && key == "":
		return reject(http.StatusBadRequest, "Idempotency-Key does not fit the class, or comes twice")
	case id == "" || len(id) > maxRequestIDLength || len(head.RequestIDs) > 1:
		return reject(http.StatusBadRequest, "X-Request-Id is missing, too long, or comes twice")
	case err != nil:
		return reject(http.StatusBadRequest, err.Error())
	case timeout > maxDeadlineFactor*class.Deadline:
		return reject(http.StatusBadRequest, "X-Deadline is far beyond the class's")
	case head.ContentLength > MaxStreamedBody:
		return reject(http.StatusRequestEntityTooLarge, "the body is too long")
	case head.ContentLength != 0 && head.Method == http.MethodGet:
		return reject(http.StatusBadRequest, "GET has no body")
	}
	request := Request{ID: id, Class: className, Timeout: timeout,
		Message: engine.Message{Method: head.Method, Target: target, IdempotencyKey: key, ContentType: head.ContentType},
		route:   route.Request{Listener: head.Listener, Class: className, Host: head.Host, Path: path, Headers: head.Headers, HashKey: id}}
	if class.Effect == balancer.Keyed {
		request.route.HashKey = key // a retry must reach the servers that know its key
	}
	return request, nil
}

func first(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// Body is the body of a request, as far as a front end has read it.
type Body struct {
	Buffered []byte
	Rest     io.Reader         // what follows; nil: nothing
	Received *engine.Reception // of Rest
	ReadAt   time.Duration     // clock time at which the last byte of Buffered was read
}

// Submit submits a request with its body. If the snapshot under
// which its head was checked is no longer current, the head is checked again, since what is allowed may have changed. If the
// error is nil, exactly one response is sent on the request's channel.
func Submit(dispatcher *dispatch.Dispatcher, snapshot *dispatch.Snapshot, head *Head, request Request, body Body) (*engine.Request, error) {
	clientDisconnected := request.Message.ClientDisconnected
	for {
		message := &request.Message
		message.Body = body.Buffered
		message.Rest = body.Rest
		message.Received = body.Received
		message.Length = int64(len(body.Buffered))
		message.ClientDisconnected = clientDisconnected
		if body.Rest != nil {
			request.Message.Length = head.ContentLength
		}
		submitted := engine.NewRequest(request.ID, request.Message)
		submitted.Class, submitted.At, submitted.Deadline = request.Class, body.ReadAt, body.ReadAt+request.Timeout
		err := dispatcher.Dispatch(snapshot, submitted, &request.route)
		switch {
		case err == nil:
			return submitted, nil
		case errors.Is(err, dispatch.ErrNoRoute):
			return nil, &Error{http.StatusNotFound, err.Error()}
		}
		snapshot = dispatcher.Snapshot()
		if request, err = Check(snapshot, head); err != nil {
			return nil, err
		}
	}
}

// canonicalPath returns the path that determines class and route. Servers get it too, unless paths are forwarded as sent.
func canonicalPath(raw string, mode config.PathPolicy) (string, error) {
	if mode == config.AsSentPaths || !strings.HasPrefix(raw, "/") {
		return raw, nil
	}
	normalized, change, err := route.NormalizePath(raw)
	if err == nil && change == route.PathSegmentsRemoved && mode != config.NormalizePaths {
		err = fmt.Errorf("servers could read it otherwise; its plain form is %s", normalized)
	}
	return normalized, err
}

// parseDeadline parses X-Deadline: seconds in decimal digits, with or without a fraction, and none of the other forms that
// strconv accepts (signs, exponents, hexadecimal, underscores).
func parseDeadline(values []string) (time.Duration, error) {
	if len(values) != 1 {
		return 0, errors.New("X-Deadline is missing or comes twice")
	}
	if strings.Trim(values[0], "0123456789.") != "" {
		return 0, errors.New("X-Deadline is no plain number")
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	if err != nil || !(seconds > 0 && seconds <= maxDeadline.Seconds()) {
		return 0, errors.New("X-Deadline is no number or out of range")
	}
	return time.Duration(math.Round(seconds * 1e9)), nil
}

// ErrorStatus returns the HTTP status and the body of a response that does not come from a server.
func ErrorStatus(response engine.Response) (status int, text string) {
	switch response.Kind {
	case engine.Rejected:
		return http.StatusServiceUnavailable, "refused"
	case engine.Duplicate:
		return http.StatusConflict, "X-Request-Id is in use"
	}
	return http.StatusBadGateway, "failed"
}

// RetryAfter returns the value of Retry-After for a rejection, in seconds with decimals, or "" if there is none.
func RetryAfter(response engine.Response) string {
	if response.Kind != engine.Rejected || response.RetryAfter <= 0 {
		return ""
	}
	return strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', -1, 64)
}

// Result returns the result under which a completely sent response is counted.
func Result(response engine.Response) metrics.Result {
	switch response.Kind {
	case engine.Served:
		return metrics.Fulfilled
	case engine.Rejected:
		return metrics.Throttled
	}
	return metrics.Faulted
}
