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

// Searches the interleavings of two nodes' first periods with a loss and a crash.
func TestSearchOfTwoNodesFindsNoBreach(t *testing.T) {
	modelchecktest.RequireSearchPasses(t, start(t, SmallBounds()), 3000)
}

// Random walks of four nodes with losses, duplicates, crashes, leaves, pauses and clock skew: in the end the running nodes see
// one another, and no other node, as alive.
func TestRandomWalksOfFourNodesFindNoBreach(t *testing.T) {
	b := Bounds{Nodes: 4, Ticks: 60, Drops: 25, Duplicates: 10, Crashes: 3, Leaves: 1, Stops: 3, MaxClockSkew: 5 * time.Second,
		Options: membership.Defaults(), MaxInFlight: 40}
	modelchecktest.RequireWalksPass(t, start(t, b), 40, 250)
}

// Random walks find each defect that can be injected. Some defects take many walks; their subtest starts near the first seed
// that finds them.
func TestInjectedDefectsAreFound(t *testing.T) {
	first := map[string]uint64{"incarnations of others raised": 18, "probes not acknowledged": 23, "wrong sequence number in acknowledgments": 17}
	for _, d := range Defects {
		t.Run(d, func(t *testing.T) {
			b := Bounds{Nodes: 3, Ticks: 60, Drops: 30, Crashes: 1, Leaves: 1, Stops: 1, Options: membership.Defaults(), MaxInFlight: 20, MaxClockSkew: time.Hour, Defect: d}
			modelchecktest.RequireBreachFound(t, start(t, b), first[d], 20, 300)
		})
	}
}

// Simulates fleets on virtual time: every live node learns which nodes are alive and which are dead, and no live node is declared
// dead.
func TestSimulatedFleetsDetectDeaths(t *testing.T) {
	base := simulation.World{Nodes: 30, Zones: 3, Delay: 10 * time.Millisecond, Duration: 40 * time.Second, Seed: 1}
	for _, c := range []struct {
		name   string
		change func(*simulation.World)
	}{
		{"no faults", func(*simulation.World) {}},
		{"10 percent loss, 10 percent of nodes paused", func(w *simulation.World) { w.Loss, w.SleepShare, w.SleepTime = 0.1, 0.1, 3*time.Second }},
		{"half of the nodes die", func(w *simulation.World) { w.DeathShare, w.Duration = 0.5, 60*time.Second }},
		{"partition of a zone that heals", func(w *simulation.World) {
			w.CutFrom, w.CutTo, w.Duration = 10*time.Second, 50*time.Second, 70*time.Second
		}},
		{"one-way partition of a zone", func(w *simulation.World) { w.CutFrom, w.CutTo, w.OneWay = 10*time.Second, 20*time.Second, true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := base
			c.change(&w)
			s, err := Play(w, membership.Defaults())
			if err != nil {
				t.Fatal(err)
			}
			if s.Joined95 < 0 || s.Joined95 > 10*time.Second || s.FalseDeaths > 0 || s.MaxByteRate > 20e3 {
				t.Errorf("joining, false deaths or traffic out of bounds: %+v", s)
			}
			if w.DeathShare > 0 && (s.DeadAll < 0 || s.DeadAll > 30*time.Second) {
				t.Errorf("deaths were not detected by all nodes in time: %+v", s)
			}
			if w.CutTo > 0 && (s.RejoinedAll < 0 || !w.OneWay && s.Partitioned95 < 0) {
				t.Errorf("partition or its end was not detected: %+v", s)
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
