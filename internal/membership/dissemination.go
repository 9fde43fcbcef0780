package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
)

// Bounds of gossip.
const (
	maxGossipMessages = 6 // messages a period beside probes
	updatesPerMessage = 9 // as a rule
)

// send queues a message with the updates that it has room for.
func (m *Machine) send(to netip.AddrPort, msg Message) {
	msg.From = m.id
	if msg.Kind != Page {
		msg.Updates = m.piggyback(to, MaxUpdateBytes-digestSize*len(msg.BucketDigests))
	}
	m.packets = append(m.packets, Packet{To: to, Message: msg})
}

// updateList collects updates up to a number of bytes.
type updateList struct {
	updates   []Update
	bytesLeft int // bytes
}

// add appends an update; false: there is no room for it.
func (l *updateList) add(u Update) bool {
	n := updateSize(u)
	if n > l.bytesLeft {
		return false
	}
	l.bytesLeft -= n
	l.updates = append(l.updates, u)
	return true
}

// piggyback chooses the updates that go with a message: first what accuses its receiver, so that it can refute that, then
// what the receiver holds out of date, then the node's own update, then those that went out least often.
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

// pendingUpdates returns the members whose updates have not gone out limit times, in the order in which they are to be
// sent. A change of a member goes before the announcement of a newcomer: newcomers are found by anti-entropy as well, and
// hundreds of them would delay the news of a death.
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

// retransmitLimit returns how often an update is sent (SWIM's λ log n).
func (m *Machine) retransmitLimit() int {
	return m.options.RetransmitFactor * int(math.Ceil(math.Log2(float64(m.activeCount()+1))))
}

// selfUpdate returns what this node announces of itself.
func (m *Machine) selfUpdate() Update {
	u := Update{ID: m.id, Incarnation: m.incarnation, Peer: &m.self, PeerIncarnation: m.incarnation}
	if m.hasLeft {
		u.Status = Left
	}
	return u
}

// gossip sends pings beside the probes where more updates wait than those carry, as after many deaths at once.
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
