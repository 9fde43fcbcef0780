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
	attemptNotBegun attemptStage = iota // for its connection: nothing of it was written
	attemptBegun
	attemptCancelled // called off before it had begun: it never will
)

// errServerGone is why an attempt was called off whose server is gone.
var errServerGone = errors.New("engine: the server is gone")

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
		a.Request.owner.post(uploadCompleted{a, at})
	}
	return at + a.Deadline - a.Sent
}

// Allowed says whether the attempt may begin now that its connection is up. It may take a while.
func (a *Attempt) Allowed() bool { return a.Request.AllowAttempt == nil || a.Request.AllowAttempt(a) }

// Begin says whether the first byte of the attempt may be written at a clock time, to arrive a way later. Once it has said
// no it never may: an attempt that was called off while it waited for its connection does not begin when that comes up.
func (a *Attempt) Begin(at, way time.Duration) bool {
	if at+way >= a.NotAfter || a.Request.Message.Rest == nil && at >= a.Deadline {
		a.stage.CompareAndSwap(attemptNotBegun, attemptCancelled)
	}
	return a.stage.CompareAndSwap(attemptNotBegun, attemptBegun)
}

// Cancel requests the attempt off. Its Outcome still comes.
func (a *Attempt) Cancel() {
	a.stage.CompareAndSwap(attemptNotBegun, attemptCancelled)
	a.cancel(nil)
}

// CancelUnbegun requests the attempt off unless it has begun: for a server it then never was.
func (a *Attempt) CancelUnbegun() {
	if a.stage.CompareAndSwap(attemptNotBegun, attemptCancelled) {
		a.cancel(nil)
	}
}

// ConnectionLost ends the attempt as if its connection had broken: others know that its server is gone, whatever the connection shows.
func (a *Attempt) ConnectionLost() {
	a.stage.CompareAndSwap(attemptNotBegun, attemptCancelled)
	a.cancel(errServerGone)
}

// Withdrawn says that the attempt was called off because nobody waits for it any more.
func (a *Attempt) Withdrawn() bool {
	return errors.Is(a.ctx.Err(), context.Canceled) && !errors.Is(context.Cause(a.ctx), errServerGone)
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
