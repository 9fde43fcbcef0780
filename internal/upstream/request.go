package upstream

import (
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/engine"
)

// backendHost is the Host field of every request to a server.
const backendHost = "backend.local"

// maxTextAge is how much older a request's text may be than the look at its client that goes before its writing: a process may
// be held up between the two.
const maxTextAge = 10 * time.Millisecond

// requestText returns the request of an attempt as it is to be written now; or, with nil, how the attempt ends because its time
// is over or its client has disconnected.
func (p *Pool) requestText(a *engine.Attempt) (text []byte, result balancer.Result) {
	for {
		remaining := p.clock.Until(a.Deadline)
		if remaining <= 0 {
			return nil, balancer.NotStarted
		}
		text, err := completeRequest(a, remaining)
		if err != nil {
			return nil, balancer.NotStarted
		}
		if a.Request.IsDisconnected(p.clock.Now) {
			return nil, balancer.Cancelled
		}
		if remaining-p.clock.Until(a.Deadline) <= maxTextAge {
			return text, 0
		}
	}
}

// newRequest returns what goes to a server, to be answered within the remaining time. Method, target, body, id and idempotency
// key go on as they came.
func newRequest(a *engine.Attempt, remaining time.Duration, body io.Reader) *http.Request {
	message := &a.Request.Message
	header := http.Header{
		"User-Agent":   {""}, // none
		"X-Request-Id": {a.Request.ID},
		"X-Deadline":   {string(appendDeadline(nil, remaining))},
	}
	if message.IdempotencyKey != "" {
		header["Idempotency-Key"] = []string{message.IdempotencyKey}
	}
	for _, f := range message.ExtraHeaders {
		header[f.Name] = []string{f.Value}
	}
	if message.ContentType != "" {
		header["Content-Type"] = []string{message.ContentType}
	}
	r := &http.Request{
		Method:        message.Method,
		URL:           &url.URL{Opaque: message.Target},
		Host:          backendHost,
		Header:        header,
		ContentLength: int64(len(message.Body)),
	}
	if message.Rest != nil {
		r.ContentLength = message.Length
	}
	if r.ContentLength != 0 {
		r.Body = io.NopCloser(body)
	}
	return r
}

// headCapacity is more than the head of a request takes that has nothing long in it.
const headCapacity = 512

// completeRequest returns the text of a request whose body is complete. The usual ones are put together here, byte for byte as
// net/http would, which takes a header, a URL and readers to do so.
func completeRequest(a *engine.Attempt, remaining time.Duration) ([]byte, error) {
	r := &a.Request.Message
	if !isPlain(r) {
		var out bytes.Buffer
		err := newRequest(a, remaining, bytes.NewReader(r.Body)).Write(&out)
		return out.Bytes(), err
	}
	text := make([]byte, 0, headCapacity+len(r.Body))
	text = append(text, r.Method...)
	text = append(text, ' ')
	text = append(text, r.Target...)
	text = append(text, " HTTP/1.1\r\nHost: "+backendHost+"\r\n"...)
	if len(r.Body) > 0 || r.Method == http.MethodPost {
		text = append(text, "Content-Length: "...)
		text = strconv.AppendInt(text, int64(len(r.Body)), 10)
		text = append(text, "\r\n"...)
	}
	if r.ContentType != "" {
		text = appendField(text, "Content-Type", r.ContentType)
	}
	if r.IdempotencyKey != "" {
		text = appendField(text, "Idempotency-Key", r.IdempotencyKey)
	}
	text = append(text, "X-Deadline: "...)
	text = appendDeadline(text, remaining)
	text = append(text, "\r\n"...)
	text = appendField(text, "X-Request-Id", a.Request.ID)
	text = append(text, "\r\n"...)
	return append(text, r.Body...), nil
}

// isPlain reports whether a request has nothing that net/http would check or rewrite.
func isPlain(r *engine.Message) bool {
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return false
	}
	if len(r.ExtraHeaders) > 0 {
		return false
	}
	return strings.HasPrefix(r.Target, "/") && !strings.HasPrefix(r.Target, "//") && !strings.ContainsFunc(r.Target, isControl)
}

func isControl(c rune) bool { return c < ' ' || c == 0x7f }

// appendField adds a header field, its value without what would end its line.
func appendField(text []byte, name, value string) []byte {
	if strings.ContainsAny(value, "\r\n") {
		value = strings.NewReplacer("\r", " ", "\n", " ").Replace(value)
	}
	text = append(text, name...)
	text = append(text, ": "...)
	text = append(text, textproto.TrimString(value)...)
	return append(text, "\r\n"...)
}

// appendDeadline adds the remaining seconds, rounded down to the microsecond: no server is told more than is left.
func appendDeadline(text []byte, remaining time.Duration) []byte {
	remaining = max(remaining, time.Microsecond).Truncate(time.Microsecond)
	return strconv.AppendFloat(text, remaining.Seconds(), 'f', 6, 64)
}
