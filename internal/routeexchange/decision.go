package routeexchange

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// Flaps of an advertisement: that many changes of its best route in that time have it held for that long.
const (
	maxFlaps    = 6
	flapWindow  = 10 * time.Second
	dampingTime = time.Minute
)

// destination is one advertisement, with all routes to it.
type destination struct {
	id          ID
	candidates  map[string]*Route // by neighbour; own: ""
	best        *Route
	flaps       []time.Time
	dampedUntil time.Time // until when; zero: it is not
	open        atomic.Int64
	// A refusal by the owner ends a version's routes until another version comes, or until a while has passed.
	suppressed map[string]suppression
}

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

// reselect finds the best route of each advertisement that was touched, and its place among the advertisements of its prefix. The caller holds mu.
func (t *Table) reselect(touched map[ID]bool) {
	if len(touched) == 0 {
		return
	}
	now := t.now()
	newest := map[string]map[ID]*Advertisement{} // by neighbour
	for s, table := range t.adjRIBsIn {
		for id := range touched {
			o := table[id]
			if o == nil {
				continue
			}
			if newest[s.Partner] == nil {
				newest[s.Partner] = map[ID]*Advertisement{}
			}
			if was := newest[s.Partner][id]; was == nil || o.Version > was.Version || o.Version == was.Version && preferredVariant(o, was) {
				newest[s.Partner][id] = o
			}
		}
	}
	told := false
	lists := map[[2]string]bool{} // to be put in order anew
	for id := range touched {
		r := t.locRIB[id]
		if r == nil {
			r = t.destination(id)
		}
		for n := range r.candidates {
			if n != "" && newest[n][id] == nil {
				delete(r.candidates, n)
			}
		}
		for n, table := range newest {
			if o := table[id]; o != nil {
				r.candidates[n] = &Route{Advertisement: *o, Preference: t.policy.Neighbours[n].Import.Preference}
			}
		}
		var best *Route
		for n, w := range r.candidates {
			if d, is := r.suppressed[n]; is && d.version == w.Version && now.Before(d.until) {
				continue
			}
			if best == nil || Better(w, best, !r.dampedUntil.IsZero()) < 0 {
				best = w
			}
		}
		if r.best != nil {
			lists[[2]string{r.best.Class, r.best.Prefix}] = true
		}
		if best != nil {
			lists[[2]string{best.Class, best.Prefix}] = true
		}
		if best != nil && r.best != nil && !slices.Equal(best.Path, r.best.Path) && r.dampedUntil.IsZero() {
			r.flaps = slices.DeleteFunc(append(r.flaps, now), func(at time.Time) bool { return now.Sub(at) > flapWindow })
			if len(r.flaps) > maxFlaps {
				r.dampedUntil = now.Add(dampingTime)
				t.counts.Damped++
				for _, w := range r.candidates {
					if Better(w, best, true) < 0 {
						best = w
					}
				}
			}
		}
		if best != r.best {
			if best == nil || r.best == nil || !sameRoute(best, r.best) {
				t.counts.Changes++
				told = true
			}
			t.removeFromIndex(r)
			if r.best = best; best != nil {
				t.addToIndex(r)
			}
		}
		if best == nil && len(r.candidates) == 0 {
			delete(t.locRIB, id)
		}
	}
	for k := range lists {
		slices.SortFunc(t.byClass[k[0]][k[1]], func(a, b *destination) int { return Better(a.best, b.best, false) })
	}
	if told {
		close(t.changed)
		t.changed = make(chan struct{})
	}
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
