package zonestate

import (
	"cmp"
	"slices"
	"time"
)

// bypassAfterPeriods is the number of periods without a message after which a suspected node is bypassed.
const bypassAfterPeriods = 2

// View is the set of nodes known to the membership of one node, with the trees of all zones. It is immutable and can be shared.
type View struct {
	peers  map[uint64]Peer
	active []Peer // neither dead nor left, ordered by ID
	trees  map[ZoneID]*[planes]tree
}

// NewView returns the view of all nodes known to the membership, which must include the node itself.
func NewView(all []Peer) *View {
	v := &View{peers: make(map[uint64]Peer, len(all)), trees: map[ZoneID]*[planes]tree{}}
	byZone := map[ZoneID][]Peer{}
	for _, p := range all {
		v.peers[p.ID] = p
		nodes := byZone[p.ZoneID]
		if !p.Inactive {
			nodes = append(nodes, p)
			v.active = append(v.active, p)
		}
		byZone[p.ZoneID] = nodes // keep zones without active nodes
	}
	slices.SortFunc(v.active, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for zone, nodes := range byZone {
		v.trees[zone] = new([planes]tree)
		for plane := range uint8(planes) {
			v.trees[zone][plane] = newTree(nodes, plane)
		}
	}
	return v
}

// SetView sets the view, in which the node itself must be active. It drops the freshness of zones and the links to nodes that
// are not in the view.
func (m *Machine) SetView(now time.Duration, v *View) {
	m.now = max(m.now, now)
	m.view = v
	for zone := range v.trees {
		if m.zones[zone] == nil {
			m.zones[zone] = &zoneFreshness{since: m.now}
		}
	}
	for zone := range m.zones {
		if v.trees[zone] == nil {
			delete(m.zones, zone)
		}
	}
	for id := range m.links {
		if _, known := v.peers[id]; !known {
			delete(m.links, id)
		}
	}
}

// position returns the tree of this node's zone in a plane, and the index of this node in it.
func (m *Machine) position(plane uint8) (tree, int) {
	t := m.view.trees[m.self.ZoneID][plane]
	return t, t.index(m.self.ID)
}

// bypassed reports whether a node is skipped in the trees: the membership suspects it, and this node has received no message
// from it recently. With message loss, suspicions alone are too often false, and missing messages alone may be caused by the link.
func (m *Machine) bypassed(p Peer) bool {
	if !p.Suspect || p.ID == m.self.ID {
		return false
	}
	l := m.links[p.ID]
	return l == nil || m.now-l.lastHeard > bypassAfterPeriods*m.options.period()
}
