package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
)

func (m *Machine) send(to netip.AddrPort, msg Message) {
	msg.From = m.id
	if msg.Kind != Page {
		msg.Updates = m.piggyback(to, MaxBytes-4*len(msg.Sums))
	}
	m.packets = append(m.packets, Packet{to, msg})
}

// piggyback chooses the updates that go with a message: what is held against its receiver first, so that it can answer that, then
// the own word, then those that went out least.
// Who and where somebody is goes with the first words of it alone.
func (m *Machine) piggyback(to netip.AddrPort, room int) (out []Update) {
	add := func(u Update) bool {
		n := updateSize(u)
		if n > room {
			return false
		}
		room -= n
		out = append(out, u)
		return true
	}
	most := m.retransmitLimit()
	for _, k := range m.members {
		if k.Addr == to && k.status != Alive {
			add(k.update(false))
		}
	}
	for _, id := range m.outdated {
		if k := m.get(id); k != nil {
			add(k.update(false))
		}
	}
	if m.selfTransmits < most || len(m.members) == 0 {
		m.selfTransmits++
		add(m.selfUpdate())
	}
	var fresh []*member
	for _, k := range m.members {
		if k.transmits < most && k.Addr != to {
			fresh = append(fresh, k)
		}
	}
	// What has changed of a member goes before who there is: that is found by lists as well, and hundreds of newcomers would
	// be in the way of a death.
	slices.SortStableFunc(fresh, func(a, b *member) int {
		if a.peerPending != b.peerPending {
			if b.peerPending {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.transmits, b.transmits)
	})
	for _, k := range fresh {
		if !add(k.update(k.peerPending)) {
			break
		}
		if k.transmits++; k.transmits >= most {
			k.peerPending = false
		}
	}
	return out
}

// retransmitLimit is how often a word is passed on.
func (m *Machine) retransmitLimit() int {
	return m.options.Spread * int(math.Ceil(math.Log2(float64(m.activeCount()+1))))
}

// selfUpdate is what this node says of itself.
func (m *Machine) selfUpdate() Update {
	u := Update{ID: m.id, Incarnation: m.incarnation, Peer: &m.self, PeerIncarnation: m.incarnation}
	if m.left {
		u.Status = Left
	}
	return u
}

func (k *member) update(complete bool) Update {
	u := Update{ID: k.ID, Incarnation: k.incarnation, Status: k.status}
	if complete {
		u.Peer, u.PeerIncarnation = &k.Peer, k.peerIncarnation
	}
	if k.status == Suspect && len(k.suspectors) > 0 {
		u.By = k.suspectors[k.transmits%len(k.suspectors)] // each goes round
	}
	return u
}

// Bounds of gossip.
const (
	maxGossip         = 6 // messages a period beside probes
	updatesPerMessage = 9 // that a message holds
)

// gossip sends more than probes carry, where many words wait: as after many deaths at once.
func (m *Machine) gossip() {
	waiting, most := 0, m.retransmitLimit()
	var to []*member
	for _, k := range m.members {
		if k.transmits < most/2 {
			waiting++
		}
		if k.status == Alive {
			to = append(to, k)
		}
	}
	for range min(maxGossip, waiting/updatesPerMessage, len(to)) {
		m.send(to[m.draw(len(to))].Addr, Message{Kind: Ping})
	}
}
