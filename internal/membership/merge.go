package membership

import "slices"

// mergeAll merges the updates of a message.
func (m *Machine) mergeAll(msg Message) {
	for _, u := range msg.Updates {
		m.merge(u, u.ID == msg.From)
		// A sender that spreads what is superseded gets what this node holds with the answer, if there is one.
		if k := m.get(u.ID); k != nil && u.Status != Alive && u.Incarnation < k.incarnation {
			m.outdated = append(m.outdated, u.ID)
		}
	}
}

// merge merges an update. fromSubject says that its sender is the member that it is about, which knows its own address best.
func (m *Machine) merge(u Update, fromSubject bool) {
	if u.ID == m.id {
		m.refute(u)
		return
	}
	k := m.get(u.ID)
	if k == nil {
		m.addMember(u)
		return
	}
	m.mergePeer(k, u, fromSubject)
	m.mergeStatus(k, u)
}

// refute answers an update about this node itself: one that supersedes what it says of itself is followed by a later
// incarnation.
func (m *Machine) refute(u Update) {
	accused := u.Status != Alive
	switch {
	case u.Incarnation < MaxIncarnation && (u.Incarnation > m.incarnation || u.Incarnation == m.incarnation && accused):
		if u.Incarnation > m.incarnation {
			m.NameConflicts++
		}
		m.incarnation = u.Incarnation + 1
		m.selfTransmits = 0
		m.changes++
	case u.Incarnation < m.incarnation && accused:
		// The node that accuses an earlier incarnation is to learn of this one.
		m.selfTransmits = min(m.selfTransmits, m.retransmitLimit()-1)
	}
}

// addMember adds a member that was not known. Without a Peer it has no address, and the update is dropped.
func (m *Machine) addMember(u Update) {
	if u.Peer == nil {
		return
	}
	k := &member{
		ID:              u.ID,
		Peer:            *u.Peer,
		peerIncarnation: u.PeerIncarnation,
		peerPending:     true,
		incarnation:     u.Incarnation,
		status:          u.Status,
		since:           m.now,
	}
	if u.Status == Suspect {
		k.suspectors = []ID{u.By}
	}
	i, _ := m.find(u.ID)
	m.members = slices.Insert(m.members, i, k)
	m.changes++
}

// mergePeer takes name and address from an update if they are of a later incarnation than what is held, or from the
// member itself.
func (m *Machine) mergePeer(k *member, u Update, fromSubject bool) {
	if u.Peer == nil {
		return
	}
	later := u.PeerIncarnation > k.peerIncarnation
	if !later && !(fromSubject && u.PeerIncarnation == k.peerIncarnation) {
		return
	}
	k.peerIncarnation = u.PeerIncarnation
	if k.Peer == *u.Peer {
		return
	}
	k.Peer = *u.Peer
	k.peerPending = true
	k.transmits = 0
	m.changes++
}

// mergeStatus takes incarnation and status from an update that supersedes what is held, and confirms a suspicion of the
// same incarnation.
func (m *Machine) mergeStatus(k *member, u Update) {
	if u.Incarnation == k.incarnation && u.Status == Suspect && k.status == Suspect {
		m.suspect(k, u.By)
		return
	}
	if u.Incarnation < k.incarnation || u.Incarnation == k.incarnation && u.Status <= k.status {
		return
	}
	switch {
	case u.Status == Suspect:
		m.setStatus(k, u.Incarnation, Alive)
		m.suspect(k, u.By)
	case u.Status == Dead && k.active():
		if u.Incarnation > k.incarnation || k.status == Alive {
			m.setStatus(k, u.Incarnation, Suspect)
		}
		if k.finalPingUntil == 0 {
			m.sendFinalPing(k)
		}
	default:
		m.setStatus(k, u.Incarnation, u.Status)
	}
}

// setStatus gives a member an incarnation and a status, which have not been sent to anybody yet.
func (m *Machine) setStatus(k *member, incarnation uint32, s Status) {
	k.incarnation = incarnation
	k.status = s
	k.since = m.now
	k.transmits = 0
	k.finalPingUntil = 0
	k.peerPending = false
	k.suspectors = nil
	m.changes++
}
