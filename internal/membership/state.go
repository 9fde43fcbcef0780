package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Clone is a machine of its own with the same state. It is for whoever plays orders of what can happen.
func (m *Machine) Clone() *Machine {
	c := *m
	c.members = make([]*member, len(m.members))
	for i, k := range m.members {
		copied := *k
		copied.suspectors = slices.Clone(k.suspectors)
		c.members[i] = &copied
	}
	c.probeOrder, c.indirectProbes, c.packets, c.outdated = slices.Clone(m.probeOrder), slices.Clone(m.indirectProbes), nil, nil
	return &c
}

// Fingerprint tells states apart: two machines of one fingerprint do the same from here on, at times that are moved alike.
func (m *Machine) Fingerprint() string {
	var b strings.Builder
	ago := func(t time.Duration) time.Duration { return t - m.now }
	fmt.Fprintf(&b, "%x/%d/%v/%d/%d/%v/%v/%d/%d/%v|", m.id, m.incarnation, m.left, m.draws, m.seq, m.probeOrder, ago(m.nextPeriod), m.healthScore, m.selfTransmits, max(0, ago(m.nextPull)))
	if m.probe.running {
		p := m.probe
		fmt.Fprintf(&b, "p%x,%d,%v,%d,%d|", p.target, p.seq, ago(p.indirectAt), p.helpers, p.nacks)
	}
	last := func(k *member) time.Duration {
		if k.finalPingUntil == 0 {
			return -1 << 62
		}
		return ago(k.finalPingUntil)
	}
	for _, r := range m.indirectProbes {
		fmt.Fprintf(&b, "r%d,%v,%d,%v|", r.seq, r.requester, r.requesterSeq, ago(r.deadline))
	}
	for _, k := range m.members {
		fmt.Fprintf(&b, "m%x,%d,%d,%v,%v,%d,%d,%v,%v|", k.ID, k.incarnation, k.status, ago(k.since), k.suspectors, k.transmits, k.peerIncarnation, k.peerPending, last(k))
	}
	return b.String()
}
