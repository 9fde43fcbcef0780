package routeexchange

import (
	"fmt"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
)

func notReplicated(string) bool { return false }

// policyOf returns a policy that imports all routes of all neighbours and re-advertises them to all others.
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

// clock is a manual clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// A request takes the best of the routes with the longest matching prefix that allow it.
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
		{"/view/x", "", "p1/all", []string{"p2"}}, // not back to a partner that it came through
		{"/view", "", "", nil},
		{"/", "", "", nil},
	} {
		sel, ok := tb.Choose(&Request{Class: "view", Path: k.path, Tenant: k.tenant, Effect: balancer.Safe, Via: k.came})
		got := ""
		if ok {
			got = sel.ID.String()
		}
		if got != k.want {
			t.Errorf("path %s, tenant %q: route %q, want %q", k.path, k.tenant, got, k.want)
		}
	}
	if _, ok := tb.Choose(&Request{Class: "note", Path: "/note/x"}); ok {
		t.Error("found a route for a class without advertisements")
	}
}

// Excess or malformed advertisements of one partner affect no other advertisement.
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
		t.Errorf("%d advertisements, want 100 or 101", s.Advertisements)
	}
	if s.Rejected["p1"]["malformed"] != 1 || s.Rejected["p1"]["there are too many from there"] < 4900 {
		t.Errorf("rejected %v, want 1 malformed and at least 4900 beyond the limit", s.Rejected)
	}
	if w, ok := tb.Choose(&Request{Class: "view", Path: "/view/two/x", Effect: balancer.Safe}); !ok || w.Path[0] != "p2" {
		t.Errorf("route %+v, want one by p2", w.Route)
	}
}

// Routes of a partner whose links have all ended stay in use for the stale time and are then removed; the table of a new
// incarnation replaces the old one.
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
		t.Error("routes of an ended link are still used while another link is up, or shared routes were removed")
	}
	tb.PeerDown(first)
	c.at = c.at.Add(59 * time.Second)
	tb.Sweep()
	if !has("/view/x/1") || len(tb.Status().Stale) != 1 {
		t.Error("stale routes were removed before the stale time")
	}
	tb.replace(Source{"p1", "a", 2}, []Advertisement{newAdvertisement("p1", "z", "/view/z/", "p1")})
	if has("/view/x/1") || !has("/view/z/1") || len(tb.Status().Stale) != 0 {
		t.Error("the table of a new incarnation did not replace the stale one")
	}
	tb.PeerDown(Source{"p1", "a", 2})
	c.at = c.at.Add(time.Minute)
	tb.Sweep()
	if has("/view/z/1") || tb.Status().Advertisements != 0 {
		t.Error("stale routes are still used after the stale time")
	}
}

// A tightened export rule is effective for requests immediately, and a rejected sender does not use the route until another
// version arrives.
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
		t.Error("an unchanged rule got another version")
	}
	p.Own = []Advertisement{newAdvertisement("p0", "x", "/view/x/")}
	p.Own[0].Rules.AnyPartner = false
	tb.SetPolicy(p)
	if _, why := tb.AdmitForwarded(id, forwarded); why != "partner p1 may not have the offer" {
		t.Errorf("request rejected for %q, want that p1 may not have the offer", why)
	}
	if sent, _ = tb.AdjRIBOut("p1"); len(sent) != 0 {
		t.Error("the route is still advertised")
	}
	neighbour := NewTable(policyOf("p1", nil, "p0"), c.now)
	src := Source{"p0", "g", 1}
	neighbour.replace(src, []Advertisement{newAdvertisement("p0", "x", "/view/x/", "p0")})
	req := &Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe}
	sel, ok := neighbour.Choose(req)
	if !ok {
		t.Fatal("no route")
	}
	neighbour.Suppress(sel.Route)
	if _, ok := neighbour.Choose(req); ok {
		t.Error("the suppressed route is still used")
	}
	next := newAdvertisement("p0", "x", "/view/x/", "p0")
	next.Version = 2
	neighbour.update(src, []Advertisement{next}, nil)
	if _, ok := neighbour.Choose(req); !ok {
		t.Error("a new version of a suppressed route is not used")
	}
}

// The capacity of a route is divided among the gateways of a partner.
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
		t.Error("no route, want one: 1 of 2 requests is in use")
	}
	sel.Acquire()
	if _, ok := tb.Choose(req); ok {
		t.Error("found a route although both requests are in use")
	}
	sel.Release()
	if _, ok := tb.Choose(req); !ok {
		t.Error("no route after Release")
	}
	tb.SetGatewayCount(4)
	if _, ok := tb.Choose(req); ok {
		t.Error("found a route, want none: with 4 gateways each may have 1 request, which is in use")
	}
}
