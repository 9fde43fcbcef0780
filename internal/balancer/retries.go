package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	retryTokensPerSuccess = 0.15 // retries earned by a success
	neverRanRetryCost     = 0.1  // tokens for a retry when the last attempt never ran; otherwise 1
	maxRetryTokens        = 10   // capacity of the retry budget
)

// mayRetry reports whether the class's effect and the limits allow another attempt now.
func (b *Balancer) mayRetry(r *request) bool {
	if r.answered || r.streaming || r.notReplayable {
		return false
	}
	if len(r.attempts) >= max(1, b.settings.MaxAttempts) {
		return false
	}
	return b.now < b.latestRetryStart(r)
}

// latestRetryStart returns the time by which another attempt must start: none may once an unsafe attempt may have
// run, and after a keyed one only while its servers still discard duplicates.
func (b *Balancer) latestRetryStart(r *request) time.Duration {
	first := slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
	switch {
	case first < 0 || r.effect == Safe:
		return math.MaxInt64
	case r.effect == Unsafe:
		return 0
	}
	return r.attempts[first].sent + r.window - 2*b.settings.Tick
}

// retryOrRespond handles a request with no attempt in flight: it retries within the budget and with time left for a
// reply, or responds. Without the retry budget, the retries of all tiers would multiply.
func (b *Balancer) retryOrRespond(req *request) {
	cost := 1.0
	last := req.attempts[len(req.attempts)-1]
	if last.neverRan {
		cost = neverRanRetryCost
	}
	remaining := float64(b.replyDeadline(req) - b.now)
	enoughTime := remaining >= req.class.meanLatency/2
	if b.mayRetry(req) && b.retryTokens >= cost && enoughTime {
		if srv := b.selectServer(req); srv != nil {
			b.retryTokens -= cost
			b.send(req, srv)
			return
		}
	}
	b.respond(req)
}
