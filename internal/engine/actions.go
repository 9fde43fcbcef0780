package engine

import (
	"container/heap"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// handleBalancerEvent passes an event to the balancer and executes the actions that it returns. The balancer's time is
// monotonic: an event that happened before the previous one is passed with the time of the previous one.
func (eng *Engine) handleBalancerEvent(at time.Duration, event balancer.Event) {
	eng.balancerTime = max(eng.balancerTime, at)
	for _, action := range eng.balancer.Handle(eng.balancerTime, event) {
		eng.execute(action)
	}
}

// execute performs one action of the balancer.
func (eng *Engine) execute(action balancer.Action) {
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
		eng.requestSubscription()
	}
}

// send starts an attempt in a new goroutine, which ends with the attempt's outcome.
func (eng *Engine) send(action balancer.Send) {
	pending := eng.pending[action.ID]
	target := eng.servers[action.Server]
	attempt := NewAttempt(pending.request, len(pending.attempts), target.Host(), eng.balancerTime, eng.balancerTime+action.Timeout)
	attempt.NotAfter = action.NotAfter
	attempt.Zone = target.Zone
	attempt.Cell = target.Cell
	pending.attempts = append(pending.attempts, attempt)
	pending.inFlight++
	eng.collector.attemptStarted(attempt.Host.Server)
	eng.unloggedTraffic.Sends++
	go eng.runAttempt(attempt)
}

// runAttempt runs an attempt on the backend and posts its outcome.
func (eng *Engine) runAttempt(attempt *Attempt) {
	outcome := eng.backend.Run(attempt)
	attempt.Cancel() // releases its context
	if attempt.Request.AttemptEnded != nil {
		attempt.Request.AttemptEnded(attempt, &outcome)
	}
	eng.post(attemptEnded{attempt: attempt, outcome: outcome})
}

// cancel cancels an attempt if this engine sent it and its request is not finished.
func (eng *Engine) cancel(action balancer.Cancel) {
	pending := eng.pending[action.ID]
	if pending == nil {
		return
	}
	if attempt := pending.attempt(action.Attempt); attempt != nil {
		attempt.Cancel()
	}
}

// poll asks a server for its load in a new goroutine.
func (eng *Engine) poll(requestID string, host discovery.Host, timeout time.Duration) {
	eng.unloggedTraffic.Polls++
	polledAt := eng.clock.Now()
	go func() {
		busy, ok := eng.backend.Poll(host, timeout)
		if !ok {
			return
		}
		eng.post(loadReport{requestID: requestID, server: host.Server, busy: busy, polledAt: polledAt})
	}()
}
