package balancer

import (
	"math"
	"math/big"
)

const (
	minSubset         = 3   // servers that any node draws from, so that a few may be lost
	subsetPerRequest  = 1.5 // servers drawn from for each own request in flight
	minNodesPerServer = 2   // nodes that draw from the same server, at least

	subsetReserve = 1.25 // a new subset is that much larger than what is wanted
	runTolerance  = 1e-6 // by how much a run may end late in a server without taking it in
)

// runStarts are where a node's runs begin in the two groups, in lengths of one node's run.
type runStarts struct{ left, right int }

// fitSubset cuts the node's subset from each group: a run of the shared order. Over the full list a node of many meets
// each server too seldom to tell the slow and the silent, and connections grow with nodes times servers. The nodes'
// runs lie end to end round the group, a complete number of times in all, as lengths and not as counts: a server at the
// end of a run belongs to it in part. So all together have the same part in each server, whatever their numbers. In the
// right group the nodes follow one another in another order, so that those that share servers on the left do not on the
// right. A busy node takes a larger subset: its counts tell more, and its traffic would be too much for a few servers.
// It shrinks only when a third of it would do, so that it stays as it is for long.
func (b *Balancer) fitSubset() {
	wanted := max(minSubset, subsetPerRequest*b.meanInFlight, minNodesPerServer*b.serversPerNode())
	nodes := b.nodes()
	turns := min(nodes, math.Ceil(subsetReserve*wanted/max(b.serversPerNode(), 1e-9)))
	if b.subsetSize > 0 {
		size := float64(b.subsetSize)
		fits := wanted <= size && wanted > size/3
		if turns == b.subsetTurns || fits {
			return
		}
	}
	b.subsetSize = int(math.Ceil(turns / nodes * float64(len(b.ready))))
	b.subsetTurns = turns
	for _, s := range b.ready {
		s.subsetShare = 0
	}
	count := int(nodes)
	b.subsetStarts.left = b.settings.Index % count
	b.subsetStarts.right = b.settings.Index * stride(count) % count
	b.subset.left = b.cutRun(b.allGroups.left, b.subsetStarts.left)
	b.subset.right = b.cutRun(b.allGroups.right, b.subsetStarts.right)
}

// cutRun returns the servers of this node's run of a group, which begins at a start, and sets each one's share in it.
func (b *Balancer) cutRun(group []*server, start int) (run []*server) {
	perNode := float64(len(group)) / b.nodes()
	from := float64(start) * perNode
	to := from + b.subsetTurns*perNode
	for k := int(from); float64(k) < to-runTolerance; k++ {
		s := group[k%len(group)]
		if s.subsetShare == 0 { // else the run ends in the server that it begins in
			run = append(run, s)
		}
		s.subsetShare += min(1, float64(k+1)-from, to-float64(k))
	}
	return run
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
