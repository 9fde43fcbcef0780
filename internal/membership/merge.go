package membership

import "slices"

// mergeAll merges the updates of a message.
func (m *Machine) mergeAll(msg Message) {
	for _, update := range msg.Updates {
		m.merge(update, update.ID == msg.From)
		// If the sender spreads a superseded update, the reply to it, if any, carries the current one.
		if member := m.get(update.ID); member != nil && update.Status != Alive && update.Incarnation < member.incarnation {
			m.outdated = append(m.outdated, update.ID)
		}
	}
}

// merge merges an update. fromSubject reports whether the sender is the member that the update is about, which is the
// authority on its own address.
func (m *Machine) merge(update Update, fromSubject bool) {
	if update.ID == m.id {
		m.refute(update)
		return
	}
	member := m.get(update.ID)
	if member == nil {
		m.addMember(update)
		return
	}
	m.mergePeer(member, update, fromSubject)
	m.mergeStatus(member, update)
}

// refute handles an update about this node itself. If the update would supersede the node's own, refute advances the
// incarnation.
func (m *Machine) refute(update Update) {
	notAlive := update.Status != Alive
	switch {
	case update.Incarnation < MaxIncarnation && (update.Incarnation > m.incarnation || update.Incarnation == m.incarnation && notAlive):
		if update.Incarnation > m.incarnation {
			m.NameConflicts++
		}
		m.incarnation = update.Incarnation + 1
		m.selfTransmits = 0
		m.changes++
	case update.Incarnation < m.incarnation && notAlive:
		// Send the node's own update at least once more, so that nodes which consider an earlier
		// incarnation not alive receive this one.
		m.selfTransmits = min(m.selfTransmits, m.retransmitLimit()-1)
	}
}

// addMember adds a member that was unknown. An update without a Peer is dropped because it has no address.
func (m *Machine) addMember(update Update) {
	if update.Peer == nil {
		return
	}
	member := &memberState{
		ID:              update.ID,
		Peer:            *update.Peer,
		peerIncarnation: update.PeerIncarnation,
		peerPending:     true,
		incarnation:     update.Incarnation,
		status:          update.Status,
		statusSince:     m.now,
	}
	if update.Status == Suspect {
		member.suspectors = []ID{update.Suspector}
	}
	i, _ := m.find(update.ID)
	m.members = slices.Insert(m.members, i, member)
	m.changes++
}

// mergePeer adopts the Peer of an update if it was announced in a later incarnation than the stored one, or in the same
// incarnation and the update is from the member itself.
func (m *Machine) mergePeer(member *memberState, update Update, fromSubject bool) {
	if update.Peer == nil {
		return
	}
	later := update.PeerIncarnation > member.peerIncarnation
	if !later && !(fromSubject && update.PeerIncarnation == member.peerIncarnation) {
		return
	}
	member.peerIncarnation = update.PeerIncarnation
	if member.Peer == *update.Peer {
		return
	}
	member.Peer = *update.Peer
	member.peerPending = true
	member.transmits = 0
	m.changes++
}

// mergeStatus adopts incarnation and status from an update that supersedes the stored ones, or adds a confirmation to a
// suspicion of the same incarnation. An active member that another node declares dead gets a final ping first.
func (m *Machine) mergeStatus(member *memberState, update Update) {
	if update.Incarnation == member.incarnation && update.Status == Suspect && member.status == Suspect {
		m.suspect(member, update.Suspector)
		return
	}
	if update.Incarnation < member.incarnation || update.Incarnation == member.incarnation && update.Status <= member.status {
		return
	}
	switch {
	case update.Status == Suspect:
		m.setStatus(member, update.Incarnation, Alive)
		m.suspect(member, update.Suspector)
	case update.Status == Dead && member.active():
		if update.Incarnation > member.incarnation || member.status == Alive {
			m.setStatus(member, update.Incarnation, Suspect)
		}
		if member.finalPingUntil == 0 {
			m.sendFinalPing(member)
		}
	default:
		m.setStatus(member, update.Incarnation, update.Status)
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
