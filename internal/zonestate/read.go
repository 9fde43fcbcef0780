package zonestate

import (
	"cmp"
	"slices"
	"time"
)

// Freshness says whether the best row of a zone is recent enough.
type Freshness uint8

// Degrees of freshness.
const (
	Unknown Freshness = iota // no row is stored
	Stale                    // the best row is older than Options.Fresh
	Fresh                    // the best row is not older
)

var freshnessNames = [...]string{"unknown", "stale", "fresh"}

// String returns the freshness in lower case.
func (f Freshness) String() string { return freshnessNames[min(int(f), len(freshnessNames)-1)] }

// zoneFreshness is the freshness of a zone, and since when it is so.
type zoneFreshness struct {
	freshness Freshness
	since     time.Duration
}

// updateFreshness brings the freshness of all zones up to date.
func (m *Machine) updateFreshness() {
	for at, z := range m.zones {
		now := m.freshness(at)
		if now == z.freshness {
			continue
		}
		if z.freshness != Stale || now != Unknown { // a zone that is unknown now has been without fresh rows since it was stale
			z.since = m.now
		}
		z.freshness = now
	}
}

// freshness returns the freshness of a zone's first page at the current time.
func (m *Machine) freshness(at Place) Freshness {
	best, found := m.store.best(m.now, at, 0, m.options.Fresh)
	switch {
	case !found:
		return Unknown
	case m.now-best.madeAt <= m.options.Fresh:
		return Fresh
	default:
		return Stale
	}
}

// Zone is the state of one zone's rows at a node.
type Zone struct {
	Place     Place
	Freshness Freshness
	Since     time.Duration // time of this node's clock since which Freshness holds; of Unknown after Stale, since which it was Stale
	Age       time.Duration // upper bound on the age of the oldest part in the best row; 0: there is no row
	From      int           // number of nodes whose parts are in the best row
	Of        int           // number of nodes of the zone that the membership holds for active
}

// Zones returns all zones of the view, in the order of their places.
func (m *Machine) Zones(now time.Duration) []Zone {
	m.now = max(m.now, now)
	m.updateFreshness()
	var out []Zone
	for at := range m.zones {
		out = append(out, m.zone(at))
	}
	slices.SortFunc(out, func(a, b Zone) int { return cmp.Compare(a.Place, b.Place) })
	return out
}

// zone returns the state of a zone, which is Unknown if it is not in the view.
func (m *Machine) zone(at Place) Zone {
	z := m.zones[at]
	if z == nil {
		return Zone{Place: at}
	}
	out := Zone{Place: at, Freshness: z.freshness, Since: z.since, Of: len(m.view.trees[at][0])}
	best, found := m.store.best(m.now, at, 0, m.options.Fresh)
	if found && z.freshness != Unknown {
		out.Age = m.now - best.madeAt
		out.From = best.From
	}
	return out
}

// Alone says that this node has no fresh row with other nodes' parts, or that no other node is active.
func (m *Machine) Alone(now time.Duration) bool {
	m.now = max(m.now, now)
	for at, trees := range m.view.trees {
		others := len(trees[0])
		if at == m.self.Place {
			others--
		}
		if others == 0 {
			continue
		}
		best, found := m.store.best(m.now, at, 0, m.options.Fresh)
		if !found || m.now-best.madeAt > m.options.Fresh {
			continue
		}
		if at != m.self.Place || best.From > 1 {
			return false
		}
	}
	return true
}

// Value is the value of a kind and subject in a zone.
type Value struct {
	Zone           // with the age of the row that the value is from
	Amount float64 // 0 if the row has no entry of the kind and subject
}

// Read returns the value of a kind and subject in a zone. A caller that ignores Freshness uses values of any age.
func (m *Machine) Read(now time.Duration, of Place, k Kind, s Subject) Value {
	m.now = max(m.now, now)
	m.updateFreshness()
	v := Value{Zone: m.zone(of)}
	best, found := m.store.best(m.now, of, k.page(), m.options.Fresh)
	if !found {
		return Value{Zone: Zone{Place: of, Of: v.Of}}
	}
	v.Age = max(v.Age, m.now-best.madeAt)
	v.From = best.From
	if v.Age > m.options.Fresh {
		v.Freshness = min(v.Freshness, Stale)
	}
	for _, e := range best.Entries {
		if e.Kind == k && e.Subject == s {
			v.Amount = e.Value
		}
	}
	return v
}

// Row returns the best row of the page of a kind in a zone; false: there is none.
func (m *Machine) Row(now time.Duration, of Place, k Kind) (Row, bool) {
	m.now = max(m.now, now)
	best, found := m.store.best(m.now, of, k.page(), m.options.Fresh)
	return best.row(m.now), found
}

// Size returns how many rows and children's parts are stored.
func (m *Machine) Size() int {
	n := m.store.size()
	for _, p := range m.planes {
		n += len(p.parts)
	}
	return n
}
