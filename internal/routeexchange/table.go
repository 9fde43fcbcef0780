package routeexchange

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Neighbour is what this partner goes by with one of its neighbours.
type Neighbour struct {
	Import  Import
	Transit Transit
}

// Policy is what this partner goes by: its file's part of all this.
type Policy struct {
	Self       string
	Own        []Advertisement // its exports
	Neighbours map[string]Neighbour
	Stale      time.Duration // that the advertisements of a partner are used whose links have all ended
	GroupSize  int           // gateways of this partner, over which an advertisement's room is dealt out
}

// Table holds what was received, and what is chosen of it. Its zero value is of no use; see NewTable.
type Table struct {
	now func() time.Time

	mu         sync.RWMutex
	policy     Policy
	adjRIBsIn  map[Source]map[ID]*Advertisement // as received, what was imported only
	staleSince map[string]time.Time             // partners whose links have all ended, since when
	locRIB     map[ID]*destination
	byClass    map[string]map[string][]*destination // by prefix, the best first
	changed    chan struct{}                        // closed at the next change of what is chosen
	rejected   map[string]map[string]int            // by neighbour, by why
	counts     Counts

	latestVersion uint64 // version that an own export had

	incarnationEnds map[[2]string]incarnationEnd // by partner and gateway
	versionOffsets  map[Source]uint64            // added to the versions of a partner's own advertisements that a gateway of its tells
}

// NewTable returns a table with the own exports of a policy. now is the wall time, with its monotonic part.
func NewTable(p Policy, now func() time.Time) *Table {
	t := &Table{
		now:             now,
		adjRIBsIn:       map[Source]map[ID]*Advertisement{},
		staleSince:      map[string]time.Time{},
		locRIB:          map[ID]*destination{},
		byClass:         map[string]map[string][]*destination{},
		changed:         make(chan struct{}),
		rejected:        map[string]map[string]int{},
		incarnationEnds: map[[2]string]incarnationEnd{},
		versionOffsets:  map[Source]uint64{},
	}
	t.SetPolicy(p)
	return t
}

// SetPolicy goes by another policy from now on. What was received goes through import rules again; versions of own exports that
// did not change stay.
func (t *Table) SetPolicy(p Policy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	old := map[ID]*Route{}
	for id, r := range t.locRIB {
		if w := r.candidates[""]; w != nil {
			old[id] = w
			delete(r.candidates, "")
		}
	}
	t.policy = p
	version := max(uint64(now.UnixMilli()), t.latestVersion+1) // whatever became of the wall clock
	touched := map[ID]bool{}
	for id := range old {
		touched[id] = true
	}
	for _, o := range p.Own {
		o.ID.Origin, o.Path = p.Self, nil
		o.Version = version
		if was := old[o.ID]; was != nil {
			same := was.Advertisement
			same.Version = o.Version
			if equal(&same, &o) {
				o.Version = was.Version
			}
		}
		t.latestVersion = max(t.latestVersion, o.Version)
		t.destination(o.ID).candidates[""] = &Route{Advertisement: o, Own: true}
		touched[o.ID] = true
	}
	for s, table := range t.adjRIBsIn {
		n, known := p.Neighbours[s.Partner]
		for id, o := range table {
			touched[id] = true
			if !known || MayImport(o, p.Self, n.Import, 0, now) != "" {
				delete(table, id)
			}
		}
		if !known {
			delete(t.adjRIBsIn, s)
			delete(t.versionOffsets, s)
			delete(t.staleSince, s.Partner)
		}
	}
	t.reselect(touched)
}

// SetGroupSize says over how many gateways of this partner an advertisement's room is dealt out from now on.
func (t *Table) SetGroupSize(gateways int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.GroupSize = gateways
}

// equal says whether two advertisements differ in nothing.
func equal(a, b *Advertisement) bool {
	r, o := &a.Rules, &b.Rules
	return a.ID == b.ID && a.Version == b.Version && a.Class == b.Class && a.Prefix == b.Prefix && a.Cost == b.Cost && a.Capacity == b.Capacity && a.Replicated == b.Replicated &&
		slices.Equal(a.Path, b.Path) && r.All == o.All && r.NoTransit == o.NoTransit && r.MaxHops == o.MaxHops && r.Effects == o.Effects && r.Until == o.Until &&
		slices.Equal(r.To, o.To) && slices.Equal(r.Tenants, o.Tenants) && slices.Equal(r.Excluded, o.Excluded)
}

// Sweep lets go of what has been stale for too long, and of advertisements that have ended.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	touched := map[ID]bool{}
	for s, table := range t.adjRIBsIn {
		since, stale := t.staleSince[s.Partner]
		gone := stale && now.Sub(since) >= t.policy.Stale
		for id, o := range table {
			if gone || o.Rules.Until != 0 && now.Unix() >= o.Rules.Until {
				touched[id] = true
				delete(table, id)
			}
		}
		if gone {
			t.removeSource(s)
		}
	}
	maps.DeleteFunc(t.incarnationEnds, func(_ [2]string, e incarnationEnd) bool { return now.Sub(e.at) >= incarnationEndRetention })
	for p, since := range t.staleSince {
		if now.Sub(since) >= t.policy.Stale {
			delete(t.staleSince, p)
		}
	}
	for id, r := range t.locRIB {
		if !r.dampedUntil.IsZero() && !now.Before(r.dampedUntil) {
			r.dampedUntil, r.flaps = time.Time{}, nil
			touched[id] = true
		}
		for n, d := range r.suppressed {
			if !now.Before(d.until) {
				delete(r.suppressed, n)
				touched[id] = true
			}
		}
	}
	t.reselect(touched)
}
