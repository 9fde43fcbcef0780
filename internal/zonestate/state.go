package zonestate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Clone is a machine of its own with the same state. It is for whoever plays orders of what can happen.
func (m *Machine) Clone() *Machine {
	c := *m
	c.packets = nil
	c.zones, c.links = map[Place]*zoneFreshness{}, map[uint64]*link{}
	for k, w := range m.zones {
		copied := *w
		c.zones[k] = &copied
	}
	for k, l := range m.links {
		copied := *l
		c.links[k] = &copied
	}
	c.store.rows = map[pageKey][]storedRow{}
	for k, list := range m.store.rows {
		c.store.rows[k] = slices.Clone(list) // rows and parts are never written to
	}
	for i := range c.planes {
		c.planes[i].parts = maps.Clone(m.planes[i].parts)
	}
	return &c
}

// Fingerprint tells states apart: two machines of one fingerprint and one view do the same from here on, at times that are
// moved alike.
func (m *Machine) Fingerprint() string {
	var b strings.Builder
	ago := func(t time.Duration) time.Duration { return t - m.now }
	fmt.Fprintf(&b, "%d,%d,%v,%v,%d,%v,%v|", m.incarnation, m.draws, ago(m.ownPartAt), ago(m.queriedAt), m.repliesSent, max(-m.options.period(), ago(m.repliesSince)), max(0, ago(m.lossUntil)))
	for _, id := range slices.Sorted(maps.Keys(m.links)) {
		l := m.links[id]
		fmt.Fprintf(&b, "l%x,%d,%v,%v|", id, l.peerToken, ago(l.tokenAt), max(-2*m.options.period()-1, ago(l.heard)))
	}
	for _, at := range slices.Sorted(maps.Keys(m.zones)) {
		fmt.Fprintf(&b, "w%x,%d|", at, m.zones[at].freshness)
	}
	keys := slices.SortedFunc(maps.Keys(m.store.rows), func(a, b pageKey) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.plane, b.plane), cmp.Compare(a.page, b.page))
	})
	for _, k := range keys {
		for _, h := range m.store.rows[k] {
			fmt.Fprintf(&b, "s%v,%x,%d,%d,%v,%d,%v|", k, h.Author.ID, h.Author.Incarnation, h.Seq, ago(h.madeAt), h.From, h.Entries)
		}
	}
	for i, p := range m.planes {
		fmt.Fprintf(&b, "p%d,%d,%v,%v,%v,%d|", i, p.seq, ago(p.due), p.resend, p.root, p.rootSeq)
		for _, id := range slices.Sorted(maps.Keys(p.parts)) {
			for _, x := range p.parts[id] {
				if x != nil {
					fmt.Fprintf(&b, "c%x,%d,%d,%v,%v|", id, x.Page, x.From, ago(x.madeAt), x.Entries)
				}
			}
		}
	}
	return b.String()
}
