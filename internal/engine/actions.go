package engine

import (
	"container/heap"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// decide passes an event to the balancer and carries out the actions that it decides on. The balancer's time never goes
// back: an event that happened before the last one is passed on as of that one's time.
func (eng *Engine) decide(at time.Duration, e balancer.Event) {
	eng.balancerTime = max(eng.balancerTime, at)
	for _, action := range eng.balancer.Handle(eng.balancerTime, e) {
		eng.carryOut(action)
	}
}

// carryOut does what the balancer has decided.
func (eng *Engine) carryOut(action balancer.Action) {
	switch action := action.(type) {
	case balancer.Send:
		eng.send(action)
	case balancer.Poll:
		for _, server := range action.Servers {
			eng.poll(action.ID, eng.servers[server].Host(), action.Timeout)
		}
	case balancer.Cancel:
		eng.cancel(action)
	case balancer.CloseIdle:
		eng.backend.CloseIdle(eng.servers[action.Server].Host())
	case balancer.Reject:
		eng.respondUnserved(action.ID, Response{Kind: Rejected, RetryAfter: action.RetryAfter})
	case balancer.Fail:
		eng.respondUnserved(action.ID, Response{Kind: Failed})
	case balancer.SetTimer:
		heap.Push(&eng.timers, timer{at: action.At, token: action.Token})
	case balancer.Subscribe:
		eng.subscribe()
	}
}

// send begins an attempt in a goroutine of its own, which ends with the attempt's outcome.
func (eng *Engine) send(action balancer.Send) {
	p := eng.pending[action.ID]
	target := eng.servers[action.Server]
	attempt := NewAttempt(p.request, len(p.attempts), target.Host(), eng.balancerTime, eng.balancerTime+action.Timeout)
	attempt.NotAfter = action.NotAfter
	attempt.Zone = target.Zone
	attempt.Cell = target.Cell
	p.attempts = append(p.attempts, attempt)
	p.inFlight++
	eng.collector.attemptStarted(attempt.To.Server)
	eng.sinceLog.Sends++
	go eng.runAttempt(attempt)
}

// runAttempt carries an attempt out and posts its outcome.
func (eng *Engine) runAttempt(attempt *Attempt) {
	outcome := eng.backend.Run(attempt)
	attempt.Cancel() // frees what its context holds
	if attempt.Request.AttemptEnded != nil {
		attempt.Request.AttemptEnded(attempt, &outcome)
	}
	eng.post(attemptEnded{attempt: attempt, outcome: outcome})
}

// cancel cancels an attempt if this engine made it and its request is not finished.
func (eng *Engine) cancel(action balancer.Cancel) {
	p := eng.pending[action.ID]
	if p == nil {
		return
	}
	if attempt := p.attempt(action.Attempt); attempt != nil {
		attempt.Cancel()
	}
}

// poll polls a server for its load, in a goroutine of its own.
func (eng *Engine) poll(requestID string, to discovery.Host, timeout time.Duration) {
	eng.sinceLog.Polls++
	polledAt := eng.clock.Now()
	go func() {
		busy, ok := eng.backend.Poll(to, timeout)
		if !ok {
			return
		}
		eng.post(loadReport{requestID: requestID, server: to.Server, busy: busy, polledAt: polledAt})
	}()
}
