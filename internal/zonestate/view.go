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
	view := &View{peers: make(map[uint64]Peer, len(all)), trees: map[ZoneID]*[planes]tree{}}
	byZone := map[ZoneID][]Peer{}
	for _, peer := range all {
		view.peers[peer.ID] = peer
		nodes := byZone[peer.ZoneID]
		if !peer.Inactive {
			nodes = append(nodes, peer)
			view.active = append(view.active, peer)
		}
		byZone[peer.ZoneID] = nodes // keep zones without active nodes
	}
	slices.SortFunc(view.active, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for zone, nodes := range byZone {
		view.trees[zone] = new([planes]tree)
		for plane := range uint8(planes) {
			view.trees[zone][plane] = newTree(nodes, plane)
		}
	}
	return view
}

// SetView sets the view, in which the node itself must be active. It drops the freshness of zones and the links to nodes that
// are not in the view.
func (m *Machine) SetView(now time.Duration, view *View) {
	m.now = max(m.now, now)
	m.view = view
	for zone := range view.trees {
		if m.zones[zone] == nil {
			m.zones[zone] = &zoneFreshness{since: m.now}
		}
	}
	for zone := range m.zones {
		if view.trees[zone] == nil {
			delete(m.zones, zone)
		}
	}
	for id := range m.links {
		if _, known := view.peers[id]; !known {
			delete(m.links, id)
		}
	}
}

// position returns the tree of this node's zone in a plane, and the index of this node in it.
func (m *Machine) position(plane uint8) (tree, int) {
	tree := m.view.trees[m.self.ZoneID][plane]
	return tree, tree.index(m.self.ID)
}

// bypassed reports whether a node is skipped in the trees: the membership suspects it, and this node has received no message
// from it recently. With message loss, suspicions alone are too often false, and missing messages alone may be caused by the link.
func (m *Machine) bypassed(p Peer) bool {
	if !p.Suspect || p.ID == m.self.ID {
		return false
	}
	peerLink := m.links[p.ID]
	return peerLink == nil || m.now-peerLink.lastHeard > bypassAfterPeriods*m.options.period()
}
