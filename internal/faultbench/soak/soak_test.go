package soak

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"damsontrestle/internal/faultbench"
	"damsontrestle/internal/faultbench/child"
	"damsontrestle/internal/faultbench/experiment"
)

var program child.Builder

func TestMain(m *testing.M) { program.RunTests(m) }

// Guards against every breach of a rule under overlapping faults: each of these seeds once gave clients replies to other requests.
func TestRulesHoldUnderOverlappingFaults(t *testing.T) {
	path, err := program.Path()
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range []uint64{2, 3, 7, 9, 11} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			result, err := faultbench.Run(t.Context(), Generate(seed), faultbench.Options{Policy: experiment.Program, Binary: path})
			if err != nil {
				t.Fatal(err)
			}
			if result.Slow != "" {
				t.Log(result.Slow)
			}
			for _, breach := range result.Breaches {
				if result.Slow == "" || breach.Rule == "once" || breach.Rule == "crash" || strings.Contains(breach.Words, "wrong") {
					t.Errorf("%v; repeat with: faultbench soak -seed %d", breach, seed)
				}
			}
		})
	}
}

// A seed gives the same experiment each time, so that a run can be repeated, and every fault fits into its duration.
func TestSeedGivesSameExperiment(t *testing.T) {
	for seed := range uint64(100) {
		first := Generate(seed)
		if !reflect.DeepEqual(first, Generate(seed)) {
			t.Fatalf("seed %d gives different experiments", seed)
		}
		for _, fault := range first.Faults {
			if fault.From < 0 || fault.To > Duration || fault.To < fault.From+fault.OnsetSpread {
				t.Errorf("seed %d: %s lasts from %v to %v", seed, fault.Name, fault.From, fault.To)
			}
		}
	}
}
