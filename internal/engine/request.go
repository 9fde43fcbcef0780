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
// body as is kept. The engine looks at its id, class and times only; the Message is for the back end that carries its
// attempts out.
type Request struct {
	ID, Class string
	At        time.Duration // clock time when its last byte was read; with a Rest, when it was submitted
	Deadline  time.Duration // clock time until which its client waits; with a Rest, as if At were that of the last byte
	Message   Message

	// For requests that other nodes take part in. All three may be empty; front ends leave them so.
	PriorAttempts []balancer.PriorAttempt  // attempts that another node made
	AllowAttempt  func(*Attempt) bool      // asked before the first byte of an attempt is written; false: it must not be
	AttemptEnded  func(*Attempt, *Outcome) // called with the outcome of each attempt

	response     chan Response // has capacity for the one response
	disconnected atomic.Bool   // its client has left

	mu           sync.Mutex
	owner        *Engine             // that it was submitted to
	onDisconnect func(time.Duration) // called in place of the owner when the client leaves
}

// Message is what a server is to get, in the terms that all protocols share (RFC 9110). What is empty was
// not given.
type Message struct {
	Method      string
	Target      string  // path and query, as they came
	Key         string  // idempotency key
	Beside      []Field // further headers, for gateways of partners
	ContentType string
	Body        []byte
	Rest        io.Reader // what follows Body, to be read once; nil: nothing. An error says that the client has cut it off
	Length      int64     // of Body and Rest; negative: not known before its end

	// Gone says whether the client has disconnected, as the system knows it now; nil: nobody can tell. It may block for a
	// moment.
	Gone func() bool
}

// Field is a header field.
type Field struct{ Name, Value string }

// NewRequest returns a Request that can be submitted, or answered by Finish.
func NewRequest(id string, message Message) *Request {
	return &Request{ID: id, Message: message, response: make(chan Response, 1)}
}

// Response gives the one response, once.
func (r *Request) Response() <-chan Response { return r.response }

// setOwner notes which engine the request was submitted to.
func (r *Request) setOwner(eng *Engine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner = eng
}

// notRun says that no attempt that another node made may have run.
func (r *Request) notRun() bool {
	mayHaveRun := func(prior balancer.PriorAttempt) bool { return !prior.NeverRan }
	return !slices.ContainsFunc(r.PriorAttempts, mayHaveRun)
}

// Disconnect tells whoever owns the request that its client left at a clock time: nobody waits for the response any more.
// It is for whoever submitted the request.
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
		// It was answered before it came to an engine, or by one whose Run has returned.
		r.discard()
	}
}

// IsLeft says that nobody waits for the response any more: the client has left, whether or not the owner has heard of
// that, or the system says so now. It is to be asked right before the first byte of an attempt is written.
func (r *Request) IsLeft(now func() time.Duration) bool {
	if r.disconnected.Load() {
		return true
	}
	if r.Message.Gone == nil || !r.Message.Gone() {
		return false
	}
	r.Disconnect(now())
	return true
}

// Intercept has the request be answered by Finish and not by an engine. onDisconnect is called when its client leaves.
func (r *Request) Intercept(onDisconnect func(at time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onDisconnect = onDisconnect
}

// Finish gives the response of an intercepted request, once.
func (r *Request) Finish(response Response) { r.response <- response }

// discard drops a response that nobody waits for any more.
func (r *Request) discard() {
	select {
	case response := <-r.response:
		response.Reply.Discard()
	default:
	}
}
