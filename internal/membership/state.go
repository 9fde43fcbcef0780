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
		copied.voices = slices.Clone(k.voices)
		c.members[i] = &copied
	}
	c.order, c.relays, c.out, c.behind = slices.Clone(m.order), slices.Clone(m.relays), nil, nil
	return &c
}

// Fingerprint tells states apart: two machines of one fingerprint do the same from here on, at times that are moved alike.
func (m *Machine) Fingerprint() string {
	var b strings.Builder
	ago := func(t time.Duration) time.Duration { return t - m.now }
	fmt.Fprintf(&b, "%x/%d/%v/%d/%d/%v/%v/%d/%d/%v|", m.id, m.incarnation, m.left, m.draws, m.seq, m.order, ago(m.next), m.ill, m.own, max(0, ago(m.pulling)))
	if m.probe.running {
		p := m.probe
		fmt.Fprintf(&b, "p%x,%d,%v,%d,%d|", p.of, p.seq, ago(p.ask), p.asked, p.nacks)
	}
	last := func(k *member) time.Duration {
		if k.last == 0 {
			return -1 << 62
		}
		return ago(k.last)
	}
	for _, r := range m.relays {
		fmt.Fprintf(&b, "r%d,%v,%d,%v|", r.seq, r.to, r.reply, ago(r.until))
	}
	for _, k := range m.members {
		fmt.Fprintf(&b, "m%x,%d,%d,%v,%v,%d,%d,%v,%v|", k.ID, k.incarnation, k.status, ago(k.since), k.voices, k.sent, k.notified, k.carry, last(k))
	}
	return b.String()
}
