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
	Stale                    // the best row is older than Options.FreshAge
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
	for zone, z := range m.zones {
		current := m.freshness(zone)
		if current == z.freshness {
			continue
		}
		if z.freshness != Stale || current != Unknown { // a zone that is unknown now has been without fresh rows since it was stale
			z.since = m.now
		}
		z.freshness = current
	}
}

// freshness returns the freshness of a zone's first page at the current time.
func (m *Machine) freshness(zone ZoneID) Freshness {
	best, found := m.store.best(m.now, zone, 0, m.options.FreshAge)
	switch {
	case !found:
		return Unknown
	case m.now-best.madeAt <= m.options.FreshAge:
		return Fresh
	default:
		return Stale
	}
}

// Zone is the state of one zone's rows at a node.
type Zone struct {
	ID          ZoneID
	Freshness   Freshness
	Since       time.Duration // time of this node's clock since which Freshness holds; of Unknown after Stale, since which it was Stale
	Age         time.Duration // upper bound on the age of the oldest part in the best row; 0: there is no row
	PartCount   int           // number of nodes whose parts are in the best row
	ActiveNodes int           // number of nodes of the zone that the membership holds for active
}

// Zones returns all zones of the view, in the order of their places.
func (m *Machine) Zones(now time.Duration) []Zone {
	m.now = max(m.now, now)
	m.updateFreshness()
	var out []Zone
	for zone := range m.zones {
		out = append(out, m.zone(zone))
	}
	slices.SortFunc(out, func(a, b Zone) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// zone returns the state of a zone, which is Unknown if it is not in the view.
func (m *Machine) zone(zone ZoneID) Zone {
	z := m.zones[zone]
	if z == nil {
		return Zone{ID: zone}
	}
	out := Zone{ID: zone, Freshness: z.freshness, Since: z.since, ActiveNodes: len(m.view.trees[zone][0])}
	best, found := m.store.best(m.now, zone, 0, m.options.FreshAge)
	if found && z.freshness != Unknown {
		out.Age = m.now - best.madeAt
		out.PartCount = best.PartCount
	}
	return out
}

// Isolated says that this node has no fresh row with other nodes' parts, or that no other node is active.
func (m *Machine) Isolated(now time.Duration) bool {
	m.now = max(m.now, now)
	for zone, trees := range m.view.trees {
		others := len(trees[0])
		if zone == m.self.ZoneID {
			others--
		}
		if others == 0 {
			continue
		}
		best, found := m.store.best(m.now, zone, 0, m.options.FreshAge)
		if !found || m.now-best.madeAt > m.options.FreshAge {
			continue
		}
		if zone != m.self.ZoneID || best.PartCount > 1 {
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
func (m *Machine) Read(now time.Duration, zone ZoneID, k Kind, s Subject) Value {
	m.now = max(m.now, now)
	m.updateFreshness()
	v := Value{Zone: m.zone(zone)}
	best, found := m.store.best(m.now, zone, k.page(), m.options.FreshAge)
	if !found {
		return Value{Zone: Zone{ID: zone, ActiveNodes: v.ActiveNodes}}
	}
	v.Age = max(v.Age, m.now-best.madeAt)
	v.PartCount = best.PartCount
	if v.Age > m.options.FreshAge {
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
func (m *Machine) Row(now time.Duration, zone ZoneID, k Kind) (Row, bool) {
	m.now = max(m.now, now)
	best, found := m.store.best(m.now, zone, k.page(), m.options.FreshAge)
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
