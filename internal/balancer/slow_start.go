package balancer

import "math"

const (
	slowStartServersPerRequest = 12 // servers to draw slow-start servers from, per own request in flight
	maxSlowStartDraws          = 16 // limit of draws per selection
)

// slowStartShare returns the share of its full capacity that a server has reached at least.
func (b *Balancer) slowStartShare(s *server) float64 {
	age := b.now - s.Boot
	if s.Boot <= 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	grown := max(0, float64(age)/float64(b.settings.SlowStartWindow))
	return b.settings.SlowStartMinimum + (1-b.settings.SlowStartMinimum)*grown
}

// passesSlowStart reports whether slow start admits a request to a server. It accepts draws of a server in slow start
// with the probability of its capacity share, and only one own request at a time: many nodes that each send a little
// would overload it together.
func (b *Balancer) passesSlowStart(s *server) bool {
	share := b.slowStartShare(s)
	if share == 1 {
		return true
	}
	return s.idle() && b.rng.Float64() < share
}

// meanServerSize returns the mean of the servers' listed sizes; an unknown size counts as 1.
func meanServerSize(list []*server) (size float64) {
	for _, s := range list {
		listed := min(s.Size, maxSize)
		if listed == 0 { // unknown
			listed = 1
		}
		size += listed / float64(len(list))
	}
	return size
}

// spreadSlowStart selects a replacement for a server in slow start that was picked from the subset: another server in
// slow start, as its share allows, or a warmed-up one if no draw finds one. It draws from a range of the shared order
// that starts with the subset and grows with the node's requests in flight, up to the full list. So a server in slow
// start gets few requests from each node, whichever nodes share a subset and however uneven their traffic, and a node
// with little traffic opens few connections. The draw from the subset alone decides how many requests go to servers
// in slow start in total. If their share of the full list decided it, the warmed-up servers of a subset with many
// servers in slow start would get too much.
func (b *Balancer) spreadSlowStart(req *request) *server {
	nodes := b.nodes()
	wanted := max(float64(b.subsetSize), slowStartServersPerRequest*b.meanInFlight)
	coverage := min(nodes, math.Ceil(wanted/max(b.serversPerNode(), 1e-9)))
	var warmedUp *server
	for range maxSlowStartDraws {
		group := b.allGroups.left
		start := b.subsetOffsets.left
		if b.rng.IntN(len(b.ready)) >= len(group) {
			group = b.allGroups.right
			start = b.subsetOffsets.right
		}
		position := (float64(start) + b.rng.Float64()*coverage) / nodes * float64(len(group))
		srv := group[int(position)%len(group)]
		if !b.mayReceive(srv, req) {
			continue
		}
		if b.slowStartShare(srv) == 1 {
			warmedUp = srv
			continue
		}
		accepted := b.rng.Float64() < b.capacityWeight(srv)/b.meanSize
		if accepted && b.passesSlowStart(srv) {
			return srv
		}
	}
	return warmedUp
}

// mayReceive reports whether a server may get a request. It applies to one server what excludeOutliers and eligible
// check for groups.
func (b *Balancer) mayReceive(s *server, r *request) bool {
	if b.zoneExcluded(s) || b.avoidForFailures(s, r.class) || b.isOutlier(s, r) {
		return false
	}
	if b.now < s.fullUntil {
		return false
	}
	return b.inScope(r, s) && !alreadyTried(r, s)
}
