package balancer

import (
	"math"
	"slices"
	"time"
)

// maxSize bounds the listed size of a server: an infinite weight could keep drawWeighted from drawing any server.
const maxSize = 1e6

// selectionRules set how strict one step of server selection is.
type selectionRules struct {
	allowAllSlowStart bool // select even if all remaining servers are in slow start
	avoidOutliers     bool // skip excluded zones and servers that fail the class more than others
}

// pick draws one server from each group and returns the one with fewer own requests in flight. At equal counts above
// zero the left one wins; at zero the side is drawn by the groups' weights. Draws are weighted, and all weights are
// equal while nothing distinguishes the servers. If one group is empty, the other's draw is returned.
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

// drawWeighted draws one server by weight. It also returns the total weight of the group.
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

// weight returns a server's estimated capacity relative to the others: its listed size, corrected for its relative
// latency and its reported load. Uniform draws over unequal servers overload the slow ones at loads that all servers
// together could handle. One node has few samples, but the errors of many nodes cancel out.
func (b *Balancer) weight(s *server) float64 {
	w := b.capacityWeight(s)
	if s.subsetShare > 0 { // drawn from the subset
		w *= s.subsetShare
	}
	return w
}

// capacityWeight returns a server's weight regardless of the subset.
func (b *Balancer) capacityWeight(s *server) float64 {
	w := math.Exp(-max(s.logLatencyRatio, -1))
	if s.Size > 0 {
		w *= min(s.Size, maxSize)
	}
	return w * b.loadFactor(s)
}

// selectServer selects from the subset and, if no server there is usable, from all servers; servers that fail more
// than others come last. It returns nil if no server may get the request now.
func (b *Balancer) selectServer(r *request) *server {
	b.updateSubset()
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

// selectFirst selects from the subset, or from all servers while none is responding. A selected server in slow start
// is replaced by spreadSlowStart, so that nodes that share a subset don't overload it together.
func (b *Balancer) selectFirst(r *request) *server {
	from := b.subset
	if b.noServerResponding() {
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

// selectFrom picks among the servers that a request may use: in its scope, not tried before, not excluded, admitted
// by slow start and, as long as any such server is left, not full and without several own requests. Uniform draws
// sometimes hit the same few servers twice, and several nodes' requests together would overload those. Unless the
// rules allow it, at least one candidate must be warmed up, and a first attempt may not go to an idle server in slow
// start that slow start did not admit. Otherwise a subset that is entirely in slow start would get the requests of a
// warmed-up one, although other servers are warmed up.
func (b *Balancer) selectFrom(g groups, req *request, rules selectionRules) *server {
	b.excludeOutliers(g, req, rules.avoidOutliers)
	usualLimit := 1 + b.inFlight/max(1, b.subsetSize)
	for _, load := range []loadRule{
		{maxInFlight: usualLimit, skipFull: true},
		{maxInFlight: math.MaxInt, skipFull: true},
		{maxInFlight: math.MaxInt, skipFull: false},
	} {
		left, idleLeft := b.eligible(g.left, req, load)
		right, idleRight := b.eligible(g.right, req, load)
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

// anyWarmedUp reports whether any of the servers has finished slow start.
func (b *Balancer) anyWarmedUp(list []*server) bool {
	return slices.ContainsFunc(list, func(s *server) bool { return b.slowStartShare(s) == 1 })
}

// loadRule limits how loaded a selected server may be.
type loadRule struct {
	maxInFlight int  // exclusive upper bound of own requests in flight
	skipFull    bool // skip servers that recently rejected a request at their current load
}

// allows reports whether a server satisfies the rule. One that recently rejected a request when it had as many as now
// is full, in its queue or in its connections, which other nodes may hold idle. Its immediate rejections keep its
// count of requests in flight low. It is not an outlier, so the limit on outliers does not apply.
func (rule loadRule) allows(s *server, now time.Duration) bool {
	if s.inFlight >= rule.maxInFlight {
		return false
	}
	full := now < s.fullUntil && s.inFlight >= s.knownCapacity
	return !rule.skipFull || !full
}

// eligible returns the servers of a group that a request may use, and the idle ones in slow start that a first
// attempt could use but that slow start did not admit.
func (b *Balancer) eligible(group []*server, req *request, load loadRule) (passed, idle []*server) {
	for _, srv := range group {
		if srv.excluded || !load.allows(srv, b.now) {
			continue
		}
		if !b.inScope(req, srv) || alreadyTried(req, srv) {
			continue
		}
		if b.passesSlowStart(srv) {
			passed = append(passed, srv)
			continue
		}
		if srv.idle() && len(req.attempts) == 0 {
			idle = append(idle, srv)
		}
	}
	return passed, idle
}

// alreadyTried reports whether the request already had an attempt at the server.
func alreadyTried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.server == s })
}

// inScope reports whether a request may run on the server: a keyed request that may have run is limited to the
// servers that discard its duplicates.
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
