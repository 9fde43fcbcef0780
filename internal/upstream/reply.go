package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/netio"
	"damsontrestle/internal/validation"
)

// Bounds of a reply, in bytes.
const (
	maxReplyOverhead = 16 << 10                   // everything but the body: heads, 1xx replies, chunk sizes
	maxPreallocated  = 16 << 10                   // allocated for a body by its Content-Length, before any of it has arrived
	maxStreamed      = validation.MaxStreamedBody // a body that is streamed to the client
	firstPartLength  = 16 << 10                   // of a streamed body of known length, read before the reply is handed over
	minBodyBuffer    = 512                        // first size of the buffer for a body of unknown length
	chunkOverhead    = 8                          // per byte of a chunked body, for chunks of any size
)

// failureBodyWait is how long the body of a reply other than 200 is waited for: it only serves to use the connection again.
const failureBodyWait = 50 * time.Millisecond

// Errors of replies.
var (
	errReplyTooLong = errors.New("the reply is too long")
	errIncomplete   = errors.New("the reply is incomplete") // or its end is not known
)

// reply is the result of reading a connection: a complete reply, or the error.
type reply struct {
	engine.Outcome
	err   error
	early bool // it was read before the request was written completely
}

// errHandedOver is returned for a reply that was handed over while its body was being read: others read on.
var errHandedOver = errors.New("the reply was handed over")

// limitedReader limits the bytes of each reply. Neither http.ReadResponse nor io.ReadAll has a limit of its own: an endless head
// would exhaust the memory.
type limitedReader struct {
	io.Reader
	remaining int
}

// Read implements io.Reader. Beyond the limit it returns errReplyTooLong.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errReplyTooLong
	}
	n, err := l.Reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// watchReplies delivers each reply on a connection to the attempt that waits for it. It discards the connection when it ends or
// has unsolicited input. While no request is being written, input stays in the kernel's buffer, where beginExchange checks for
// it.
func (p *Pool) watchReplies(c *conn) {
	for {
		awaitInput(c.raw, p.recvfrom)
		if !p.expectsReply(c) {
			return
		}
		r, reusable := p.readReply(c)
		if r.err == errHandedOver {
			return
		}
		if !p.deliverReply(c, r, reusable) {
			return
		}
	}
}

// expectsReply reports whether input on a connection can be the reply to a request. Otherwise it closes the connection, and the
// attempt that waits for it takes another one or, if its request was written, ends.
func (p *Pool) expectsReply(c *conn) bool {
	p.awaitWritten(c)
	unacknowledged := netio.Unacknowledged(c.Conn) > 0 && inputStateOf(c.raw, p.recvfrom) == inputPending // a reset leaves some, too
	p.mu.Lock()
	defer p.mu.Unlock()
	waiter := c.waiter
	if waiter == nil || c.stage == stageIdle {
		c.waiter = nil
		p.discardUnsolicited(c, inputStateOf(c.raw, p.recvfrom))
		if waiter != nil {
			waiter <- reply{err: errUnsolicited}
		}
		return false
	}
	if c.stage == stageWriting { // an early reply to an upload
		c.early = true
		return true
	}
	if kind, refused := p.whyNotReply(c, unacknowledged); refused {
		p.refuseInputLocked(c, waiter, kind)
		return false
	}
	return true
}

// whyNotReply returns why input on a connection whose request is written does not belong to it, if it can be told. The first reply on
// a connection can belong to no earlier request. The caller holds mu.
func (p *Pool) whyNotReply(c *conn, unacknowledged bool) (kind inputKind, refused bool) {
	switch {
	case c.early:
		return inputDuringWrite, true
	case c.uses == 1:
		return "", false
	case unacknowledged:
		return inputUnacknowledged, true
	case p.clock.Now()-c.writtenAt < p.record(c.host).minReplyTime():
		return inputTooEarly, true
	}
	return "", false
}

// awaitWritten waits until the current request of a connection with input is written completely: only then can it be told whether
// the input came before. A reply that precedes the end of an upload for longer than earlyReplyGrace is not waited for.
func (p *Pool) awaitWritten(c *conn) {
	p.mu.Lock()
	stage := c.stage
	written := c.written
	uploading := c.uploading
	p.mu.Unlock()
	if stage != stageWriting {
		return
	}
	if !uploading {
		<-written
		return
	}
	if inputStateOf(c.raw, p.recvfrom) != inputPending {
		return
	}
	timer := time.NewTimer(earlyReplyGrace)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
	}
}

// deliverReply delivers a reply to the waiting attempt, and reports whether the connection's reader continues.
func (p *Pool) deliverReply(c *conn, r reply, reusable bool) (keepReading bool) {
	p.mu.Lock()
	waiter := c.waiter
	c.waiter = nil
	c.partial = nil
	r.early = c.early
	switch {
	case waiter != nil && r.Reply.Rest != nil:
		c.streaming = true // the replyStream owns the connection from now on
	case waiter != nil && reusable:
		keepReading = true
		c.idleSince = r.At
		c.exchangeTime = r.At - c.startedAt
		if !r.early { // otherwise another request would be written into this one
			p.putIdle(c)
		}
	default:
		p.discardAfterReply(c, r)
	}
	p.mu.Unlock()
	if waiter != nil {
		waiter <- r
	}
	return keepReading
}

// discardAfterReply closes a connection that can't be reused after a reply, or after the failure to read one. The caller holds mu.
func (p *Pool) discardAfterReply(c *conn, r reply) {
	switch {
	case r.err != nil:
		p.discard(c, closeExchangeFailed)
	case c.reader.Buffered() > 0 && !c.discarded:
		p.recordUnattributed(c, inputBehindReply)
		p.discard(c, closeUnattributed)
	default:
		p.discard(c, closeNotReusable)
	}
}

// readReply reads one reply, and reports whether the connection is reusable. Only a complete 200 is a success; if a reply can't
// be read, the request may have run. A reply is valid even if a further one follows it, but then the connection is not reusable: it
// could not be told from the next reply. What else may follow depends on how the end of the body is told; see checkLength.
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

// readFinalHead reads the head of a reply, and skips interim replies before it (RFC 9110 section 15.2).
func readFinalHead(c *conn) (*http.Response, error) {
	c.limited.remaining = maxReplyOverhead
	for {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// isFramed reports whether a reply marks the end of its body. Otherwise the body ends when the connection is closed in order
// (RFC 9112 section 6.3); a server that crashes resets it.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// readSuccess reads the body of a 200 up to the buffered length, or the first part of a longer one; the rest is read as the client
// takes it.
func (p *Pool) readSuccess(c *conn, resp *http.Response) (r reply, reusable bool) {
	if resp.ContentLength > maxStreamed {
		return reply{err: errIncomplete}, false
	}
	reusable = isFramed(resp) && !resp.Close
	r.Load = p.loadReport(resp.Header)
	r.Result = balancer.Success
	r.Reply.ContentType = resp.Header.Get("Content-Type")
	r.Reply.Length = resp.ContentLength
	if resp.ContentLength >= 0 && resp.ContentLength <= min(int64(c.reader.Buffered()), validation.MaxBufferedBody) {
		return p.readArrivedBody(c, resp, r, reusable)
	}
	stream := p.newReplyStream(c, resp, reusable)
	partial := p.beginPartialReply(c, r, stream)
	if partial.attempt != nil {
		partial.attempt.ReplyBegun(p.clock.Now())
	}
	limit := validation.MaxBufferedBody + 1
	c.limited.remaining += chunkOverhead * validation.MaxBufferedBody
	if resp.ContentLength > validation.MaxBufferedBody {
		limit = firstPartLength
	}
	body, complete, err := p.receiveBody(c, partial, resp.Body, resp.ContentLength, limit)
	switch {
	case err == errHandedOver:
		return reply{err: err}, false
	case err != nil:
		return reply{err: fmt.Errorf("%w: %w", errIncomplete, err)}, false
	}
	r.At = p.clock.Now()
	r.Reply.Body = body
	if complete {
		if hasLength(resp) {
			if err := p.checkLength(c); err != nil {
				return reply{err: err}, false
			}
		}
		r.Reply.Length = int64(len(body))
		return r, reusable && c.reader.Buffered() == 0
	}
	c.limited.remaining = chunkOverhead * maxStreamed
	r.Reply.Rest = stream
	return r, false
}

// readFailure reads a reply other than 200. Its body is read only to make the connection reusable.
func (p *Pool) readFailure(c *conn, resp *http.Response) (r reply, reusable bool) {
	r.At = p.clock.Now()
	r.Load = p.loadReport(resp.Header)
	r.Result = balancer.Failure
	if isRejection(resp) {
		r.Result = balancer.Overloaded
		r.Reason = resp.Header.Get(validation.HeaderRejectedBy)
		r.Settled = resp.Header.Get(validation.HeaderSettled) == "1"
	}
	if !isFramed(resp) || resp.ContentLength > validation.MaxBufferedBody {
		return r, false
	}
	c.SetReadDeadline(time.Now().Add(failureBodyWait)) // the head says all that matters to the request
	body, err := replyBody(c, resp)
	c.SetReadDeadline(time.Time{})
	complete := err == nil && len(body) <= validation.MaxBufferedBody
	return r, complete && !resp.Close && c.reader.Buffered() == 0
}

// isRejection reports whether a reply states that no part of the request has run.
func isRejection(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return resp.Header.Get(validation.HeaderNotRun) == "1"
	}
	return false
}

// replyBody reads a reply's body up to one byte more than the maximum that is buffered.
func replyBody(c *conn, resp *http.Response) ([]byte, error) {
	c.limited.remaining += chunkOverhead * validation.MaxBufferedBody
	var body bytes.Buffer
	expected := max(0, min(resp.ContentLength, maxPreallocated))
	body.Grow(int(expected) + bytes.MinRead) // ReadFrom needs spare capacity to detect the end
	_, err := body.ReadFrom(io.LimitReader(resp.Body, validation.MaxBufferedBody+1))
	return body.Bytes(), err
}
