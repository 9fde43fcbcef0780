package membership

import "slices"

// mergeAll merges the updates of a message.
func (m *Machine) mergeAll(msg Message) {
	for _, u := range msg.Updates {
		m.merge(u, u.ID == msg.From)
		// A sender that spreads what is superseded gets what this node holds with the answer, if there is one.
		if member := m.get(u.ID); member != nil && u.Status != Alive && u.Incarnation < member.incarnation {
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
	member := m.get(u.ID)
	if member == nil {
		m.addMember(u)
		return
	}
	m.mergePeer(member, u, fromSubject)
	m.mergeStatus(member, u)
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
	member := &memberState{
		ID:              u.ID,
		Peer:            *u.Peer,
		peerIncarnation: u.PeerIncarnation,
		peerPending:     true,
		incarnation:     u.Incarnation,
		status:          u.Status,
		statusSince:     m.now,
	}
	if u.Status == Suspect {
		member.suspectors = []ID{u.Suspector}
	}
	i, _ := m.find(u.ID)
	m.members = slices.Insert(m.members, i, member)
	m.changes++
}

// mergePeer takes name and address from an update if they are of a later incarnation than what is held, or from the
// member itself.
func (m *Machine) mergePeer(member *memberState, u Update, fromSubject bool) {
	if u.Peer == nil {
		return
	}
	later := u.PeerIncarnation > member.peerIncarnation
	if !later && !(fromSubject && u.PeerIncarnation == member.peerIncarnation) {
		return
	}
	member.peerIncarnation = u.PeerIncarnation
	if member.Peer == *u.Peer {
		return
	}
	member.Peer = *u.Peer
	member.peerPending = true
	member.transmits = 0
	m.changes++
}

// mergeStatus takes incarnation and status from an update that supersedes what is held, and confirms a suspicion of the
// same incarnation.
func (m *Machine) mergeStatus(member *memberState, u Update) {
	if u.Incarnation == member.incarnation && u.Status == Suspect && member.status == Suspect {
		m.suspect(member, u.Suspector)
		return
	}
	if u.Incarnation < member.incarnation || u.Incarnation == member.incarnation && u.Status <= member.status {
		return
	}
	switch {
	case u.Status == Suspect:
		m.setStatus(member, u.Incarnation, Alive)
		m.suspect(member, u.Suspector)
	case u.Status == Dead && member.active():
		if u.Incarnation > member.incarnation || member.status == Alive {
			m.setStatus(member, u.Incarnation, Suspect)
		}
		if member.finalPingUntil == 0 {
			m.sendFinalPing(member)
		}
	default:
		m.setStatus(member, u.Incarnation, u.Status)
	}
}

// setStatus gives a member an incarnation and a status, which have not been sent to anybody yet.
func (m *Machine) setStatus(member *memberState, incarnation uint32, s Status) {
	member.incarnation = incarnation
	member.status = s
	member.statusSince = m.now
	member.transmits = 0
	member.finalPingUntil = 0
	member.peerPending = false
	member.suspectors = nil
	m.changes++
}
