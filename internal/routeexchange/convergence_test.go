package routeexchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"damsontrestle/internal/balancer"
)

// partnerNetwork is a network of partners that exchange tables one message at a time.
type partnerNetwork struct {
	clock  *clock
	tables map[string]*Table
	names  []string
}

// step sends the table of one partner to another and reports whether it changed a route there.
func (w *partnerNetwork) step(from, to string) bool {
	sender, receiver := w.tables[from], w.tables[to]
	all, _ := sender.AdjRIBOut(to)
	var list []Advertisement
	for _, o := range all {
		list = append(list, o)
	}
	before := receiver.Status().Changes
	receiver.replace(Source{from, "g", 1}, list)
	return receiver.Status().Changes != before
}

// Cyclic preferences without a stable outcome are damped, and the routes then converge in any order of messages.
func TestOscillatingRouteIsDamped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := &partnerNetwork{clock: &clock{noon}, tables: map[string]*Table{}, names: []string{"p0", "p1", "p2", "p3"}}
		origin := policyOf("p0", nil, "p1", "p2", "p3")
		origin.Own = []Advertisement{newAdvertisement("p0", "x", "/view/x/")}
		origin.Own[0].Rules.MaxHops = 2 // through one other partner at most
		network.tables["p0"] = NewTable(origin, network.clock.now)
		for i := 1; i <= 3; i++ { // each prefers the route through the next partner
			next := fmt.Sprint("p", i%3+1)
			others := []string{"p0", "p1", "p2", "p3"}
			others = slices.DeleteFunc(others, func(n string) bool { return n == fmt.Sprint("p", i) })
			network.tables[fmt.Sprint("p", i)] = NewTable(policyOf(fmt.Sprint("p", i), map[string]int{next: 900}, others...), network.clock.now)
		}
		unchangedSteps := 0
		for n := 0; unchangedSteps < 200; n++ { // only one of the twelve pairs may still be able to change a route
			if n > 8000 {
				t.Fatal("routes do not converge within 8000 steps")
			}
			network.clock.at = network.clock.at.Add(time.Millisecond)
			from := rapid.IntRange(0, 3).Draw(t, "from")
			to := (from + 1 + rapid.IntRange(0, 2).Draw(t, "to")) % 4
			if network.step(network.names[from], network.names[to]) {
				unchangedSteps = 0
			} else {
				unchangedSteps++
			}
		}
		for _, name := range network.names[1:] {
			route, ok := network.tables[name].Choose(&Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe})
			if !ok || route.Path[len(route.Path)-1] != "p0" || slices.Contains(route.Path, name) {
				t.Fatalf("%s uses the route %+v, want a loop-free one to p0", name, route.Route)
			}
		}
	})
}

// For any order of messages, rules only narrow along a path, no path contains a partner twice, and an owner whose rules have
// not changed rejects no request that a partner sends by its table.
func TestRulesOnlyNarrowAlongPath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"p0", "p1", "p2", "p3", "p4"}
		network := &partnerNetwork{clock: &clock{noon}, tables: map[string]*Table{}, names: names}
		rules := map[ID]Rules{}
		for _, self := range names {
			var others []string
			for _, n := range names {
				if n != self && rapid.IntRange(0, 3).Draw(t, "knows") > 0 {
					others = append(others, n)
				}
			}
			policy := policyOf(self, nil, others...)
			for i := range rapid.IntRange(0, 2).Draw(t, "exports") {
				adv := newAdvertisement(self, fmt.Sprint("x", i), fmt.Sprintf("/view/%s%d/", self, i))
				adv.Rules = Rules{AnyPartner: rapid.Bool().Draw(t, "all"), Partners: rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID).Draw(t, "to"),
					NoTransit: rapid.Bool().Draw(t, "no transit"), MaxHops: rapid.IntRange(1, 4).Draw(t, "hands"), Effects: AllEffects}
				rules[ID{self, adv.ID.Name}] = adv.Rules
				policy.Own = append(policy.Own, adv)
			}
			network.tables[self] = NewTable(policy, network.clock.now)
		}
		for range 120 {
			from := rapid.IntRange(0, 4).Draw(t, "from")
			network.step(names[from], names[(from+1+rapid.IntRange(0, 3).Draw(t, "to"))%5])
		}
		for _, self := range names {
			for id, d := range network.tables[self].locRIB {
				if d.best == nil || d.best.Own {
					continue
				}
				best := d.best
				ownerRules := rules[id]
				if len(best.Path) > ownerRules.MaxHops || len(best.Path) > 1 && ownerRules.NoTransit || !ownerRules.AnyPartner && !slices.Contains(ownerRules.Partners, self) || slices.Contains(best.Path, self) {
					t.Fatalf("%s has route %+v, which the owner's rules %+v do not allow", self, best.Advertisement, ownerRules)
				}
				// Forward a request from table to table while each still has the route that it advertised.
				request := &Request{Class: "view", Path: best.Prefix + "1", Effect: balancer.Safe}
				at, route := self, Selection{best, d}
				for !route.Own {
					request.Via = append(request.Via, at)
					at = route.Path[0]
					if len(request.Via) > 8 {
						t.Fatalf("the request loops: %v", request.Via)
					}
					next, reason := network.tables[at].AdmitForwarded(id, request)
					if reason != "" {
						if next.Route != nil && next.Own {
							t.Fatalf("the owner rejects a request by way of %v: %s, rules %+v", request.Via, reason, ownerRules)
						}
						break // the tables have not converged
					}
					route = next
				}
			}
		}
	})
}
