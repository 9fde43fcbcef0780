package balancer

import (
	"slices"
	"time"
)

// delay queues a request until a server may take it. Its timer guarantees a response.
func (b *Balancer) delay(r *request) {
	if b.now >= b.delayLimit(r) {
		b.respond(r)
		return
	}
	if !r.delayed {
		r.delayed = true
		b.delayed = append(b.delayed, r)
	}
	b.scheduleTimer(r, b.delayLimit(r))
}

// removeDelayed removes a request from the delayed ones.
func (b *Balancer) removeDelayed(r *request) {
	r.delayed = false
	b.delayed = slices.DeleteFunc(b.delayed, func(h *request) bool { return h == r })
}

// delayLimit returns the time until which delaying a request is useful: after it, a reply would probably miss the
// latency objective, and late replies waste capacity. Without any ready server a late reply is the best possible
// result, so the limit is then just before the deadline.
func (b *Balancer) delayLimit(r *request) time.Duration {
	latest := r.deadline - 2*b.settings.Tick
	if len(b.ready) == 0 {
		return latest
	}
	objective := r.class.LatencyObjective
	maxDelay := max(objective/4, objective-time.Duration(r.class.meanLatency+2*r.class.latencyDeviation))
	return min(latest, r.arrived+maxDelay)
}

// releaseDelayed sends delayed requests while the window has room, the most valuable first.
func (b *Balancer) releaseDelayed() {
	for range len(b.delayed) { // the current number, even if sending one request delays another
		if len(b.delayed) == 0 {
			return
		}
		best := b.mostValuable()
		if b.windowFull(best) {
			return
		}
		s := b.selectServer(best)
		if s == nil {
			return
		}
		b.send(best, s)
	}
}

// mostValuable returns the delayed request with the highest value rate. Among equals it picks the newest, which has
// the most time left.
func (b *Balancer) mostValuable() *request {
	best := b.delayed[0]
	for _, r := range b.delayed[1:] {
		if b.valueRate(r) >= b.valueRate(best) {
			best = r
		}
	}
	return best
}
