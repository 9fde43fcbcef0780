package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
)

// Limits of gossip.
const (
	maxGossipMessages = 6 // per probe interval, in addition to probes
	updatesPerMessage = 9 // typical number
)

// send queues a message, with as many updates as fit unless it is a Page.
func (m *Machine) send(to netip.AddrPort, msg Message) {
	msg.From = m.id
	if msg.Kind != Page {
		msg.Updates = m.piggyback(to, MaxUpdateBytes-digestSize*len(msg.BucketDigests))
	}
	m.packets = append(m.packets, Packet{To: to, Message: msg})
}

// updateList collects updates within a size limit.
type updateList struct {
	updates   []Update
	bytesLeft int
}

// add appends an update if it fits, and reports whether it does.
func (l *updateList) add(u Update) bool {
	n := updateSize(u)
	if n > l.bytesLeft {
		return false
	}
	l.bytesLeft -= n
	l.updates = append(l.updates, u)
	return true
}

// piggyback selects the updates to send with a message, in this order: an update that the receiver is not alive, so that it
// can refute it; updates that the receiver has in an outdated version; the node's own update; and the pending updates, those
// of changed members before new members and the least often sent first.
func (m *Machine) piggyback(to netip.AddrPort, maxBytes int) []Update {
	list := &updateList{bytesLeft: maxBytes}
	limit := m.retransmitLimit()
	for _, member := range m.members {
		if member.Addr == to && member.status != Alive {
			list.add(member.update(false))
		}
	}
	for _, id := range m.outdated {
		if member := m.get(id); member != nil {
			list.add(member.update(false))
		}
	}
	if m.selfTransmits < limit || len(m.members) == 0 {
		m.selfTransmits++
		list.add(m.selfUpdate())
	}
	for _, member := range m.pendingUpdates(to, limit) {
		if !list.add(member.update(member.peerPending)) {
			break
		}
		member.transmits++
		if member.transmits >= limit {
			member.peerPending = false
		}
	}
	return list.updates
}

// pendingUpdates returns the members whose updates were sent fewer than limit times, in sending order. Status changes precede
// announcements of new or changed peers: anti-entropy distributes those as well, and hundreds of them would delay the update
// about a dead member.
func (m *Machine) pendingUpdates(to netip.AddrPort, limit int) []*memberState {
	var pending []*memberState
	for _, member := range m.members {
		if member.transmits < limit && member.Addr != to {
			pending = append(pending, member)
		}
	}
	slices.SortStableFunc(pending, func(a, b *memberState) int {
		switch {
		case a.peerPending == b.peerPending:
			return cmp.Compare(a.transmits, b.transmits)
		case a.peerPending:
			return 1
		default:
			return -1
		}
	})
	return pending
}

// retransmitLimit returns the number of times an update is sent (SWIM's λ log n).
func (m *Machine) retransmitLimit() int {
	return m.options.RetransmitFactor * int(math.Ceil(math.Log2(float64(m.activeCount()+1))))
}

// selfUpdate returns the update about this node itself.
func (m *Machine) selfUpdate() Update {
	u := Update{ID: m.id, Incarnation: m.incarnation, Peer: &m.self, PeerIncarnation: m.incarnation}
	if m.hasLeft {
		u.Status = Left
	}
	return u
}

// gossip sends additional pings if probes cannot carry all pending updates, for example after many members died at once.
func (m *Machine) gossip() {
	pending := 0
	limit := m.retransmitLimit()
	var alive []*memberState
	for _, member := range m.members {
		if member.transmits < limit/2 {
			pending++
		}
		if member.status == Alive {
			alive = append(alive, member)
		}
	}
	for range min(maxGossipMessages, pending/updatesPerMessage, len(alive)) {
		m.send(alive[m.draw(len(alive))].Addr, Message{Kind: Ping})
	}
}
