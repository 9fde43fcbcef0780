package engine

import (
	"io"
	"strconv"
	"time"
)

// Response is the one final answer to a request.
type Response struct {
	Kind       Kind
	Reply      Reply         // of Served
	RetryAfter time.Duration // of Rejected: when the client may try again; 0: not said
	Elsewhere  bool          // this node shuts down: the client had better go to another
	NotRun     bool          // of Rejected: no attempt of it may have run
	Why        string        // of Rejected by a rule: which one
	Settled    bool          // it is the one outcome that all hear who ask about the request
}

// Discard closes what is left of the reply.
func (r Response) Discard() { r.Reply.Discard() }

// Kind says what a response promises.
type Kind int

// Kinds of responses.
const (
	Served    Kind = iota
	Rejected       // trying again is harmless
	Failed         // promises nothing
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

// Reply is what a server sent back for a request.
type Reply struct {
	Body        []byte
	ContentType string        // empty: none was given
	Rest        io.ReadCloser // what follows Body, as it comes from the server; nil: nothing. Whoever gets it closes it
	Length      int64         // of Body and Rest; negative: not known before its end
}

// Discard closes what is left of the reply.
func (r Reply) Discard() {
	if r.Rest != nil {
		r.Rest.Close()
	}
}
