package routeexchange

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Neighbour is the policy for one neighbour.
type Neighbour struct {
	Import  Import
	Transit Transit
}

// Policy is this partner's configuration of the route exchange.
type Policy struct {
	Self         string
	Own          []Advertisement // own exports
	Neighbours   map[string]Neighbour
	StaleTime    time.Duration // how long a partner's advertisements are used after all its links have ended
	GatewayCount int           // gateways of this partner, among which an advertisement's capacity is divided
}

// Table holds the received advertisements and the routes selected from them. Create it with NewTable.
type Table struct {
	now func() time.Time

	mu         sync.RWMutex
	policy     Policy
	adjRIBsIn  map[Source]map[ID]*Advertisement // imported advertisements only
	staleSince map[string]time.Time             // by partner, when its last link ended
	locRIB     map[ID]*destination
	byClass    map[string]map[string][]*destination // by class and prefix, best first
	changed    chan struct{}                        // closed at the next change of the selected routes
	rejected   map[string]map[string]int            // by neighbour and reason
	counts     Counts

	latestVersion uint64 // highest version of an own export so far

	incarnationEnds map[[2]string]incarnationEnd // by partner and gateway
	versionOffsets  map[Source]uint64            // added to the versions of the partner's own advertisements from a source
}

// NewTable returns a table with a policy and its exports. now returns the wall time with its monotonic reading.
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

// SetPolicy replaces the policy. Import rules are applied again to received advertisements; unchanged own exports keep their
// versions.
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
	version := max(uint64(now.UnixMilli()), t.latestVersion+1) // rises even if the wall clock was set back
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

// SetGatewayCount sets the number of this partner's gateways among which an advertisement's capacity is divided.
func (t *Table) SetGatewayCount(gateways int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.GatewayCount = gateways
}

// equal reports whether two advertisements are equal in all fields.
func equal(a, b *Advertisement) bool {
	r, o := &a.Rules, &b.Rules
	return a.ID == b.ID && a.Version == b.Version && a.Class == b.Class && a.Prefix == b.Prefix && a.Cost == b.Cost && a.Capacity == b.Capacity && a.Replicated == b.Replicated &&
		slices.Equal(a.Path, b.Path) && r.AnyPartner == o.AnyPartner && r.NoTransit == o.NoTransit && r.MaxHops == o.MaxHops && r.Effects == o.Effects && r.Until == o.Until &&
		slices.Equal(r.Partners, o.Partners) && slices.Equal(r.Tenants, o.Tenants) && slices.Equal(r.ExcludedTenants, o.ExcludedTenants)
}

// Sweep removes tables that have been stale for too long, expired advertisements, and expired damping and suppression.
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
	for id, d := range t.locRIB {
		if !d.dampedUntil.IsZero() && !now.Before(d.dampedUntil) {
			d.dampedUntil, d.flaps = time.Time{}, nil
			affected[id] = true
		}
		for neighbour, s := range d.suppressed {
			if !now.Before(s.until) {
				delete(d.suppressed, neighbour)
				affected[id] = true
			}
		}
	}
	t.reselect(affected)
}
