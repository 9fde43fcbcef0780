package zonestate

import (
	"cmp"
	"net/netip"
	"slices"

	"damsontrestle/internal/splitmix"
)

// planes is the number of aggregation trees of each zone.
const planes = 2

// Peer is a node as known to the membership.
type Peer struct {
	ID       uint64
	Addr     netip.AddrPort
	ZoneID   ZoneID
	Suspect  bool // the membership suspects it
	Inactive bool // dead or left: it is in no tree, but its zone remains in the view
}

// rank returns the sort key of a node in the tree of a plane, a hash of its ID.
func rank(id uint64, plane uint8) uint64 {
	return splitmix.Mix(id ^ uint64(plane+1)*splitmix.GoldenGamma)
}

// tree holds the nodes of a zone ordered by their rank in a plane. As in a heap, the first child of node i is at index i*fanout+1.
type tree []Peer

func newTree(nodes []Peer, plane uint8) tree {
	t := slices.Clone(nodes)
	slices.SortFunc(t, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank(a.ID, plane), rank(b.ID, plane)), cmp.Compare(a.ID, b.ID))
	})
	return t
}

// index returns the index of a node, or -1 if it is not in the tree.
func (t tree) index(id uint64) int {
	return slices.IndexFunc(t, func(p Peer) bool { return p.ID == id })
}

// level returns the distance of node i from the root.
func level(i, fanout int) int {
	n := 0
	for ; i > 0; i = (i - 1) / fanout {
		n++
	}
	return n
}

// maxChildren is the maximum number of children of a node, including those of bypassed nodes.
const maxChildren = 32

// root returns the index of the first node that is not bypassed, or 0 if all are.
func (t tree) root(bypassed func(Peer) bool) int {
	for i, p := range t {
		if !bypassed(p) {
			return i
		}
	}
	return 0
}

// parent returns the index of the node to which node i sends its parts, or false if node i is the root.
func (t tree) parent(i, fanout int, bypassed func(Peer) bool) (int, bool) {
	root := t.root(bypassed)
	if i == root {
		return 0, false
	}
	for i > 0 {
		i = (i - 1) / fanout
		if !bypassed(t[i]) {
			return i, true
		}
	}
	return root, true
}

// children returns the nodes whose parts node i aggregates: its children, with bypassed ones replaced by their own children.
func (t tree) children(i, fanout int, bypassed func(Peer) bool) []Peer {
	var out []Peer
	var addBelow func(int)
	addBelow = func(at int) {
		first := at*fanout + 1
		for c := first; c < first+fanout && c < len(t) && len(out) < maxChildren; c++ {
			switch {
			case c == i:
			case bypassed(t[c]):
				addBelow(c)
			default:
				out = append(out, t[c])
			}
		}
	}
	addBelow(i)
	// A node that replaces the bypassed root also adopts the children of the bypassed nodes that precede it.
	if i > 0 && t.root(bypassed) == i {
		addBelow(0)
	}
	return out
}
