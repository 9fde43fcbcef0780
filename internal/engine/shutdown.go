package engine

import (
	"time"

	"damsontrestle/internal/balancer"
)

// ShutdownAt says at which clock time AnswerAll will come. What has been sent to no server by then less the time that its
// class takes is refused, as early as that is known: begun later, it would be cut in the middle of its work.
func (eng *Engine) ShutdownAt(at time.Duration) { eng.post(shutdownScheduled{at}) }

// AnswerAll has whatever is unanswered answered now, and what still comes refused.
func (eng *Engine) AnswerAll() { eng.post(answerAll{}) }

// tooLate says that a request of a class would not be answered before the last call, as its answers come now.
func (eng *Engine) tooLate(class string) bool {
	return eng.shutdownAt > 0 && eng.clock.Now()+eng.balancer.ExpectedLatency(class) > eng.shutdownAt
}

// rejectLate refuses what waits for a server and would be sent too late to be answered, before the module sends it.
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

// abandon answers a request that the node will not be there for, as its client leaving would end it.
func (eng *Engine) abandon(p *pendingRequest) {
	if p.responded {
		return
	}
	if len(p.attempts) == 0 {
		eng.respondOnce(p.request.ID, Response{Kind: Rejected, RetryAfter: time.Second, Elsewhere: eng.shutdownAt > 0})
	} else {
		eng.respondOnce(p.request.ID, Response{Kind: Failed})
	}
	eng.handle(eng.clock.Now(), balancer.ClientDisconnected{ID: p.request.ID})
}
