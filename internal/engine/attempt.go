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
	Number   int // 0 for the first attempt of a request
	Host     discovery.Host
	Zone     string
	Cell     int
	SentAt   time.Duration // clock time at which the balancer decided to send it
	Deadline time.Duration // clock time at which it times out; with a Rest, the timeout is Deadline-SentAt, counted from the write of the last byte
	NotAfter time.Duration // clock time from which it must not start

	ctx    context.Context // done once the attempt is cancelled
	cancel context.CancelCauseFunc
	stage  atomic.Int32 // an attemptStage
}

// attemptStage is the state of an attempt before and after its first byte.
type attemptStage = int32

const (
	attemptNotStarted attemptStage = iota // waits for its connection; no byte was written
	attemptRunning                        // its first byte may be written
	attemptCancelled                      // was cancelled before it started, and never starts
)

// errServerGone is the cancellation cause of an attempt whose server is known to be gone.
var errServerGone = errors.New("engine: attempt cancelled: server is gone")

// NewAttempt returns an attempt of a request. number is counted from 0; sent and deadline are clock times.
func NewAttempt(request *Request, number int, host discovery.Host, sent, deadline time.Duration) *Attempt {
	attempt := &Attempt{Request: request, Number: number, Host: host, SentAt: sent, Deadline: deadline, NotAfter: math.MaxInt64}
	attempt.ctx, attempt.cancel = context.WithCancelCause(context.Background())
	return attempt
}

// Context is done once the attempt is cancelled.
func (a *Attempt) Context() context.Context { return a.ctx }

// Uploaded reports to the engine that the last byte of a request with a Rest was written to the server at a clock time, after it
// had been received from the client at another.
func (a *Attempt) Uploaded(at, receivedAt time.Duration) {
	if a.Request.owner != nil {
		a.Request.owner.post(uploadCompleted{attempt: a, at: at, receivedAt: receivedAt})
	}
}

// ReplyBegun reports to the engine at a clock time that the reply is arriving and not complete. It is called once at most.
func (a *Attempt) ReplyBegun(at time.Duration) {
	if a.Request.owner != nil {
		a.Request.owner.post(replyBegun{attempt: a, at: at})
	}
}

// Allowed reports whether Request.AllowAttempt permits the attempt, once its connection is established. It may block.
func (a *Attempt) Allowed() bool { return a.Request.AllowAttempt == nil || a.Request.AllowAttempt(a) }

// TryStart starts the attempt and reports whether its first byte may be written at a clock time, to reach the server after
// latency. Once it has returned false it never returns true: an attempt that was cancelled while it waited for its
// connection does not start when the connection is established.
func (a *Attempt) TryStart(at, latency time.Duration) bool {
	pastNotAfter := at+latency >= a.NotAfter
	timedOut := a.Request.Message.Rest == nil && at >= a.Deadline
	if pastNotAfter || timedOut {
		a.stage.CompareAndSwap(attemptNotStarted, attemptCancelled)
	}
	if !a.stage.CompareAndSwap(attemptNotStarted, attemptRunning) {
		return false
	}
	if a.Request.Forwarded != nil {
		a.Request.Forwarded.Add(a.Request.ID)
	}
	return true
}

// Cancel cancels the attempt. Its Outcome is still delivered.
func (a *Attempt) Cancel() {
	a.stage.CompareAndSwap(attemptNotStarted, attemptCancelled)
	a.cancel(nil)
}

// CancelIfNotStarted cancels the attempt unless it has started. Its server never sees an
// attempt that was cancelled this way.
func (a *Attempt) CancelIfNotStarted() {
	if a.stage.CompareAndSwap(attemptNotStarted, attemptCancelled) {
		a.cancel(nil)
	}
}

// CancelServerGone cancels the attempt as if its connection had been lost: its server is known to be gone, even if the
// connection still looks healthy.
func (a *Attempt) CancelServerGone() {
	a.stage.CompareAndSwap(attemptNotStarted, attemptCancelled)
	a.cancel(errServerGone)
}

// Cancelled reports whether the attempt was cancelled because its result is no longer needed, not by CancelServerGone.
func (a *Attempt) Cancelled() bool {
	return errors.Is(a.ctx.Err(), context.Canceled) && !errors.Is(context.Cause(a.ctx), errServerGone)
}

// Outcome is the result of an attempt. Its Result determines whether the attempt may have run: after Overloaded, Unreachable
// and NotStarted it has not run.
type Outcome struct {
	Result        balancer.Result
	At            time.Duration  // clock time of the end; for a reply, of its last byte
	Reply         Reply          // set for Success
	Load          *balancer.Load // load report of the reply; nil: none
	NotReplayable bool           // part of the request's Rest was read, so it cannot be sent again
	EndState      EndState       // set unless Success
	Reason        string         // rule by which the server rejected the request, as the server reports it

	// Settled is set for an Overloaded that is the request's final outcome, returned to every query about the request: it
	// never ran and never will.
	Settled bool
}
