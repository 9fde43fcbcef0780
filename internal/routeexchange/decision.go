package routeexchange

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// Damping (RFC 2439): more than maxFlaps changes of the best path within flapWindow have a destination damped for dampingTime.
const (
	maxFlaps    = 6
	flapWindow  = 10 * time.Second
	dampingTime = time.Minute
)

// destination is one advertised ID with all routes to it: an entry of the Loc-RIB.
type destination struct {
	id           ID
	candidates   map[string]*Route // by neighbour; own: ""
	best         *Route
	flaps        []time.Time
	dampedUntil  time.Time // zero: it is not damped
	openRequests atomic.Int64
	// A refusal by the owner ends a version's routes until another version comes, or until a while has passed.
	suppressed map[string]suppression
}

// suppression ends the use of one version of a route.
type suppression struct {
	version uint64
	until   time.Time
}

// suppressionTime is how long a route is not used whose owner refused a request by its rule.
const suppressionTime = 5 * time.Second

// destination is the one of an ID, made if it is not there. The caller holds mu.
func (t *Table) destination(id ID) *destination {
	d := t.locRIB[id]
	if d == nil {
		d = &destination{id: id, candidates: map[string]*Route{}, suppressed: map[string]suppression{}}
		t.locRIB[id] = d
	}
	return d
}

// Suppress ends a route whose owner refused a request by its rule, as long as no other version comes and for a while.
func (t *Table) Suppress(route *Route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.locRIB[route.ID]
	if d == nil || len(route.Path) == 0 {
		return
	}
	d.suppressed[route.Path[0]] = suppression{route.Version, t.now().Add(suppressionTime)}
	t.counts.Suppressed++
	t.reselect(map[ID]bool{route.ID: true})
}

// indexKey is where a destination stands in the index.
type indexKey struct{ class, prefix string }

// reselect is the decision process (RFC 4271 section 9.1): it finds the best route of each destination that was touched, and its
// place among the destinations of its prefix. The caller holds mu.
func (t *Table) reselect(affected map[ID]bool) {
	if len(affected) == 0 {
		return
	}
	now := t.now()
	newest := t.newestAdvertisements(affected)
	changed := false
	unsorted := map[indexKey]bool{}
	for id := range affected {
		d := t.destination(id)
		t.setCandidates(d, newest)
		best := d.bestCandidate(now)
		for _, r := range []*Route{d.best, best} {
			if r != nil {
				unsorted[indexKey{r.Class, r.Prefix}] = true
			}
		}
		if d.flapped(best, now) {
			t.counts.Damped++
			best = d.dampedBest(best)
		}
		if t.setBest(d, best) {
			changed = true
		}
		if best == nil && len(d.candidates) == 0 {
			delete(t.locRIB, id)
		}
	}
	for k := range unsorted {
		slices.SortFunc(t.byClass[k.class][k.prefix], func(a, b *destination) int { return Compare(a.best, b.best, false) })
	}
	if changed {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// newestAdvertisements are, by neighbour, what its gateways advertise of some destinations: the highest version of each. The
// caller holds mu.
func (t *Table) newestAdvertisements(affected map[ID]bool) map[string]map[ID]*Advertisement {
	newest := map[string]map[ID]*Advertisement{}
	for source, table := range t.adjRIBsIn {
		for id := range affected {
			adv := table[id]
			if adv == nil {
				continue
			}
			if newest[source.Partner] == nil {
				newest[source.Partner] = map[ID]*Advertisement{}
			}
			earlier := newest[source.Partner][id]
			if earlier == nil || adv.Version > earlier.Version || adv.Version == earlier.Version && preferredVariant(adv, earlier) {
				newest[source.Partner][id] = adv
			}
		}
	}
	return newest
}

// setCandidates has a destination's candidates be the own one and the newest of each neighbour. The caller holds mu.
func (t *Table) setCandidates(d *destination, newest map[string]map[ID]*Advertisement) {
	for neighbour := range d.candidates {
		if neighbour != "" && newest[neighbour][d.id] == nil {
			delete(d.candidates, neighbour)
		}
	}
	for neighbour, table := range newest {
		if adv := table[d.id]; adv != nil {
			d.candidates[neighbour] = &Route{Advertisement: *adv, Preference: t.policy.Neighbours[neighbour].Import.Preference}
		}
	}
}

// bestCandidate is the best route that is not suppressed; nil: there is none.
func (d *destination) bestCandidate(now time.Time) *Route {
	var best *Route
	for neighbour, r := range d.candidates {
		if s, ok := d.suppressed[neighbour]; ok && s.version == r.Version && now.Before(s.until) {
			continue
		}
		if best == nil || Compare(r, best, !d.dampedUntil.IsZero()) < 0 {
			best = r
		}
	}
	return best
}

// flapped notes a change of the path to best, and says whether the destination is damped from now on.
func (d *destination) flapped(best *Route, now time.Time) bool {
	if best == nil || d.best == nil || slices.Equal(best.Path, d.best.Path) || !d.dampedUntil.IsZero() {
		return false
	}
	d.flaps = slices.DeleteFunc(append(d.flaps, now), func(at time.Time) bool { return now.Sub(at) > flapWindow })
	if len(d.flaps) <= maxFlaps {
		return false
	}
	d.dampedUntil = now.Add(dampingTime)
	return true
}

// dampedBest is the best of all candidates without preferences.
func (d *destination) dampedBest(best *Route) *Route {
	for _, r := range d.candidates {
		if Compare(r, best, true) < 0 {
			best = r
		}
	}
	return best
}

// setBest takes the chosen route into the Loc-RIB and the index, and says whether neighbours are to be told. The caller holds mu.
func (t *Table) setBest(d *destination, best *Route) bool {
	if best == d.best {
		return false
	}
	changed := best == nil || d.best == nil || !sameRoute(best, d.best)
	if changed {
		t.counts.Changes++
	}
	t.removeFromIndex(d)
	d.best = best
	if best != nil {
		t.addToIndex(d)
	}
	return changed
}

func sameRoute(a, b *Route) bool {
	return a.Own == b.Own && a.Preference == b.Preference && equal(&a.Advertisement, &b.Advertisement)
}

// preferredVariant orders two words of one neighbour's on one version of an advertisement, as its gateways may tell while it changes its way.
func preferredVariant(a, b *Advertisement) bool {
	return cmp.Or(cmp.Compare(len(a.Path), len(b.Path)), cmp.Compare(a.Cost, b.Cost), slices.Compare(a.Path, b.Path)) < 0
}

// removeFromIndex and list keep the advertisements by class and prefix. The caller holds mu.
func (t *Table) removeFromIndex(d *destination) {
	if d.best == nil {
		return
	}
	byPrefix := t.byClass[d.best.Class]
	byPrefix[d.best.Prefix] = slices.DeleteFunc(byPrefix[d.best.Prefix], func(o *destination) bool { return o == d })
	if len(byPrefix[d.best.Prefix]) == 0 {
		delete(byPrefix, d.best.Prefix)
	}
}

func (t *Table) addToIndex(d *destination) {
	byPrefix := t.byClass[d.best.Class]
	if byPrefix == nil {
		byPrefix = map[string][]*destination{}
		t.byClass[d.best.Class] = byPrefix
	}
	byPrefix[d.best.Prefix] = append(byPrefix[d.best.Prefix], d)
}
