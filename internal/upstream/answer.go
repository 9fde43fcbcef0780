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

// maxReplyOverhead bounds all of an answer but its body: heads, 1xx before them, chunks' sizes.
const maxReplyOverhead = 16 << 10

// reply is what came back on a connection: an answer read completely, or why there is none.
type reply struct {
	engine.Outcome
	err error
}

// errReplyTooLong ends an answer that is longer than one may be, be it by its head or by what comes before it.
var errReplyTooLong = errors.New("the answer is too long")

// limitedReader reads up to a number of bytes that its reader sets anew for each answer. Neither http.ReadResponse
// nor io.ReadAll has a bound of its own: one endless head would fill the memory.
type limitedReader struct {
	io.Reader
	remaining int
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errReplyTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// watchReplies watches a connection: it hands each answer to the attempt that waits for it, and drops the
// connection when it ends or says something that no request asked for. Until a request is being
// written it leaves what comes to the kernel, where begin sees it.
func (p *Pool) watchReplies(c *conn) {
	for keep := true; keep; {
		awaitInput(c.Conn, p.receive)
		p.mu.Lock()
		asked := c.waiter != nil && c.stage != stageIdle
		p.mu.Unlock()
		r := reply{err: errUnsolicited}
		if asked {
			r, keep = p.readReply(c)
		} else {
			keep = false
		}
		p.mu.Lock()
		waiter := c.waiter
		c.waiter = nil
		if waiter != nil && r.Reply.Rest != nil {
			c.streaming, keep = true, false // whoever reads the rest has the connection from now on
		} else if waiter != nil && keep {
			c.idleSince, c.exchangeTime = r.At, r.At-c.begunAt
			if c.stage == stageWritten { // an answer that came early must not let another request into this one
				p.putIdle(c)
			}
		} else {
			keep = false
			p.discard(c)
		}
		p.mu.Unlock()
		if waiter != nil {
			waiter <- r
		}
	}
}

var errUnsolicited = errors.New("the server spoke or closed before it was asked")

// errIncomplete says that an answer is not complete, or can't be told to be.
var errIncomplete = errors.New("the answer is not whole")

// readReply reads one answer, and tells whether the connection is of further use. Only a whole 200 is a
// success. What can't be read may have run. An answer is good even if more follows that belongs to none,
// but then the next answer could not be told from that.
func (p *Pool) readReply(c *conn) (reply, bool) {
	c.limited.remaining = maxReplyOverhead
	resp, err := http.ReadResponse(c.reader, nil)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.reader, nil)
	}
	if err != nil {
		return reply{err: fmt.Errorf("answer: %w", err)}, false
	}
	ok := resp.StatusCode == http.StatusOK
	// Without a length the connection's end in order ends the body (RFC 9112 section 6.3); a server that dies resets it.
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if ok && resp.ContentLength > maxStreamed {
		return reply{err: errIncomplete}, false
	}
	reusable := framed && !resp.Close
	r := reply{Outcome: engine.Outcome{At: p.clock.Now(), Load: p.loadOf(resp.Header)}}
	if ok {
		r.Result = balancer.Success
		r.Reply = engine.Reply{ContentType: resp.Header.Get("Content-Type"), Length: resp.ContentLength}
	}
	if ok && resp.ContentLength > validation.MaxBody {
		r.Reply.Rest = p.streamRest(c, resp.Body, reusable)
		return r, false
	}
	var body []byte
	if ok || framed && resp.ContentLength <= validation.MaxBody {
		c.limited.remaining += chunkOverhead * validation.MaxBody
		body, err = replyBody(resp)
		if ok && err != nil {
			return reply{err: errors.Join(errIncomplete, err)}, false
		}
		r.At = p.clock.Now()
	}
	if ok {
		r.Reply.Body = body
		if len(body) > validation.MaxBody {
			r.Reply.Length, r.Reply.Rest = -1, p.streamRest(c, resp.Body, reusable)
			return r, false
		}
		return r, reusable && c.reader.Buffered() == 0
	}
	r.Result = balancer.Failure
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(validation.HeaderNotRun) == "1" {
		r.Result, r.Why = balancer.Overloaded, resp.Header.Get(validation.HeaderRejectedBy)
		r.Settled = resp.Header.Get(validation.HeaderSettled) == "1"
	}
	return r, err == nil && reusable && resp.ContentLength <= validation.MaxBody && len(body) <= validation.MaxBody && c.reader.Buffered() == 0
}

// maxPreallocated bounds what is allocated for a body because its head says so, before it has come.
const maxPreallocated = 16 << 10

// replyBody reads an answer's body, but no more than one byte beyond the longest that is kept complete.
func replyBody(resp *http.Response) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(int(max(0, min(resp.ContentLength, maxPreallocated))) + bytes.MinRead) // it reads on until it meets the end
	_, err := body.ReadFrom(io.LimitReader(resp.Body, validation.MaxBody+1))
	return body.Bytes(), err
}

// streamRest is what follows of an answer that passes through.
func (p *Pool) streamRest(c *conn, body io.Reader, keep bool) io.ReadCloser {
	c.limited.remaining = chunkOverhead * maxStreamed
	return &replyStream{pool: p, conn: c, body: body, remaining: maxStreamed, reusable: keep}
}
