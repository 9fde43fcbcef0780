package balancer

import (
	"slices"
	"time"
)

// delay keeps a request back; its timer makes sure that it is answered.
func (b *Balancer) delay(r *request) {
	if b.now >= b.delayedUntil(r) {
		b.answer(r)
		return
	}
	if !r.held {
		r.held = true
		b.held = append(b.held, r)
	}
	b.wakeAt(r, b.delayedUntil(r))
}

func (b *Balancer) sendDelayed(r *request) {
	r.held = false
	b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
}

// delayedUntil is how long holding makes sense: until an answer may well miss the objective, for late answers take
// room. With no server at all a late answer is the best there can be, so then almost until the deadline.
func (b *Balancer) delayedUntil(r *request) time.Duration {
	last := r.deadline - 2*b.set.Tick
	if len(b.ready) == 0 {
		return last
	}
	objective := r.class.LatencyObjective
	hold := max(objective/4, objective-time.Duration(r.class.mean+2*r.class.dev))
	return min(last, r.arrived+hold)
}

// release sends held requests while there is room, the most valuable first.
func (b *Balancer) release() {
	for tries := len(b.held); tries > 0 && len(b.held) > 0; tries-- {
		best := b.held[0]
		for _, r := range b.held[1:] {
			if b.value(r) >= b.value(best) { // equal: the youngest has most time left
				best = r
			}
		}
		if b.full(best) {
			return
		}
		s := b.choose(best)
		if s == nil {
			return
		}
		b.send(best, s)
	}
}
