package zonestate

import (
	"cmp"
	"net/netip"
	"slices"

	"damsontrestle/internal/splitmix"
)

// planes is in how many trees each zone's nodes stand.
const planes = 2

// Peer is another node, as the membership has it.
type Peer struct {
	ID      uint64
	Addr    netip.AddrPort
	Place   Place
	Suspect bool // it is held for suspect
	Gone    bool // dead or left: it stands in no tree, and its zone is still one
}

// rank is a node's place in its zone's tree of a plane: by a hash of its ID.
func rank(id uint64, plane uint8) uint64 { return splitmix.Mix(id ^ uint64(plane+1)*splitmix.Golden) }

// tree is one zone's nodes in the order of a plane: the children of the i-th are those from i*fan+1 on, as in a heap.
type tree []Peer

func newTree(nodes []Peer, plane uint8) tree {
	t := slices.Clone(nodes)
	slices.SortFunc(t, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank(a.ID, plane), rank(b.ID, plane)), cmp.Compare(a.ID, b.ID))
	})
	return t
}

func (t tree) index(id uint64) int {
	return slices.IndexFunc(t, func(p Peer) bool { return p.ID == id })
}

// level is how far the i-th is from the root.
func level(i, fan int) (n int) {
	for ; i > 0; i = (i - 1) / fan {
		n++
	}
	return n
}

// maxChildren bounds whom a node sends to in a tree, those of children that it passes over among them.
const maxChildren = 32

// root is the first that is not passed over.
func (t tree) root(skip func(Peer) bool) int {
	for i, p := range t {
		if !skip(p) {
			return i
		}
	}
	return 0
}

// parent is whom the i-th sends its parts to; the root has none.
func (t tree) parent(i, fan int, skip func(Peer) bool) (int, bool) {
	root := t.root(skip)
	if i == root {
		return 0, false
	}
	for i > 0 {
		if i = (i - 1) / fan; !skip(t[i]) {
			return i, true
		}
	}
	return root, true
}

// children are those whose parts the i-th adds up: its own, and those of such as are passed over, but for itself.
func (t tree) children(i, fan int, skip func(Peer) bool) (out []Peer) {
	var below func(int)
	below = func(at int) {
		for c := at*fan + 1; c <= at*fan+fan && c < len(t) && len(out) < maxChildren; c++ {
			switch {
			case c == i:
			case skip(t[c]):
				below(c)
			default:
				out = append(out, t[c])
			}
		}
	}
	below(i)
	if root := t.root(skip); root == i && i > 0 {
		below(0)
	}
	return out
}
