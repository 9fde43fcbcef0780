package balancer

import (
	"slices"
	"time"
)

// delay keeps a request back; its timer makes sure that it is answered.
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

func (b *Balancer) stopDelaying(r *request) {
	r.delayed = false
	b.delayed = slices.DeleteFunc(b.delayed, func(h *request) bool { return h == r })
}

// delayLimit is how long holding makes sense: until an answer may well miss the objective, for late answers take
// room. With no server at all a late answer is the best there can be, so then almost until the deadline.
func (b *Balancer) delayLimit(r *request) time.Duration {
	last := r.deadline - 2*b.settings.Tick
	if len(b.ready) == 0 {
		return last
	}
	objective := r.class.LatencyObjective
	hold := max(objective/4, objective-time.Duration(r.class.meanLatency+2*r.class.latencyDeviation))
	return min(last, r.arrived+hold)
}

// releaseDelayed sends held requests while there is room, the most valuable first.
func (b *Balancer) releaseDelayed() {
	for tries := len(b.delayed); tries > 0 && len(b.delayed) > 0; tries-- {
		best := b.delayed[0]
		for _, r := range b.delayed[1:] {
			if b.value(r) >= b.value(best) { // equal: the youngest has most time left
				best = r
			}
		}
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
