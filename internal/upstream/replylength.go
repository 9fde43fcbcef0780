package upstream

import (
	"errors"
	"net/http"

	"damsontrestle/internal/engine"
)

// errBeyondLength refuses a reply behind whose length more input follows that begins no further reply. Whether it is the rest of the
// body or noise can't be told, so the body may be a part of what the server made.
var errBeyondLength = errors.New("more follows the reply than its length tells")

// statusLineShape is the beginning of a status line (RFC 9112 section 4); 0 stands for any digit.
const statusLineShape = "HTTP/0.0 000"

// checkLength returns errBeyondLength if a reply whose body was read up to its Content-Length has a wrong one, as far as that can be
// told from the input that has arrived. It does not wait for more.
func (p *Pool) checkLength(c *conn) error {
	if p.isAtEndOfReply(c) {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.discarded {
		p.recordUnattributed(c, inputBeyondLength)
	}
	return errBeyondLength
}

// isAtEndOfReply reports whether nothing or a further reply follows on a connection.
func (p *Pool) isAtEndOfReply(c *conn) bool {
	for c.reader.Buffered() < len(statusLineShape) && inputStateOf(c.raw, p.recvfrom) == inputPending {
		c.limited.remaining = len(statusLineShape)
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			return false
		}
	}
	if c.reader.Buffered() == 0 {
		return true
	}
	next, _ := c.reader.Peek(min(c.reader.Buffered(), len(statusLineShape)))
	return beginsReply(next)
}

// beginsReply reports whether input begins with a status line.
func beginsReply(input []byte) bool {
	if len(input) < len(statusLineShape) {
		return false
	}
	for i, want := range []byte(statusLineShape) {
		if want == '0' && isDigit(input[i]) {
			continue
		}
		if input[i] != want {
			return false
		}
	}
	return true
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// hasLength reports whether a reply's body ends at its Content-Length. The end of chunks, in contrast, is marked in the body itself.
func hasLength(resp *http.Response) bool { return resp.ContentLength >= 0 }

// lostReason returns why a reply could not be read.
func lostReason(err error) engine.EndReason {
	if errors.Is(err, errBeyondLength) {
		return engine.EndBeyondLength
	}
	return engine.EndConnectionLost
}
