package engine

import (
	"context"
	"time"

	"damsontrestle/internal/balancer"
)

// trafficLogInterval is how often the log tells what happened, when anything did.
const trafficLogInterval = 10 * time.Second

// Run handles events until ctx ends, or until all is over after Retire. What is out by then is called off.
func (eng *Engine) Run(ctx context.Context) {
	defer close(eng.done)
	defer func() {
		for _, p := range eng.pending {
			for _, a := range p.attempts {
				if a != nil {
					a.Cancel()
				}
			}
		}
	}()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	report := time.NewTicker(trafficLogInterval)
	defer report.Stop()
	defer eng.logTraffic()
	for !eng.retiring || len(eng.pending) > 0 {
		eng.fireTimers()
		if len(eng.timers) > 0 {
			timer.Reset(max(0, eng.clock.Until(eng.timers[0].at)))
		}
		select {
		case e := <-eng.events:
			eng.handleEvent(e)
		case <-timer.C:
		case <-report.C:
			eng.logTraffic()
		case <-ctx.Done():
			return
		}
	}
}

// post hands an event to the loop, or to nobody once that has ended.
func (eng *Engine) post(e event) bool {
	select {
	case eng.events <- e:
		return true
	case <-eng.done:
		return false
	}
}

// query has the loop answer a question; the answer is empty once Run has returned.
func query[T any](eng *Engine, question func(to chan T) event) (answer T) {
	to := make(chan T, 1)
	eng.post(question(to))
	select {
	case answer = <-to:
	case <-eng.done:
	}
	return answer
}

// handleEvent hands one event to the module, at the time when it happened rather than when the loop got to it.
func (eng *Engine) handleEvent(e event) {
	switch e := e.(type) {
	case requestArrived:
		eng.recordLag(e.request.At)
		eng.sinceLog.Requests++
		eng.rejectLate()
		if eng.shuttingDown || eng.retiring || eng.tooLate(e.request.Class) {
			eng.sinceLog.Rejected++
			e.request.response <- Response{Kind: Rejected, RetryAfter: time.Second, Elsewhere: eng.shutdownAt > 0, NotRun: e.request.notRun()}
			return
		}
		if eng.pending[e.request.ID] != nil {
			// The module ignores a second request with an id that it knows, so nobody would answer.
			eng.sinceLog.Requests--
			e.request.response <- Response{Kind: Duplicate}
			return
		}
		// Attempts that another node made have their numbers and no more here.
		eng.pending[e.request.ID] = &pendingRequest{request: e.request, attempts: make([]*Attempt, len(e.request.PriorAttempts)), mayHaveRun: !e.request.notRun()}
		eng.collector.requestArrived(e.request.Class, false)
		eng.handle(e.request.At, balancer.Request{ID: e.request.ID, Class: e.request.Class, Deadline: e.request.Deadline,
			Partial: e.request.Message.Rest != nil, PriorAttempts: e.request.PriorAttempts})
	case clientDisconnected:
		eng.recordLag(e.at)
		if p := eng.pending[e.request.ID]; p != nil && p.request == e.request && !p.responded {
			eng.sinceLog.Disconnected++
			p.markResponded()
			eng.handle(e.at, balancer.ClientDisconnected{ID: e.request.ID})
			eng.removeIfFinished(p)
		}
		e.request.discard()
	case uploadCompleted:
		eng.recordLag(e.at)
		if p := eng.pending[e.attempt.Request.ID]; p != nil && p.request == e.attempt.Request {
			p.request.Deadline += e.at - p.request.At
			p.request.At = e.at
			eng.handle(e.at, balancer.Uploaded{ID: p.request.ID, Attempt: e.attempt.N, Deadline: p.request.Deadline})
		}
	case attemptEnded:
		eng.recordLag(e.outcome.At)
		eng.rejectLate()
		eng.finishAttempt(e.attempt, e.outcome)
	case shutdownScheduled:
		eng.shutdownAt = e.at
		eng.rejectLate()
	case answerAll:
		eng.shuttingDown = true
		for _, p := range eng.pending {
			eng.abandon(p)
		}
	case loadReport:
		now := eng.clock.Now()
		eng.handle(now, balancer.LoadUpdate{ID: e.id, Loads: []balancer.ServerLoad{{Server: e.server, Busy: e.busy, Age: now - e.polledAt}}})
	case listUpdated:
		eng.updateList(e.list, false)
	case listFailed:
		eng.handle(eng.clock.Now(), balancer.ListFailed{})
	case reconfigure:
		eng.pushed, eng.slowStartWindow = e.pushed, e.settings.SlowStartWindow
		eng.handle(eng.clock.Now(), balancer.Reconfigure{Settings: e.settings})
	case retire:
		eng.retiring = true
	case statusQuery:
		e.to <- eng.collectStatus()
	case statsQuery:
		e.to <- eng.collectStats()
	}
}
