package routeexchange

import (
	"fmt"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
)

func notReplicated(string) bool { return false }

// policyOf is a partner's that takes all of its neighbours and passes all on.
func policyOf(self string, preference map[string]int, neighbours ...string) Policy {
	p := Policy{Self: self, Neighbours: map[string]Neighbour{}, StaleTime: time.Minute, GatewayCount: 1}
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
		p.Neighbours[n] = Neighbour{Import{Accept: []string{"/"}, Preference: pref, MaxRoutes: 1 << 20}, Transit{To: to, Replicated: notReplicated}}
	}
	return p
}

func newAdvertisement(origin, name, prefix string, path ...string) Advertisement {
	return Advertisement{ID: ID{origin, name}, Version: 1, Class: "view", Prefix: prefix, Path: path, Rules: Rules{AnyPartner: true, MaxHops: 8, Effects: AllEffects}}
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
		sel, ok := tb.Choose(&Request{Class: "view", Path: k.path, Tenant: k.tenant, Effect: balancer.Safe, Via: k.came})
		got := ""
		if ok {
			got = sel.ID.String()
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
	forwarded := &Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe, Via: []string{"p1"}}
	id := ID{"p0", "x"}
	if _, why := tb.AdmitForwarded(id, forwarded); why != "" {
		t.Fatal(why)
	}
	sent, _ := tb.AdjRIBOut("p1")
	before := sent[id].Version
	tb.SetPolicy(p)
	if sent, _ = tb.AdjRIBOut("p1"); sent[id].Version != before {
		t.Error("a rule that says the same has another version")
	}
	p.Own = []Advertisement{newAdvertisement("p0", "x", "/view/x/")}
	p.Own[0].Rules.AnyPartner = false
	tb.SetPolicy(p)
	if _, why := tb.AdmitForwarded(id, forwarded); why != "partner p1 may not have the offer" {
		t.Errorf("%q", why)
	}
	if sent, _ = tb.AdjRIBOut("p1"); len(sent) != 0 {
		t.Error("it is still told")
	}
	neighbour := NewTable(policyOf("p1", nil, "p0"), c.now)
	src := Source{"p0", "g", 1}
	neighbour.replace(src, []Advertisement{newAdvertisement("p0", "x", "/view/x/", "p0")})
	req := &Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe}
	sel, ok := neighbour.Choose(req)
	if !ok {
		t.Fatal("no way")
	}
	neighbour.Suppress(sel.Route)
	if _, ok := neighbour.Choose(req); ok {
		t.Error("the way is still used")
	}
	next := newAdvertisement("p0", "x", "/view/x/", "p0")
	next.Version = 2
	neighbour.update(src, []Advertisement{next}, nil)
	if _, ok := neighbour.Choose(req); !ok {
		t.Error("another version is not used")
	}
}

// Room is dealt out over the gateways of a partner.
func TestCapacityIsShared(t *testing.T) {
	c := &clock{noon}
	p := policyOf("p0", nil, "p1")
	p.GatewayCount = 2
	tb := NewTable(p, c.now)
	o := newAdvertisement("p1", "x", "/view/x/", "p1")
	o.Capacity = 4
	tb.replace(Source{"p1", "g", 1}, []Advertisement{o})
	req := &Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe}
	sel, _ := tb.Choose(req)
	sel.Acquire()
	if _, ok := tb.Choose(req); !ok {
		t.Error("one of two places is taken, and there is no way")
	}
	sel.Acquire()
	if _, ok := tb.Choose(req); ok {
		t.Error("both places are taken")
	}
	sel.Release()
	if _, ok := tb.Choose(req); !ok {
		t.Error("a place is free again")
	}
	tb.SetGatewayCount(4)
	if _, ok := tb.Choose(req); ok {
		t.Error("with four gateways each has one place, and that is taken")
	}
}
