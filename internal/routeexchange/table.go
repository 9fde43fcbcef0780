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
	Self         string
	Own          []Advertisement // its exports
	Neighbours   map[string]Neighbour
	StaleTime    time.Duration // that the advertisements of a partner are used whose links have all ended
	GatewayCount int           // gateways of this partner, over which an advertisement's room is dealt out
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
	for id, d := range t.locRIB {
		if own := d.candidates[""]; own != nil {
			old[id] = own
			delete(d.candidates, "")
		}
	}
	t.policy = p
	version := max(uint64(now.UnixMilli()), t.latestVersion+1) // whatever became of the wall clock
	affected := map[ID]bool{}
	for id := range old {
		affected[id] = true
	}
	for _, adv := range p.Own {
		adv.ID.Origin, adv.Path = p.Self, nil
		adv.Version = version
		if previous := old[adv.ID]; previous != nil {
			previousAdv := previous.Advertisement
			previousAdv.Version = adv.Version
			if equal(&previousAdv, &adv) {
				adv.Version = previous.Version
			}
		}
		t.latestVersion = max(t.latestVersion, adv.Version)
		t.destination(adv.ID).candidates[""] = &Route{Advertisement: adv, Own: true}
		affected[adv.ID] = true
	}
	for source, table := range t.adjRIBsIn {
		neighbour, known := p.Neighbours[source.Partner]
		for id, adv := range table {
			affected[id] = true
			if !known || CheckImport(adv, p.Self, neighbour.Import, 0, now) != "" {
				delete(table, id)
			}
		}
		if !known {
			delete(t.adjRIBsIn, source)
			delete(t.versionOffsets, source)
			delete(t.staleSince, source.Partner)
		}
	}
	t.reselect(affected)
}

// SetGatewayCount says over how many gateways of this partner an advertisement's room is dealt out from now on.
func (t *Table) SetGatewayCount(gateways int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.GatewayCount = gateways
}

// equal says whether two advertisements differ in nothing.
func equal(a, b *Advertisement) bool {
	r, o := &a.Rules, &b.Rules
	return a.ID == b.ID && a.Version == b.Version && a.Class == b.Class && a.Prefix == b.Prefix && a.Cost == b.Cost && a.Capacity == b.Capacity && a.Replicated == b.Replicated &&
		slices.Equal(a.Path, b.Path) && r.AnyPartner == o.AnyPartner && r.NoTransit == o.NoTransit && r.MaxHops == o.MaxHops && r.Effects == o.Effects && r.Until == o.Until &&
		slices.Equal(r.Partners, o.Partners) && slices.Equal(r.Tenants, o.Tenants) && slices.Equal(r.ExcludedTenants, o.ExcludedTenants)
}

// Sweep lets go of what has been stale for too long, and of advertisements that have ended.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	affected := map[ID]bool{}
	for source, table := range t.adjRIBsIn {
		since, stale := t.staleSince[source.Partner]
		expired := stale && now.Sub(since) >= t.policy.StaleTime
		for id, adv := range table {
			if expired || adv.Rules.Until != 0 && now.Unix() >= adv.Rules.Until {
				affected[id] = true
				delete(table, id)
			}
		}
		if expired {
			t.removeSource(source)
		}
	}
	maps.DeleteFunc(t.incarnationEnds, func(_ [2]string, e incarnationEnd) bool { return now.Sub(e.at) >= incarnationEndRetention })
	for p, since := range t.staleSince {
		if now.Sub(since) >= t.policy.StaleTime {
			delete(t.staleSince, p)
		}
	}
	for id, r := range t.locRIB {
		if !r.dampedUntil.IsZero() && !now.Before(r.dampedUntil) {
			r.dampedUntil, r.flaps = time.Time{}, nil
			affected[id] = true
		}
		for n, d := range r.suppressed {
			if !now.Before(d.until) {
				delete(r.suppressed, n)
				affected[id] = true
			}
		}
	}
	t.reselect(affected)
}
