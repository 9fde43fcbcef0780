package engine

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// Attempt is one send of a request to a server.
type Attempt struct {
	Request  *Request
	N        int // its number: 0 for the first of its request
	To       discovery.Host
	Zone     string
	Cell     int
	Sent     time.Duration // clock time when the balancer decided on it
	Deadline time.Duration // clock time at which it times out. With a Rest, it lasts Deadline-Sent from Uploaded on
	NotAfter time.Duration // clock time from which it may not begin any more

	ctx    context.Context // ends when it is cancelled; an attempt lives from NewAttempt to its outcome
	cancel context.CancelCauseFunc
	stage  atomic.Int32 // an attemptStage
}

// attemptStage is how far an attempt is.
type attemptStage = int32

const (
	attemptNotBegun  attemptStage = iota // it waits for its connection: no byte of it was written
	attemptBegun                         // its first byte may be written
	attemptCancelled                     // it was cancelled before it had begun: it never will
)

// errServerGone is the cause of the cancellation of an attempt whose server is known to be gone.
var errServerGone = errors.New("engine: the server is gone")

// NewAttempt returns the n-th attempt of a request. sent and deadline are clock times.
func NewAttempt(request *Request, n int, to discovery.Host, sent, deadline time.Duration) *Attempt {
	a := &Attempt{Request: request, N: n, To: to, Sent: sent, Deadline: deadline, NotAfter: math.MaxInt64}
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	return a
}

// Context ends when the attempt is cancelled.
func (a *Attempt) Context() context.Context { return a.ctx }

// Uploaded tells the engine that the last byte of a request with a Rest was written to the server at a clock time.
// It returns the clock time at which the attempt times out.
func (a *Attempt) Uploaded(at time.Duration) (deadline time.Duration) {
	if a.Request.owner != nil {
		a.Request.owner.post(uploadCompleted{attempt: a, at: at})
	}
	return at + a.Deadline - a.Sent
}

// Allowed says whether the attempt may begin now that its connection is up (Request.AllowAttempt). It may block.
func (a *Attempt) Allowed() bool { return a.Request.AllowAttempt == nil || a.Request.AllowAttempt(a) }

// Begin says whether the first byte of the attempt may be written at a clock time, to reach the server after latency. Once
// it has returned false it never returns true: an attempt that was cancelled while it waited for its connection does not
// begin when that comes up.
func (a *Attempt) Begin(at, latency time.Duration) bool {
	tooLate := at+latency >= a.NotAfter
	timedOut := a.Request.Message.Rest == nil && at >= a.Deadline
	if tooLate || timedOut {
		a.stage.CompareAndSwap(attemptNotBegun, attemptCancelled)
	}
	return a.stage.CompareAndSwap(attemptNotBegun, attemptBegun)
}

// Cancel cancels the attempt. Its Outcome still comes.
func (a *Attempt) Cancel() {
	a.stage.CompareAndSwap(attemptNotBegun, attemptCancelled)
	a.cancel(nil)
}

// CancelUnbegun cancels the attempt unless it has begun: for its server it then never was.
func (a *Attempt) CancelUnbegun() {
	if a.stage.CompareAndSwap(attemptNotBegun, attemptCancelled) {
		a.cancel(nil)
	}
}

// ConnectionLost ends the attempt as if its connection had broken: its server is known to be gone, whatever the connection
// shows.
func (a *Attempt) ConnectionLost() {
	a.stage.CompareAndSwap(attemptNotBegun, attemptCancelled)
	a.cancel(errServerGone)
}

// Withdrawn says that the attempt was cancelled because nobody waits for it any more.
func (a *Attempt) Withdrawn() bool {
	return errors.Is(a.ctx.Err(), context.Canceled) && !errors.Is(context.Cause(a.ctx), errServerGone)
}

// Outcome is how an attempt ended. Its Result is the proof of whether it may have run: after Overloaded, Unreachable and
// NotStarted it has not, whatever else happens.
type Outcome struct {
	Result balancer.Result
	At     time.Duration  // clock time: for a reply, when its last byte was read
	Reply  Reply          // of Success
	Load   *balancer.Load // load report that came with a reply; nil: none
	Spent  bool           // some of the request's Rest was read: it can't be sent again
	Why    string         // which rule the server says that it rejected the request by

	// Settled says of Overloaded that it is the one outcome that all hear who ask about the request: it never ran, and
	// never will.
	Settled bool
}
