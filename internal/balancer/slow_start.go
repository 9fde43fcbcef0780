package balancer

import (
	"cmp"
	"math"
)

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

// passesSlowStart thins the draw of a server in slow start to its share of a warm one's, and keeps it to one
// own request at a time: many nodes that each send a little would push it over together.
func (b *Balancer) passesSlowStart(s *server) bool {
	w := b.slowStartShare(s)
	return w == 1 || (s.idle() && b.rng.Float64() < w)
}

// meanServerSize is what servers carry on average, as listed.
func meanServerSize(list []*server) (size float64) {
	for _, s := range list {
		size += cmp.Or(min(s.Size, 1e6), 1) / float64(len(list))
	}
	return size
}

// spreadSlowStart takes another server in place of a server in slow start that was picked from the pool: a server in
// slow start too, as its warmth allows, or a warm one where no draw finds one. It draws over the runs of the shared
// order that begin with the pool, which are the longer the more requests the node has in flight, up to the full list.
// So a server in slow start gets few of each node's requests, whoever shares a pool and however uneven their traffic,
// and a node of few requests opens connections to few. How many requests go to servers in slow start at all stays the
// pool's choice: by the share of the full list they would leave too many to the warm servers of a pool with many those
// in slow start.
func (b *Balancer) spreadSlowStart(r *request) *server {
	copies := float64(max(1, b.settings.Balancers))
	times := min(copies, math.Ceil(max(float64(b.subsetSize),
		slowStartServersPerRequest*b.meanInFlight)/max(b.serversPerNode(), 1e-9)))
	var warm *server
	for range slowStartDraws {
		group, place := b.allGroups.left, b.subsetStarts[0]
		if b.rng.IntN(len(b.ready)) >= len(group) {
			group, place = b.allGroups.right, b.subsetStarts[1]
		}
		at := (float64(place) + b.rng.Float64()*times) / copies * float64(len(group))
		s := group[int(at)%len(group)]
		switch {
		case !b.mayReceive(s, r):
		case b.slowStartShare(s) == 1:
			warm = s
		case b.rng.Float64() < b.capacityWeight(s)/b.meanSize && b.passesSlowStart(s):
			return s
		}
	}
	return warm
}

// mayReceive says that a server may get a request, as excludeOutliers and narrow say it of many.
func (b *Balancer) mayReceive(s *server, r *request) bool {
	ill := b.zoneExcluded(s) || b.avoidsClass(s, r.class) || b.isOutlier(s, r)
	return !ill && b.now >= s.fullUntil && b.inScope(r, s) && !alreadyTried(r, s)
}
