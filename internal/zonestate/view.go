package zonestate

import (
	"cmp"
	"slices"
	"time"
)

// bypassAfterPeriods is after how many periods without a message a suspected node is bypassed.
const bypassAfterPeriods = 2

// View is the set of nodes as the membership of one has it, with the trees of all zones. It does not change and may be shared.
type View struct {
	peers  map[uint64]Peer
	active []Peer // neither dead nor left, in the order of their IDs
	trees  map[ZoneID]*[planes]tree
}

// NewView returns the view of all nodes that the membership knows, the node itself among them.
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
		byZone[p.ZoneID] = nodes // a zone without active nodes stays one
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

// SetView sets the view, in which the node itself has to be active. State of zones and nodes that are not in it is dropped.
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

// position returns this node's tree of a plane and its index in it.
func (m *Machine) position(plane uint8) (tree, int) {
	t := m.view.trees[m.self.ZoneID][plane]
	return t, t.index(m.self.ID)
}

// bypassed says that a node is left out of the trees: the membership suspects it, and this node has not heard from it either.
// A suspicion alone is too often false where messages are lost, and silence alone may be the fault of the link.
func (m *Machine) bypassed(p Peer) bool {
	if !p.Suspect || p.ID == m.self.ID {
		return false
	}
	l := m.links[p.ID]
	return l == nil || m.now-l.lastHeard > bypassAfterPeriods*m.options.period()
}
