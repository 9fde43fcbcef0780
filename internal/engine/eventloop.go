package engine

import (
	"context"
	"time"

	"damsontrestle/internal/balancer"
)

// eventQueueSize is how many events may wait for the loop before whoever posts one has to wait.
const eventQueueSize = 1024

// trafficLogInterval is how often the traffic since the last log line is logged, if there was any.
const trafficLogInterval = 10 * time.Second

// Run handles events until ctx ends, or until every request is finished after Retire. Attempts in flight by then are
// cancelled. It must be called once, in a goroutine of its own.
func (eng *Engine) Run(ctx context.Context) {
	defer close(eng.done)
	defer eng.cancelAttempts()
	wakeup := time.NewTimer(time.Hour)
	defer wakeup.Stop()
	logTicker := time.NewTicker(trafficLogInterval)
	defer logTicker.Stop()
	defer eng.logTraffic()
	for !eng.retiring || len(eng.pending) > 0 {
		eng.fireTimers()
		if len(eng.timers) > 0 {
			wakeup.Reset(max(0, eng.clock.Until(eng.timers[0].at)))
		}
		select {
		case e := <-eng.events:
			eng.handleEvent(e)
		case <-wakeup.C:
		case <-logTicker.C:
			eng.logTraffic()
		case <-ctx.Done():
			return
		}
	}
}

// cancelAttempts cancels every attempt that the engine still knows.
func (eng *Engine) cancelAttempts() {
	for _, p := range eng.pending {
		for _, attempt := range p.attempts {
			if attempt != nil {
				attempt.Cancel()
			}
		}
	}
}

// post passes an event to the loop. It returns false, and the event is dropped, once Run has returned.
func (eng *Engine) post(e event) bool {
	select {
	case eng.events <- e:
		return true
	case <-eng.done:
		return false
	}
}

// query has the loop answer a question. The answer is the zero value once Run has returned.
func query[T any](eng *Engine, question func(to chan T) event) (answer T) {
	to := make(chan T, 1)
	eng.post(question(to))
	select {
	case answer = <-to:
	case <-eng.done:
	}
	return answer
}

// handleEvent handles one event, at the time when it happened rather than when the loop came to it.
func (eng *Engine) handleEvent(e event) {
	switch e := e.(type) {
	case requestArrived:
		eng.handleRequest(e.request)
	case clientDisconnected:
		eng.handleDisconnect(e)
	case uploadCompleted:
		eng.handleUpload(e)
	case attemptEnded:
		eng.handleOutcome(e)
	case loadReport:
		eng.handleLoadReport(e)
	case listUpdated:
		eng.updateList(e.list, false)
	case listFailed:
		eng.decide(eng.clock.Now(), balancer.ListFailed{})
	case reconfigure:
		eng.handleReconfigure(e)
	case shutdownScheduled:
		eng.shutdownAt = e.at
		eng.rejectLate()
	case answerAll:
		eng.handleAnswerAll()
	case retire:
		eng.retiring = true
	case statusQuery:
		e.to <- eng.collectStatus()
	case statsQuery:
		e.to <- eng.collectStats()
	}
}

// handleRequest passes a new request to the balancer, or rejects it at once where it can't be finished or its id is in
// use.
func (eng *Engine) handleRequest(request *Request) {
	eng.recordLag(request.At)
	eng.sinceLog.Requests++
	eng.rejectLate()
	if eng.shuttingDown || eng.retiring || eng.tooLate(request.Class) {
		eng.sinceLog.Rejected++
		request.response <- Response{
			Kind:       Rejected,
			RetryAfter: shutdownRetryAfter,
			Elsewhere:  eng.shutdownAt > 0,
			NotRun:     request.notRun(),
		}
		return
	}
	if eng.pending[request.ID] != nil {
		// The balancer ignores a second request with an id that it knows, so nobody would respond.
		eng.sinceLog.Requests--
		request.response <- Response{Kind: Duplicate}
		return
	}
	eng.pending[request.ID] = newPendingRequest(request)
	eng.collector.requestArrived(request.Class)
	eng.decide(request.At, balancer.Request{
		ID:            request.ID,
		Class:         request.Class,
		Deadline:      request.Deadline,
		Partial:       request.Message.Rest != nil,
		PriorAttempts: request.PriorAttempts,
	})
}

// handleDisconnect ends a request whose client no longer waits for its response.
func (eng *Engine) handleDisconnect(e clientDisconnected) {
	eng.recordLag(e.at)
	p := eng.pendingOf(e.request)
	if p != nil && !p.responded {
		eng.sinceLog.Disconnected++
		p.markResponded()
		eng.decide(e.at, balancer.ClientDisconnected{ID: e.request.ID})
		eng.removeIfFinished(p)
	}
	e.request.discard()
}

// handleUpload moves the deadline of a request whose body was streamed: the client waits from the last byte of its upload.
func (eng *Engine) handleUpload(e uploadCompleted) {
	eng.recordLag(e.at)
	p := eng.pendingOf(e.attempt.Request)
	if p == nil {
		return
	}
	p.request.Deadline += e.at - p.request.At
	p.request.At = e.at
	eng.decide(e.at, balancer.Uploaded{ID: p.request.ID, Attempt: e.attempt.N, Deadline: p.request.Deadline})
}

// handleOutcome passes the outcome of an attempt to the balancer. The first success is the response to the client.
func (eng *Engine) handleOutcome(e attemptEnded) {
	attempt := e.attempt
	outcome := e.outcome
	eng.recordLag(outcome.At)
	eng.rejectLate()
	p := eng.pending[attempt.Request.ID]
	latency := outcome.At - attempt.Sent
	eng.sinceLog.Results[outcome.Result]++
	p.inFlight--
	p.mayHaveRun = p.mayHaveRun || !outcome.Result.NeverRan()
	target, listed := eng.servers[attempt.To.Server]
	eng.collector.attemptEnded(target, attempt.To.Server, listed, outcome.Result, latency)
	if outcome.Result == balancer.Success && !p.responded {
		eng.sinceLog.Served++
		p.respond(Response{Kind: Served, Reply: outcome.Reply})
	} else {
		outcome.Reply.Discard()
	}
	eng.decide(outcome.At, balancer.Outcome{
		ID:            attempt.Request.ID,
		Attempt:       attempt.N,
		Server:        attempt.To.Server,
		Result:        outcome.Result,
		Latency:       latency,
		Ended:         p.responded,
		NotReplayable: outcome.Spent,
		Load:          outcome.Load,
	})
	eng.removeIfFinished(p)
}

// handleLoadReport passes on how much a server that was polled holds.
func (eng *Engine) handleLoadReport(e loadReport) {
	now := eng.clock.Now()
	load := balancer.ServerLoad{Server: e.server, Busy: e.busy, Age: now - e.polledAt}
	eng.decide(now, balancer.LoadUpdate{ID: e.requestID, Loads: []balancer.ServerLoad{load}})
}

// handleReconfigure has the balancer decide by other settings.
func (eng *Engine) handleReconfigure(e reconfigure) {
	eng.pushed = e.pushed
	eng.slowStartWindow = e.settings.SlowStartWindow
	eng.decide(eng.clock.Now(), balancer.Reconfigure{Settings: e.settings})
}
