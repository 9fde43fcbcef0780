package virtual

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
)

// Minimum fractions of requests served in time under overload, relative to the fraction that the servers could serve without
// any lost capacity.
const (
	totalFloor    = 0.85
	classFloor    = 0.6
	thirdFloor    = 0.5
	maxUnanswered = 0.002 // of all requests
)

// findShortfalls plays an experiment and returns where it is below its floors.
func findShortfalls(t *testing.T, e *experiment.Experiment, policy experiment.Policy) (found []string) {
	t.Helper()
	played, metrics, err := Play(e, policy, nil)
	if err != nil {
		t.Fatal(err)
	}
	possible := 1 / e.Clients.Utilisation
	if metrics.InAim < totalFloor*possible {
		found = append(found, fmt.Sprintf("all: %.3f served in time, want %.3f", metrics.InAim, totalFloor*possible))
	}
	check := func(what string, from, to time.Duration, floor float64) {
		for i, got := range played.ByClass(from, to, len(e.Classes)) {
			found = append(found, belowFloor(what+", "+e.Classes[i].Name, got, floor*possible)...)
		}
	}
	check("whole run", e.WarmUp, e.TotalDuration(), classFloor)
	const thirds = 3
	length := (e.TotalDuration() - e.WarmUp) / thirds
	for i := range thirds {
		from := e.WarmUp + time.Duration(i)*length
		check(fmt.Sprint("third ", i+1), from, from+length, thirdFloor)
	}
	return found
}

// belowFloor returns in which respects a class is below its floor.
func belowFloor(what string, got audit.ClassMetrics, floor float64) (found []string) {
	if got.InAim < floor {
		found = append(found, fmt.Sprintf("%s: %.3f of %d served in time, want %.3f", what, got.InAim, got.Calls, floor))
	}
	if got.Unanswered > maxUnanswered {
		found = append(found, fmt.Sprintf("%s: %.4f of %d received no response", what, got.Unanswered, got.Calls))
	}
	return found
}

// At 1.4 times the capacity of the servers, each class stays above its floor in each third of the run, and all requests
// receive a response. A policy that rejects no requests serves hardly any in time at this load.
func TestServiceFloorsUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		e := load(t, "overload")
		e.Seed = seed + 1
		for _, found := range findShortfalls(t, e, experiment.Program) {
			t.Errorf("seed %d: %s", e.Seed, found)
		}
	}
	if len(findShortfalls(t, load(t, "overload"), experiment.JSQ)) == 0 {
		t.Error("the floors hold without admission control, so they cannot detect its failure")
	}
}

// delayedStateFraction is the floor of each group, relative to what DelayedState serves of it.
const delayedStateFraction = 1.0 / 3

// mixedClasses returns classes of each effect, some with a low priority weight.
func mixedClasses() []experiment.Class {
	class := func(name, effect string, share, weight float64) experiment.Class {
		return experiment.Class{Name: name, Effect: effect, LatencyObjective: time.Second, Deadline: 3 * time.Second, Share: share, PriorityWeight: weight}
	}
	return []experiment.Class{class("view", "safe", 0.3, 12), class("list", "safe", 0.15, 1), class("note", "unsafe", 0.15, 4),
		class("log", "unsafe", 0.1, 1), class("pay", "unsafe", 0.2, 6), class("mark", "unsafe", 0.1, 1)}
}

// keyedClasses are idempotent by key, which an experiment file cannot configure.
var keyedClasses = []string{"note", "log"}

func setKeyedClasses(s *balancer.Settings) {
	for i := range s.Classes {
		if slices.Contains(keyedClasses, s.Classes[i].Name) {
			s.Classes[i].Effect, s.Classes[i].Scope, s.Classes[i].Window = balancer.Keyed, balancer.ScopeAll, time.Second
		}
	}
}

// Tenants of requests are derived from class and node; the balancer is not aware of them. The loud tenant sends from two
// nodes, each with eight times the request rate of the others.
const loudNodes = 2

func tenantOf(classes []experiment.Class, c audit.Request) string {
	switch {
	case c.Node < loudNodes:
		return "loud"
	case classes[c.Class].PriorityWeight == 1:
		return "low priority"
	case c.Node%2 == 0:
		return "mixed"
	}
	return "high priority"
}

// groupsOf returns the groupings of requests. Each group has a floor.
func groupsOf(e *experiment.Experiment) map[string]func(audit.Request) string {
	effect := func(c audit.Request) string {
		if slices.Contains(keyedClasses, e.Classes[c.Class].Name) {
			return "keyed"
		}
		return e.Classes[c.Class].Effect
	}
	return map[string]func(audit.Request) string{
		"class":  func(c audit.Request) string { return e.Classes[c.Class].Name },
		"effect": effect,
		"tenant": func(c audit.Request) string { return tenantOf(e.Classes, c) },
	}
}

// belowDelayedState plays an experiment with a policy and with DelayedState, and returns the groups that are served less
// than their floor relative to DelayedState.
func belowDelayedState(t *testing.T, e *experiment.Experiment, policy experiment.Policy) (found []string) {
	t.Helper()
	played, _, err := Play(e, policy, setKeyedClasses)
	if err != nil {
		t.Fatal(err)
	}
	delayed, _, err := Play(e, DelayedState, nil)
	if err != nil {
		t.Fatal(err)
	}
	for by, group := range groupsOf(e) {
		got := played.ByGroup(e.WarmUp, e.TotalDuration(), group)
		for name, want := range delayed.ByGroup(e.WarmUp, e.TotalDuration(), group) {
			t.Logf("%s, %s %s: %.3f of %d served in time, DelayedState %.3f", policy, by, name, got[name].InAim, got[name].Calls, want.InAim)
			if want.InAim < 0.1 {
				t.Errorf("%s %s: DelayedState serves %.3f, too little for a meaningful floor", by, name, want.InAim)
			}
			found = append(found, belowFloor(by+" "+name, got[name], delayedStateFraction*want.InAim)...)
		}
	}
	return found
}

// Under overload, or with a quarter of the servers hung, failing, lost or slow, each class, each effect and each tenant gets
// at least a third of the service of a policy that sees the actual state with a delay. A policy that rejects no requests is
// below these floors.
func TestServiceFloorsByClassEffectAndTenant(t *testing.T) {
	const from, to = 7 * time.Second, 12 * time.Second
	for _, c := range []struct {
		name        string
		utilisation float64
		faults      []experiment.Fault
	}{
		{"overload", 1.4, nil},
		{"hang", 0.7, []experiment.Fault{{Kind: experiment.Hang, From: from, To: to, Fraction: 0.25}}},
		{"errors", 0.7, []experiment.Fault{{Kind: experiment.Errors, From: from, To: to, Fraction: 0.25}}},
		{"lose", 0.7, []experiment.Fault{{Kind: experiment.MachineLoss, From: from, To: to, Fraction: 0.25}}},
		{"drag", 0.7, []experiment.Fault{{Kind: experiment.Slowdown, From: from, To: to, Fraction: 0.25, Factor: 5}}},
		{"overload and hang", 1.2, []experiment.Fault{{Kind: experiment.Hang, From: from, To: to, Fraction: 0.25}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := load(t, "overload")
			e.Classes, e.Clients.Utilisation, e.Faults = mixedClasses(), c.utilisation, c.faults
			e.Measure, e.Nodes[0].Count, e.Servers[0].Count = 10*time.Second, e.Nodes[0].Count/2, e.Servers[0].Count/2
			rest := e.Nodes[0]
			loud := rest
			loud.Name, loud.Count, loud.RateFactor = "loud", loudNodes, 8
			rest.Count -= loudNodes
			e.Nodes = []experiment.Nodes{loud, rest}
			for _, found := range belowDelayedState(t, e, experiment.Program) {
				t.Error(found)
			}
			if c.utilisation > 1.3 && len(belowDelayedState(t, e, experiment.JSQ)) == 0 {
				t.Error("the floors hold without admission control, so they cannot detect its failure")
			}
		})
	}
}
