package zonestate

import (
	"cmp"
	"slices"
	"time"
)

// Word says whether what is known of a zone is young enough.
type Word uint8

// Words.
const (
	Unknown Word = iota // nothing is known, or nothing that is young enough to be kept
	Stale               // what is known is older than Fresh
	Fresh               // a row of nodes of the zone is known that is not older
)

var freshnessNames = [...]string{"unknown", "stale", "fresh"}

func (w Word) String() string { return freshnessNames[min(int(w), len(freshnessNames)-1)] }

// zoneFreshness is the word for a zone.
type zoneFreshness struct {
	freshness Word
	since     time.Duration
}

// updateFreshness has each zone's word be that of now.
func (m *Machine) updateFreshness() {
	for at, z := range m.zones {
		word := Unknown
		if b, found := m.store.best(m.now, at, 0, m.options.Fresh); found {
			if word = Stale; m.now-b.madeAt <= m.options.Fresh {
				word = Fresh
			}
		}
		if word != z.freshness {
			if !(word == Unknown && z.freshness == Stale) {
				z.since = m.now // unknown since it was stale
			}
			z.freshness = word
		}
	}
}

// Zone is what is known of one.
type Zone struct {
	Place Place
	Word  Word
	Since time.Duration // time of this node's clock from which on Word holds; of Unknown after Stale, from which on it was Stale
	Age   time.Duration // of the oldest part in what is known, at most; 0 where nothing is
	From  int           // nodes whose parts are in it
	Of    int           // nodes that live there, as the membership has it
}

// Zones tells of all zones, by their places.
func (m *Machine) Zones(now time.Duration) (out []Zone) {
	m.now = max(m.now, now)
	m.updateFreshness()
	for at := range m.zones {
		out = append(out, m.zone(at))
	}
	slices.SortFunc(out, func(a, b Zone) int { return cmp.Compare(a.Place, b.Place) })
	return out
}

func (m *Machine) zone(at Place) Zone {
	z := m.zones[at]
	if z == nil {
		return Zone{Place: at}
	}
	out := Zone{Place: at, Word: z.freshness, Since: z.since, Of: len(m.view.trees[at][0])}
	if b, found := m.store.best(m.now, at, 0, m.options.Fresh); found && z.freshness != Unknown {
		out.Age, out.From = m.now-b.madeAt, b.From
	}
	return out
}

// Alone says that this node knows of nobody who lives, or of nobody but itself anything fresh: what it knows is its own.
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
		if b, found := m.store.best(m.now, at, 0, m.options.Fresh); found && m.now-b.madeAt <= m.options.Fresh && (at != m.self.Place || b.From > 1) {
			return false
		}
	}
	return true
}

// Value is what is known of a subject in a zone.
type Value struct {
	Zone           // of the row that it is from
	Amount float64 // nought where nothing was said of the subject
}

// Read tells what nodes of a zone say of a subject. A reader that takes no notice of Word takes a guess.
func (m *Machine) Read(now time.Duration, of Place, k Kind, s Subject) Value {
	m.now = max(m.now, now)
	m.updateFreshness()
	v := Value{Zone: m.zone(of)}
	b, found := m.store.best(m.now, of, k.page(), m.options.Fresh)
	if !found {
		return Value{Zone: Zone{Place: of, Of: v.Of}}
	}
	v.Age, v.From = max(v.Age, m.now-b.madeAt), b.From
	if v.Age > m.options.Fresh {
		v.Word = min(v.Word, Stale)
	}
	for _, e := range b.Entries {
		if e.Kind == k && e.Subject == s {
			v.Amount = e.Value
		}
	}
	return v
}

// Row is what is known of a zone's page; false: nothing.
func (m *Machine) Row(now time.Duration, of Place, k Kind) (Row, bool) {
	m.now = max(m.now, now)
	b, found := m.store.best(m.now, of, k.page(), m.options.Fresh)
	return b.row(m.now), found
}

// Size is how many rows and children's parts are held.
func (m *Machine) Size() int {
	n := m.store.size()
	for _, p := range m.planes {
		n += len(p.parts)
	}
	return n
}
