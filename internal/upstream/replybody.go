package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"damsontrestle/internal/engine"
)

// partialReply is a reply of 200 of which a part is received that is not handed over yet. It is guarded by Pool.mu.
type partialReply struct {
	attempt    *engine.Attempt // nil: none waits for it
	reply      reply           // without its body
	body       []byte
	handedOver bool
	remainder  chan bodyPart // receives the result of the read under way at the hand-over
	stream     *replyStream  // reads the rest after that
}

// bodyPart is the result of reading a part of a body.
type bodyPart struct {
	data []byte
	err  error
}

// handOver delivers a reply in progress to its attempt, with a stream of the rest. The caller holds mu.
func (p *Pool) handOver(c *conn) {
	partial := c.partial
	partial.handedOver = true
	r := partial.reply
	r.At = p.clock.Now()
	r.Reply.Body = bytes.Clone(partial.body) // the read under way continues in the same array
	partial.stream.clientDeadline = c.clientDeadline
	partial.stream.underWay = partial.remainder
	r.Reply.Rest = partial.stream
	waiter := c.waiter
	c.waiter = nil
	c.partial = nil
	c.streaming = true
	waiter <- r
}

// readArrivedBody reads the body of a reply of which all has arrived with the head.
func (p *Pool) readArrivedBody(c *conn, resp *http.Response, head reply, reusable bool) (reply, bool) {
	head.Reply.Body = make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, head.Reply.Body); err != nil {
		return reply{err: fmt.Errorf("%w: %w", errIncomplete, err)}, false
	}
	if err := p.checkLength(c); err != nil {
		return reply{err: err}, false
	}
	head.At = p.clock.Now()
	return head, reusable && c.reader.Buffered() == 0
}

// beginPartialReply records that the head of a reply was read, and that its body is being received.
func (p *Pool) beginPartialReply(c *conn, head reply, stream *replyStream) *partialReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	c.progress.at = now
	c.progress.headAt = now
	head.early = c.early
	stream.clientDeadline = c.clientDeadline
	partial := &partialReply{reply: head, remainder: make(chan bodyPart, 1), stream: stream}
	if c.waiter != nil {
		c.partial = partial
		partial.attempt = c.attempt
	}
	return partial
}

// receiveBody reads the body of a reply up to its end or a limit, and reports whether it is complete. length: as told; negative:
// not told.
func (p *Pool) receiveBody(c *conn, partial *partialReply, source io.Reader, length int64, limit int) (body []byte, complete bool, err error) {
	size := minBodyBuffer
	if length >= 0 {
		size = int(min(length, maxPreallocated))
	}
	body = make([]byte, 0, min(size, limit))
	for {
		if len(body) == cap(body) {
			size = min(max(minBodyBuffer, 2*cap(body)), limit)
			body = append(make([]byte, 0, size), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		part := body[len(body) : len(body)+n]
		body = body[:len(body)+n]
		switch {
		case p.recordBody(c, partial, body, n):
			c.limited.remaining = chunkOverhead * maxStreamed
			partial.remainder <- bodyPart{data: part, err: err}
			return nil, false, errHandedOver
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return nil, false, err
		case len(body) == limit:
			return body, false, nil
		}
	}
}

// recordBody records the body of a reply received so far, the last n bytes of it now, and reports whether the reply was handed over
// meanwhile.
func (p *Pool) recordBody(c *conn, partial *partialReply, body []byte, n int) (handedOver bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordProgress(c, n)
	if !partial.handedOver {
		partial.body = body
	}
	return partial.handedOver
}

// newReplyStream returns a reader of what is not received of a reply when it is handed over.
func (p *Pool) newReplyStream(c *conn, resp *http.Response, reusable bool) *replyStream {
	return &replyStream{
		pool:      p,
		conn:      c,
		body:      &progressReader{pool: p, conn: c, body: resp.Body},
		remaining: maxStreamed,
		hasLength: hasLength(resp),
		reusable:  reusable,
	}
}
