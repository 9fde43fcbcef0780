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
	id          ID
	candidates  map[string]*Route // by neighbour; own: ""
	best        *Route
	flaps       []time.Time
	dampedUntil time.Time // zero: it is not damped
	open        atomic.Int64
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
	r := t.locRIB[id]
	if r == nil {
		r = &destination{id: id, candidates: map[string]*Route{}, suppressed: map[string]suppression{}}
		t.locRIB[id] = r
	}
	return r
}

// Suppress ends a route whose owner refused a request by its rule, as long as no other version comes and for a while.
func (t *Table) Suppress(w *Route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.locRIB[w.ID]
	if r == nil || len(w.Path) == 0 {
		return
	}
	r.suppressed[w.Path[0]] = suppression{w.Version, t.now().Add(suppressionTime)}
	t.counts.Suppressed++
	t.reselect(map[ID]bool{w.ID: true})
}

// indexKey is where a destination stands in the index.
type indexKey struct{ class, prefix string }

// reselect is the decision process (RFC 4271 section 9.1): it finds the best route of each destination that was touched, and its
// place among the destinations of its prefix. The caller holds mu.
func (t *Table) reselect(touched map[ID]bool) {
	if len(touched) == 0 {
		return
	}
	now := t.now()
	newest := t.newestAdvertisements(touched)
	changed := false
	unsorted := map[indexKey]bool{}
	for id := range touched {
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
		slices.SortFunc(t.byClass[k.class][k.prefix], func(a, b *destination) int { return Better(a.best, b.best, false) })
	}
	if changed {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// newestAdvertisements are, by neighbour, what its gateways advertise of some destinations: the highest version of each. The
// caller holds mu.
func (t *Table) newestAdvertisements(touched map[ID]bool) map[string]map[ID]*Advertisement {
	newest := map[string]map[ID]*Advertisement{}
	for source, table := range t.adjRIBsIn {
		for id := range touched {
			o := table[id]
			if o == nil {
				continue
			}
			if newest[source.Partner] == nil {
				newest[source.Partner] = map[ID]*Advertisement{}
			}
			earlier := newest[source.Partner][id]
			if earlier == nil || o.Version > earlier.Version || o.Version == earlier.Version && preferredVariant(o, earlier) {
				newest[source.Partner][id] = o
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
		if o := table[d.id]; o != nil {
			d.candidates[neighbour] = &Route{Advertisement: *o, Preference: t.policy.Neighbours[neighbour].Import.Preference}
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
		if best == nil || Better(r, best, !d.dampedUntil.IsZero()) < 0 {
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
		if Better(r, best, true) < 0 {
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
func (t *Table) removeFromIndex(r *destination) {
	if r.best == nil {
		return
	}
	in := t.byClass[r.best.Class]
	in[r.best.Prefix] = slices.DeleteFunc(in[r.best.Prefix], func(o *destination) bool { return o == r })
	if len(in[r.best.Prefix]) == 0 {
		delete(in, r.best.Prefix)
	}
}

func (t *Table) addToIndex(r *destination) {
	in := t.byClass[r.best.Class]
	if in == nil {
		in = map[string][]*destination{}
		t.byClass[r.best.Class] = in
	}
	in[r.best.Prefix] = append(in[r.best.Prefix], r)
}
