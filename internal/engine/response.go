package engine

import (
	"io"
	"time"
)

// Response is the one final answer to a request.
type Response struct {
	Kind       Kind
	Reply      Reply         // for Served
	RetryAfter time.Duration // for Refused: when to come back; 0: not said
	Elsewhere  bool          // this node is ending: the client had better go to another
	NotRun     bool          // for Refused: no attempt of it may have run
	Why        string        // for Refused by a rule: which one
	Settled    bool          // it is the one answer that all hear who ask about the request
}

// Discard closes what is left of the answer.
func (a Response) Discard() { a.Reply.Discard() }

// Kind says what an answer promises.
type Kind int

// Kinds of answers.
const (
	Served    Kind = iota
	Rejected       // trying again is harmless
	Failed         // promises nothing
	Duplicate      // the id is in use by another request
)

// Reply is what a server made for a request.
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
