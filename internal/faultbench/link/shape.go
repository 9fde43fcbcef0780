// Package link carries traffic between groups of the fault bench over loopback and injects faults: traffic silently dropped
// in one or both directions, reset, refused, delayed, lost, duplicated, reordered or throttled. A Relay accepts TCP
// connections and serves their far side in this process; a Mesh forwards datagrams between processes. No privileges are
// needed: to cut new connections, a Relay keeps its accept queue full, so that the kernel drops SYNs as a dead link would.
package link

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Shape is the current condition of a link. The zero Shape is a link without faults.
type Shape struct {
	CutForward bool // drops traffic from the near side (a node) to the far side
	CutReturn  bool // drops traffic from the far side to the near side
	Reset      bool
	Refuse     bool
	Delay      time.Duration // one-way
	Jitter     time.Duration // additional delay, uniform between 0 and this value
	Loss       float64       // fraction lost; stream data is delayed by RetransmitDelay, datagrams are dropped
	Duplicate  float64       // fraction of datagrams delivered twice
	Reorder    float64       // fraction of datagrams delayed by up to Delay + Jitter + 10 ms more
	Bandwidth  int64         // bytes per second in each direction; 0: unlimited
}

// RetransmitDelay is the delay of lost stream data. It equals the minimum retransmission timeout of Linux.
const RetransmitDelay = 200 * time.Millisecond

func (s Shape) hasCut() bool { return s.CutForward || s.CutReturn }

// Combine returns the shape of a link that both shapes apply to.
func (s Shape) Combine(o Shape) Shape {
	s.CutForward, s.CutReturn = s.CutForward || o.CutForward, s.CutReturn || o.CutReturn
	s.Reset, s.Refuse = s.Reset || o.Reset, s.Refuse || o.Refuse
	s.Delay, s.Jitter = s.Delay+o.Delay, s.Jitter+o.Jitter
	s.Loss, s.Duplicate, s.Reorder = max(s.Loss, o.Loss), max(s.Duplicate, o.Duplicate), max(s.Reorder, o.Reorder)
	if s.Bandwidth == 0 || o.Bandwidth > 0 && o.Bandwidth < s.Bandwidth {
		s.Bandwidth = o.Bandwidth
	}
	return s
}

// Random is a random source that is safe for concurrent use by several links.
type Random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewRandom returns a Random with the given seed.
func NewRandom(seed uint64) *Random { return &Random{rng: rand.New(rand.NewPCG(seed, 0xd1ce))} }

// Occurs returns true with the given probability.
func (d *Random) Occurs(probability float64) bool {
	if probability <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < probability
}

// Below returns a random number from 0 to n-1; 0 if n is not positive.
func (d *Random) Below(n int) int {
	if n <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// DurationUpTo returns a random duration between 0 and most.
func (d *Random) DurationUpTo(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.Float64() * float64(most))
}

// delayLine computes delivery times for one direction of a link.
type delayLine struct{ freeAt, lastDelivery time.Time }

// deliveryTime returns when n bytes that enter now are delivered, never earlier than the previous piece.
func (l *delayLine) deliveryTime(now time.Time, n int, s Shape, d *Random) time.Time {
	start := now
	if s.Bandwidth > 0 {
		if l.freeAt.After(start) {
			start = l.freeAt
		}
		start = start.Add(time.Duration(float64(n) / float64(s.Bandwidth) * float64(time.Second)))
		l.freeAt = start
	}
	deliverAt := start.Add(s.Delay + d.DurationUpTo(s.Jitter))
	if d.Occurs(s.Loss) {
		deliverAt = deliverAt.Add(RetransmitDelay)
	}
	if deliverAt.Before(l.lastDelivery) {
		deliverAt = l.lastDelivery
	}
	l.lastDelivery = deliverAt
	return deliverAt
}
