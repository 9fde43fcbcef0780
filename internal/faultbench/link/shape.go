// Package link carries traffic between the fault bench's groups over loopback and has it fail on purpose: cut in silence, one
// way or both, reset, refused, delayed, lost, doubled, reordered, throttled. A Relay takes TCP connections and hands
// their far side to whoever serves in this process; a Mesh carries datagrams between processes. Nothing here needs
// privileges: a cut keeps new connections from coming up by a full accept queue, which drops SYNs as a dead wire does.
package link

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Shape is how a link is now. The zero Shape is a perfect one.
type Shape struct {
	CutForward bool // nothing from the near side (a node) comes to the far side
	CutReturn  bool // nothing from the far side comes to the near one
	Reset      bool
	Refuse     bool
	Delay      time.Duration // one way
	Jitter     time.Duration // evenly from 0 to this on top
	Loss       float64       // share of pieces; of a stream they come Resend later, datagrams don't come
	Duplicate  float64       // share of datagrams that come twice
	Reorder    float64       // share of datagrams that are held back by up to Delay + Jitter + 10 ms more
	Bandwidth  int64         // bytes a second one way; 0: no bound
}

// Resend is how much later a lost piece of a stream comes: the least that Linux waits for an acknowledgement.
const RetransmitDelay = 200 * time.Millisecond

func (s Shape) hasCut() bool { return s.CutForward || s.CutReturn }

// Over is both shapes at once.
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

// Dice are draws that many links share.
type Random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewDice returns Dice of a seed.
func NewRandom(seed uint64) *Random { return &Random{rng: rand.New(rand.NewPCG(seed, 0xd1ce))} }

// under says yes for a share of cases.
func (d *Random) occurs(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < share
}

// upTo draws a length of time.
func (d *Random) durationUpTo(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.Float64() * float64(most))
}

// lane is one direction of a link: when what goes in now comes out.
type delayLine struct{ freeAt, lastDelivery time.Time }

// due is when a piece of n bytes that goes in now comes out, never before the piece before it.
func (l *delayLine) deliveryTime(now time.Time, n int, s Shape, d *Random) time.Time {
	start := now
	if s.Bandwidth > 0 {
		if l.freeAt.After(start) {
			start = l.freeAt
		}
		start = start.Add(time.Duration(float64(n) / float64(s.Bandwidth) * float64(time.Second)))
		l.freeAt = start
	}
	at := start.Add(s.Delay + d.durationUpTo(s.Jitter))
	if d.occurs(s.Loss) {
		at = at.Add(RetransmitDelay)
	}
	if at.Before(l.lastDelivery) {
		at = l.lastDelivery
	}
	l.lastDelivery = at
	return at
}
