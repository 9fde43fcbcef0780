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

// Searches the interleavings of two nodes' first steps with a loss, a crash, a restart and a long wait.
func TestSearchOfTwoNodesFindsNoBreach(t *testing.T) {
	modelchecktest.RequireSearchPasses(t, start(t, SmallBounds()), 1000)
}

// randomWalkBounds returns bounds of a larger fleet, for random walks.
func randomWalkBounds(defect string) Bounds {
	return Bounds{Zones: []int{0, 0, 0, 1, 1}, Ticks: 400, Drops: 60, Duplicates: 30, Crashes: 3, Waits: 4, WaitTime: 900 * time.Millisecond,
		MaxInFlight: 40, Fresh: 2 * time.Second, Defect: defect}
}

func TestRandomWalksOfFiveNodesFindNoBreach(t *testing.T) {
	modelchecktest.RequireWalksPass(t, start(t, randomWalkBounds("")), 4, 300)
}

// Random walks within such bounds, with a smaller fleet, find each defect that can be injected.
func TestInjectedDefectsAreFound(t *testing.T) {
	for _, d := range Defects {
		t.Run(d, func(t *testing.T) {
			b := randomWalkBounds(d)
			b.Zones, b.MaxInFlight = []int{0, 0, 1}, 12
			modelchecktest.RequireBreachFound(t, start(t, b), 0, 25, 100)
		})
	}
}

// Simulates fleets on virtual time with losses, delays, pauses, partitions and deaths. No age may be under-reported (Play returns
// an error), and the shares of fresh reads and of counted nodes must reach the bounds of each case.
func TestSimulatedFleetsStayFresh(t *testing.T) {
	base := World{simulation.World{Nodes: 40, Zones: 3, Delay: 10 * time.Millisecond, Duration: 14 * time.Second, Seed: 1}, 2 * time.Second}
	for _, c := range []struct {
		name           string
		change         func(*World)
		fresh, counted float64 // at least
	}{
		{"no faults", func(*World) {}, 1, 1},
		{"10 percent loss", func(w *World) { w.Loss = 0.1 }, 0.99, 0.9},
		{"30 percent loss", func(w *World) { w.Loss = 0.3 }, 0.8, 0.5},
		{"2 percent of datagrams very late", func(w *World) { w.TailShare = 0.02 }, 0.99, 0.8},
		{"10 percent of nodes paused", func(w *World) { w.SleepShare, w.SleepTime = 0.1, 3*time.Second }, 0.95, 0.7},
		{"30 percent of nodes die", func(w *World) { w.DeathShare = 0.3 }, 0.8, 0.8},
		{"partition of a zone that heals", func(w *World) { w.CutFrom, w.CutTo = 5*time.Second, 10*time.Second }, 0.7, 1},
		{"one-way partition of a zone", func(w *World) { w.CutFrom, w.CutTo, w.OneWay = 5*time.Second, 10*time.Second, true }, 0.8, 1},
		{"zones of very different sizes", func(w *World) { w.FirstZoneNodes = 38 }, 1, 1},
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
				t.Errorf("result is out of bounds: %+v", s)
			}
			if w.CutTo > 0 && (s.RecoveryTime < 0 || s.RecoveryTime > w.Fresh) {
				t.Errorf("recovery time after the partition is out of bounds: %v", s.RecoveryTime)
			}
		})
	}
	if _, err := Play(World{}); err == nil {
		t.Error("Play accepted a world without zones")
	}
}
