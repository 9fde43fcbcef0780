package engine

import (
	"context"
	"errors"
	"io"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
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
	gone         atomic.Bool   // its client has left it
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
	c.gone.Store(true)
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
	if c.gone.Load() {
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

// Attempt is one send of a request to a server.
type Attempt struct {
	Request        *Request
	N              int // from 0 for the first of its request
	To             discovery.Host
	Zone           string
	Cell           int
	Sent, Deadline time.Duration // clock times: when it was decided on, and until when it is waited for. With a Rest
	// the time between the two runs from Uploaded on
	NotAfter time.Duration // clock time from which it may not begin any more

	ctx    context.Context
	cancel context.CancelCauseFunc
	stage  atomic.Int32 // an attemptStage
}

// attemptStage is how far an attempt is.
type attemptStage = int32

const (
	attemptWaiting attemptStage = iota // for its connection: nothing of it was written
	attemptBegun
	attemptOff // called off before it had begun: it never will
)

// errLost is why an attempt was called off whose server is gone.
var errLost = errors.New("engine: the server is gone")

// NewAttempt returns the n-th attempt of a request.
func NewAttempt(c *Request, n int, to discovery.Host, sent, deadline time.Duration) *Attempt {
	a := &Attempt{Request: c, N: n, To: to, Sent: sent, Deadline: deadline, NotAfter: math.MaxInt64}
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	return a
}

// Context ends when the attempt is called off.
func (a *Attempt) Context() context.Context { return a.ctx }

// Uploaded tells the engine that the last byte of a request with a Rest was written to the server at a clock time.
// It returns until when the attempt is waited for.
func (a *Attempt) Uploaded(at time.Duration) (deadline time.Duration) {
	if a.Request.owner != nil {
		a.Request.owner.post(uploaded{a, at})
	}
	return at + a.Deadline - a.Sent
}

// Allowed says whether the attempt may begin now that its connection is up. It may take a while.
func (a *Attempt) Allowed() bool { return a.Request.AllowAttempt == nil || a.Request.AllowAttempt(a) }

// Begin says whether the first byte of the attempt may be written at a clock time, to arrive a way later. Once it has said
// no it never may: an attempt that was called off while it waited for its connection does not begin when that comes up.
func (a *Attempt) Begin(at, way time.Duration) bool {
	if at+way >= a.NotAfter || a.Request.Message.Rest == nil && at >= a.Deadline {
		a.stage.CompareAndSwap(attemptWaiting, attemptOff)
	}
	return a.stage.CompareAndSwap(attemptWaiting, attemptBegun)
}

// Cancel requests the attempt off. Its Outcome still comes.
func (a *Attempt) Cancel() {
	a.stage.CompareAndSwap(attemptWaiting, attemptOff)
	a.cancel(nil)
}

// CancelUnbegun requests the attempt off unless it has begun: for a server it then never was.
func (a *Attempt) CancelUnbegun() {
	if a.stage.CompareAndSwap(attemptWaiting, attemptOff) {
		a.cancel(nil)
	}
}

// ConnectionLost ends the attempt as if its connection had broken: others know that its server is gone, whatever the connection shows.
func (a *Attempt) ConnectionLost() {
	a.stage.CompareAndSwap(attemptWaiting, attemptOff)
	a.cancel(errLost)
}

// Withdrawn says that the attempt was called off because nobody waits for it any more.
func (a *Attempt) Withdrawn() bool {
	return errors.Is(a.ctx.Err(), context.Canceled) && !errors.Is(context.Cause(a.ctx), errLost)
}

// Outcome is how an attempt ended. Its Ending is the proof of whether it may have run: after Overloaded,
// Unreachable and Void it has not, whatever else happens.
type Outcome struct {
	Result balancer.Result
	At     time.Duration  // clock time: for an answer, when its last byte was read
	Reply  Reply          // for Success
	Load   *balancer.Load // that came with an answer; nil: none
	Spent  bool           // some of the request's Rest was read: it can't be sent again
	Why    string         // what the answer said of the rule that it was refused by

	// Settled says of Overloaded that the answer is the one that all hear who ask about the request: it never ran, and never will.
	Settled bool
}

// Backend carries attempts out.
type Backend interface {
	// Run makes an attempt and tells how it ended. By then its connection is closed, or of use to another
	// attempt: nothing more of it can reach the server.
	Run(*Attempt) Outcome
	// Servers tells of the list's news, before any attempt that follows from it. It must not block.
	Servers(targets []discovery.Target, full bool)
	// Ask asks a server how much it holds, and waits for that no longer than within. false: it has not said.
	Poll(to discovery.Host, within time.Duration) (busy float64, ok bool)
	// CloseIdle closes the idle connections to a server. It must not block.
	CloseIdle(discovery.Host)
}
