package engine

import (
	"context"
	"time"

	"damsontrestle/internal/balancer"
)

// statsEvery is how often the log tells what happened, when anything did.
const statsEvery = 10 * time.Second

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
	report := time.NewTicker(statsEvery)
	defer report.Stop()
	defer eng.report()
	for !eng.retiring || len(eng.pending) > 0 {
		eng.fireTimers()
		if len(eng.alarms) > 0 {
			timer.Reset(max(0, eng.clock.Until(eng.alarms[0].at)))
		}
		select {
		case e := <-eng.events:
			eng.handleEvent(e)
		case <-timer.C:
		case <-report.C:
			eng.report()
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
	case arrived:
		eng.lag(e.request.At)
		eng.stats.Requests++
		eng.rejectLate()
		if eng.over || eng.retiring || eng.tooLate(e.request.Class) {
			eng.stats.Rejected++
			e.request.response <- Response{Kind: Rejected, RetryAfter: time.Second, Elsewhere: eng.closeAt > 0, NotRun: e.request.notRun()}
			return
		}
		if eng.pending[e.request.ID] != nil {
			// The module ignores a second request with an id that it knows, so nobody would answer.
			eng.stats.Requests--
			e.request.response <- Response{Kind: Duplicate}
			return
		}
		// Attempts that another node made have their numbers and no more here.
		eng.pending[e.request.ID] = &pending{request: e.request, attempts: make([]*Attempt, len(e.request.PriorAttempts)), ran: !e.request.notRun()}
		eng.tally.came(e.request.Class, false)
		eng.handle(e.request.At, balancer.Request{ID: e.request.ID, Class: e.request.Class, Deadline: e.request.Deadline,
			Partial: e.request.Message.Rest != nil, PriorAttempts: e.request.PriorAttempts})
	case clientDisconnected:
		eng.lag(e.at)
		if p := eng.pending[e.request.ID]; p != nil && p.request == e.request && !p.responded {
			eng.stats.Disconnected++
			p.close()
			eng.handle(e.at, balancer.ClientDisconnected{ID: e.request.ID})
			eng.forget(p)
		}
		e.request.discard()
	case uploaded:
		eng.lag(e.at)
		if p := eng.pending[e.attempt.Request.ID]; p != nil && p.request == e.attempt.Request {
			p.request.Deadline += e.at - p.request.At
			p.request.At = e.at
			eng.handle(e.at, balancer.Uploaded{ID: p.request.ID, Attempt: e.attempt.N, Deadline: p.request.Deadline})
		}
	case ended:
		eng.lag(e.outcome.At)
		eng.rejectLate()
		eng.end(e.attempt, e.outcome)
	case closing:
		eng.closeAt = e.at
		eng.rejectLate()
	case answerAll:
		eng.over = true
		for _, p := range eng.pending {
			eng.abandon(p)
		}
	case loadReport:
		now := eng.clock.Now()
		eng.handle(now, balancer.LoadUpdate{ID: e.id, Loads: []balancer.ServerLoad{{Server: e.server, Busy: e.busy, Age: now - e.asked}}})
	case listNews:
		eng.updateList(e.list, false)
	case listFailed:
		eng.handle(eng.clock.Now(), balancer.ListFailed{})
	case reconfigure:
		eng.pushed, eng.slowStartWindow = e.pushed, e.settings.SlowStartWindow
		eng.handle(eng.clock.Now(), balancer.Reconfigure{Settings: e.settings})
	case retire:
		eng.retiring = true
	case status:
		e.to <- eng.status()
	case statsQuery:
		e.to <- eng.collectStats()
	}
}
