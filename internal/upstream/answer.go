package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/validation"
)

// maxAnswer bounds all of an answer but its body: heads, 1xx before them, chunks' sizes.
const maxAnswer = 16 << 10

// reply is what came back on a connection: an answer read completely, or why there is none.
type reply struct {
	engine.Outcome
	err error
}

// errTooLong ends an answer that is longer than one may be, be it by its head or by what comes before it.
var errTooLong = errors.New("the answer is too long")

// bounded reads up to a number of bytes that its reader sets anew for each answer. Neither http.ReadResponse
// nor io.ReadAll has a bound of its own: one endless head would fill the memory.
type bounded struct {
	io.Reader
	left int
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// read watches a connection: it hands each answer to the attempt that waits for it, and drops the
// connection when it ends or says something that no request asked for. Until a request is being
// written it leaves what comes to the kernel, where begin sees it.
func (b *Pool) read(c *conn) {
	for keep := true; keep; {
		awaitBytes(c.Conn, b.recv)
		b.mu.Lock()
		asked := c.waiter != nil && c.stage != resting
		b.mu.Unlock()
		r := reply{err: errUnasked}
		if asked {
			r, keep = b.readAnswer(c)
		} else {
			keep = false
		}
		b.mu.Lock()
		waiter := c.waiter
		c.waiter = nil
		if waiter != nil && r.Reply.Rest != nil {
			c.passed, keep = true, false // whoever reads the rest has the connection from now on
		} else if waiter != nil && keep {
			c.since, c.took = r.At, r.At-c.begun
			if c.stage == written { // an answer that came early must not let another request into this one
				b.rest(c)
			}
		} else {
			keep = false
			b.drop(c)
		}
		b.mu.Unlock()
		if waiter != nil {
			waiter <- r
		}
	}
}

var errUnasked = errors.New("the server spoke or closed before it was asked")

// errCut says that an answer is not complete, or can't be told to be.
var errCut = errors.New("the answer is not whole")

// readAnswer reads one answer, and tells whether the connection is of further use. Only a whole 200 is a
// success. What can't be read may have run. An answer is good even if more follows that belongs to none,
// but then the next answer could not be told from that.
func (b *Pool) readAnswer(c *conn) (reply, bool) {
	c.in.left = maxAnswer
	resp, err := http.ReadResponse(c.br, nil)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.br, nil)
	}
	if err != nil {
		return reply{err: fmt.Errorf("answer: %w", err)}, false
	}
	ok := resp.StatusCode == http.StatusOK
	// Without a length the connection's end in order ends the body (RFC 9112 section 6.3); a server that dies resets it.
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if ok && resp.ContentLength > maxPassed {
		return reply{err: errCut}, false
	}
	reusable := framed && !resp.Close
	r := reply{Outcome: engine.Outcome{At: b.clock.Now(), Load: b.load(resp.Header)}}
	if ok {
		r.Result = balancer.Success
		r.Reply = engine.Reply{ContentType: resp.Header.Get("Content-Type"), Length: resp.ContentLength}
	}
	if ok && resp.ContentLength > validation.MaxBody {
		r.Reply.Rest = b.rests(c, resp.Body, reusable)
		return r, false
	}
	var body []byte
	if ok || framed && resp.ContentLength <= validation.MaxBody {
		c.in.left += chunkOverhead * validation.MaxBody
		body, err = answerBody(resp)
		if ok && err != nil {
			return reply{err: errors.Join(errCut, err)}, false
		}
		r.At = b.clock.Now()
	}
	if ok {
		r.Reply.Body = body
		if len(body) > validation.MaxBody {
			r.Reply.Length, r.Reply.Rest = -1, b.rests(c, resp.Body, reusable)
			return r, false
		}
		return r, reusable && c.br.Buffered() == 0
	}
	r.Result = balancer.Failure
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(validation.HeaderNotRun) == "1" {
		r.Result, r.Why = balancer.Overloaded, resp.Header.Get(validation.HeaderRejectedBy)
		r.Settled = resp.Header.Get(validation.HeaderSettled) == "1"
	}
	return r, err == nil && reusable && resp.ContentLength <= validation.MaxBody && len(body) <= validation.MaxBody && c.br.Buffered() == 0
}

// expected bounds what is allocated for a body because its head says so, before it has come.
const expected = 16 << 10

// answerBody reads an answer's body, but no more than one byte beyond the longest that is kept complete.
func answerBody(resp *http.Response) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(int(max(0, min(resp.ContentLength, expected))) + bytes.MinRead) // it reads on until it meets the end
	_, err := body.ReadFrom(io.LimitReader(resp.Body, validation.MaxBody+1))
	return body.Bytes(), err
}

// rests is what follows of an answer that passes through.
func (b *Pool) rests(c *conn, body io.Reader, keep bool) io.ReadCloser {
	c.in.left = chunkOverhead * maxPassed
	return &stream{back: b, conn: c, body: body, left: maxPassed, keep: keep}
}
