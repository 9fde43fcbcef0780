package engine

import (
	"io"
	"strconv"
	"time"
)

// Response is the final response to a request.
type Response struct {
	Kind         Kind
	Reply        Reply         // set for Served
	RetryAfter   time.Duration // set for Rejected: after which the client may retry; 0: not specified
	TryOtherNode bool          // this node is shutting down: the client should use another node
	NotRun       bool          // set for Rejected: no attempt can have run
	Reason       string        // the rule that caused a Rejected; empty: none
	EndState     EndState      // set unless Served: how the last attempt ended, or why there was none
	Settled      bool          // the request's final outcome, returned to every query about the request
}

// Discard closes the unread rest of the reply.
func (r Response) Discard() { r.Reply.Discard() }

// Kind is the kind of a response, which states what the client can rely on.
type Kind int

// Kinds of responses.
const (
	Served    Kind = iota
	Rejected       // a retry is safe
	Failed         // the request may or may not have run
	Duplicate      // the id is in use by another request
)

// String returns the name of the kind, for logs and tests.
func (k Kind) String() string {
	switch k {
	case Served:
		return "served"
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	case Duplicate:
		return "duplicate"
	}
	return "Kind(" + strconv.Itoa(int(k)) + ")"
}

// Reply is a server's reply to a request.
type Reply struct {
	Body        []byte
	ContentType string        // empty: not given
	Rest        io.ReadCloser // remaining body after Body, which is not empty then, streamed from the server; nil: none. The receiver must close it
	Length      int64         // of Body and Rest; negative: unknown until the end
}

// Discard closes the unread rest of the reply.
func (r Reply) Discard() {
	if r.Rest != nil {
		r.Rest.Close()
	}
}
