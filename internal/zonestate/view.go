package zonestate

import (
	"cmp"
	"slices"
	"time"
)

// View is who there is, as the membership of a node has it. It never changes, and may be shared.
type View struct {
	peers  map[uint64]Peer
	living []Peer // by their IDs
	trees  map[Place]*[planes]tree
}

// NewView makes one of all that the membership knows, the node itself among them.
func NewView(all []Peer) *View {
	v := &View{peers: make(map[uint64]Peer, len(all)), trees: map[Place]*[planes]tree{}}
	by := map[Place][]Peer{}
	for _, p := range all {
		v.peers[p.ID] = p
		list := by[p.Place]
		if !p.Gone {
			list = append(list, p)
			v.living = append(v.living, p)
		}
		by[p.Place] = list // a zone of which nobody lives is one still
	}
	slices.SortFunc(v.living, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for at, list := range by {
		v.trees[at] = new([planes]tree)
		for plane := range uint8(planes) {
			v.trees[at][plane] = newTree(list, plane)
		}
	}
	return v
}

// See takes a view in which the node itself lives.
func (m *Machine) See(now time.Duration, v *View) {
	m.now = max(m.now, now)
	m.view = v
	for at := range v.trees {
		if m.zones[at] == nil {
			m.zones[at] = &zoneFreshness{since: m.now}
		}
	}
	for at := range m.zones {
		if v.trees[at] == nil {
			delete(m.zones, at)
		}
	}
	for id := range m.links {
		if _, known := v.peers[id]; !known {
			delete(m.links, id)
		}
	}
}

// position is this node's tree of a plane, and its place in it.
func (m *Machine) position(plane uint8) (tree, int) {
	t := m.view.trees[m.self.Place][plane]
	return t, t.index(m.self.ID)
}

// bypassed says that a node is passed over in trees: the membership suspects it, and this node has heard nothing of it either.
// A suspicion alone is too often false where messages are lost, and silence alone may be the link's.
func (m *Machine) bypassed(p Peer) bool {
	if !p.Suspect || p.ID == m.self.ID {
		return false
	}
	l := m.links[p.ID]
	return l == nil || m.now-l.heard > 2*m.options.period()
}
