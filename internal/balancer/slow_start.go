package balancer

import "math"

const (
	slowStartServersPerRequest = 12 // servers over which those in slow start are drawn for each own request in flight
	slowStartDraws             = 16 // draws at most until one is taken
)

// slowStartShare is the share of its capacity that a server surely has.
func (b *Balancer) slowStartShare(s *server) float64 {
	age := b.now - s.Boot
	if s.Boot <= 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	grown := max(0, float64(age)/float64(b.settings.SlowStartWindow))
	return b.settings.SlowStartMinimum + (1-b.settings.SlowStartMinimum)*grown
}

// passesSlowStart thins the draw of a server in slow start to its share of a warmed-up one's, and keeps it to one own
// request at a time: many nodes that each send a little would overload it together.
func (b *Balancer) passesSlowStart(s *server) bool {
	share := b.slowStartShare(s)
	if share == 1 {
		return true
	}
	return s.idle() && b.rng.Float64() < share
}

// meanServerSize is the mean of the servers' listed sizes; one that is not told counts 1.
func meanServerSize(list []*server) (size float64) {
	for _, s := range list {
		listed := min(s.Size, maxSize)
		if listed == 0 { // not told
			listed = 1
		}
		size += listed / float64(len(list))
	}
	return size
}

// spreadSlowStart selects another server in place of one in slow start that was picked from the subset: one in slow
// start too, as its share allows, or a warmed-up one where no draw finds one. It draws over the runs of the shared
// order that begin with the subset, which are the longer the more requests the node has in flight, up to the full list.
// So a server in slow start gets few of each node's requests, whoever shares a subset and however uneven their traffic,
// and a node of few requests opens connections to few. How many requests go to servers in slow start at all is left to
// the draw from the subset: by their share of the full list they would leave too many to the warmed-up servers of a
// subset with many in slow start.
func (b *Balancer) spreadSlowStart(r *request) *server {
	nodes := b.nodes()
	wanted := max(float64(b.subsetSize), slowStartServersPerRequest*b.meanInFlight)
	turns := min(nodes, math.Ceil(wanted/max(b.serversPerNode(), 1e-9)))
	var warmedUp *server
	for range slowStartDraws {
		group := b.allGroups.left
		start := b.subsetStarts.left
		if b.rng.IntN(len(b.ready)) >= len(group) {
			group = b.allGroups.right
			start = b.subsetStarts.right
		}
		at := (float64(start) + b.rng.Float64()*turns) / nodes * float64(len(group))
		s := group[int(at)%len(group)]
		if !b.mayReceive(s, r) {
			continue
		}
		if b.slowStartShare(s) == 1 {
			warmedUp = s
			continue
		}
		drawn := b.rng.Float64() < b.capacityWeight(s)/b.meanSize
		if drawn && b.passesSlowStart(s) {
			return s
		}
	}
	return warmedUp
}

// mayReceive reports whether a server may get a request, as excludeOutliers and eligible do for many.
func (b *Balancer) mayReceive(s *server, r *request) bool {
	if b.zoneExcluded(s) || b.avoidsClass(s, r.class) || b.isOutlier(s, r) {
		return false
	}
	if b.now < s.fullUntil {
		return false
	}
	return b.inScope(r, s) && !alreadyTried(r, s)
}
