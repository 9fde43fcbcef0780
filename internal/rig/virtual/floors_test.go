package virtual

import (
	"fmt"
	"testing"
	"time"

	"woodpick/internal/rig/audit"
	"woodpick/internal/rig/experiment"
)

// Floors of service under overload, against the share of calls that the servers could serve if none of their time were lost.
const (
	floorOfAll     = 0.85
	floorOfClass   = 0.6
	floorOfThird   = 0.5
	mostUnanswered = 0.002 // of all calls
)

// shortfalls plays an experiment and tells where it is under its floors.
func shortfalls(t *testing.T, e *experiment.Experiment, policy experiment.Policy) (found []string) {
	t.Helper()
	played, figures, err := Play(e, policy, nil)
	if err != nil {
		t.Fatal(err)
	}
	possible := 1 / e.Callers.Utilisation
	if figures.InAim < floorOfAll*possible {
		found = append(found, fmt.Sprintf("all: %.3f served in time, want %.3f", figures.InAim, floorOfAll*possible))
	}
	check := func(what string, from, to time.Duration, floor float64) {
		for i, got := range played.ByClass(from, to, len(e.Classes)) {
			found = append(found, underFloor(what+", "+e.Classes[i].Name, got, floor*possible)...)
		}
	}
	check("the whole", e.WarmUp, e.Length(), floorOfClass)
	const thirds = 3
	length := (e.Length() - e.WarmUp) / thirds
	for i := range thirds {
		from := e.WarmUp + time.Duration(i)*length
		check(fmt.Sprint("third ", i+1), from, from+length, floorOfThird)
	}
	return found
}

// underFloor tells in what a class is served too little.
func underFloor(what string, got audit.ClassFigures, floor float64) (found []string) {
	if got.InAim < floor {
		found = append(found, fmt.Sprintf("%s: %.3f of %d served in time, want %.3f", what, got.InAim, got.Calls, floor))
	}
	if got.Unanswered > mostUnanswered {
		found = append(found, fmt.Sprintf("%s: %.4f of %d heard nothing", what, got.Unanswered, got.Calls))
	}
	return found
}

// At 1.4 times what the servers can do, no class and no third of the day falls under its floor, and nobody is left without an
// answer. Who turns nobody away serves hardly anybody in time there.
func TestFloorsOfServiceHoldUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		e := load(t, "overload")
		e.Seed = seed + 1
		for _, found := range shortfalls(t, e, experiment.Program) {
			t.Errorf("seed %d: %s", e.Seed, found)
		}
	}
	if len(shortfalls(t, load(t, "overload"), experiment.JSQ)) == 0 {
		t.Error("the floors hold without any admission: they tell nothing")
	}
}
