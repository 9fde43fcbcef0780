package routeexchange

import (
	"testing"
	"time"

	"damsontrestle/internal/balancer"
)

// Versions of own exports rise while a gateway runs, even if an export is removed and added again while the wall clock steps
// back.
func TestVersionsRiseWhenWallClockStepsBack(t *testing.T) {
	for _, step := range []time.Duration{0, -5 * time.Second, -time.Hour, time.Hour} {
		c := &clock{noon}
		policy := policyOf("p0", nil, "p1")
		table := NewTable(policy, c.now)
		var last uint64
		for cost := range 3 {
			policy.Own = []Advertisement{newAdvertisement("p0", "x", "/view/x/")}
			policy.Own[0].Cost = cost
			table.SetPolicy(policy)
			sent, _ := table.AdjRIBOut("p1")
			if v := sent[ID{"p0", "x"}].Version; v <= last {
				t.Errorf("steps of %v: version %d follows %d, want a higher one", step, v, last)
			} else {
				last = v
			}
			policy.Own = nil
			table.SetPolicy(policy)
			c.at = c.at.Add(step)
		}
	}
}

// An export expires at a date by the wall clock of the gateway that checks it, also at its owner: a clock step past the date
// ends the export, and a step back restores it.
func TestExportExpiresByWallClock(t *testing.T) {
	c := &clock{noon}
	policy := policyOf("p0", nil, "p1")
	own := newAdvertisement("p0", "x", "/view/x/")
	own.Rules.Until = noon.Add(30 * time.Minute).Unix()
	policy.Own = []Advertisement{own}
	table := NewTable(policy, c.now)
	request := &Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe, Via: []string{"p1"}}
	for _, s := range []struct {
		step time.Duration
		ends bool
	}{{0, false}, {time.Hour, true}, {-time.Hour, false}, {30*time.Minute - time.Second, false}, {5 * time.Second, true}, {-5 * time.Second, false}} {
		c.at = c.at.Add(s.step)
		table.Sweep()
		sent, _ := table.AdjRIBOut("p1")
		if _, reason := table.AdmitForwarded(ID{"p0", "x"}, request); (reason != "") != s.ends || (len(sent) == 0) != s.ends {
			t.Errorf("after a step of %v to %v: rejected for %q, %d advertised; want expired: %v", s.step, c.at, reason, len(sent), s.ends)
		}
	}
}

// The rule of a restarted gateway is the newest of its partner, whether its clock is right, ahead, or was set back by 5 s or an
// hour. A rule that another gateway of the partner has applied since the restarted one ended is newer.
func TestRestartedGatewayHasNewestRule(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 0, time.Hour} {
		for _, overlap := range []bool{false, true} {
			c := &clock{noon}
			policyWithCost := func(cost int) Policy {
				p := policyOf("p1", nil, "p0")
				o := newAdvertisement("p1", "x", "/view/x/")
				o.Cost = cost
				p.Own = []Advertisement{o}
				return p
			}
			advertised := func(sender *Table) (all []Advertisement) {
				sent, _ := sender.AdjRIBOut("p0")
				for _, o := range sent {
					all = append(all, o)
				}
				return all
			}
			neighbour := NewTable(policyOf("p0", nil, "p1"), c.now)
			cost := func() int {
				sel, ok := neighbour.Choose(&Request{Class: "view", Path: "/view/x/1", Effect: balancer.Safe})
				if !ok {
					t.Fatal("no route")
				}
				return sel.Cost
			}
			a1, a2, b1 := Source{"p1", "a", 1}, Source{"p1", "a", 2}, Source{"p1", "b", 1}
			a, b := NewTable(policyWithCost(1), c.now), NewTable(policyWithCost(1), c.now)
			neighbour.replace(a1, advertised(a))
			neighbour.replace(b1, advertised(b))
			c.at = c.at.Add(time.Second)
			if !overlap {
				neighbour.PeerDown(a1)
			}
			stepped := &clock{c.at.Add(step)}
			a = NewTable(policyWithCost(2), stepped.now)
			neighbour.replace(a2, advertised(a))
			if got := cost(); got != 2 {
				t.Errorf("clock stepped by %v: the cost is %d, want 2, that of the restarted gateway's rule", step, got)
			}
			stepped.at = stepped.at.Add(time.Second)
			a.SetPolicy(policyWithCost(3))
			neighbour.update(a2, advertised(a), nil)
			if got := cost(); got != 3 {
				t.Errorf("clock stepped by %v: the cost is %d, want 3, that of its next rule", step, got)
			}
			neighbour.replace(a2, advertised(a))
			if got := cost(); got != 3 {
				t.Errorf("clock stepped by %v: the cost is %d after its complete table was resent, want 3", step, got)
			}
			if step > 0 {
				continue // its rules stay the newest until the other clocks reach its own
			}
			c.at = c.at.Add(5 * time.Second)
			neighbour.PeerDown(a2)
			c.at = c.at.Add(time.Second)
			a = NewTable(policyWithCost(3), c.now)
			c.at = c.at.Add(time.Second)
			b.SetPolicy(policyWithCost(4))
			neighbour.update(b1, advertised(b), nil)
			neighbour.replace(Source{"p1", "a", 3}, advertised(a))
			if got := cost(); got != 4 {
				t.Errorf("clock stepped by %v: the cost is %d, want 4, that of the rule that the other gateway has applied since", step, got)
			}
		}
	}
}
