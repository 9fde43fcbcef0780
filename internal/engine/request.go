package engine

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/balancer"
)

// Request is a client's request of any protocol: it is read completely, or at least its head and as much of its body as is
// buffered. The engine uses only its id, class and times; the Message is for the backend that runs its attempts.
type Request struct {
	ID, Class string
	At        time.Duration // clock time at which its last byte was read or, with a Rest, at which it was submitted
	Deadline  time.Duration // clock time until which its client waits; with a Rest, as if At were the time of the last byte
	Message   Message

	// Set for requests that other nodes take part in. All three may be empty; front ends leave them empty.
	PriorAttempts []balancer.PriorAttempt  // attempts that another node sent
	AllowAttempt  func(*Attempt) bool      // called before the first byte of an attempt is written; false forbids the attempt
	AttemptEnded  func(*Attempt, *Outcome) // called with the outcome of each attempt

	// Forwarded remembers that the request may have run, so that it is not forwarded again with its id; nil: nothing does.
	Forwarded ForwardedIDs

	response     chan Response // buffered for the one response
	disconnected atomic.Bool   // the client has disconnected

	mu           sync.Mutex
	owner        *Engine             // engine to which it was submitted
	onDisconnect func(time.Duration) // called instead of the owner when the client disconnects
}

// ForwardedIDs remembers the ids of requests that may have run. Its methods are safe for concurrent use.
type ForwardedIDs interface {
	Add(id string)    // before the first byte of an attempt
	Remove(id string) // once it is proven that no attempt ran
}

// Message is the message for a server, in the terms that all protocols share (RFC 9110). Empty fields were not given.
type Message struct {
	Method         string
	Target         string // path and query, as received
	IdempotencyKey string
	ExtraHeaders   []Field // for gateways of partners
	ContentType    string
	Body           []byte
	Rest           io.Reader  // remaining body after Body, to be read once; nil: none. A read error means that the client aborted the upload
	Received       *Reception // of Rest; nil: not known
	Length         int64      // of Body and Rest; negative: unknown until the end

	// ClientDisconnected reports whether the client has disconnected, according to the operating system; nil: unknown. It
	// may block briefly.
	ClientDisconnected func() bool
}

// Field is a header field.
type Field struct{ Name, Value string }

// NewRequest returns a Request that can be passed to Submit or Finish.
func NewRequest(id string, message Message) *Request {
	return &Request{ID: id, Message: message, response: make(chan Response, 1)}
}

// Response returns the channel that receives the one response.
func (r *Request) Response() <-chan Response { return r.response }

// setOwner records the engine to which the request was submitted.
func (r *Request) setOwner(eng *Engine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner = eng
}

// notRun reports whether none of the prior attempts may have run.
func (r *Request) notRun() bool {
	mayHaveRun := func(prior balancer.PriorAttempt) bool { return !prior.NeverRan }
	return !slices.ContainsFunc(r.PriorAttempts, mayHaveRun)
}

// Disconnect notifies the owner of the request that its client disconnected at a clock time, so that no response is awaited
// any more. It is called by the submitter of the request.
func (r *Request) Disconnect(at time.Duration) {
	r.disconnected.Store(true)
	r.mu.Lock()
	onDisconnect := r.onDisconnect
	owner := r.owner
	r.mu.Unlock()
	if onDisconnect != nil {
		onDisconnect(at)
		return
	}
	if owner == nil || !owner.post(clientDisconnected{request: r, at: at}) {
		// It was finished before it reached an engine, or its engine's Run has returned.
		r.discard()
	}
}

// IsDisconnected reports whether the client has disconnected: Disconnect was called, whether or not the owner has handled
// it, or the operating system reports it now. Call it immediately before writing the first byte of an attempt.
func (r *Request) IsDisconnected(now func() time.Duration) bool {
	if r.disconnected.Load() {
		return true
	}
	if r.Message.ClientDisconnected == nil || !r.Message.ClientDisconnected() {
		return false
	}
	r.Disconnect(now())
	return true
}

// Intercept marks the request as answered by Finish and not by an engine. onDisconnect is called when its client
// disconnects.
func (r *Request) Intercept(onDisconnect func(at time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onDisconnect = onDisconnect
}

// Finish sends the response of an intercepted request. It must be called once.
func (r *Request) Finish(response Response) { r.response <- response }

// discard drops a response that is no longer awaited.
func (r *Request) discard() {
	select {
	case response := <-r.response:
		response.Reply.Discard()
	default:
	}
}
