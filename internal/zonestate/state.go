package zonestate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Clone returns a copy that shares only immutable data with m. Model checks continue a run from it in several ways.
func (m *Machine) Clone() *Machine {
	clone := *m
	clone.packets = nil
	clone.zones = map[ZoneID]*zoneFreshness{}
	clone.links = map[uint64]*link{}
	for k, z := range m.zones {
		copied := *z
		clone.zones[k] = &copied
	}
	for k, l := range m.links {
		copied := *l
		clone.links[k] = &copied
	}
	clone.store.rows = map[pageKey][]storedRow{}
	for k, list := range m.store.rows {
		clone.store.rows[k] = slices.Clone(list) // entries of rows and parts are immutable
	}
	for i := range clone.planes {
		clone.planes[i].parts = maps.Clone(m.planes[i].parts)
	}
	return &clone
}

// Fingerprint returns a string that identifies the state: two machines with the same fingerprint and view behave identically
// from then on if their times are shifted by the same offset.
func (m *Machine) Fingerprint() string {
	var b strings.Builder
	relative := func(t time.Duration) time.Duration { return t - m.now }
	fmt.Fprintf(&b, "%d,%d,%v,%v,%d,%v,%v|",
		m.incarnation, m.draws, relative(m.ownPartAt), relative(m.queriedAt), m.repliesSent,
		max(-m.options.period(), relative(m.repliesSince)), max(0, relative(m.resendUntil)))
	for _, id := range slices.Sorted(maps.Keys(m.links)) {
		l := m.links[id]
		fmt.Fprintf(&b, "l%x,%d,%v,%v|", id, l.peerToken, relative(l.tokenReceivedAt), max(-2*m.options.period()-1, relative(l.lastHeard)))
	}
	for _, zone := range slices.Sorted(maps.Keys(m.zones)) {
		fmt.Fprintf(&b, "w%x,%d|", zone, m.zones[zone].freshness)
	}
	keys := slices.SortedFunc(maps.Keys(m.store.rows), func(a, b pageKey) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.plane, b.plane), cmp.Compare(a.page, b.page))
	})
	for _, k := range keys {
		for _, h := range m.store.rows[k] {
			fmt.Fprintf(&b, "s%v,%x,%d,%d,%v,%d,%v|", k, h.Author.ID, h.Author.Incarnation, h.Seq, relative(h.madeAt), h.PartCount, h.Entries)
		}
	}
	for i, p := range m.planes {
		fmt.Fprintf(&b, "p%d,%d,%v,%v,%v,%d|", i, p.seq, relative(p.nextSend), p.resend, p.root, p.rootSeq)
		for _, id := range slices.Sorted(maps.Keys(p.parts)) {
			for _, part := range p.parts[id] {
				if part != nil {
					fmt.Fprintf(&b, "c%x,%d,%d,%v,%v|", id, part.Page, part.PartCount, relative(part.madeAt), part.Entries)
				}
			}
		}
	}
	return b.String()
}
