package swim

import (
	"testing"
	"time"

	"damsontrestle/internal/membership"
	"damsontrestle/internal/modelcheck"
	"damsontrestle/internal/modelcheck/modelchecktest"
	"damsontrestle/internal/simulation"
)

func start(t testing.TB, b Bounds) modelcheck.State {
	s, err := New(b)
	return modelchecktest.RequireStart(t, s, err)
}

// All orders of two nodes' first periods with a loss and a crash.
func TestSearchOfTwoNodesFindsNoBreach(t *testing.T) {
	modelchecktest.RequireSearchPasses(t, start(t, SmallBounds()), 3000)
}

// Random histories of four nodes with losses, doubles, crashes, leaves, stops and clocks apart: in the end all that run
// hold one another for alive, and nobody else.
func TestRandomWalksOfFourNodesFindNoBreach(t *testing.T) {
	b := Bounds{Nodes: 4, Ticks: 60, Drops: 25, Duplicates: 10, Crashes: 3, Leaves: 1, Stops: 3, MaxClockSkew: 5 * time.Second,
		Options: membership.Defaults(), MaxInFlight: 40}
	modelchecktest.RequireWalksPass(t, start(t, b), 40, 250)
}

// Each way to break a promise that can be planted is found by the same walks. Some take many; their test begins near the
// first that does.
func TestInjectedDefectsAreFound(t *testing.T) {
	first := map[string]uint64{"raises others": 18, "not answered": 23, "answers mixed up": 17}
	for _, d := range Defects {
		t.Run(d, func(t *testing.T) {
			b := Bounds{Nodes: 3, Ticks: 60, Drops: 30, Crashes: 1, Leaves: 1, Stops: 1, Options: membership.Defaults(), MaxInFlight: 20, MaxClockSkew: time.Hour, Defect: d}
			modelchecktest.RequireBreachFound(t, start(t, b), first[d], 20, 300)
		})
	}
}

// Fleets on virtual time: who lives and who is dead is known to all, and nobody who lives is held for dead.
func TestSimulatedFleetsDetectDeaths(t *testing.T) {
	base := simulation.World{Nodes: 30, Zones: 3, Delay: 10 * time.Millisecond, Duration: 40 * time.Second, Seed: 1}
	for _, c := range []struct {
		name   string
		change func(*simulation.World)
	}{
		{"quiet", func(*simulation.World) {}},
		{"one in ten lost, a tenth asleep", func(w *simulation.World) { w.Loss, w.SleepShare, w.SleepTime = 0.1, 0.1, 3*time.Second }},
		{"half die", func(w *simulation.World) { w.DeathShare, w.Duration = 0.5, 60*time.Second }},
		{"a zone cut off and back", func(w *simulation.World) {
			w.CutFrom, w.CutTo, w.Duration = 10*time.Second, 50*time.Second, 70*time.Second
		}},
		{"a zone not heard", func(w *simulation.World) { w.CutFrom, w.CutTo, w.OneWay = 10*time.Second, 20*time.Second, true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := base
			c.change(&w)
			s, err := Play(w, membership.Defaults())
			if err != nil {
				t.Fatal(err)
			}
			if s.Joined95 < 0 || s.Joined95 > 10*time.Second || s.FalseDeaths > 0 || s.MaxByteRate > 20e3 {
				t.Errorf("%+v", s)
			}
			if w.DeathShare > 0 && (s.DeadAll < 0 || s.DeadAll > 30*time.Second) {
				t.Errorf("not all knew of the dead: %+v", s)
			}
			if w.CutTo > 0 && (s.RejoinedAll < 0 || !w.OneWay && s.Partitioned95 < 0) {
				t.Errorf("a cut and its end: %+v", s)
			}
		})
	}
}

func BenchmarkSearch(b *testing.B) {
	for b.Loop() {
		r, breach := modelcheck.Search(start(b, SmallBounds()), 2000, 0)
		if breach != nil {
			b.Fatal(breach)
		}
		b.ReportMetric(float64(r.States), "states")
	}
}
