package http1

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/validation"
)

// maxWriteStall is how long a client may take nothing of a response that passes through.
const maxWriteStall = 10 * time.Second

// streamBuffer is how much of a response that passes through is held at once, in bytes.
const streamBuffer = 16 << 10

// errBodyIncomplete answers a client that has not sent its body completely, or not within its time.
var errBodyIncomplete = &validation.Rejected{Status: http.StatusBadRequest, Reason: "the body is not whole, or came too slowly"}

// reject answers a request that can't be used, or whose listener has gone, with its connection's end.
func (x *exchange) reject(err error) {
	var rejected *validation.Rejected
	if !errors.As(err, &rejected) {
		x.write(engine.Response{Kind: engine.Rejected, RetryAfter: x.snapshot.RetryAfter()})
		return
	}
	http.Error(x.writer, rejected.Reason, rejected.Status)
}

// rejectTaken answers a request that was counted as begun and could not be taken.
func (x *exchange) rejectTaken(err error) {
	x.writer.Header().Set("Connection", "close")
	x.reject(err)
	x.front.counters.RequestEnded(x.class, metrics.Faulted)
	if x.rest != nil && !x.rest.end() {
		x.control.Flush()
		x.rest.discard()
	}
}

// respond gives the request its response, also where the rest of its body has not come yet.
func (x *exchange) respond(response engine.Response) {
	early := x.rest != nil && !x.rest.end()
	if early {
		x.writer.Header().Set("Connection", "close")
	}
	counters := x.front.counters
	if err := x.write(response); err != nil {
		counters.RequestEnded(x.class, metrics.Faulted)
		if !x.request.ProtoAtLeast(1, 1) {
			x.conn.reset() // its end alone would look like the response's
		}
		panic(http.ErrAbortHandler) // so that the client can tell that the response is not complete
	}
	counters.RequestEnded(x.class, validation.Result(response))
	if early {
		x.control.Flush()
		x.rest.discard()
	}
}

// isLast reports whether a response ends its connection. What was read behind its request is answered first, or it would be
// lost, unless that is too much.
func (x *exchange) isLast(response engine.Response) bool {
	may, must := x.conn.isLast()
	if must || !may {
		return must
	}
	return x.front.clients.OverLimit() || x.front.closing.Load() || response.TryOtherNode
}

// write gives the response to the client. With an error it was begun and is not complete.
func (x *exchange) write(response engine.Response) error {
	x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	header := x.writer.Header()
	if x.isLast(response) {
		header.Set("Connection", "close")
	}
	if response.Settled {
		header.Set(validation.HeaderSettled, "1")
	}
	if response.Kind == engine.Served {
		return x.writeReply(response.Reply)
	}
	status, text := validation.Text(response)
	if response.Kind == engine.Rejected && response.NotRun && response.Reason != "" { // for a partner's gateway, which must know that nothing ran
		header.Set(validation.HeaderNotRun, "1")
		header.Set(validation.HeaderRejectedBy, response.Reason)
	}
	if retryAfter := validation.RetryAfter(response); retryAfter != "" {
		header.Set("Retry-After", retryAfter)
	}
	http.Error(x.writer, text, status)
	return nil
}

// writeReply gives the client what a server replied.
func (x *exchange) writeReply(reply engine.Reply) error {
	header := x.writer.Header()
	if reply.ContentType == "" {
		header["Content-Type"] = nil // none, rather than a guess
	} else {
		header.Set("Content-Type", reply.ContentType)
	}
	if reply.Rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
		x.writer.Write(reply.Body)
		return nil
	}
	if reply.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	return x.streamReply(reply)
}

// streamReply gives the client a reply as it comes from the server. With an error it is not complete, and the client can
// tell if its connection is cut.
func (x *exchange) streamReply(reply engine.Reply) error {
	defer reply.Rest.Close()
	if len(reply.Body) > 0 {
		if err := x.writePart(reply.Body); err != nil {
			return err
		}
	}
	buf := make([]byte, streamBuffer)
	for {
		n, err := reply.Rest.Read(buf)
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

// writePart gives the client a part of a reply at once.
func (x *exchange) writePart(part []byte) error {
	x.control.SetWriteDeadline(time.Now().Add(maxWriteStall))
	if _, err := x.writer.Write(part); err != nil {
		return err
	}
	return x.control.Flush()
}
