package routeexchange

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// Route damping (RFC 2439): a destination with more than maxFlaps changes of its best path within flapWindow is damped for
// dampingTime.
const (
	maxFlaps    = 6
	flapWindow  = 10 * time.Second
	dampingTime = time.Minute
)

// destination is an entry of the Loc-RIB: an advertised ID with all routes to it.
type destination struct {
	id           ID
	candidates   map[string]*Route // by neighbour; "" is the own export
	best         *Route
	flaps        []time.Time
	dampedUntil  time.Time // zero if not damped
	openRequests atomic.Int64
	// By neighbour: a rejection by the owner suppresses a version of the route until another version arrives or a time has
	// passed.
	suppressed map[string]suppression
}

// suppression excludes one version of a route from selection.
type suppression struct {
	version uint64
	until   time.Time
}

// suppressionTime is how long a route is not used after its owner has rejected a request by its rule.
const suppressionTime = 5 * time.Second

// destination returns the destination of an ID, creating it if needed. The caller must hold mu.
func (t *Table) destination(id ID) *destination {
	d := t.locRIB[id]
	if d == nil {
		d = &destination{id: id, candidates: map[string]*Route{}, suppressed: map[string]suppression{}}
		t.locRIB[id] = d
	}
	return d
}

// Suppress excludes a route whose owner rejected a request by its rule, until another version arrives or suppressionTime has
// passed.
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

// indexKey locates a destination in the index.
type indexKey struct{ class, prefix string }

// reselect is the decision process (RFC 4271 section 9.1). It selects the best route of each affected destination and sorts the
// destinations that share its prefix. The caller must hold mu.
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

// newestAdvertisements returns, by neighbour, the highest version of each affected destination that any of its gateways
// advertises. The caller must hold mu.
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

// setCandidates sets a destination's candidates to the own export, if any, and the newest route of each neighbour. The caller
// must hold mu.
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

// bestCandidate returns the best route that is not suppressed, or nil if there is none.
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

// flapped records a change of the best path and reports whether the destination is damped from now on.
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

// dampedBest returns the best of best and all candidates when preferences are ignored.
func (d *destination) dampedBest(best *Route) *Route {
	for _, r := range d.candidates {
		if Compare(r, best, true) < 0 {
			best = r
		}
	}
	return best
}

// setBest puts the selected route into the Loc-RIB and the index, and reports whether neighbours need an update. The caller
// must hold mu.
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

// preferredVariant reports whether a is preferred to b. Both are the same version of an advertisement from one neighbour, whose
// gateways may advertise different paths while its route changes.
func preferredVariant(a, b *Advertisement) bool {
	return cmp.Or(cmp.Compare(len(a.Path), len(b.Path)), cmp.Compare(a.Cost, b.Cost), slices.Compare(a.Path, b.Path)) < 0
}

// removeFromIndex and addToIndex maintain the index of destinations by class and prefix. The caller must hold mu.
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
