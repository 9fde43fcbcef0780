package zonestate

import (
	"cmp"
	"net/netip"
	"slices"

	"damsontrestle/internal/splitmix"
)

// planes is the number of aggregation trees of each zone.
const planes = 2

// Peer is another node, as the membership has it.
type Peer struct {
	ID      uint64
	Addr    netip.AddrPort
	Place   Place
	Suspect bool // the membership suspects it
	Gone    bool // dead or left: it is in no tree, and its zone is known still
}

// rank orders the nodes of a zone in a plane: by a hash of their IDs.
func rank(id uint64, plane uint8) uint64 {
	return splitmix.Mix(id ^ uint64(plane+1)*splitmix.GoldenGamma)
}

// tree holds one zone's nodes in the order of a plane. As in a heap, the fan children of the i-th begin at i*fan+1.
type tree []Peer

func newTree(nodes []Peer, plane uint8) tree {
	t := slices.Clone(nodes)
	slices.SortFunc(t, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank(a.ID, plane), rank(b.ID, plane)), cmp.Compare(a.ID, b.ID))
	})
	return t
}

// index returns the position of a node; -1: it is not in the tree.
func (t tree) index(id uint64) int {
	return slices.IndexFunc(t, func(p Peer) bool { return p.ID == id })
}

// level returns the distance of the i-th from the root.
func level(i, fan int) int {
	n := 0
	for ; i > 0; i = (i - 1) / fan {
		n++
	}
	return n
}

// maxChildren bounds the children of a node, with those that it takes over from bypassed children.
const maxChildren = 32

// root returns the first node that is not bypassed; if all are, the first.
func (t tree) root(bypassed func(Peer) bool) int {
	for i, p := range t {
		if !bypassed(p) {
			return i
		}
	}
	return 0
}

// parent returns the node to which the i-th sends its parts; false: it is the root.
func (t tree) parent(i, fan int, bypassed func(Peer) bool) (int, bool) {
	root := t.root(bypassed)
	if i == root {
		return 0, false
	}
	for i > 0 {
		i = (i - 1) / fan
		if !bypassed(t[i]) {
			return i, true
		}
	}
	return root, true
}

// children returns the nodes whose parts the i-th adds up: its own children, and in place of bypassed ones theirs.
func (t tree) children(i, fan int, bypassed func(Peer) bool) []Peer {
	var out []Peer
	var addBelow func(int)
	addBelow = func(at int) {
		first := at*fan + 1
		for c := first; c < first+fan && c < len(t) && len(out) < maxChildren; c++ {
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
	// A node that stands in for the root adopts the nodes that lie below the bypassed ones before it.
	if i > 0 && t.root(bypassed) == i {
		addBelow(0)
	}
	return out
}
