// Package validation reads what clients ask for, whatever protocol they ask in: it checks a request's head against
// the view of now and has it taken under one view whole. What it rejects has been sent to no server. The
// front ends bring heads and bodies in, and words to answers.
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

// Bounds of a request.
const (
	MaxBody       = 64 << 10 // bytes of a request's body or an answer's that are kept; what is longer passes through
	MaxLength     = 33 << 20 // bytes of a body that passes through
	maxID         = 128
	maxWait       = time.Hour
	deadlineSlack = 2 // times the class's deadline that a client may say it waits
)

// Head is a request's head, as a protocol's front reads it. Fields that may come once hold all values that
// came, so that one that came twice is seen.
type Head struct {
	Listener string          // by whose name it came
	Protocol config.Protocol // that it came in
	Method   string
	Target   string // path and query, as they came
	Host     string
	ID       []string // X-Request-Id
	Wait     []string // X-Deadline, in seconds
	Key      []string // Idempotency-Key
	Type     string   // Content-Type
	Unframed bool     // where the body ends could be read in two ways
	Length   int64    // of the body; negative: not known before its end
	Headers  route.Headers
}

// Request is a request whose head has passed.
type Request struct {
	Request engine.Message
	ID      string
	Class   string
	Wait    time.Duration // how long its client waits, from the request's end
	route   route.Request
}

// Rejected says why a request can't be used, with the status that HTTP has for it (RFC 9110 section 15).
type Rejected struct {
	Status int
	Reason string
}

func (r *Rejected) Error() string { return r.Reason }

// ErrGone says that the listener that a request came by is no longer there: it is refused, and its connection
// closed.
var ErrGone = errors.New("this listener is gone")

// Check tells what is wrong with a request's head, and reads its class and how long it may take. A class that
// does not exist would be sent on as an unsafe one, only for the servers to turn it away, and the module would
// take that for their ill health.
func Check(view *dispatch.Snapshot, h *Head) (Request, error) {
	l, listening := view.Listener(h.Listener)
	if !listening || l.Protocol != h.Protocol {
		return Request{}, ErrGone
	}
	target := h.Target
	path, query, asked := strings.Cut(h.Target, "?")
	path, misread := readPath(path, l.Paths)
	if l.Paths != config.AsSentPaths {
		target = path
		if asked {
			target += "?" + query
		}
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, known := view.Class(name)
	wait, err := parseWait(h.Wait)
	id, key := first(h.ID), first(h.Key)
	no := func(status int, reason string) (Request, error) { return Request{}, &Rejected{status, reason} }
	switch {
	case h.Method != http.MethodGet && h.Method != http.MethodPost:
		return no(http.StatusMethodNotAllowed, "only GET and POST are served")
	case h.Unframed:
		return no(http.StatusBadRequest, "a body has a Content-Length or a transfer coding, not both")
	case misread != nil:
		return no(http.StatusBadRequest, "the path: "+misread.Error())
	case !strings.HasPrefix(path, "/") || !known:
		return no(http.StatusNotFound, "the path names no class")
	case l.Paths == config.AsSentPaths && !route.PathHasClass(path, name):
		return no(http.StatusBadRequest, "the path can be read as one of another class")
	case (class.Effect == balancer.Safe) != (h.Method == http.MethodGet):
		return no(http.StatusMethodNotAllowed, "the class is not asked for by this method")
	case len(h.Key) > 1 || (len(h.Key) == 1) != (class.Effect == balancer.Keyed) || len(h.Key) == 1 && key == "":
		return no(http.StatusBadRequest, "Idempotency-Key does not fit the class, or comes twice")
	case id == "" || len(id) > maxID || len(h.ID) > 1:
		return no(http.StatusBadRequest, "X-Request-Id is missing, too long, or comes twice")
	case err != nil:
		return no(http.StatusBadRequest, err.Error())
	case wait > deadlineSlack*class.Deadline:
		return no(http.StatusBadRequest, "X-Deadline is far beyond the class's")
	case h.Length > MaxLength:
		return no(http.StatusRequestEntityTooLarge, "the body is too long")
	case h.Length != 0 && h.Method == http.MethodGet:
		return no(http.StatusBadRequest, "GET has no body")
	}
	r := Request{ID: id, Class: name, Wait: wait, Request: engine.Message{Method: h.Method, Target: target, IdempotencyKey: key, ContentType: h.Type},
		route: route.Request{Listener: h.Listener, Class: name, Host: h.Host, Path: path, Headers: h.Headers, HashKey: id}}
	if class.Effect == balancer.Keyed {
		r.route.HashKey = key // a repeat must meet the servers that know its key
	}
	return r, nil
}

func first(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// Take has a request taken whose last byte was read at a clock time, or whose body goes on with rest. One whose head was checked under a view
// that is not that of now is looked at again: what it may do can have changed meanwhile. With no error, exactly
// one answer comes on the request's channel.
func Take(requests *dispatch.Dispatcher, view *dispatch.Snapshot, h *Head, r Request, body []byte, rest io.Reader, at time.Duration) (*engine.Request, error) {
	gone := r.Request.ClientDisconnected
	for {
		r.Request.Body, r.Request.Rest, r.Request.Length, r.Request.ClientDisconnected = body, rest, int64(len(body)), gone
		if rest != nil {
			r.Request.Length = h.Length
		}
		c := engine.NewRequest(r.ID, r.Request)
		c.Class, c.At, c.Deadline = r.Class, at, at+r.Wait
		err := requests.Dispatch(view, c, &r.route)
		switch {
		case err == nil:
			return c, nil
		case errors.Is(err, dispatch.ErrNoRoute):
			return nil, &Rejected{http.StatusNotFound, err.Error()}
		}
		view = requests.Snapshot()
		if r, err = Check(view, h); err != nil {
			return nil, err
		}
	}
}

// readPath is the path that class and routes are told by, and unless paths pass as sent, that servers get.
func readPath(raw string, how config.PathPolicy) (string, error) {
	if how == config.AsSentPaths || !strings.HasPrefix(raw, "/") {
		return raw, nil
	}
	plain, reading, err := route.NormalizePath(raw)
	if err == nil && reading == route.PathSegmentsRemoved && how != config.NormalizePaths {
		err = fmt.Errorf("servers could read it otherwise; its plain form is %s", plain)
	}
	return plain, err
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

// Text are the status and the text of an answer that no server made.
func Text(a engine.Response) (status int, text string) {
	switch a.Kind {
	case engine.Rejected:
		return http.StatusServiceUnavailable, "refused"
	case engine.Duplicate:
		return http.StatusConflict, "X-Request-Id is in use"
	}
	return http.StatusBadGateway, "failed"
}

// RetryAfter is when to come back after a refusal, in seconds with decimals; empty: not said.
func RetryAfter(a engine.Response) string {
	if a.Kind != engine.Rejected || a.RetryAfter <= 0 {
		return ""
	}
	return strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64)
}

// Result is how an answer that was given whole counts.
func Result(a engine.Response) metrics.Result {
	switch a.Kind {
	case engine.Served:
		return metrics.Fulfilled
	case engine.Rejected:
		return metrics.Throttled
	}
	return metrics.Faulted
}
