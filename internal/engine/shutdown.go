package engine

import (
	"time"

	"damsontrestle/internal/balancer"
)

// shutdownRetryAfter is the Retry-After of requests that are rejected because the node shuts down.
const shutdownRetryAfter = time.Second

// ShutdownAt says at which clock time AnswerAll will come. A request that could not be served by then, as latencies of
// its class are now, is rejected as soon as that is known: begun later, it would be cut off in the middle.
func (eng *Engine) ShutdownAt(at time.Duration) { eng.post(shutdownScheduled{at: at}) }

// AnswerAll has every request without a response be answered now, and rejects those that still come.
func (eng *Engine) AnswerAll() { eng.post(answerAll{}) }

// handleAnswerAll answers every request that is still open.
func (eng *Engine) handleAnswerAll() {
	eng.shuttingDown = true
	for _, p := range eng.pending {
		eng.abandon(p)
	}
}

// tooLate says that a request of a class would not be served before the shutdown, as latencies are now.
func (eng *Engine) tooLate(class string) bool {
	if eng.shutdownAt == 0 {
		return false
	}
	return eng.clock.Now()+eng.balancer.ExpectedLatency(class) > eng.shutdownAt
}

// rejectLate rejects queued requests that it is too late for, before the balancer sends them.
func (eng *Engine) rejectLate() {
	if eng.shutdownAt == 0 {
		return
	}
	for _, p := range eng.pending {
		if len(p.attempts) == 0 && eng.tooLate(p.request.Class) {
			eng.abandon(p)
		}
	}
}

// abandon answers a request that this node won't finish. For the balancer it ends as if its client had disconnected.
func (eng *Engine) abandon(p *pendingRequest) {
	if p.responded {
		return
	}
	response := Response{Kind: Failed}
	if len(p.attempts) == 0 {
		response = Response{Kind: Rejected, RetryAfter: shutdownRetryAfter, Elsewhere: eng.shutdownAt > 0}
	}
	eng.respondUnserved(p.request.ID, response)
	eng.decide(eng.clock.Now(), balancer.ClientDisconnected{ID: p.request.ID})
}
