package upstream

import (
	"context"
	"errors"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/engine"
)

// Run implements engine.Backend: it makes an attempt and returns its outcome. Its connection is then closed or idle again.
func (p *Pool) Run(attempt *engine.Attempt) engine.Outcome {
	ctx, cancel := p.attemptContext(attempt)
	defer cancel()
	outcome := p.try(ctx, attempt)
	if outcome.At == 0 {
		outcome.At = p.clock.Now()
	}
	return outcome
}

// attemptContext returns a context that ends when the attempt is cancelled, or when the time for its start is over: at the attempt's
// deadline or, for a request whose body is still being received, when its client waits no longer.
func (p *Pool) attemptContext(attempt *engine.Attempt) (context.Context, context.CancelFunc) {
	if attempt.Request.Message.Rest == nil {
		return context.WithTimeout(attempt.Context(), p.clock.Until(attempt.Deadline))
	}
	ctx, cancel := context.WithCancel(attempt.Context())
	reception := attempt.Request.Message.Received
	clientTime := attempt.Request.Deadline - attempt.Request.At
	go func() {
		select {
		case <-reception.Done():
			clock.Sleep(ctx, p.clock.Until(reception.At(0)+clientTime))
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// try makes an attempt on a connection that no other request uses meanwhile.
func (p *Pool) try(ctx context.Context, attempt *engine.Attempt) engine.Outcome {
	c, waiter, result := p.acquire(ctx, attempt)
	if c == nil {
		return engine.Outcome{Result: result, EndState: endingBeforeStart(result)}
	}
	if result, ok := p.tryStart(ctx, attempt, c); !ok {
		p.abandon(c, waiter, closeAttemptEnded)
		return engine.Outcome{Result: result, EndState: endingBeforeStart(result)}
	}
	outcome := p.run(attempt, c, waiter)
	reason := outcome.EndState.Reason
	outcome.EndState = p.ending(c, outcome.Result)
	if reason != "" {
		outcome.EndState.Reason = reason
	}
	return outcome
}

// run sends the request on a connection and waits for the reply or the end of the attempt.
func (p *Pool) run(attempt *engine.Attempt, c *conn, waiter chan reply) engine.Outcome {
	p.mu.Lock()
	c.attempt = attempt
	p.mu.Unlock()
	// A cancelled attempt closes its connection, which ends the wait for the reply.
	stop := context.AfterFunc(attempt.Context(), func() { p.abandon(c, waiter, closeAttemptEnded) })
	defer stop()
	if attempt.Request.Message.Rest != nil {
		return p.upload(attempt, c, waiter)
	}
	return p.exchange(attempt, c, waiter)
}

// acquire returns a connection on which the attempt's request may be written next, and the channel that receives the reply; or,
// without a connection, the result of the attempt. Idle connections that turn out to be closed are replaced, fresh ones are not.
func (p *Pool) acquire(ctx context.Context, attempt *engine.Attempt) (c *conn, waiter chan reply, result balancer.Result) {
	for {
		waiter = make(chan reply, 1)
		c, fresh, err := p.connect(ctx, attempt.Host, waiter)
		switch {
		case errors.Is(err, errNoCapacity):
			return nil, nil, balancer.NotStarted
		case err != nil && attempt.Cancelled():
			return nil, nil, balancer.Cancelled
		case err != nil:
			return nil, nil, balancer.Unreachable
		}
		if !attempt.Allowed() {
			p.abandon(c, waiter, closeAttemptEnded)
			return nil, nil, balancer.NotStarted
		}
		err = p.beginExchange(c, waiter, attempt.Request)
		switch {
		case err == nil:
			return c, waiter, 0
		case errors.Is(err, errUnsettled) && attempt.Cancelled():
			return nil, nil, balancer.Cancelled
		case errors.Is(err, errUnsettled) && ctx.Err() != nil:
			return nil, nil, balancer.NotStarted
		case fresh && errors.Is(err, errNoCapacity):
			return nil, nil, balancer.NotStarted
		case fresh:
			return nil, nil, balancer.Unreachable
		}
	}
}

// tryStart reports whether an attempt may start on its connection, and its result if not. Waiting for the connection may have
// taken long: meanwhile the client may have disconnected, the deadline passed, or the server been set to drain.
func (p *Pool) tryStart(ctx context.Context, attempt *engine.Attempt, c *conn) (result balancer.Result, ok bool) {
	p.mu.Lock()
	ready := p.isReady(c.host)
	p.mu.Unlock()
	switch {
	case ready && ctx.Err() == nil && attempt.TryStart(p.clock.Now(), c.dialTime):
		return 0, true
	case attempt.Cancelled():
		return balancer.Cancelled, false
	case ctx.Err() != nil:
		return balancer.Unreachable, false
	}
	return balancer.NotStarted, false
}

// exchange writes a request whose body is complete and waits for its reply. The request goes in one write, whose result tells
// whether the last byte was sent.
func (p *Pool) exchange(attempt *engine.Attempt, c *conn, waiter chan reply) engine.Outcome {
	request := attempt.Request
	wait := p.startReplyWait(c, waiter, attempt.Deadline, attempt.Deadline-attempt.SentAt, request.Deadline-request.At)
	defer wait.stop()
	text, result := p.requestText(attempt)
	if text == nil {
		p.abandon(c, waiter, closeAttemptEnded)
		return engine.Outcome{Result: result}
	}
	sent, err := p.writeRequest(c, waiter, text)
	if err == nil {
		p.counters.AttemptSent()
	}
	got := <-waiter
	switch {
	case got.err == nil:
		return got.Outcome
	case attempt.Cancelled():
		return engine.Outcome{Result: balancer.Cancelled}
	case errors.Is(err, errUnsolicited):
		return engine.Outcome{Result: balancer.NotStarted}
	case sent < len(text) && isLocalShortage(err):
		return engine.Outcome{Result: balancer.NotStarted}
	case sent < len(text):
		// The server did not get the last byte, so it cannot have run the request: a retry is safe.
		return engine.Outcome{Result: balancer.Unreachable}
	case wait.timedOut.Load() || attempt.Context().Err() != nil:
		return engine.Outcome{Result: balancer.TimedOut}
	}
	return engine.Outcome{Result: balancer.ConnectionLost, EndState: engine.EndState{Reason: lostReason(got.err)}}
}
