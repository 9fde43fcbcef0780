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
	CutThere  bool // nothing from the near side (a node) comes to the far side
	CutBack   bool // nothing from the far side comes to the near one
	Reset     bool
	Refuse    bool
	Delay     time.Duration // one way
	Jitter    time.Duration // evenly from 0 to this on top
	Loss      float64       // share of pieces; of a stream they come Resend later, datagrams don't come
	Double    float64       // share of datagrams that come twice
	Reorder   float64       // share of datagrams that are held back by up to Delay + Jitter + 10 ms more
	Bandwidth int64         // bytes a second one way; 0: no bound
}

// Resend is how much later a lost piece of a stream comes: the least that Linux waits for an acknowledgement.
const Resend = 200 * time.Millisecond

func (s Shape) silent() bool { return s.CutThere || s.CutBack }

// Over is both shapes at once.
func (s Shape) Over(o Shape) Shape {
	s.CutThere, s.CutBack = s.CutThere || o.CutThere, s.CutBack || o.CutBack
	s.Reset, s.Refuse = s.Reset || o.Reset, s.Refuse || o.Refuse
	s.Delay, s.Jitter = s.Delay+o.Delay, s.Jitter+o.Jitter
	s.Loss, s.Double, s.Reorder = max(s.Loss, o.Loss), max(s.Double, o.Double), max(s.Reorder, o.Reorder)
	if s.Bandwidth == 0 || o.Bandwidth > 0 && o.Bandwidth < s.Bandwidth {
		s.Bandwidth = o.Bandwidth
	}
	return s
}

// Dice are draws that many links share.
type Dice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewDice returns Dice of a seed.
func NewDice(seed uint64) *Dice { return &Dice{rng: rand.New(rand.NewPCG(seed, 0xd1ce))} }

// under says yes for a share of cases.
func (d *Dice) under(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < share
}

// upTo draws a length of time.
func (d *Dice) upTo(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.Float64() * float64(most))
}

// lane is one direction of a link: when what goes in now comes out.
type lane struct{ free, last time.Time }

// due is when a piece of n bytes that goes in now comes out, never before the piece before it.
func (l *lane) due(now time.Time, n int, s Shape, d *Dice) time.Time {
	start := now
	if s.Bandwidth > 0 {
		if l.free.After(start) {
			start = l.free
		}
		start = start.Add(time.Duration(float64(n) / float64(s.Bandwidth) * float64(time.Second)))
		l.free = start
	}
	at := start.Add(s.Delay + d.upTo(s.Jitter))
	if d.under(s.Loss) {
		at = at.Add(Resend)
	}
	if at.Before(l.last) {
		at = l.last
	}
	l.last = at
	return at
}
