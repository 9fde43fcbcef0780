package membership

import "slices"

// mergeAll merges the updates of a message.
func (m *Machine) mergeAll(msg Message) {
	for _, u := range msg.Updates {
		m.merge(u, u.ID == msg.From)
		// If the sender spreads a superseded update, the reply to it, if any, carries the current one.
		if member := m.get(u.ID); member != nil && u.Status != Alive && u.Incarnation < member.incarnation {
			m.outdated = append(m.outdated, u.ID)
		}
	}
}

// merge merges an update. fromSubject reports whether the sender is the member that the update is about, which is the
// authority on its own address.
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

// refute handles an update about this node itself. If the update would supersede the node's own, refute advances the
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
		// Send the node's own update at least once more, so that a node that accuses an earlier incarnation learns of this one.
		m.selfTransmits = min(m.selfTransmits, m.retransmitLimit()-1)
	}
}

// addMember adds a member that was unknown. An update without a Peer is dropped because it has no address.
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

// mergePeer adopts the Peer of an update if it was announced in a later incarnation than the stored one, or in the same
// incarnation and the update is from the member itself.
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

// mergeStatus adopts incarnation and status from an update that supersedes the stored ones, or adds a confirmation to a
// suspicion of the same incarnation. An active member that another node declares dead gets a final ping first.
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

// setStatus sets the incarnation and status of a member, and resets the fields that depend on them.
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
