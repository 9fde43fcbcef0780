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
	policy := policyOf("p0", map[string]int{"p2": 200}, "p1", "p2")
	own := newAdvertisement("p0", "own", "/view/wells/")
	policy.Own = []Advertisement{own}
	table := NewTable(policy, c.now)
	deep := newAdvertisement("p1", "deep", "/view/wells/north/", "p1")
	deep.Rules.Tenants = []string{"acme"}
	table.replace(Source{"p1", "g", 1}, []Advertisement{deep, newAdvertisement("p1", "all", "/view/", "p1"), newAdvertisement("p1", "well", "/view/wells/", "p1")})
	table.replace(Source{"p2", "g", 1}, []Advertisement{newAdvertisement("p2", "all", "/view/", "p2")})
	for _, tc := range []struct {
		path, tenant, want string
		via                []string
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
		sel, ok := table.Choose(&Request{Class: "view", Path: tc.path, Tenant: tc.tenant, Effect: balancer.Safe, Via: tc.via})
		got := ""
		if ok {
			got = sel.ID.String()
		}
		if got != tc.want {
			t.Errorf("path %s, tenant %q: route %q, want %q", tc.path, tc.tenant, got, tc.want)
		}
	}
	if _, ok := table.Choose(&Request{Class: "note", Path: "/note/x"}); ok {
		t.Error("found a route for a class without advertisements")
	}
}

// Excess or malformed advertisements of one partner affect no other advertisement.
func TestExcessAdvertisementsAffectOnlyTheirPartner(t *testing.T) {
	c := &clock{noon}
	policy := policyOf("p0", nil, "p1", "p2")
	neighbour := policy.Neighbours["p1"]
	neighbour.Import.MaxRoutes = 100
	policy.Neighbours["p1"] = neighbour
	table := NewTable(policy, c.now)
	table.replace(Source{"p2", "g", 1}, []Advertisement{newAdvertisement("p2", "all", "/view/two/", "p2")})
	var all []Advertisement
	for i := range 5000 {
		all = append(all, newAdvertisement("p1", fmt.Sprint("o", i), fmt.Sprintf("/view/%d/", i), "p1"))
	}
	malformed := newAdvertisement("p1", "bad", "/view/bad", "p1")
	stolen := newAdvertisement("p2", "all", "/view/two/", "p1", "p2")
	table.replace(Source{"p1", "g", 1}, append([]Advertisement{malformed, stolen}, all...))
	status := table.Status()
	if status.Advertisements != 100+1-1+0 && status.Advertisements != 101 {
		t.Errorf("%d advertisements, want 100 or 101", status.Advertisements)
	}
	if status.Rejected["p1"]["malformed"] != 1 || status.Rejected["p1"]["there are too many from there"] < 4900 {
		t.Errorf("rejected %v, want 1 malformed and at least 4900 beyond the limit", status.Rejected)
	}
	if sel, ok := table.Choose(&Request{Class: "view", Path: "/view/two/x", Effect: balancer.Safe}); !ok || sel.Path[0] != "p2" {
		t.Errorf("route %+v, want one by p2", sel.Route)
	}
}

// Routes of a partner whose links have all ended stay in use for the stale time and are then removed; the table of a new
// incarnation replaces the old one.
func TestStaleRoutesAreRemoved(t *testing.T) {
	c := &clock{noon}
	table := NewTable(policyOf("p0", nil, "p1"), c.now)
	first, second := Source{"p1", "a", 1}, Source{"p1", "b", 1}
	table.replace(first, []Advertisement{newAdvertisement("p1", "x", "/view/x/", "p1")})
	table.replace(second, []Advertisement{newAdvertisement("p1", "x", "/view/x/", "p1"), newAdvertisement("p1", "y", "/view/y/", "p1")})
	has := func(path string) bool {
		_, ok := table.Choose(&Request{Class: "view", Path: path, Effect: balancer.Safe})
		return ok
	}
	table.PeerDown(second)
	if !has("/view/x/1") || has("/view/y/1") || len(table.Status().Stale) > 0 {
		t.Error("routes of an ended link are still used while another link is up, or shared routes were removed")
	}
	table.PeerDown(first)
	c.at = c.at.Add(59 * time.Second)
	table.Sweep()
	if !has("/view/x/1") || len(table.Status().Stale) != 1 {
		t.Error("stale routes were removed before the stale time")
	}
	table.replace(Source{"p1", "a", 2}, []Advertisement{newAdvertisement("p1", "z", "/view/z/", "p1")})
	if has("/view/x/1") || !has("/view/z/1") || len(table.Status().Stale) != 0 {
		t.Error("the table of a new incarnation did not replace the stale one")
	}
	table.PeerDown(Source{"p1", "a", 2})
	c.at = c.at.Add(time.Minute)
	table.Sweep()
	if has("/view/z/1") || table.Status().Advertisements != 0 {
		t.Error("stale routes are still used after the stale time")
	}
}

// A tightened export rule is effective for requests immediately, and a rejected sender does not use the route until another
// version arrives.
func TestTightenedExportRule(t *testing.T) {
	c := &clock{noon}
	policy := policyOf("p0", nil, "p1")
	policy.Own = []Advertisement{newAdvertisement("p0", "x", "/view/x/")}
	table := NewTable(policy, c.now)
	forwarded := &Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe, Via: []string{"p1"}}
	id := ID{"p0", "x"}
	if _, reason := table.AdmitForwarded(id, forwarded); reason != "" {
		t.Fatal(reason)
	}
	sent, _ := table.AdjRIBOut("p1")
	before := sent[id].Version
	table.SetPolicy(policy)
	if sent, _ = table.AdjRIBOut("p1"); sent[id].Version != before {
		t.Error("an unchanged rule got another version")
	}
	policy.Own = []Advertisement{newAdvertisement("p0", "x", "/view/x/")}
	policy.Own[0].Rules.AnyPartner = false
	table.SetPolicy(policy)
	if _, reason := table.AdmitForwarded(id, forwarded); reason != "partner p1 may not have the offer" {
		t.Errorf("request rejected for %q, want that p1 may not have the offer", reason)
	}
	if sent, _ = table.AdjRIBOut("p1"); len(sent) != 0 {
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
	policy := policyOf("p0", nil, "p1")
	policy.GatewayCount = 2
	table := NewTable(policy, c.now)
	adv := newAdvertisement("p1", "x", "/view/x/", "p1")
	adv.Capacity = 4
	table.replace(Source{"p1", "g", 1}, []Advertisement{adv})
	req := &Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe}
	sel, _ := table.Choose(req)
	sel.Acquire()
	if _, ok := table.Choose(req); !ok {
		t.Error("no route, want one: 1 of 2 requests is in use")
	}
	sel.Acquire()
	if _, ok := table.Choose(req); ok {
		t.Error("found a route although both requests are in use")
	}
	sel.Release()
	if _, ok := table.Choose(req); !ok {
		t.Error("no route after Release")
	}
	table.SetGatewayCount(4)
	if _, ok := table.Choose(req); ok {
		t.Error("found a route, want none: with 4 gateways each may have 1 request, which is in use")
	}
}
