package upstream

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"damsontrestle/internal/engine"
)

// headCapacity is more than the head of a request takes that has nothing long in it.
const headCapacity = 512

// wholeRequest is the text of a request whose body is kept complete. The usual ones are put together here, byte for byte as
// net/http would, which takes a header, a URL and readers to do so.
func wholeRequest(a *engine.Attempt, left time.Duration) ([]byte, error) {
	r := &a.Request.Message
	if !isPlain(r) {
		var out bytes.Buffer
		err := newRequest(a, left, bytes.NewReader(r.Body)).Write(&out)
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
	if r.Key != "" {
		text = appendField(text, "Idempotency-Key", r.Key)
	}
	text = append(text, "X-Deadline: "...)
	text = appendDeadline(text, left)
	text = append(text, "\r\n"...)
	text = appendField(text, "X-Request-Id", a.Request.ID)
	text = append(text, "\r\n"...)
	return append(text, r.Body...), nil
}

// isPlain says that a request has nothing that net/http would look at closely.
func isPlain(r *engine.Message) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodPost) && len(r.Beside) == 0 &&
		strings.HasPrefix(r.Target, "/") && !strings.HasPrefix(r.Target, "//") && !strings.ContainsFunc(r.Target, isControl)
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

// appendDeadline adds how many seconds are left, to the microsecond below: no server is told more than is left.
func appendDeadline(text []byte, left time.Duration) []byte {
	left = max(left, time.Microsecond).Truncate(time.Microsecond)
	return strconv.AppendFloat(text, left.Seconds(), 'f', 6, 64)
}
