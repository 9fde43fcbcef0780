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

// Bounds of a reply, in bytes.
const (
	maxReplyOverhead = 16 << 10                   // all but its body: heads, 1xx before them, chunks' sizes
	maxPreallocated  = 16 << 10                   // allocated for a body because its head says so, before it has come
	maxStreamed      = validation.MaxStreamedBody // a body that passes through
	chunkOverhead    = 8                          // on the wire for each byte of a body, in chunks of any size
)

// Errors of replies.
var (
	errReplyTooLong = errors.New("the reply is too long")
	errIncomplete   = errors.New("the reply is incomplete") // or can't be told to be complete
)

// reply is what came back on a connection: a reply that was read completely, or why there is none.
type reply struct {
	engine.Outcome
	err error
}

// limitedReader reads up to a number of bytes that is set anew for each reply. Neither http.ReadResponse
// nor io.ReadAll has a bound of its own: one endless head would fill the memory.
type limitedReader struct {
	io.Reader
	remaining int
}

// Read implements io.Reader. Beyond the bound it returns errReplyTooLong.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errReplyTooLong
	}
	n, err := l.Reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// watchReplies hands each reply on a connection to the attempt that waits for it, and discards the connection when it ends or
// brings something that no request asked for. Until a request is being written it leaves what comes to the kernel, where
// begin sees it.
func (p *Pool) watchReplies(c *conn) {
	for {
		awaitInput(c.Conn, p.receive)
		r, reusable := p.nextReply(c)
		if !p.handOver(c, r, reusable) {
			return
		}
	}
}

// nextReply reads what has come on a connection. It reports whether the connection is of use behind it.
func (p *Pool) nextReply(c *conn) (r reply, reusable bool) {
	p.mu.Lock()
	expected := c.waiter != nil && c.stage != stageIdle
	p.mu.Unlock()
	if !expected {
		return reply{err: errUnsolicited}, false
	}
	return p.readReply(c)
}

// handOver gives a reply to the attempt that waits for it. It reports whether the connection's reader goes on.
func (p *Pool) handOver(c *conn, r reply, reusable bool) (goesOn bool) {
	p.mu.Lock()
	waiter := c.waiter
	c.waiter = nil
	switch {
	case waiter != nil && r.Reply.Rest != nil:
		c.streaming = true // whoever reads the rest has the connection from now on
	case waiter != nil && reusable:
		goesOn = true
		c.idleSince = r.At
		c.exchangeTime = r.At - c.begunAt
		if c.stage == stageWritten { // a reply that came early must not let another request into this one
			p.putIdle(c)
		}
	default:
		p.discard(c)
	}
	p.mu.Unlock()
	if waiter != nil {
		waiter <- r
	}
	return goesOn
}

// readReply reads one reply, and reports whether the connection is of further use. Only a complete 200 is a success. What
// can't be read may have run. A reply is good even if more follows that belongs to none, but then the next reply could not be
// told from that.
func (p *Pool) readReply(c *conn) (r reply, reusable bool) {
	resp, err := readFinalHead(c)
	if err != nil {
		return reply{err: fmt.Errorf("read the reply of %s: %w", c.host.Endpoint, err)}, false
	}
	if resp.StatusCode == http.StatusOK {
		return p.readSuccess(c, resp)
	}
	return p.readFailure(c, resp)
}

// readFinalHead reads a reply's head, and those of interim replies before it (RFC 9110 section 15.2).
func readFinalHead(c *conn) (*http.Response, error) {
	c.limited.remaining = maxReplyOverhead
	for {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// isFramed reports whether a reply says where its body ends. Without a length the connection's end in order ends the body
// (RFC 9112 section 6.3); a server that dies resets it.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// readSuccess reads the body of a 200, or as much of it as is kept: the rest is read as the client takes it.
func (p *Pool) readSuccess(c *conn, resp *http.Response) (r reply, reusable bool) {
	if resp.ContentLength > maxStreamed {
		return reply{err: errIncomplete}, false
	}
	reusable = isFramed(resp) && !resp.Close
	r.At = p.clock.Now()
	r.Load = p.loadOf(resp.Header)
	r.Result = balancer.Success
	r.Reply.ContentType = resp.Header.Get("Content-Type")
	r.Reply.Length = resp.ContentLength
	if resp.ContentLength > validation.MaxBufferedBody {
		r.Reply.Rest = p.streamRest(c, resp.Body, reusable)
		return r, false
	}
	body, err := replyBody(c, resp)
	if err != nil {
		return reply{err: fmt.Errorf("%w: %w", errIncomplete, err)}, false
	}
	r.At = p.clock.Now()
	r.Reply.Body = body
	if len(body) > validation.MaxBufferedBody {
		r.Reply.Length = -1
		r.Reply.Rest = p.streamRest(c, resp.Body, reusable)
		return r, false
	}
	return r, reusable && c.reader.Buffered() == 0
}

// readFailure reads a reply that is no 200. Its body is read for the connection's sake alone.
func (p *Pool) readFailure(c *conn, resp *http.Response) (r reply, reusable bool) {
	r.At = p.clock.Now()
	r.Load = p.loadOf(resp.Header)
	r.Result = balancer.Failure
	if isRejection(resp) {
		r.Result = balancer.Overloaded
		r.Reason = resp.Header.Get(validation.HeaderRejectedBy)
		r.Settled = resp.Header.Get(validation.HeaderSettled) == "1"
	}
	if !isFramed(resp) || resp.ContentLength > validation.MaxBufferedBody {
		return r, false
	}
	body, err := replyBody(c, resp)
	r.At = p.clock.Now()
	complete := err == nil && len(body) <= validation.MaxBufferedBody
	return r, complete && !resp.Close && c.reader.Buffered() == 0
}

// isRejection reports whether a reply says that nothing of the request has run.
func isRejection(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return resp.Header.Get(validation.HeaderNotRun) == "1"
	}
	return false
}

// replyBody reads a reply's body, but no more than one byte beyond the longest that is kept.
func replyBody(c *conn, resp *http.Response) ([]byte, error) {
	c.limited.remaining += chunkOverhead * validation.MaxBufferedBody
	var body bytes.Buffer
	announced := max(0, min(resp.ContentLength, maxPreallocated))
	body.Grow(int(announced) + bytes.MinRead) // ReadFrom wants room to meet the end in
	_, err := body.ReadFrom(io.LimitReader(resp.Body, validation.MaxBufferedBody+1))
	return body.Bytes(), err
}

// streamRest returns what follows of a reply that passes through.
func (p *Pool) streamRest(c *conn, body io.Reader, reusable bool) io.ReadCloser {
	c.limited.remaining = chunkOverhead * maxStreamed
	return &replyStream{pool: p, conn: c, body: body, remaining: maxStreamed, reusable: reusable}
}
