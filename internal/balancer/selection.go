package balancer

import (
	"math"
	"slices"
)

// pick is the design's rule: one server drawn from each group, the fewer own requests win, equal counts above zero go
// left, and at zero the side is drawn by the groups' shares. Draws and shares go by weight, which is alike for all
// while nothing tells the servers apart. An empty group leaves the draw to the other.
func (b *Balancer) pick(left, right []*server) *server {
	l, leftWeight := b.drawWeighted(left)
	r, rightWeight := b.drawWeighted(right)
	switch {
	case r == nil || l != nil && l.inFlight < r.inFlight:
		return l
	case l == nil || r.inFlight < l.inFlight:
		return r
	case l.inFlight > 0 || b.rng.Float64()*(leftWeight+rightWeight) < leftWeight:
		return l
	}
	return r
}

// drawWeighted takes one server by weight and tells the weight of its group.
func (b *Balancer) drawWeighted(group []*server) (pick *server, total float64) {
	for _, s := range group {
		w := b.weight(s)
		total += w
		if b.rng.Float64()*total < w {
			pick = s
		}
	}
	return pick, total
}

// weight is what a server can carry against its peers: its listed size, corrected by how its latency stands to theirs
// and by what it says it holds. Uniform draws over unequal servers crowd the slow ones at loads that the fleet could
// carry; one node's samples are few, but the errors of many nodes cancel out.
func (b *Balancer) weight(s *server) float64 {
	w := b.capacityWeight(s)
	if s.subsetShare > 0 { // drawn from the pool
		w *= s.subsetShare
	}
	return w
}

// capacityWeight is a server's weight, wherever it is drawn from.
func (b *Balancer) capacityWeight(s *server) float64 {
	w := math.Exp(-max(s.logLatencyRatio, -1))
	if s.Size > 0 {
		w *= min(s.Size, 1e6) // an infinite weight would draw nobody
	}
	return w * b.loadFactor(s)
}

// selectServer draws from the pool and, where nobody there may be, from the whole groups; those that fail more come
// last.
func (b *Balancer) selectServer(r *request) *server {
	b.fitSubset()
	if s := b.selectProbe(r); s != nil {
		return s
	}
	first := b.subset
	if b.noServerAnswers() {
		first = b.allGroups
	}
	for step, g := range []groups{first, b.allGroups, b.allGroups} {
		s := b.selectFrom(g, r, step > 0, step < 2)
		if s != nil && step == 0 && len(r.polled) == 0 && b.slowStartShare(s) < 1 {
			s = b.spreadSlowStart(r)
		}
		if s != nil {
			return s
		}
	}
	return nil
}

// selectFrom picks among those servers that a request may go to: in its scope, not tried by it, fit, warm enough and,
// as long as that leaves any, with room and not crowded with own requests: uniform draws now and then meet the same few
// servers twice, and a crowd of several nodes' requests there chokes it. Only where anySlowStarting is set may all of
// them be cold, and may a first attempt go to an idle server in slow start whatever the thinning: a pool may be cold as
// a whole, and would take a warm one's requests, while the rest is warm.
func (b *Balancer) selectFrom(g groups, r *request, anySlowStarting, shun bool) *server {
	b.excludeOutliers(g, r, shun)
	for step, limit := range []int{1 + b.inFlight/max(1, b.subsetSize), math.MaxInt, math.MaxInt} {
		left, idleLeft := b.eligible(g.left, r, limit, step < 2)
		right, idleRight := b.eligible(g.right, r, limit, step < 2)
		isWarm := func(s *server) bool { return b.slowStartShare(s) == 1 }
		if anySlowStarting && len(left)+len(right) > 0 || slices.ContainsFunc(append(left, right...), isWarm) {
			return b.pick(left, right)
		}
		if anySlowStarting && len(idleLeft)+len(idleRight) > 0 {
			return b.pick(idleLeft, idleRight)
		}
	}
	return nil
}

// eligible lists the servers of a group that pass, and those in slow start that would but for the thinning. Sparing, it
// passes over one that refused one more request than it has now lately: its queue or its connections, which other
// copies hold idle, are full, and instant rejections drain its count. It is not ill: the cap on those does not apply.
func (b *Balancer) eligible(group []*server, r *request, limit int, sparing bool) (warm, idle []*server) {
	for _, s := range group {
		switch {
		case s.excluded || s.inFlight >= limit || sparing && b.now < s.fullUntil && s.inFlight >= s.knownCapacity:
		case !b.inScope(r, s) || alreadyTried(r, s):
		case b.passesSlowStart(s):
			warm = append(warm, s)
		case s.idle() && len(r.attempts) == 0:
			idle = append(idle, s)
		}
	}
	return warm, idle
}

// alreadyTried says that the request has been to the server before.
func alreadyTried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.server == s })
}

// inScope keeps a keyed request that may have run to the servers that discard its repeats.
func (b *Balancer) inScope(r *request, s *server) bool {
	return r.effect != Keyed || !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		inCell := a.cell == s.Cell || r.scope == ScopeZone
		return !a.neverRan && r.scope != ScopeAll && (a.zoneName != s.Zone || !inCell)
	})
}
