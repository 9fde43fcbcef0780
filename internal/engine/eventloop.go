package engine

import (
	"context"
	"time"

	"damsontrestle/internal/balancer"
)

// eventQueueSize is the number of events that are queued for the loop before post blocks.
const eventQueueSize = 1024

// trafficLogInterval is the interval of the traffic log; an interval without traffic is not logged.
const trafficLogInterval = 10 * time.Second

// Run handles events until ctx is done or, after Retire, until every request is finished. It then cancels the attempts in
// flight. It must be called once, in its own goroutine.
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

// cancelAttempts cancels every attempt of the pending requests.
func (eng *Engine) cancelAttempts() {
	for _, pending := range eng.pending {
		for _, attempt := range pending.attempts {
			if attempt != nil {
				attempt.Cancel()
			}
		}
	}
}

// post queues an event for the loop. Once Run has returned it drops the event and returns false.
func (eng *Engine) post(e event) bool {
	select {
	case eng.events <- e:
		return true
	case <-eng.done:
		return false
	}
}

// query posts an event that the loop answers on a channel. It returns the zero value once Run has returned.
func query[T any](eng *Engine, newEvent func(reply chan T) event) (answer T) {
	reply := make(chan T, 1)
	eng.post(newEvent(reply))
	select {
	case answer = <-reply:
	case <-eng.done:
	}
	return answer
}

// handleEvent handles one event, with the time at which it happened, not the time of its handling.
func (eng *Engine) handleEvent(event event) {
	switch event := event.(type) {
	case requestArrived:
		eng.handleRequest(event.request)
	case clientDisconnected:
		eng.handleDisconnect(event)
	case uploadCompleted:
		eng.handleUpload(event)
	case replyBegun:
		eng.handleReplyBegun(event)
	case attemptEnded:
		eng.handleOutcome(event)
	case loadReport:
		eng.handleLoadReport(event)
	case listUpdated:
		eng.updateList(event.list, false)
	case listFailed:
		eng.handleBalancerEvent(eng.clock.Now(), balancer.ListFailed{})
	case reconfigure:
		eng.handleReconfigure(event)
	case shutdownScheduled:
		eng.shutdownAt = event.at
		eng.rejectQueuedBeforeShutdown()
	case shutdown:
		eng.handleShutdown()
	case retire:
		eng.retiring = true
	case statusQuery:
		event.reply <- eng.collectStatus()
	case statsQuery:
		event.reply <- eng.collectStats()
	}
}

// handleRequest passes a new request to the balancer. It rejects the request at once if it cannot be finished or if its id
// is in use.
func (eng *Engine) handleRequest(request *Request) {
	eng.recordLag(request.At)
	eng.unloggedTraffic.Requests++
	eng.rejectQueuedBeforeShutdown()
	if eng.shuttingDown || eng.retiring || eng.cannotFinishBeforeShutdown(request.Class) {
		eng.unloggedTraffic.Rejected++
		request.response <- Response{
			Kind:         Rejected,
			RetryAfter:   shutdownRetryAfter,
			TryOtherNode: eng.shutdownAt > 0,
			NotRun:       request.notRun(),
			EndState:     EndState{Reason: EndShutdown},
		}
		return
	}
	if eng.pending[request.ID] != nil {
		// The balancer ignores a second request with a known id, so the request would get no response.
		eng.unloggedTraffic.Requests--
		request.response <- Response{Kind: Duplicate, EndState: EndState{Reason: EndDuplicate}}
		return
	}
	eng.pending[request.ID] = newPendingRequest(request)
	eng.collector.requestArrived(request.Class)
	eng.handleBalancerEvent(request.At, balancer.Request{
		ID:            request.ID,
		Class:         request.Class,
		Deadline:      request.Deadline,
		Partial:       request.Message.Rest != nil,
		PriorAttempts: request.PriorAttempts,
	})
}

// handleDisconnect ends a request whose client has disconnected.
func (eng *Engine) handleDisconnect(e clientDisconnected) {
	eng.recordLag(e.at)
	pending := eng.pendingOf(e.request)
	if pending != nil && !pending.responded {
		eng.unloggedTraffic.Disconnected++
		pending.markResponded()
		eng.handleBalancerEvent(e.at, balancer.ClientDisconnected{ID: e.request.ID})
		eng.removeIfFinished(pending)
	}
	e.request.discard()
}

// handleUpload extends the deadline of a streamed request: its client's wait starts with the reception of the last byte.
func (eng *Engine) handleUpload(e uploadCompleted) {
	eng.recordLag(e.at)
	pending := eng.pendingOf(e.attempt.Request)
	if pending == nil {
		return
	}
	pending.request.Deadline += e.receivedAt - pending.request.At
	pending.request.At = e.receivedAt
	eng.handleBalancerEvent(e.at, balancer.Uploaded{ID: pending.request.ID, Attempt: e.attempt.Number, Deadline: pending.request.Deadline})
}

// handleReplyBegun tells the balancer that a server responds.
func (eng *Engine) handleReplyBegun(e replyBegun) {
	eng.recordLag(e.at)
	if eng.pendingOf(e.attempt.Request) != nil {
		eng.handleBalancerEvent(e.at, balancer.ReplyBegun{ID: e.attempt.Request.ID, Attempt: e.attempt.Number})
	}
}

// handleOutcome passes the outcome of an attempt to the balancer. The reply of the first success becomes the response.
func (eng *Engine) handleOutcome(e attemptEnded) {
	attempt := e.attempt
	outcome := e.outcome
	eng.recordLag(outcome.At)
	eng.rejectQueuedBeforeShutdown()
	pending := eng.pending[attempt.Request.ID]
	latency := outcome.At - attempt.SentAt
	eng.unloggedTraffic.Results[outcome.Result]++
	pending.inFlight--
	pending.ending = outcome.EndState
	pending.ending.Server = attempt.Host.Server
	pending.mayHaveRun = pending.mayHaveRun || !outcome.Result.NeverRan()
	target, listed := eng.servers[attempt.Host.Server]
	eng.collector.attemptEnded(target, attempt.Host.Server, listed, outcome.Result, latency)
	if outcome.Result == balancer.Success && !pending.responded {
		eng.unloggedTraffic.Served++
		pending.respond(Response{Kind: Served, Reply: outcome.Reply})
	} else {
		outcome.Reply.Discard()
	}
	eng.handleBalancerEvent(outcome.At, balancer.Outcome{
		ID:            attempt.Request.ID,
		Attempt:       attempt.Number,
		Server:        attempt.Host.Server,
		Result:        outcome.Result,
		Latency:       latency,
		Ended:         pending.responded,
		NotReplayable: outcome.NotReplayable,
		UploadTime:    uploadTime(attempt, outcome.At),
		Load:          outcome.Load,
	})
	eng.removeIfFinished(pending)
}

// uploadTime returns for how long the client was still sending its request during an attempt that ended at a clock time.
func uploadTime(attempt *Attempt, end time.Duration) time.Duration {
	message := &attempt.Request.Message
	if message.Rest == nil {
		return 0
	}
	return max(0, min(end, message.Received.At(end))-attempt.SentAt)
}

// handleLoadReport passes the load of a polled server to the balancer.
func (eng *Engine) handleLoadReport(e loadReport) {
	now := eng.clock.Now()
	load := balancer.ServerLoad{Server: e.server, Busy: e.busy, Age: now - e.polledAt}
	eng.handleBalancerEvent(now, balancer.LoadUpdate{ID: e.requestID, Loads: []balancer.ServerLoad{load}})
}

// handleReconfigure replaces the balancer's settings.
func (eng *Engine) handleReconfigure(e reconfigure) {
	eng.listsPushed = e.listsPushed
	eng.slowStartWindow = e.settings.SlowStartWindow
	eng.handleBalancerEvent(eng.clock.Now(), balancer.Reconfigure{Settings: e.settings})
}
