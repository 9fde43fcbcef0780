package engine

import (
	"time"

	"damsontrestle/internal/balancer"
)

// shutdownRetryAfter is the Retry-After of requests that are rejected because of a shutdown.
const shutdownRetryAfter = time.Second

// ScheduleShutdown announces the clock time at which Shutdown will be called. A request that could not be served by then,
// at the current latencies of its class, is rejected as soon as this is known: if sent later, it would be aborted halfway.
func (eng *Engine) ScheduleShutdown(at time.Duration) { eng.post(shutdownScheduled{at: at}) }

// Shutdown ends every pending request at once, with Rejected if it was not sent and Failed otherwise, and rejects new ones.
func (eng *Engine) Shutdown() { eng.post(shutdown{}) }

// handleShutdown ends every pending request.
func (eng *Engine) handleShutdown() {
	eng.shuttingDown = true
	for _, pending := range eng.pending {
		eng.abandon(pending)
	}
}

// cannotFinishBeforeShutdown reports whether a request of a class would not be served before the scheduled shutdown, at the
// current latencies.
func (eng *Engine) cannotFinishBeforeShutdown(class string) bool {
	if eng.shutdownAt == 0 {
		return false
	}
	return eng.clock.Now()+eng.balancer.ExpectedLatency(class) > eng.shutdownAt
}

// rejectQueuedBeforeShutdown rejects queued requests that cannot finish before the shutdown, so that they are not sent.
func (eng *Engine) rejectQueuedBeforeShutdown() {
	if eng.shutdownAt == 0 {
		return
	}
	for _, p := range eng.pending {
		if len(p.attempts) == 0 && eng.cannotFinishBeforeShutdown(p.request.Class) {
			eng.abandon(p)
		}
	}
}

// abandon ends a request that this node will not finish. For the balancer it ends as if its client had disconnected.
func (eng *Engine) abandon(pending *pendingRequest) {
	if pending.responded {
		return
	}
	response := Response{Kind: Failed}
	if len(pending.attempts) == 0 {
		response = Response{Kind: Rejected, RetryAfter: shutdownRetryAfter, TryOtherNode: eng.shutdownAt > 0}
	}
	response.EndState = pending.lastEnding()
	response.EndState.Reason = EndShutdown
	eng.respondUnserved(pending.request.ID, response)
	eng.handleBalancerEvent(eng.clock.Now(), balancer.ClientDisconnected{ID: pending.request.ID})
}
