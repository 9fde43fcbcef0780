package exchange

import (
	"testing"
	"time"

	"damsontrestle/internal/modelcheck"
	"damsontrestle/internal/modelcheck/modelchecktest"
	"damsontrestle/internal/simulation"
)

func start(t testing.TB, b Bounds) modelcheck.State {
	s, err := New(b)
	return modelchecktest.RequireStart(t, s, err)
}

// All orders of two nodes' first steps with a loss, a crash, a restart and a long wait.
func TestSearchOfTwoNodesFindsNoBreach(t *testing.T) {
	modelchecktest.RequireSearchPasses(t, start(t, SmallBounds()), 1000)
}

// histories are larger fleets for random ones.
func randomWalkBounds(defect string) Bounds {
	return Bounds{Zones: []int{0, 0, 0, 1, 1}, Ticks: 400, Drops: 60, Duplicates: 30, Crashes: 3, Waits: 4, WaitTime: 900 * time.Millisecond,
		MaxInFlight: 40, Fresh: 2 * time.Second, Defect: defect}
}

func TestRandomWalksOfFiveNodesFindNoBreach(t *testing.T) {
	modelchecktest.RequireWalksPass(t, start(t, randomWalkBounds("")), 4, 300)
}

// Each way to break a promise that can be planted is found by the same walks.
func TestInjectedDefectsAreFound(t *testing.T) {
	for _, d := range Defects {
		t.Run(d, func(t *testing.T) {
			b := randomWalkBounds(d)
			b.Zones, b.MaxInFlight = []int{0, 0, 1}, 12
			modelchecktest.RequireBreachFound(t, start(t, b), 0, 25, 100)
		})
	}
}

// Fleets on virtual time: whatever is lost, late, asleep, cut off or dead, no age is under-reported (Play tells), and what is
// promised where little is lost holds.
func TestSimulatedFleetsStayFresh(t *testing.T) {
	base := World{simulation.World{Nodes: 40, Zones: 3, Delay: 10 * time.Millisecond, Duration: 14 * time.Second, Seed: 1}, 2 * time.Second}
	for _, c := range []struct {
		name           string
		change         func(*World)
		fresh, counted float64 // at least
	}{
		{"quiet", func(*World) {}, 1, 1},
		{"one in ten lost", func(w *World) { w.Loss = 0.1 }, 0.99, 0.9},
		{"three in ten lost", func(w *World) { w.Loss = 0.3 }, 0.8, 0.5},
		{"some very late", func(w *World) { w.TailShare = 0.02 }, 0.99, 0.8},
		{"a tenth asleep", func(w *World) { w.SleepShare, w.SleepTime = 0.1, 3*time.Second }, 0.95, 0.7},
		{"a third dies", func(w *World) { w.DeathShare = 0.3 }, 0.8, 0.8},
		{"a zone cut off and back", func(w *World) { w.CutFrom, w.CutTo = 5*time.Second, 10*time.Second }, 0.7, 1},
		{"a zone not heard", func(w *World) { w.CutFrom, w.CutTo, w.OneWay = 5*time.Second, 10*time.Second, true }, 0.8, 1},
		{"a zone of one and one of many", func(w *World) { w.FirstZoneNodes = 38 }, 1, 1},
		{"many zones", func(w *World) { w.Zones, w.Duration = 20, 8*time.Second }, 0.99, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := base
			c.change(&w)
			s, err := Play(w)
			if err != nil {
				t.Fatal(err)
			}
			if s.FreshShare < c.fresh || s.CountedShare < c.counted || s.MaxAge > w.Fresh {
				t.Errorf("%+v", s)
			}
			if w.CutTo > 0 && (s.RecoveryTime < 0 || s.RecoveryTime > w.Fresh) {
				t.Errorf("after the cut all is fresh after %v", s.RecoveryTime)
			}
		})
	}
	if _, err := Play(World{}); err == nil {
		t.Error("a world without zones was played")
	}
}
