package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	retryTokensPerSuccess = 0.15 // retries earned by a success
	neverRanCost          = 0.1  // tokens that a retry costs when the last attempt never ran; else 1
	maxRetryTokens        = 10   // tokens that can be saved up
)

// maySendAgain says that the class's effect and the limits allow one more attempt now.
func (b *Balancer) maySendAgain(r *request) bool {
	if r.answered || r.streaming || r.notReplayable {
		return false
	}
	if len(r.attempts) >= max(1, b.settings.MaxAttempts) {
		return false
	}
	return b.now < b.lastBegin(r)
}

// lastBegin is until when one more attempt may begin: never once an unsafe one may have run, and behind a keyed one as
// long as its servers still discard repeats.
func (b *Balancer) lastBegin(r *request) time.Duration {
	first := slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
	switch {
	case first < 0 || r.effect == Safe:
		return math.MaxInt64
	case r.effect == Unsafe:
		return 0
	}
	return r.attempts[first].sent + r.window - 2*b.settings.Tick
}

// retryOrRespond decides what follows when no attempt is left out: another within the budget and with
// time for a reply, or the response. Without the retry budget, retries of every tier multiply.
func (b *Balancer) retryOrRespond(r *request) {
	cost := 1.0
	last := r.attempts[len(r.attempts)-1]
	if last.neverRan {
		cost = neverRanCost
	}
	left := float64(b.usefulUntil(r) - b.now)
	enoughTime := left >= r.class.meanLatency/2
	if b.maySendAgain(r) && b.retryTokens >= cost && enoughTime {
		if s := b.selectServer(r); s != nil {
			b.retryTokens -= cost
			b.send(r, s)
			return
		}
	}
	b.respond(r)
}
