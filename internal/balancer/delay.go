package balancer

import (
	"slices"
	"time"
)

// delay keeps a request back until a server may take it; its timer makes sure that it is answered.
func (b *Balancer) delay(r *request) {
	if b.now >= b.delayLimit(r) {
		b.respond(r)
		return
	}
	if !r.delayed {
		r.delayed = true
		b.delayed = append(b.delayed, r)
	}
	b.wakeAt(r, b.delayLimit(r))
}

// stopDelaying takes a request off the delayed ones.
func (b *Balancer) stopDelaying(r *request) {
	r.delayed = false
	b.delayed = slices.DeleteFunc(b.delayed, func(h *request) bool { return h == r })
}

// delayLimit is until when a delay makes sense: until a reply may well miss the latency objective, for late replies
// take capacity. With no server at all a late reply is the best there can be, so then almost until the deadline.
func (b *Balancer) delayLimit(r *request) time.Duration {
	last := r.deadline - 2*b.settings.Tick
	if len(b.ready) == 0 {
		return last
	}
	objective := r.class.LatencyObjective
	hold := max(objective/4, objective-time.Duration(r.class.meanLatency+2*r.class.latencyDeviation))
	return min(last, r.arrived+hold)
}

// releaseDelayed sends delayed requests while the window has room, the most valuable first.
func (b *Balancer) releaseDelayed() {
	for range len(b.delayed) { // as many as there are now, even if sending one delays another
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

// mostValuable returns the delayed request of the greatest value. Of equal ones the youngest has most time left.
func (b *Balancer) mostValuable() *request {
	best := b.delayed[0]
	for _, r := range b.delayed[1:] {
		if b.value(r) >= b.value(best) {
			best = r
		}
	}
	return best
}
