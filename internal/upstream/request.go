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

// maxTextAge is the maximum time between building the text of a request and checking that its client is still connected, right
// before the write: the process may be delayed between the two.
const maxTextAge = 10 * time.Millisecond

// requestText returns the text of an attempt's request to be written now. If the text is nil, the attempt ends with the result
// because its deadline has passed, its client has disconnected, or the request is invalid.
func (p *Pool) requestText(attempt *engine.Attempt) (text []byte, result balancer.Result) {
	for {
		remaining := p.clock.Until(attempt.Deadline)
		if remaining <= 0 {
			return nil, balancer.NotStarted
		}
		text, err := completeRequest(attempt, remaining)
		if err != nil {
			return nil, balancer.NotStarted
		}
		if attempt.Request.IsDisconnected(p.clock.Now) {
			return nil, balancer.Cancelled
		}
		if remaining-p.clock.Until(attempt.Deadline) <= maxTextAge {
			return text, 0
		}
	}
}

// newRequest returns the request to a server, to be answered within the remaining time. Method, target, body, id and idempotency
// key are those of the client's request.
func newRequest(attempt *engine.Attempt, remaining time.Duration, body io.Reader) *http.Request {
	message := &attempt.Request.Message
	header := http.Header{
		"User-Agent":   {""}, // none
		"X-Request-Id": {attempt.Request.ID},
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
	request := &http.Request{
		Method:        message.Method,
		URL:           &url.URL{Opaque: message.Target},
		Host:          backendHost,
		Header:        header,
		ContentLength: int64(len(message.Body)),
	}
	if message.Rest != nil {
		request.ContentLength = message.Length
	}
	if request.ContentLength != 0 {
		request.Body = io.NopCloser(body)
	}
	return request
}

// headCapacity is larger than the head of a request without long fields.
const headCapacity = 512

// completeRequest returns the text of a request whose body is complete. For plain requests the text is built here, byte for byte
// as net/http writes it, without allocating a header, a URL and readers.
func completeRequest(attempt *engine.Attempt, remaining time.Duration) ([]byte, error) {
	message := &attempt.Request.Message
	if !isPlain(message) {
		var out bytes.Buffer
		err := newRequest(attempt, remaining, bytes.NewReader(message.Body)).Write(&out)
		return out.Bytes(), err
	}
	text := make([]byte, 0, headCapacity+len(message.Body))
	text = append(text, message.Method...)
	text = append(text, ' ')
	text = append(text, message.Target...)
	text = append(text, " HTTP/1.1\r\nHost: "+backendHost+"\r\n"...)
	if len(message.Body) > 0 || message.Method == http.MethodPost {
		text = append(text, "Content-Length: "...)
		text = strconv.AppendInt(text, int64(len(message.Body)), 10)
		text = append(text, "\r\n"...)
	}
	if message.ContentType != "" {
		text = appendField(text, "Content-Type", message.ContentType)
	}
	if message.IdempotencyKey != "" {
		text = appendField(text, "Idempotency-Key", message.IdempotencyKey)
	}
	text = append(text, "X-Deadline: "...)
	text = appendDeadline(text, remaining)
	text = append(text, "\r\n"...)
	text = appendField(text, "X-Request-Id", attempt.Request.ID)
	text = append(text, "\r\n"...)
	return append(text, message.Body...), nil
}

// isPlain reports whether a request has nothing that net/http would check or rewrite.
func isPlain(message *engine.Message) bool {
	if message.Method != http.MethodGet && message.Method != http.MethodPost {
		return false
	}
	if len(message.ExtraHeaders) > 0 {
		return false
	}
	return strings.HasPrefix(message.Target, "/") && !strings.HasPrefix(message.Target, "//") && !strings.ContainsFunc(message.Target, isControl)
}

func isControl(c rune) bool { return c < ' ' || c == 0x7f }

// appendField appends a header field. Line ends in its value are replaced by spaces.
func appendField(text []byte, name, value string) []byte {
	if strings.ContainsAny(value, "\r\n") {
		value = strings.NewReplacer("\r", " ", "\n", " ").Replace(value)
	}
	text = append(text, name...)
	text = append(text, ": "...)
	text = append(text, textproto.TrimString(value)...)
	return append(text, "\r\n"...)
}

// appendDeadline appends the remaining seconds, rounded down to the microsecond so that no server gets more time than is left.
func appendDeadline(text []byte, remaining time.Duration) []byte {
	remaining = max(remaining, time.Microsecond).Truncate(time.Microsecond)
	return strconv.AppendFloat(text, remaining.Seconds(), 'f', 6, 64)
}
