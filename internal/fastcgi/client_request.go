package fastcgi

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/fairqueue"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/validation"
)

// request is an open request.
type request struct {
	id           uint16
	head         validation.Head
	checked      validation.Request
	body         []byte
	dispatched   *engine.Request // nil before dispatch
	finished     bool            // answered, aborted, or its connection has ended
	disconnected atomic.Bool     // aborted, or its connection has ended
	done         chan struct{}   // closed when finished is set
}

func (c *client) handleEvent(req *request, event Event) {
	switch event.Kind {
	case ParamsEnd:
		c.handleParams(req, event.Params)
	case Body:
		switch {
		case len(req.body)+len(event.Data) > validation.MaxBufferedBody:
			c.reject(req, errTooLong)
		case req.head.ContentLength >= 0 && int64(len(req.body)+len(event.Data)) > req.head.ContentLength:
			c.reject(req, errLengthMismatch)
		default:
			req.body = append(req.body, event.Data...)
		}
	case BodyEnd:
		if req.head.ContentLength >= 0 && int64(len(req.body)) != req.head.ContentLength {
			c.reject(req, errLengthMismatch)
			return
		}
		req.head.ContentLength = int64(len(req.body))
		c.finishReading()
		c.dispatch(req)
	case Aborted:
		req.disconnected.Store(true)
		if req.dispatched == nil {
			c.finishReading()
		} else {
			req.dispatched.Disconnect(c.front.clock.Now())
			c.front.counters.ClientDisconnected()
		}
		c.finish(req, End{AppStatus: 1})
	}
}

// handleParams checks a request's head once PARAMS has ended.
func (c *client) handleParams(req *request, params []Param) {
	head, rejected := parseHead(c.front.listener, params)
	if rejected != nil {
		c.reject(req, rejected)
		return
	}
	req.head = head
	if path, _, _ := strings.Cut(head.Target, "?"); path == "/health/ready" {
		c.finishReading()
		c.respondHealth(req)
		return
	}
	snapshot := c.front.dispatcher.Snapshot()
	probe := head
	probe.ContentLength = max(0, head.ContentLength)
	checked, err := validation.Check(snapshot, &probe)
	switch {
	case err != nil:
		c.reject(req, err)
	case head.ContentLength > validation.MaxBufferedBody:
		c.reject(req, errTooLong)
	}
	req.checked = checked
}

// dispatch passes a complete request to the dispatcher, or answers it at once if downstream.Set or the dispatcher
// refuses it.
func (c *client) dispatch(req *request) {
	f := c.front
	f.counters.RequestStarted()
	snapshot := f.dispatcher.Snapshot()
	if !f.clients.BeginRequest(c) {
		c.respond(req, engine.Response{Kind: engine.Rejected, RetryAfter: snapshot.RetryAfter(), EndState: engine.EndState{Reason: engine.EndNoCapacity}})
		f.clients.EndRequest(c)
		return
	}
	req.checked.Message.ClientDisconnected = func() bool { return c.isDisconnected(req) }
	dispatched, err := validation.Submit(f.dispatcher, snapshot, &req.head, req.checked, validation.Body{Buffered: req.body, ReadAt: f.clock.Now()})
	if err != nil {
		f.counters.RequestEnded(req.checked.Class, metrics.Faulted)
		f.responses.Refused(req.checked.ID, req.checked.Class, http.StatusServiceUnavailable, engine.EndNoCapacity)
		c.respondText(req, errorResponse(err))
		f.clients.EndRequest(c)
		c.updatePhase()
		return
	}
	req.dispatched = dispatched
	c.addUnanswered(1)
	go c.awaitResponse(req)
}

// addUnanswered adds delta to the number of requests without a response.
func (c *client) addUnanswered(delta int) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	c.unanswered += delta
}

// awaitResponse waits for the response of a dispatched request and writes it, unless the request has finished.
func (c *client) awaitResponse(req *request) {
	f := c.front
	select {
	case resp := <-req.dispatched.Response():
		if resp.Reply.Rest != nil {
			c.addUnanswered(-1)
			c.streamResponse(req, resp)
			break
		}
		c.mu.Lock()
		if !req.finished {
			c.respond(req, resp)
			c.flush()
		}
		c.mu.Unlock()
		c.addUnanswered(-1)
	case <-req.done:
		c.addUnanswered(-1)
	}
	f.clients.EndRequest(c)
	c.mu.Lock()
	c.updatePhase()
	c.mu.Unlock()
}

// respond writes a complete response. The caller holds mu.
func (c *client) respond(req *request, resp engine.Response) {
	c.front.counters.RequestEnded(req.checked.Class, validation.Result(resp))
	if resp.Kind != engine.Served {
		c.front.responses.Unserved(req.checked.ID, req.checked.Class, resp)
		status, text := validation.ErrorStatus(resp)
		c.respondText(req, textResponse{status, text, validation.RetryAfter(resp)})
		return
	}
	c.out.Stream(Stdout, req.id, responseHeader(200, resp.Reply.ContentType, int64(len(resp.Reply.Body)), ""))
	c.out.Stream(Stdout, req.id, resp.Reply.Body)
	c.finish(req, End{})
}

// streamResponse writes a response while it is received. One that breaks off ends with an application status other
// than 0, and short of its Content-Length if it had one, so that the web server can detect it.
func (c *client) streamResponse(req *request, resp engine.Response) {
	defer resp.Reply.Rest.Close()
	write := func(p []byte) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if req.finished {
			return false
		}
		c.writeTimeout = streamWriteTimeout
		defer func() { c.writeTimeout = writeTimeout }()
		return errors.Join(c.out.Stream(Stdout, req.id, p), c.out.Flush()) == nil
	}
	ok := write(responseHeader(200, resp.Reply.ContentType, resp.Reply.Length, "")) && write(resp.Reply.Body)
	resp.Reply.Body = nil // far more than is needed from here on
	buf := make([]byte, streamBufferSize)
	transfer := fairqueue.Process.Begin(0)
	defer transfer.End()
	var err error
	for ok && err == nil {
		if err = transfer.Wait(len(buf), req.done); err != nil {
			break
		}
		var n int
		n, err = resp.Reply.Rest.Read(buf)
		ok = write(buf[:n])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case req.finished:
		return // already counted by the abort or the end of the connection
	case ok && err == io.EOF:
		c.front.counters.RequestEnded(req.checked.Class, metrics.Fulfilled)
		c.finish(req, End{})
	default:
		c.front.counters.RequestEnded(req.checked.Class, metrics.Faulted)
		c.front.responses.Cut(req.checked.ID, req.checked.Class, cutEnding(resp.Reply, ok))
		c.finish(req, End{AppStatus: 1})
	}
	c.flush()
}

// cutEnding describes the end of a response that could not be written completely. taken: the web server has taken all of it so far.
func cutEnding(reply engine.Reply, taken bool) engine.EndState {
	reporter, reports := reply.Rest.(engine.EndReporter)
	if !taken || !reports {
		return engine.EndState{Reason: engine.EndClientNotReading, Stage: engine.StagePassingOn}
	}
	return reporter.EndState()
}

// reject answers an invalid request with its error. Later records of the request are ignored. The caller holds mu.
func (c *client) reject(req *request, err error) {
	c.finishReading()
	response := errorResponse(err)
	var id string
	if len(req.head.RequestIDs) > 0 {
		id = req.head.RequestIDs[0]
	}
	c.front.responses.Refused(id, req.checked.Class, response.status, engine.EndInvalid)
	c.respondText(req, response)
}

// respondText writes a plain text response. The caller holds mu.
func (c *client) respondText(req *request, resp textResponse) {
	text := resp.text + "\n"
	c.out.Stream(Stdout, req.id, responseHeader(resp.status, "text/plain; charset=utf-8", int64(len(text)), resp.retryAfter))
	c.out.Stream(Stdout, req.id, []byte(text))
	c.finish(req, End{})
}

// finish ends a request. If the connection is not to be kept, it closes after its last open request. The caller
// holds mu.
func (c *client) finish(req *request, end End) {
	req.finished = true
	close(req.done)
	delete(c.requests, req.id)
	keep, err := c.app.Finish(req.id, end)
	if !keep || c.front.closing.Load() || c.front.clients.OverLimit() {
		c.closing = true
	}
	if err != nil || c.closing && len(c.requests) == 0 {
		c.flush()
		c.AbortRead() // the reader returns, and serve closes the connection
	}
	c.updatePhase()
}
