package balancer

import (
	"math"
	"math/big"
)

const (
	minSubsetSize           = 3   // smallest subset, so that a few servers may fail
	subsetServersPerRequest = 1.5 // subset size per own request in flight
	minNodesPerServer       = 2   // lower bound of the nodes that share a server

	subsetHeadroom     = 1.25 // size of a new subset relative to the wanted size
	subsetEndTolerance = 1e-6 // part of a server at the end of a subset that is ignored, in servers
)

// groupOffsets are the start positions of a node's subset in the two groups, in multiples of one node's share of a
// group.
type groupOffsets struct{ left, right int }

// updateSubset selects the node's subset: a contiguous range of each group in the shared order. With the full list, a
// node among many would reach each server too rarely to detect slow and unresponsive ones, and the number of
// connections would grow with nodes times servers.
//
// The nodes' ranges follow one another around the group and together cover it a whole number of times. Their ends are
// fractional positions, not server counts: a server at the end of a range belongs to it in part. So every server gets
// the same total share, whatever the numbers of nodes and servers. In the right group the nodes are in a different
// order, so that nodes that share servers on the left don't share them on the right.
//
// A busy node takes a larger subset: it has more samples per server, and its traffic would be too much for a few
// servers. The subset shrinks only when less than a third of it is wanted, so that it rarely changes.
func (b *Balancer) updateSubset() {
	wanted := max(minSubsetSize, subsetServersPerRequest*b.meanInFlight, minNodesPerServer*b.serversPerNode())
	nodes := b.nodes()
	coverage := min(nodes, math.Ceil(subsetHeadroom*wanted/max(b.serversPerNode(), 1e-9)))
	if b.subsetSize > 0 {
		size := float64(b.subsetSize)
		fits := wanted <= size && wanted > size/3
		if coverage == b.subsetCoverage || fits {
			return
		}
	}
	b.subsetSize = int(math.Ceil(coverage / nodes * float64(len(b.ready))))
	b.subsetCoverage = coverage
	for _, s := range b.ready {
		s.subsetShare = 0
	}
	count := int(nodes)
	b.subsetOffsets.left = b.settings.Index % count
	b.subsetOffsets.right = b.settings.Index * coprimeStride(count) % count
	b.subset.left = b.groupSubset(b.allGroups.left, b.subsetOffsets.left)
	b.subset.right = b.groupSubset(b.allGroups.right, b.subsetOffsets.right)
}

// groupSubset returns the servers of this node's range of a group, which begins at start, and sets the share of each
// one that lies in it.
func (b *Balancer) groupSubset(group []*server, start int) (members []*server) {
	perNode := float64(len(group)) / b.nodes()
	from := float64(start) * perNode
	to := from + b.subsetCoverage*perNode
	for k := int(from); float64(k) < to-subsetEndTolerance; k++ {
		s := group[k%len(group)]
		if s.subsetShare == 0 { // otherwise the range wraps around to its first server
			members = append(members, s)
		}
		s.subsetShare += min(1, float64(k+1)-from, to-float64(k))
	}
	return members
}

// coprimeStride returns a number near n divided by the golden ratio that is coprime to n: its multiples modulo n
// visit every position, and consecutive ones are far apart.
func coprimeStride(n int) int {
	candidate := max(1, int(0.618*float64(n)))
	for new(big.Int).GCD(nil, nil, big.NewInt(int64(candidate)), big.NewInt(int64(n))).Int64() > 1 {
		candidate++
	}
	return candidate
}
