package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/fairqueue"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/validation"
)

// maxWriteStall is the longest time in which a client takes nothing of a streamed response.
const maxWriteStall = 10 * time.Second

// streamBufferSize is how many bytes of a streamed response are held in memory at a time.
const streamBufferSize = 16 << 10

// errBodyIncomplete rejects a request whose body was not received completely or in time.
var errBodyIncomplete = &validation.Error{Status: http.StatusBadRequest, Reason: "the body is not whole, or came too slowly"}

// reject responds to an invalid request, or to one whose listener was removed; the connection is closed after the response.
func (x *exchange) reject(err error) {
	var rejected *validation.Error
	if !errors.As(err, &rejected) {
		x.front.responses.Refused(x.requestID(), x.class, http.StatusServiceUnavailable, engine.EndNoCapacity)
		x.write(&engine.Response{Kind: engine.Rejected, RetryAfter: x.snapshot.RetryAfter()})
		return
	}
	x.front.responses.Refused(x.requestID(), x.class, rejected.Status, refusalReason(err))
	http.Error(x.writer, rejected.Reason, rejected.Status)
}

// refusalReason returns the reason for which a request was refused before it was submitted.
func refusalReason(err error) engine.EndReason {
	if errors.Is(err, errBodyIncomplete) {
		return engine.EndBodyIncomplete
	}
	return engine.EndInvalid
}

// requestID returns the id of the request, which may be invalid.
func (x *exchange) requestID() string { return x.request.Header.Get("X-Request-Id") }

// rejectCounted responds to a request that was counted as begun but could not be submitted.
func (x *exchange) rejectCounted(err error) {
	x.writer.Header().Set("Connection", "close")
	x.reject(err)
	x.front.counters.RequestEnded(x.class, metrics.Faulted)
	if x.rest != nil && !x.rest.stop() {
		x.control.Flush()
		x.rest.discard()
	}
}

// respond sends the response, also while the rest of the request's body has not been received yet.
func (x *exchange) respond(response *engine.Response) {
	early := x.rest != nil && !x.rest.stop()
	if early {
		x.writer.Header().Set("Connection", "close")
	}
	counters := x.front.counters
	if err := x.write(response); err != nil {
		counters.RequestEnded(x.class, metrics.Faulted)
		x.front.responses.Cut(x.requestID(), x.class, cutEnding(response.Reply, err))
		if !x.request.ProtoAtLeast(1, 1) {
			x.conn.resetOnClose() // a plain close would look like the end of the response
		}
		panic(http.ErrAbortHandler) // closes the connection, so that the client can tell that the response is incomplete
	}
	counters.RequestEnded(x.class, validation.Result(*response))
	if response.Kind != engine.Served {
		x.front.responses.Unserved(x.requestID(), x.class, *response)
	}
	if early {
		x.control.Flush()
		x.rest.discard()
	}
}

// errNotTaken is wrapped by errors of writing a response to its client.
var errNotTaken = errors.New("the client does not take the response")

// cutEnding describes the end of a response that could not be written completely.
func cutEnding(reply engine.Reply, err error) engine.EndState {
	reporter, reports := reply.Rest.(engine.EndReporter)
	if errors.Is(err, errNotTaken) || !reports {
		return engine.EndState{Reason: engine.EndClientNotReading, Stage: engine.StagePassingOn}
	}
	return reporter.EndState()
}

// isLastResponse reports whether a response closes its connection. Requests that were already read behind its own are answered
// first, or they would be lost.
func (x *exchange) isLastResponse(response engine.Response) bool {
	if !x.conn.mayCloseAfterResponse() {
		return false
	}
	return x.front.clients.OverLimit() || x.front.closeAfterResponse.Load() || response.TryOtherNode
}

// write sends the response to the client. After an error, part of the response may have been sent.
func (x *exchange) write(response *engine.Response) error {
	x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	header := x.writer.Header()
	if x.isLastResponse(*response) {
		header.Set("Connection", "close")
	}
	if response.Settled {
		header.Set(validation.HeaderSettled, "1")
	}
	if response.Kind == engine.Served {
		return x.writeReply(&response.Reply)
	}
	x.conn.finishResponse()
	status, text := validation.ErrorStatus(*response)
	if response.Kind == engine.Rejected && response.NotRun && response.Reason != "" { // for the partner's gateway, which must know that nothing ran
		header.Set(validation.HeaderNotRun, "1")
		header.Set(validation.HeaderRejectedBy, response.Reason)
	}
	if retryAfter := validation.RetryAfter(*response); retryAfter != "" {
		header.Set("Retry-After", retryAfter)
	}
	http.Error(x.writer, text, status)
	return nil
}

// writeReply sends the client a server's reply.
func (x *exchange) writeReply(reply *engine.Reply) error {
	header := x.writer.Header()
	if reply.ContentType == "" {
		header["Content-Type"] = nil // disables content sniffing by net/http
	} else {
		header.Set("Content-Type", reply.ContentType)
	}
	if reply.Rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
		x.conn.finishResponse()
		x.writer.Write(reply.Body)
		return nil
	}
	if reply.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	return x.streamReply(reply)
}

// streamReply sends the client a reply as it arrives from the server. After an error the response is incomplete; the caller
// must abort the connection so that the client can tell.
func (x *exchange) streamReply(reply *engine.Reply) error {
	defer reply.Rest.Close()
	written := int64(len(reply.Body))
	if len(reply.Body) > 0 {
		if err := x.writePart(reply.Body); err != nil {
			return err
		}
	}
	reply.Body = nil // far more than is needed from here on
	transfer := fairqueue.Process.Begin(0)
	defer transfer.End()
	buf := make([]byte, streamBufferSize)
	for {
		if err := transfer.Wait(streamBufferSize, x.request.Context().Done()); err != nil {
			return err
		}
		n, err := reply.Rest.Read(buf)
		written += int64(n)
		if written == reply.Length || err == io.EOF {
			x.conn.finishResponse()
		}
		if n > 0 {
			if err := x.writePart(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writePart sends the client a part of a reply without buffering it.
func (x *exchange) writePart(part []byte) error {
	x.control.SetWriteDeadline(time.Now().Add(x.front.writeStall))
	_, err := x.writer.Write(part)
	if err == nil {
		err = x.control.Flush()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errNotTaken, err)
	}
	return nil
}
