package zonestate

import (
	"cmp"
	"slices"
	"time"
)

// Freshness reports whether the best row of a zone is recent.
type Freshness uint8

// Degrees of freshness.
const (
	Unknown Freshness = iota // no row is stored
	Stale                    // the best row is older than Options.FreshAge
	Fresh                    // the age of the best row is at most Options.FreshAge
)

var freshnessNames = [...]string{"unknown", "stale", "fresh"}

// String returns the freshness in lower case.
func (f Freshness) String() string { return freshnessNames[min(int(f), len(freshnessNames)-1)] }

// zoneFreshness is the freshness of a zone and the time of its last change.
type zoneFreshness struct {
	freshness Freshness
	since     time.Duration
}

// updateFreshness updates the freshness of all zones.
func (m *Machine) updateFreshness() {
	for zone, z := range m.zones {
		current := m.freshness(zone)
		if current == z.freshness {
			continue
		}
		if z.freshness != Stale || current != Unknown { // after Stale, Unknown keeps the time since which there is no fresh row
			z.since = m.now
		}
		z.freshness = current
	}
}

// freshness returns the current freshness of a zone's first page.
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

// Zone is the state of a zone's rows at a node.
type Zone struct {
	ID          ZoneID
	Freshness   Freshness
	Since       time.Duration // time of this node's clock at which Freshness changed; for Unknown after Stale, at which it became Stale
	Age         time.Duration // upper bound on the age of the oldest part in the best row; 0: there is no row
	PartCount   int           // number of parts in the best row, normally one per node
	ActiveNodes int           // number of nodes of the zone that the membership considers active
}

// Zones returns all zones of the view, ordered by ID.
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

// zone returns the state of a zone, whose freshness is Unknown if it is not in the view.
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

// Isolated reports whether this node has no fresh row with parts of other active nodes, or no other node is active.
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
	Zone           // with age and part count of the row that contains the value
	Amount float64 // 0 if the row has no entry of the kind and subject
}

// Read returns the value of a kind and subject in a zone. The value can be of any age; callers must check Freshness.
func (m *Machine) Read(now time.Duration, zone ZoneID, kind Kind, subject Subject) Value {
	m.now = max(m.now, now)
	m.updateFreshness()
	value := Value{Zone: m.zone(zone)}
	best, found := m.store.best(m.now, zone, kind.page(), m.options.FreshAge)
	if !found {
		return Value{Zone: Zone{ID: zone, ActiveNodes: value.ActiveNodes}}
	}
	value.Age = max(value.Age, m.now-best.madeAt)
	value.PartCount = best.PartCount
	if value.Age > m.options.FreshAge {
		value.Freshness = min(value.Freshness, Stale)
	}
	for _, e := range best.Entries {
		if e.Kind == kind && e.Subject == subject {
			value.Amount = e.Value
		}
	}
	return value
}

// Row returns the best row of a zone on the page of a kind, and reports whether there is one.
func (m *Machine) Row(now time.Duration, zone ZoneID, kind Kind) (Row, bool) {
	m.now = max(m.now, now)
	best, found := m.store.best(m.now, zone, kind.page(), m.options.FreshAge)
	return best.row(m.now), found
}

// Size returns the number of stored rows plus the number of children whose parts are stored.
func (m *Machine) Size() int {
	n := m.store.size()
	for _, p := range m.planes {
		n += len(p.parts)
	}
	return n
}
