package balancer

import (
	"math"
	"slices"
	"time"
)

// maxSize bounds the listed size of a server: with an infinite weight nobody would be drawn.
const maxSize = 1e6

// selectionRules say how strict one step of the search for a server is.
type selectionRules struct {
	allowAllSlowStart bool // also where every server that is left is in slow start
	avoidOutliers     bool // passes over excluded zones and servers that fail the class more than others do
}

// pick is the design's rule: one server is drawn from each group, the one with fewer own requests in flight wins, equal
// counts above zero go left, and at zero the side is drawn by the groups' shares. Draws and shares go by weight, which
// is alike for all while nothing tells the servers apart. An empty group leaves the draw to the other.
func (b *Balancer) pick(left, right []*server) *server {
	l, leftWeight := b.drawWeighted(left)
	r, rightWeight := b.drawWeighted(right)
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.inFlight < r.inFlight:
		return l
	case r.inFlight < l.inFlight:
		return r
	case l.inFlight > 0:
		return l
	}
	if b.rng.Float64()*(leftWeight+rightWeight) < leftWeight {
		return l
	}
	return r
}

// drawWeighted draws one server by weight. It returns the weight of the whole group too.
func (b *Balancer) drawWeighted(group []*server) (drawn *server, total float64) {
	for _, s := range group {
		w := b.weight(s)
		total += w
		if b.rng.Float64()*total < w {
			drawn = s
		}
	}
	return drawn, total
}

// weight is what a server can carry against the others: its listed size, corrected by its latency against theirs and by
// its reported load. Uniform draws over unequal servers overload the slow ones at loads that all together could carry;
// one node's samples are few, but the errors of many nodes cancel out.
func (b *Balancer) weight(s *server) float64 {
	w := b.capacityWeight(s)
	if s.subsetShare > 0 { // drawn from the subset
		w *= s.subsetShare
	}
	return w
}

// capacityWeight is a server's weight, wherever it is drawn from.
func (b *Balancer) capacityWeight(s *server) float64 {
	w := math.Exp(-max(s.logLatencyRatio, -1))
	if s.Size > 0 {
		w *= min(s.Size, maxSize)
	}
	return w * b.loadFactor(s)
}

// selectServer draws from the subset and, where no server there may be used, from the whole groups; servers that fail
// more than others come last. It returns nil if no server may get the request now.
func (b *Balancer) selectServer(r *request) *server {
	b.fitSubset()
	if s := b.selectProbe(r); s != nil {
		return s
	}
	if s := b.selectFirst(r); s != nil {
		return s
	}
	if s := b.selectFrom(b.allGroups, r, selectionRules{allowAllSlowStart: true, avoidOutliers: true}); s != nil {
		return s
	}
	return b.selectFrom(b.allGroups, r, selectionRules{allowAllSlowStart: true})
}

// selectFirst draws from the subset, or from all servers while none at all answers. A server in slow start that was
// drawn is replaced, so that the nodes that share a subset don't overload it together.
func (b *Balancer) selectFirst(r *request) *server {
	from := b.subset
	if b.noServerAnswers() {
		from = b.allGroups
	}
	s := b.selectFrom(from, r, selectionRules{avoidOutliers: true})
	if s == nil {
		return nil
	}
	leastLoaded := len(r.polled) > 0
	if !leastLoaded && b.slowStartShare(s) < 1 {
		return b.spreadSlowStart(r)
	}
	return s
}

// selectFrom picks among those servers that a request may go to: in its scope, not tried by it, not excluded, past the
// thinning of slow start and, as long as that leaves any, with capacity and not crowded with own requests: uniform
// draws now and then meet the same few servers twice, and several nodes' requests together overload those. Unless the
// rules allow it, not all of them may be in slow start, nor may a first attempt go to an idle server in slow start
// whatever the thinning: a whole subset may be in slow start, and would take the requests of a warmed-up one while the
// other servers are warmed up.
func (b *Balancer) selectFrom(g groups, r *request, rules selectionRules) *server {
	b.excludeOutliers(g, r, rules.avoidOutliers)
	usualLimit := 1 + b.inFlight/max(1, b.subsetSize)
	for _, load := range []loadRule{
		{maxInFlight: usualLimit, heedRejections: true},
		{maxInFlight: math.MaxInt, heedRejections: true},
		{maxInFlight: math.MaxInt, heedRejections: false},
	} {
		left, idleLeft := b.eligible(g.left, r, load)
		right, idleRight := b.eligible(g.right, r, load)
		if b.anyWarmedUp(left) || b.anyWarmedUp(right) {
			return b.pick(left, right)
		}
		if !rules.allowAllSlowStart {
			continue
		}
		if len(left)+len(right) > 0 {
			return b.pick(left, right)
		}
		if len(idleLeft)+len(idleRight) > 0 {
			return b.pick(idleLeft, idleRight)
		}
	}
	return nil
}

// anyWarmedUp reports whether one of the servers is past its slow start.
func (b *Balancer) anyWarmedUp(list []*server) bool {
	return slices.ContainsFunc(list, func(s *server) bool { return b.slowStartShare(s) == 1 })
}

// loadRule says how loaded a server may be.
type loadRule struct {
	maxInFlight    int  // own requests in flight that it must stay below
	heedRejections bool // pass over servers that rejected one more request lately
}

// allows reports whether a server is within the rule. One that has rejected one more request than it has now is full,
// in its queue or in its connections, which other nodes hold idle, and instant rejections drain its count. It is no
// outlier: the cap on those does not apply.
func (rule loadRule) allows(s *server, now time.Duration) bool {
	if s.inFlight >= rule.maxInFlight {
		return false
	}
	full := now < s.fullUntil && s.inFlight >= s.knownCapacity
	return !rule.heedRejections || !full
}

// eligible lists the servers of a group that a request may go to, and the idle ones in slow start that only the
// thinning keeps out of a first attempt.
func (b *Balancer) eligible(group []*server, r *request, load loadRule) (passed, idle []*server) {
	for _, s := range group {
		if s.excluded || !load.allows(s, b.now) {
			continue
		}
		if !b.inScope(r, s) || alreadyTried(r, s) {
			continue
		}
		if b.passesSlowStart(s) {
			passed = append(passed, s)
			continue
		}
		if s.idle() && len(r.attempts) == 0 {
			idle = append(idle, s)
		}
	}
	return passed, idle
}

// alreadyTried reports whether the request has had an attempt at the server.
func alreadyTried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.server == s })
}

// inScope keeps a keyed request that may have run to the servers that discard its repeats.
func (b *Balancer) inScope(r *request, s *server) bool {
	if r.effect != Keyed || r.scope == ScopeAll {
		return true
	}
	for _, a := range r.attempts {
		if a.neverRan {
			continue
		}
		sameZone := a.zoneName == s.Zone
		sameCell := a.cell == s.Cell
		if !sameZone || r.scope != ScopeZone && !sameCell {
			return false
		}
	}
	return true
}
