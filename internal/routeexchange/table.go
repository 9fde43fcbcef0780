package routeexchange

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Source is where a table as received came from: one link, to one incarnation of a partner's gateway.
type Source struct {
	Partner, Gateway string
	Incarnation      uint64
}

// Flaps of an advertisement: that many changes of its best route in that time have it held for that long.
const (
	maxFlaps    = 6
	flapWindow  = 10 * time.Second
	dampingTime = time.Minute
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

// incarnationEnd is what was known when a gateway's last link ended.
type incarnationEnd struct {
	latest uint64 // version of the partner's own advertisements, from any gateway of its
	at     time.Time
}

// incarnationEndRetention is how long a gateway that comes back is known to have begun anew since.
const incarnationEndRetention = 10 * time.Minute

// Counts are of a table since its start.
type Counts struct {
	Changes    int `json:"changes"` // of best routes
	Damped     int `json:"held"`    // offers whose preferences had no stable outcome
	Suppressed int `json:"dropped"` // routes that a refusal of their owner's ended
}

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

// NewTable returns an empty one.
func NewTable(p Policy, now func() time.Time) *Table {
	t := &Table{now: now, adjRIBsIn: map[Source]map[ID]*Advertisement{}, staleSince: map[string]time.Time{}, locRIB: map[ID]*destination{},
		byClass: map[string]map[string][]*destination{}, changed: make(chan struct{}), rejected: map[string]map[string]int{},
		incarnationEnds: map[[2]string]incarnationEnd{}, versionOffsets: map[Source]uint64{}}
	t.SetPolicy(p)
	return t
}

// SetPolicy goes by another file from now on. What was received is looked at anew; versions of own exports that did not
// change stay.
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

// equal says that two offers differ in nothing.
func equal(a, b *Advertisement) bool {
	r, o := &a.Rules, &b.Rules
	return a.ID == b.ID && a.Version == b.Version && a.Class == b.Class && a.Prefix == b.Prefix && a.Cost == b.Cost && a.Capacity == b.Capacity && a.Replicated == b.Replicated &&
		slices.Equal(a.Path, b.Path) && r.All == o.All && r.NoTransit == o.NoTransit && r.MaxHops == o.MaxHops && r.Effects == o.Effects && r.Until == o.Until &&
		slices.Equal(r.To, o.To) && slices.Equal(r.Tenants, o.Tenants) && slices.Equal(r.Excluded, o.Excluded)
}

func sameRoute(a, b *Route) bool {
	return a.Own == b.Own && a.Preference == b.Preference && equal(&a.Advertisement, &b.Advertisement)
}

// destination is the one of an ID, made if it is not there. The caller holds mu.
func (t *Table) destination(id ID) *destination {
	r := t.locRIB[id]
	if r == nil {
		r = &destination{id: id, candidates: map[string]*Route{}, suppressed: map[string]suppression{}}
		t.locRIB[id] = r
	}
	return r
}

// replace takes the complete table of a source in place of what it told before.
func (t *Table) replace(s Source, all []Advertisement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := map[ID]bool{}
	for other, table := range t.adjRIBsIn { // an older incarnation's, and what was kept as stale
		if other.Partner == s.Partner && (other.Gateway == s.Gateway || !t.staleSince[s.Partner].IsZero()) {
			for id := range table {
				touched[id] = true
			}
			if other == s {
				continue // it tells its table once more
			}
			if other.Gateway == s.Gateway {
				t.recordIncarnationEnd(other)
			}
			t.removeSource(other)
		}
	}
	delete(t.staleSince, s.Partner)
	t.raiseVersions(s, all)
	t.adjRIBsIn[s] = map[ID]*Advertisement{}
	t.importAll(s, all, touched)
	t.reselect(touched)
}

// removeSource drops the table of a source. The caller holds mu.
func (t *Table) removeSource(s Source) {
	delete(t.adjRIBsIn, s)
	delete(t.versionOffsets, s)
}

// recordIncarnationEnd notes what was known when a gateway's life ended. The caller holds mu.
func (t *Table) recordIncarnationEnd(s Source) {
	end := incarnationEnd{at: t.now()}
	for other, table := range t.adjRIBsIn {
		for id, o := range table {
			if other.Partner == s.Partner && id.Origin == s.Partner {
				end.latest = max(end.latest, o.Version)
			}
		}
	}
	t.incarnationEnds[[2]string{s.Partner, s.Gateway}] = end
}

// raiseVersions has a gateway's new incarnation tell higher versions than its partner had told before. A version is the wall time at
// which a gateway began to go by a rule: where its clock was set back between two of its lives, its newest rule would look
// older than what the others of its group still go by. A life that began after a version was told has none so low. The client
// holds mu.
func (t *Table) raiseVersions(s Source, all []Advertisement) {
	key := [2]string{s.Partner, s.Gateway}
	end, known := t.incarnationEnds[key]
	delete(t.incarnationEnds, key)
	if !known {
		return
	}
	least := uint64(math.MaxUint64)
	for i := range all {
		if all[i].ID.Origin == s.Partner {
			least = min(least, all[i].Version)
		}
	}
	if least <= end.latest && end.latest < math.MaxUint64 {
		t.versionOffsets[s] = end.latest + 1 - least
	}
}

// update takes what a source tells beyond its table.
func (t *Table) update(s Source, put []Advertisement, gone []ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	table := t.adjRIBsIn[s]
	if table == nil {
		return // its complete table has not come
	}
	touched := map[ID]bool{}
	for _, id := range gone {
		delete(table, id)
		touched[id] = true
	}
	t.importAll(s, put, touched)
	t.reselect(touched)
}

// importAll takes offers of a source as far as they may be imported. The caller holds mu.
func (t *Table) importAll(s Source, list []Advertisement, touched map[ID]bool) {
	n, known := t.policy.Neighbours[s.Partner]
	now, table := t.now(), t.adjRIBsIn[s]
	for i := range list {
		o := &list[i]
		if o.ID.Origin == s.Partner {
			o.Version += t.versionOffsets[s]
		}
		why := ""
		switch err := o.Check(s.Partner); {
		case !known:
			why = "the partner is not in the file"
		case err != nil:
			why = "malformed"
		default:
			held := len(table)
			if table[o.ID] != nil {
				held--
			}
			why = MayImport(o, t.policy.Self, n.Import, held, now)
		}
		touched[o.ID] = true
		if why != "" {
			delete(table, o.ID)
			if t.rejected[s.Partner] == nil {
				t.rejected[s.Partner] = map[string]int{}
			}
			t.rejected[s.Partner][why]++
			continue
		}
		table[o.ID] = o
	}
}

// PeerDown says that a link has ended. The table that came over it goes, unless it was the last one of its partner: then it stays
// as stale for a while.
func (t *Table) PeerDown(s Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.adjRIBsIn[s] == nil {
		return
	}
	t.recordIncarnationEnd(s)
	for other := range t.adjRIBsIn {
		if other.Partner == s.Partner && other != s && t.staleSince[s.Partner].IsZero() {
			touched := map[ID]bool{}
			for id := range t.adjRIBsIn[s] {
				touched[id] = true
			}
			t.removeSource(s)
			t.reselect(touched)
			return
		}
	}
	t.staleSince[s.Partner] = t.now()
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

// preferredVariant orders two words of one neighbour's on one version of an advertisement, as its gateways may tell while it changes its way.
func preferredVariant(a, b *Advertisement) bool {
	return cmp.Or(cmp.Compare(len(a.Path), len(b.Path)), cmp.Compare(a.Cost, b.Cost), slices.Compare(a.Path, b.Path)) < 0
}

// Selection is the way that a request takes.
type Selection struct {
	*Route
	destination *destination
}

// Take counts the request as one of those that the way has, until Done. It has no effect on routes of one's own.
func (c Selection) Take() { c.destination.open.Add(1) }

// Done ends a Take.
func (c Selection) Done() { c.destination.open.Add(-1) }

// Choose is the way of a request: of the advertisements below whose paths it lies, those of the longest path that take it, the best one.
// false: it is nobody's offer, and the own routes say what becomes of it.
func (t *Table) Choose(c *Request) (Selection, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	in := t.byClass[c.Class]
	if in == nil {
		return Selection{}, false
	}
	now := t.now()
	for end := len(c.Path); end > 0; end = strings.LastIndexByte(c.Path[:end-1], '/') + 1 {
		if c.Path[end-1] != '/' {
			if end = strings.LastIndexByte(c.Path[:end], '/') + 1; end == 0 {
				break
			}
		}
		for _, r := range in[c.Path[:end]] {
			room := r.best.Capacity
			if room > 0 && !r.best.Own && r.open.Load() >= int64(max(1, room/max(1, t.policy.GroupSize))) {
				continue
			}
			if r.best.Allows(c, now) {
				return Selection{r.best, r}, true
			}
		}
	}
	return Selection{}, false
}

// AdmitForwarded says why a request from a neighbour, by an advertisement that it names, is not taken here; empty: it is, and w is its way on.
func (t *Table) AdmitForwarded(id ID, c *Request) (w Selection, why string) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.now()
	r := t.locRIB[id]
	if r == nil || r.best == nil {
		return Selection{}, "there is no such offer"
	}
	if r.best.Own {
		return Selection{r.best, r}, MayServe(&r.best.Advertisement, c, t.policy.Self, now)
	}
	if len(c.Via) == 0 {
		return Selection{}, "it goes round"
	}
	from := c.Via[len(c.Via)-1]
	if _, why := t.export(r, from, now); why != "" {
		return Selection{}, why
	}
	if !r.best.Allows(c, now) {
		return Selection{}, "its rules do not allow this call here"
	}
	return Selection{r.best, r}, ""
}

// export is the best route of an advertisement as it is told to a neighbour. The caller holds mu.
func (t *Table) export(r *destination, to string, now time.Time) (Advertisement, string) {
	if r.best == nil {
		return Advertisement{}, "there is no way"
	}
	var p Transit
	if !r.best.Own {
		p = t.policy.Neighbours[r.best.Path[0]].Transit
	}
	return MayExport(r.best.Advertisement, t.policy.Self, to, r.best.Own, p, now)
}

// AdjRIBOut is the table that a neighbour is told now, and what tells of its next change.
func (t *Table) AdjRIBOut(to string) (map[ID]Advertisement, <-chan struct{}) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.now()
	out := map[ID]Advertisement{}
	for id, r := range t.locRIB {
		if o, why := t.export(r, to, now); why == "" {
			out[id] = o
		}
	}
	return out, t.changed
}

// RouteStatus is one route, for people.
type RouteStatus struct {
	ID     string   `json:"offer"`
	Class  string   `json:"class"`
	Prefix string   `json:"prefix"`
	Path   []string `json:"path,omitempty"` // empty: this partner's own
	Best   bool     `json:"best"`
	Stale  bool     `json:"stale,omitempty"`
	Damped bool     `json:"held,omitempty"`
}

// Status is what a table holds.
type Status struct {
	Counts
	Advertisements int                       `json:"offers"`
	Digest         uint64                    `json:"digest"` // of what is chosen: the same at all gateways that act alike
	Rejected       map[string]map[string]int `json:"refused,omitempty"`
	Stale          []string                  `json:"stale,omitempty"`
	Routes         []RouteStatus             `json:"lines,omitempty"`
}

// maxStatusRoutes of a Status.
const maxStatusRoutes = 200

// Status is what the table holds now.
func (t *Table) Status() Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := Status{Counts: t.counts, Advertisements: len(t.locRIB), Rejected: map[string]map[string]int{}, Stale: slices.Sorted(maps.Keys(t.staleSince))}
	for n, m := range t.rejected {
		s.Rejected[n] = maps.Clone(m)
	}
	ids := slices.SortedFunc(maps.Keys(t.locRIB), func(a, b ID) int { return strings.Compare(a.String(), b.String()) })
	h := fnv.New64a()
	for _, id := range ids {
		r := t.locRIB[id]
		if r.best != nil {
			h.Write([]byte(id.String()))
			h.Write([]byte{0})
			h.Write([]byte(strings.Join(r.best.Path, "/")))
			h.Write([]byte{0})
		}
		for _, n := range slices.Sorted(maps.Keys(r.candidates)) {
			w := r.candidates[n]
			if len(s.Routes) < maxStatusRoutes {
				s.Routes = append(s.Routes, RouteStatus{id.String(), w.Class, w.Prefix, w.Path, w == r.best, !t.staleSince[n].IsZero(), !r.dampedUntil.IsZero()})
			}
		}
	}
	s.Digest = h.Sum64()
	return s
}
