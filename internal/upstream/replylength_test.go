package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/validation"
)

// sendAndHold returns a handler that writes the parts of a reply, and leaves the connection open until its peer closes it.
func sendAndHold(parts ...string) testpeer.Handler {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		for _, part := range parts {
			io.WriteString(c, part)
		}
		io.Copy(io.Discard, c)
		return false
	}
}

// headWithLength returns the head of a 200 with a Content-Length.
func headWithLength(length int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", fields, length)
}

// Guards against serving a part of a reply as all of it: its Content-Length is too small, and the rest of the body follows.
func TestReplyLongerThanItsLengthIsNotServed(t *testing.T) {
	const bufferSize = 4096 // of the connection's reader; longer bodies are read past it
	for _, c := range []struct {
		name         string
		length, body int // bytes: as told, and as sent
		fields       string
	}{
		{name: "small", length: 640, body: 1280},
		{name: "no body told", length: 0, body: 16},
		{name: "one byte more", length: 640, body: 641},
		{name: "one more than the reader's buffer holds", length: bufferSize - len(headWithLength(1000, "")), body: bufferSize},
		{name: "rest in the kernel's buffer", length: 20 << 10, body: 40 << 10},
		{name: "longest that is buffered", length: validation.MaxBufferedBody, body: validation.MaxBufferedBody + 1},
		{name: "last reply of its connection", length: 640, body: 1280, fields: "Connection: close\r\n"},
	} {
		head := headWithLength(c.length, c.fields)
		body := strings.Repeat("b", c.body)
		for writes, parts := range map[string][]string{"one write": {head + body}, "head apart": {head, body}} {
			if c.length == 0 && len(parts) > 1 {
				continue // nothing tells that more will come
			}
			t.Run(c.name+", "+writes, func(t *testing.T) {
				server := testpeer.NewServer(t, sendAndHold(parts...))
				pool := newTestPool(10)
				r := runAttempt(t, pool, newTestAttempt(pool, server.Address()))
				if r.Result != balancer.ConnectionLost || r.EndState.Reason != engine.EndBeyondLength {
					t.Errorf("result %d, %d bytes, reason %q; want ConnectionLost, %q", r.Result, len(r.Reply.Body), r.EndState.Reason, engine.EndBeyondLength)
				}
				testpeer.Until(t, "the connection to be closed", func() bool { return pool.Connections() == 0 })
				if got := unattributedInput(pool, server.Address(), inputBeyondLength); got != 1 {
					t.Errorf("input beyond the length was counted %d times, want 1", got)
				}
			})
		}
	}
}

// Guards against refusing a good reply for a second one behind it, wherever the reader's buffer divides that.
func TestReplyWithFurtherReplyBehindIsServed(t *testing.T) {
	const bufferSize = 4096
	for held := range len(statusLineShape) + 2 { // bytes of the further reply in the buffer
		length := bufferSize - len(headWithLength(1000, "")) - held
		body := strings.Repeat("b", length)
		server := testpeer.NewServer(t, sendAndHold(headWithLength(length, "")+body+secondReply))
		pool := newTestPool(10)
		r := runAttempt(t, pool, newTestAttempt(pool, server.Address()))
		if r.Result != balancer.Success || string(r.Reply.Body) != body {
			t.Errorf("%d bytes in the buffer: result %d, %d bytes; want all %d", held, r.Result, len(r.Reply.Body), length)
		}
		testpeer.Until(t, "the connection to be closed", func() bool { return pool.Connections() == 0 })
	}
}

func TestBeginsReply(t *testing.T) {
	for input, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\n": true,
		"HTTP/1.0 503 ":       true,
		"HTTP/1.1 200":        true,
		"HTTP/1.1 20":         false,
		"HTTP/1.1 abc":        false,
		"HTTP":                false,
		"":                    false,
		"the rest of a body":  false,
		"\x00\xfe noise\r\n":  false,
	} {
		if got := beginsReply([]byte(input)); got != want {
			t.Errorf("%q: %v, want %v", input, got, want)
		}
	}
}
