package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	retryTokensPerSuccess = 0.15 // further attempts earned by a success
	neverRanCost          = 0.1  // what a further attempt costs when the last one never ran
	maxRetryTokens        = 10   // most that can be saved up
)

// maySendAgain says that the class's effect and the limits allow one more attempt now.
func (b *Balancer) maySendAgain(r *request) bool {
	over := r.answered || r.streaming || r.notReplayable || len(r.attempts) >= max(1, b.settings.MaxAttempts)
	return !over && b.now < b.lastBegin(r)
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
// time for an answer, or the final answer. Without the budget, retries of every tier multiply.
func (b *Balancer) retryOrRespond(r *request) {
	left, cost := float64(b.usefulUntil(r)-b.now), 1.0
	if r.attempts[len(r.attempts)-1].neverRan {
		cost = neverRanCost
	}
	if b.maySendAgain(r) && b.retryTokens >= cost && left >= r.class.meanLatency/2 {
		if s := b.selectServer(r); s != nil {
			b.retryTokens -= cost
			b.send(r, s)
			return
		}
	}
	b.respond(r)
}
