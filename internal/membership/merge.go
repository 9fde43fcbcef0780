package membership

import "slices"

// merge merges a word. own: it comes from whom it is of, who knows best where that is.
func (m *Machine) merge(u Update, own bool) {
	if u.ID == m.id {
		if u.Incarnation < MaxIncarnation && (u.Incarnation > m.incarnation || u.Incarnation == m.incarnation && u.Status != Alive) {
			if u.Incarnation > m.incarnation {
				m.Twins++
			}
			m.incarnation, m.selfTransmits = u.Incarnation+1, 0
			m.changes++
		} else if u.Incarnation < m.incarnation && u.Status != Alive {
			m.selfTransmits = min(m.selfTransmits, m.retransmitLimit()-1) // who accuses an incarnation that is over is told of this one
		}
		return
	}
	k := m.get(u.ID)
	if k == nil {
		if u.Peer == nil {
			return // nobody can be told of it
		}
		i, _ := m.find(u.ID)
		k = &member{ID: u.ID, Peer: *u.Peer, peerIncarnation: u.PeerIncarnation, peerPending: true, incarnation: u.Incarnation, status: u.Status, since: m.now}
		if u.Status == Suspect {
			k.suspectors = []ID{u.By}
		}
		m.members = slices.Insert(m.members, i, k)
		m.changes++
		return
	}
	if u.Peer != nil && (u.PeerIncarnation > k.peerIncarnation || own && u.PeerIncarnation == k.peerIncarnation) {
		if k.peerIncarnation = u.PeerIncarnation; k.Peer != *u.Peer {
			k.Peer, k.peerPending, k.transmits = *u.Peer, true, 0
			m.changes++
		}
	}
	switch {
	case u.Incarnation > k.incarnation || u.Incarnation == k.incarnation && u.Status > k.status:
		switch {
		case u.Status == Suspect:
			m.setStatus(k, u.Incarnation, Alive)
			m.suspect(k, u.By)
		case u.Status == Dead && k.status <= Suspect:
			if u.Incarnation > k.incarnation || k.status == Alive {
				m.setStatus(k, u.Incarnation, Suspect)
			}
			if k.finalPingUntil == 0 {
				m.sendFinalPing(k)
			}
		default:
			m.setStatus(k, u.Incarnation, u.Status)
		}
	case u.Incarnation == k.incarnation && u.Status == Suspect && k.status == Suspect:
		m.suspect(k, u.By)
	}
}

// setStatus has a member be of an incarnation and a status from now on.
func (m *Machine) setStatus(k *member, incarnation uint32, s Status) {
	k.incarnation, k.status, k.since, k.transmits, k.finalPingUntil, k.peerPending, k.suspectors = incarnation, s, m.now, 0, 0, false, nil
	m.changes++
}
