package balancer

import (
	"math"
	"math/big"
)

const (
	minSubset         = 3   // servers that any node draws from, so that a few may be lost
	subsetPerRequest  = 1.5 // servers drawn from for each own request in flight
	minNodesPerServer = 2   // nodes that draw from the same server at least
)

// fitSubset cuts the node's pool from each group: a run of the shared order. Over the full list a node of many meets
// each server too seldom to tell the slow and the silent, and connections grow with nodes times servers. The nodes'
// runs lie end to end round the group, a complete number of times in all, as lengths and not as counts: a server at the
// end of a run belongs to it in part. So all together have the same part in each server, whatever their numbers. In the
// right group the nodes follow one another in another order, so that those that share servers on the left do not on the
// right: no few nodes make a crowd of their own. A busy node takes a wider pool: its counts tell more, and its traffic
// would be too much for a few. Only halving shrinks it, so that it keeps still.
func (b *Balancer) fitSubset() {
	n := float64(len(b.ready))
	want := max(minSubset, subsetPerRequest*b.meanInFlight, minNodesPerServer*b.serversPerNode())
	copies := float64(max(1, b.settings.Balancers))
	times := min(copies, math.Ceil(1.25*want/max(b.serversPerNode(), 1e-9)))
	if b.subsetSize > 0 && (times == b.subsetTurns || want <= float64(b.subsetSize) && want > float64(b.subsetSize)/3) {
		return
	}
	b.subsetSize, b.subsetTurns = int(math.Ceil(times/copies*n)), times
	for _, s := range b.ready {
		s.subsetShare = 0
	}
	run := func(group []*server, place int) (out []*server) {
		each := float64(len(group)) / copies
		from := float64(place) * each
		to := from + times*each
		for k := int(from); float64(k) < to-1e-6; k++ {
			s := group[k%len(group)]
			if s.subsetShare == 0 { // else the run ends in the server that it begins in
				out = append(out, s)
			}
			s.subsetShare += min(1, float64(k+1)-from, to-float64(k))
		}
		return out
	}
	b.subsetStarts = [2]int{b.settings.Index % int(copies), b.settings.Index * stride(int(copies)) % int(copies)}
	b.subset = groups{run(b.allGroups.left, b.subsetStarts[0]), run(b.allGroups.right, b.subsetStarts[1])}
}

// stride is a number near the golden section of n that has no divisor in common with it: its multiples come to every
// place, and neighbours far apart.
func stride(n int) int {
	m := max(1, int(0.618*float64(n)))
	for new(big.Int).GCD(nil, nil, big.NewInt(int64(m)), big.NewInt(int64(n))).Int64() > 1 {
		m++
	}
	return m
}
