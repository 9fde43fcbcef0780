package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Clone returns a deep copy of the state. Model checks continue a run from it in several ways.
func (m *Machine) Clone() *Machine {
	clone := *m
	clone.members = make([]*memberState, len(m.members))
	for i, member := range m.members {
		copied := *member
		copied.suspectors = slices.Clone(member.suspectors)
		clone.members[i] = &copied
	}
	clone.probeOrder = slices.Clone(m.probeOrder)
	clone.indirectProbes = slices.Clone(m.indirectProbes)
	clone.packets = nil
	clone.outdated = nil
	return &clone
}

// Fingerprint returns a string that identifies the state: two machines with the same fingerprint behave identically from then
// on if their times are shifted by the same offset.
func (m *Machine) Fingerprint() string {
	var b strings.Builder
	relative := func(t time.Duration) time.Duration { return t - m.now }
	fmt.Fprintf(&b, "%x/%d/%v/%d/%d/%v/%v/%d/%d/%v|", m.id, m.incarnation, m.hasLeft, m.draws, m.seq, m.probeOrder,
		relative(m.nextPeriod), m.healthScore, m.selfTransmits, max(0, relative(m.nextPull)))
	if m.probe.running {
		p := m.probe
		fmt.Fprintf(&b, "p%x,%d,%v,%d,%d|", p.target, p.seq, relative(p.indirectAt), p.helpers, p.nacks)
	}
	for _, r := range m.indirectProbes {
		fmt.Fprintf(&b, "r%d,%v,%d,%v|", r.seq, r.requester, r.requesterSeq, relative(r.deadline))
	}
	for _, member := range m.members {
		finalPing := time.Duration(-1 << 62) // no final ping was sent
		if member.finalPingUntil != 0 {
			finalPing = relative(member.finalPingUntil)
		}
		fmt.Fprintf(&b, "m%x,%d,%d,%v,%v,%d,%d,%v,%v|", member.ID, member.incarnation, member.status, relative(member.statusSince), member.suspectors,
			member.transmits, member.peerIncarnation, member.peerPending, finalPing)
	}
	return b.String()
}
