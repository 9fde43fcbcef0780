package engine

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/balancer"
)

// Request is a client's request, whatever protocol brought it: read completely, or at least its head and as much of its
// body as is kept. The engine looks at its id, class
// and times only; the Request is for the back end that carries its attempts out.
type Request struct {
	ID, Class string
	At        time.Duration // clock time when its last byte was read; with a Rest, when it was handed over
	Deadline  time.Duration // clock time until which its client waits; with a Rest, as if At were that of the last byte
	Message   Message

	// Of requests that others have a part in. All three may be empty; a Call with them is made by its taker alone.
	PriorAttempts []balancer.PriorAttempt  // attempts that another node made
	AllowAttempt  func(*Attempt) bool      // asked before the first byte of an attempt is written, which must not be where it says no
	AttemptEnded  func(*Attempt, *Outcome) // told how each attempt ended

	response     chan Response // takes one answer without blocking
	disconnected atomic.Bool   // its client has left it
	mu           sync.Mutex
	owner        *Engine             // that took it
	onDisconnect func(time.Duration) // told instead of the owner that the caller has gone
}

// Message is what a server is to get, in the terms that all protocols share (RFC 9110). What is empty was
// not given.
type Message struct {
	Method      string
	Target      string  // path and query, as they came
	Key         string  // idempotency key
	Beside      []Field // headers that go beside, to gateways of partners
	ContentType string
	Body        []byte
	Rest        io.Reader // what follows Body, to be read once; nil: nothing. An error tells that the caller has cut it
	Length      int64     // of Body and Rest; negative: not known before its end

	// Gone says whether the client has gone, as the system knows it now; nil: nobody can tell. It may wait for a moment.
	Gone func() bool
}

// Field is a header field.
type Field struct{ Name, Value string }

// NewRequest returns a Call that can be answered.
func NewRequest(id string, r Message) *Request {
	return &Request{ID: id, Message: r, response: make(chan Response, 1)}
}

// Response gives the one final answer, once.
func (c *Request) Response() <-chan Response { return c.response }

// notRun says that no attempt that another node made may have run.
func (c *Request) notRun() bool {
	return !slices.ContainsFunc(c.PriorAttempts, func(e balancer.PriorAttempt) bool { return !e.NeverRan })
}

// Disconnect tells whoever took the request that its client has gone at a clock time: nothing more is owed to it. It is for whoever
// had the request taken.
func (c *Request) Disconnect(at time.Duration) {
	c.disconnected.Store(true)
	c.mu.Lock()
	left, owner := c.onDisconnect, c.owner
	c.mu.Unlock()
	if left != nil {
		left(at)
		return
	}
	if owner == nil || !owner.post(clientDisconnected{c, at}) { // answered by whoever stands before the engines, or by one that has ended
		c.discard()
	}
}

// IsLeft says that nobody waits for the request any more: its client has left it, whether or not its owner has heard of that,
// or has gone without a word. It is to be asked right before the first byte of an attempt is written.
func (c *Request) IsLeft(now func() time.Duration) bool {
	if c.disconnected.Load() {
		return true
	}
	if c.Message.Gone == nil || !c.Message.Gone() {
		return false
	}
	c.Disconnect(now())
	return true
}

// Intercept has a request be answered by Finish and not by an engine. left is told that its client has gone.
func (c *Request) Intercept(left func(at time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDisconnect = left
}

// Finish gives the answer of a request that is held, once.
func (c *Request) Finish(a Response) { c.response <- a }

// discard drops an answer that nobody waits for any more.
func (c *Request) discard() {
	select {
	case a := <-c.response:
		a.Reply.Discard()
	default:
	}
}
