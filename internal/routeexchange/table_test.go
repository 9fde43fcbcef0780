package routeexchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"

	"damsontrestle/internal/balancer"
)

func neverReplicated(string) bool { return false }

// policyOf is a partner's that takes all of its neighbours and passes all on.
func policyOf(self string, preference map[string]int, neighbours ...string) Policy {
	p := Policy{Self: self, Neighbours: map[string]Neighbour{}, Stale: time.Minute, GroupSize: 1}
	for _, n := range neighbours {
		var to []string
		for _, o := range neighbours {
			if o != n {
				to = append(to, o)
			}
		}
		pref := 100
		if v, ok := preference[n]; ok {
			pref = v
		}
		p.Neighbours[n] = Neighbour{Import{Accept: []string{"/"}, Preference: pref, MaxRoutes: 1 << 20}, Transit{To: to, Replicated: neverReplicated}}
	}
	return p
}

func newAdvertisement(origin, name, prefix string, path ...string) Advertisement {
	return Advertisement{ID: ID{origin, name}, Version: 1, Class: "view", Prefix: prefix, Path: path, Rules: Rules{All: true, MaxHops: 8, Effects: AllEffects}}
}

// clock is a time that tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// The way of a request is that of the longest path that takes it, and of these the best.
func TestLongestMatchingPathWins(t *testing.T) {
	c := &clock{noon}
	p := policyOf("p0", map[string]int{"p2": 200}, "p1", "p2")
	own := newAdvertisement("p0", "own", "/view/wells/")
	p.Own = []Advertisement{own}
	tb := NewTable(p, c.now)
	deep := newAdvertisement("p1", "deep", "/view/wells/north/", "p1")
	deep.Rules.Tenants = []string{"acme"}
	tb.replace(Source{"p1", "g", 1}, []Advertisement{deep, newAdvertisement("p1", "all", "/view/", "p1"), newAdvertisement("p1", "well", "/view/wells/", "p1")})
	tb.replace(Source{"p2", "g", 1}, []Advertisement{newAdvertisement("p2", "all", "/view/", "p2")})
	for _, k := range []struct {
		path, tenant, want string
		came               []string
	}{
		{"/view/wells/north/7", "acme", "p1/deep", nil},
		{"/view/wells/north/7", "other", "p0/own", nil},
		{"/view/wells/7", "", "p0/own", nil},
		{"/view/wells", "", "p2/all", nil},
		{"/view/x/y/z", "", "p2/all", nil},
		{"/view/x", "", "p1/all", []string{"p2"}}, // not back to where it came through
		{"/view", "", "", nil},
		{"/", "", "", nil},
	} {
		w, ok := tb.Choose(&Request{Class: "view", Path: k.path, Tenant: k.tenant, Effect: balancer.Safe, Via: k.came})
		got := ""
		if ok {
			got = w.ID.String()
		}
		if got != k.want {
			t.Errorf("%s of %q: %q, want %q", k.path, k.tenant, got, k.want)
		}
	}
	if _, ok := tb.Choose(&Request{Class: "note", Path: "/note/x"}); ok {
		t.Error("a way for a class that nobody offers")
	}
}

// What one partner sends beyond its bound or malformed harms nothing else.
func TestExcessAdvertisementsAffectOnlyTheirPartner(t *testing.T) {
	c := &clock{noon}
	p := policyOf("p0", nil, "p1", "p2")
	n := p.Neighbours["p1"]
	n.Import.MaxRoutes = 100
	p.Neighbours["p1"] = n
	tb := NewTable(p, c.now)
	tb.replace(Source{"p2", "g", 1}, []Advertisement{newAdvertisement("p2", "all", "/view/two/", "p2")})
	var all []Advertisement
	for i := range 5000 {
		all = append(all, newAdvertisement("p1", fmt.Sprint("o", i), fmt.Sprintf("/view/%d/", i), "p1"))
	}
	bad := newAdvertisement("p1", "bad", "/view/bad", "p1")
	stolen := newAdvertisement("p2", "all", "/view/two/", "p1", "p2")
	tb.replace(Source{"p1", "g", 1}, append([]Advertisement{bad, stolen}, all...))
	s := tb.Status()
	if s.Advertisements != 100+1-1+0 && s.Advertisements != 101 {
		t.Errorf("%d offers", s.Advertisements)
	}
	if s.Rejected["p1"]["malformed"] != 1 || s.Rejected["p1"]["there are too many from there"] < 4900 {
		t.Errorf("%v", s.Rejected)
	}
	if w, ok := tb.Choose(&Request{Class: "view", Path: "/view/two/x", Effect: balancer.Safe}); !ok || w.Path[0] != "p2" {
		t.Errorf("%+v", w.Route)
	}
}

// A partner whose links have all ended is used for a while, and then not; a new incarnation's table takes the old one's place.
func TestStaleRoutesAreRemoved(t *testing.T) {
	c := &clock{noon}
	tb := NewTable(policyOf("p0", nil, "p1"), c.now)
	first, second := Source{"p1", "a", 1}, Source{"p1", "b", 1}
	tb.replace(first, []Advertisement{newAdvertisement("p1", "x", "/view/x/", "p1")})
	tb.replace(second, []Advertisement{newAdvertisement("p1", "x", "/view/x/", "p1"), newAdvertisement("p1", "y", "/view/y/", "p1")})
	has := func(path string) bool {
		_, ok := tb.Choose(&Request{Class: "view", Path: path, Effect: balancer.Safe})
		return ok
	}
	tb.PeerDown(second)
	if !has("/view/x/1") || has("/view/y/1") || len(tb.Status().Stale) > 0 {
		t.Error("what only one link told outlives that link while another is up")
	}
	tb.PeerDown(first)
	c.at = c.at.Add(59 * time.Second)
	tb.Sweep()
	if !has("/view/x/1") || len(tb.Status().Stale) != 1 {
		t.Error("stale offers went too soon")
	}
	tb.replace(Source{"p1", "a", 2}, []Advertisement{newAdvertisement("p1", "z", "/view/z/", "p1")})
	if has("/view/x/1") || !has("/view/z/1") || len(tb.Status().Stale) != 0 {
		t.Error("a new life's table does not take the place of the stale one")
	}
	tb.PeerDown(Source{"p1", "a", 2})
	c.at = c.at.Add(time.Minute)
	tb.Sweep()
	if has("/view/z/1") || tb.Status().Advertisements != 0 {
		t.Error("stale offers stay")
	}
}

// A rule that is tightened holds for requests that come at once, and who was refused by it drops the way until another version.
func TestTightenedExportRule(t *testing.T) {
	c := &clock{noon}
	p := policyOf("p0", nil, "p1")
	p.Own = []Advertisement{newAdvertisement("p0", "x", "/view/x/")}
	tb := NewTable(p, c.now)
	request := &Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe, Via: []string{"p1"}}
	id := ID{"p0", "x"}
	if _, why := tb.AdmitForwarded(id, request); why != "" {
		t.Fatal(why)
	}
	sent, _ := tb.AdjRIBOut("p1")
	before := sent[id].Version
	tb.SetPolicy(p)
	if sent, _ = tb.AdjRIBOut("p1"); sent[id].Version != before {
		t.Error("a rule that says the same has another version")
	}
	p.Own = []Advertisement{newAdvertisement("p0", "x", "/view/x/")}
	p.Own[0].Rules.All = false
	tb.SetPolicy(p)
	if _, why := tb.AdmitForwarded(id, request); why != "partner p1 may not have the offer" {
		t.Errorf("%q", why)
	}
	if sent, _ = tb.AdjRIBOut("p1"); len(sent) != 0 {
		t.Error("it is still told")
	}
	there := NewTable(policyOf("p1", nil, "p0"), c.now)
	src := Source{"p0", "g", 1}
	there.replace(src, []Advertisement{newAdvertisement("p0", "x", "/view/x/", "p0")})
	ask := &Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe}
	w, ok := there.Choose(ask)
	if !ok {
		t.Fatal("no way")
	}
	there.Suppress(w.Route)
	if _, ok := there.Choose(ask); ok {
		t.Error("the way is still used")
	}
	next := newAdvertisement("p0", "x", "/view/x/", "p0")
	next.Version = 2
	there.update(src, []Advertisement{next}, nil)
	if _, ok := there.Choose(ask); !ok {
		t.Error("another version is not used")
	}
}

// Versions of own exports rise for as long as a gateway runs, also where one is taken back and given again while the wall
// clock was set back.
func TestVersionsRiseWhenWallClockStepsBack(t *testing.T) {
	for _, step := range []time.Duration{0, -5 * time.Second, -time.Hour, time.Hour} {
		c := &clock{noon}
		p := policyOf("p0", nil, "p1")
		tb := NewTable(p, c.now)
		var last uint64
		for cost := range 3 {
			p.Own = []Advertisement{newAdvertisement("p0", "x", "/view/x/")}
			p.Own[0].Cost = cost
			tb.SetPolicy(p)
			sent, _ := tb.AdjRIBOut("p1")
			if v := sent[ID{"p0", "x"}].Version; v <= last {
				t.Errorf("steps of %v: version %d comes after %d", step, v, last)
			} else {
				last = v
			}
			p.Own = nil
			tb.SetPolicy(p)
			c.at = c.at.Add(step)
		}
	}
}

// An export ends at a date, by the wall clock of the gateway that looks: stepped over it the export has ended, at the owner
// too, and stepped back it has not.
func TestExportExpiresByWallClock(t *testing.T) {
	c := &clock{noon}
	p := policyOf("p0", nil, "p1")
	own := newAdvertisement("p0", "x", "/view/x/")
	own.Rules.Until = noon.Add(30 * time.Minute).Unix()
	p.Own = []Advertisement{own}
	tb := NewTable(p, c.now)
	request := &Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe, Via: []string{"p1"}}
	for _, s := range []struct {
		step time.Duration
		ends bool
	}{{0, false}, {time.Hour, true}, {-time.Hour, false}, {30*time.Minute - time.Second, false}, {5 * time.Second, true}, {-5 * time.Second, false}} {
		c.at = c.at.Add(s.step)
		tb.Sweep()
		sent, _ := tb.AdjRIBOut("p1")
		if _, why := tb.AdmitForwarded(ID{"p0", "x"}, request); (why != "") != s.ends || (len(sent) == 0) != s.ends {
			t.Errorf("after a step of %v to %v: %q, %d told; ended: %v", s.step, c.at, why, len(sent), s.ends)
		}
	}
}

// Room is dealt out over the gateways of a partner.
func TestCapacityIsShared(t *testing.T) {
	c := &clock{noon}
	p := policyOf("p0", nil, "p1")
	p.GroupSize = 2
	tb := NewTable(p, c.now)
	o := newAdvertisement("p1", "x", "/view/x/", "p1")
	o.Capacity = 4
	tb.replace(Source{"p1", "g", 1}, []Advertisement{o})
	ask := &Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe}
	w, _ := tb.Choose(ask)
	w.Take()
	if _, ok := tb.Choose(ask); !ok {
		t.Error("one of two places is taken, and there is no way")
	}
	w.Take()
	if _, ok := tb.Choose(ask); ok {
		t.Error("both places are taken")
	}
	w.Done()
	if _, ok := tb.Choose(ask); !ok {
		t.Error("a place is free again")
	}
	tb.SetGroupSize(4)
	if _, ok := tb.Choose(ask); ok {
		t.Error("with four gateways each has one place, and that is taken")
	}
}

// partnerNetwork is some partners that tell one another, message by message.
type partnerNetwork struct {
	c      *clock
	tables map[string]*Table
	names  []string
}

// step has one partner tell another, and says whether that changed anything there.
func (w *partnerNetwork) step(from, to string) bool {
	a, b := w.tables[from], w.tables[to]
	all, _ := a.AdjRIBOut(to)
	var list []Advertisement
	for _, o := range all {
		list = append(list, o)
	}
	before := b.Status().Changes
	b.replace(Source{from, "g", 1}, list)
	return b.Status().Changes != before
}

// The dispute that has no stable outcome ends in a hold, and then nothing changes any more, whatever the order of messages.
func TestOscillatingRouteIsDamped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &partnerNetwork{c: &clock{noon}, tables: map[string]*Table{}, names: []string{"p0", "p1", "p2", "p3"}}
		origin := policyOf("p0", nil, "p1", "p2", "p3")
		origin.Own = []Advertisement{newAdvertisement("p0", "x", "/view/x/")}
		origin.Own[0].Rules.MaxHops = 2 // by way of one other, and no further
		w.tables["p0"] = NewTable(origin, w.c.now)
		for i := 1; i <= 3; i++ { // each prefers the way through the next one
			next := fmt.Sprint("p", i%3+1)
			others := []string{"p0", "p1", "p2", "p3"}
			others = slices.DeleteFunc(others, func(n string) bool { return n == fmt.Sprint("p", i) })
			w.tables[fmt.Sprint("p", i)] = NewTable(policyOf(fmt.Sprint("p", i), map[string]int{next: 900}, others...), w.c.now)
		}
		quiet := 0
		for n := 0; quiet < 200; n++ { // of twelve pairs one may be all that could change something
			if n > 8000 {
				t.Fatal("it does not settle")
			}
			w.c.at = w.c.at.Add(time.Millisecond)
			from := rapid.IntRange(0, 3).Draw(t, "from")
			to := (from + 1 + rapid.IntRange(0, 2).Draw(t, "to")) % 4
			if w.step(w.names[from], w.names[to]) {
				quiet = 0
			} else {
				quiet++
			}
		}
		for _, name := range w.names[1:] {
			way, ok := w.tables[name].Choose(&Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe})
			if !ok || way.Path[len(way.Path)-1] != "p0" || slices.Contains(way.Path, name) {
				t.Fatalf("%s goes by %+v", name, way.Route)
			}
		}
	})
}

// Whatever partners hear in whatever order, rules only narrow on the way, no path has a partner twice, and no request that one
// sends by its table is refused by an owner whose rules have not changed.
func TestRulesOnlyNarrowAlongPath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"p0", "p1", "p2", "p3", "p4"}
		w := &partnerNetwork{c: &clock{noon}, tables: map[string]*Table{}, names: names}
		rules := map[ID]Rules{}
		for _, self := range names {
			var others []string
			for _, n := range names {
				if n != self && rapid.IntRange(0, 3).Draw(t, "knows") > 0 {
					others = append(others, n)
				}
			}
			p := policyOf(self, nil, others...)
			for i := range rapid.IntRange(0, 2).Draw(t, "exports") {
				o := newAdvertisement(self, fmt.Sprint("x", i), fmt.Sprintf("/view/%s%d/", self, i))
				o.Rules = Rules{All: rapid.Bool().Draw(t, "all"), To: rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID).Draw(t, "to"),
					NoTransit: rapid.Bool().Draw(t, "no transit"), MaxHops: rapid.IntRange(1, 4).Draw(t, "hands"), Effects: AllEffects}
				rules[ID{self, o.ID.Name}] = o.Rules
				p.Own = append(p.Own, o)
			}
			w.tables[self] = NewTable(p, w.c.now)
		}
		for range 120 {
			from := rapid.IntRange(0, 4).Draw(t, "from")
			w.step(names[from], names[(from+1+rapid.IntRange(0, 3).Draw(t, "to"))%5])
		}
		for _, self := range names {
			for id, r := range w.tables[self].locRIB {
				if r.best == nil || r.best.Own {
					continue
				}
				b := r.best
				own := rules[id]
				if len(b.Path) > own.MaxHops || len(b.Path) > 1 && own.NoTransit || !own.All && !slices.Contains(own.To, self) || slices.Contains(b.Path, self) {
					t.Fatalf("%s has %+v by rules %+v", self, b.Advertisement, own)
				}
				// A request goes from table to table, as long as each still has the way that it told of.
				request := &Request{Class: "view", Path: b.Prefix + "1", Effect: balancer.Safe}
				at, way := self, Selection{b, r}
				for !way.Own {
					request.Via = append(request.Via, at)
					at = way.Path[0]
					if len(request.Via) > 8 {
						t.Fatalf("the call goes round: %v", request.Via)
					}
					next, why := w.tables[at].AdmitForwarded(id, request)
					if why != "" {
						if next.Route != nil && next.Own {
							t.Fatalf("the owner refuses %v: %s, rules %+v", request.Via, why, own)
						}
						break // the tables have not settled
					}
					way = next
				}
			}
		}
	})
}

func newLargeTable(n int) (*Table, []Advertisement) {
	tb := NewTable(policyOf("p0", nil, "p1", "p2", "p3"), time.Now)
	var all []Advertisement
	for i := range n {
		all = append(all, newAdvertisement("p1", fmt.Sprint("o", i), fmt.Sprintf("/view/a%d/b%d/", i%100, i), "p1"))
	}
	tb.replace(Source{"p1", "g", 1}, all)
	return tb, all
}

// BenchmarkChoose chooses among 10,000 offers.
func BenchmarkChoose(b *testing.B) {
	tb, _ := newLargeTable(10_000)
	requests := make([]*Request, 1000)
	for i := range requests {
		requests[i] = &Request{Class: "view", Path: fmt.Sprintf("/view/a%d/b%d/leaf/17", i%100, i), Effect: balancer.Safe}
	}
	b.ReportAllocs()
	for i := range b.N {
		if _, ok := tb.Choose(requests[i%len(requests)]); !ok {
			b.Fatal("no way")
		}
	}
}

// BenchmarkChange takes 1,000 changed offers among 10,000.
func BenchmarkChange(b *testing.B) {
	tb, all := newLargeTable(10_000)
	s := Source{"p1", "g", 1}
	for i := range b.N {
		some := slices.Clone(all[:1000])
		for k := range some {
			some[k].Version, some[k].Cost = uint64(i+2), i%7
		}
		tb.update(s, some, nil)
	}
}

// A gateway that begins anew goes by the newest rule of its partner, and partners go by that too, whatever its clock shows:
// set back by an hour, by 5 s, right, or ahead. What another gateway of its group goes by since it ended is newer, as ever.
func TestRestartedGatewayHasNewestRule(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 0, time.Hour} {
		for _, overlap := range []bool{false, true} {
			c := &clock{noon}
			rule := func(cost int) Policy {
				p := policyOf("p1", nil, "p0")
				o := newAdvertisement("p1", "x", "/view/x/")
				o.Cost = cost
				p.Own = []Advertisement{o}
				return p
			}
			told := func(by *Table) (all []Advertisement) {
				sent, _ := by.AdjRIBOut("p0")
				for _, o := range sent {
					all = append(all, o)
				}
				return all
			}
			there := NewTable(policyOf("p0", nil, "p1"), c.now)
			cost := func() int {
				w, ok := there.Choose(&Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe})
				if !ok {
					t.Fatal("no way")
				}
				return w.Cost
			}
			a1, a2, b1 := Source{"p1", "a", 1}, Source{"p1", "a", 2}, Source{"p1", "b", 1}
			a, b := NewTable(rule(1), c.now), NewTable(rule(1), c.now)
			there.replace(a1, told(a))
			there.replace(b1, told(b))
			c.at = c.at.Add(time.Second)
			if !overlap {
				there.PeerDown(a1)
			}
			stepped := &clock{c.at.Add(step)}
			a = NewTable(rule(2), stepped.now)
			there.replace(a2, told(a))
			if got := cost(); got != 2 {
				t.Errorf("clock stepped by %v: the cost is %d, want that of the rule that a gateway began anew with", step, got)
			}
			stepped.at = stepped.at.Add(time.Second)
			a.SetPolicy(rule(3))
			there.update(a2, told(a), nil)
			if got := cost(); got != 3 {
				t.Errorf("clock stepped by %v: the cost is %d, want that of its next rule", step, got)
			}
			there.replace(a2, told(a))
			if got := cost(); got != 3 {
				t.Errorf("clock stepped by %v: the cost is %d once its whole table was told again", step, got)
			}
			if step > 0 {
				continue // its rules stay the newest until the others' clocks come up to its own
			}
			c.at = c.at.Add(5 * time.Second)
			there.PeerDown(a2)
			c.at = c.at.Add(time.Second)
			a = NewTable(rule(3), c.now)
			c.at = c.at.Add(time.Second)
			b.SetPolicy(rule(4))
			there.update(b1, told(b), nil)
			there.replace(Source{"p1", "a", 3}, told(a))
			if got := cost(); got != 4 {
				t.Errorf("clock stepped by %v: the cost is %d, want that of the rule that the other gateway took on since", step, got)
			}
		}
	}
}
