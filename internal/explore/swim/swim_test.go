package swim

import (
	"strings"
	"testing"
	"time"

	"woodpick/internal/explore"
	"woodpick/internal/members"
)

func start(t testing.TB, b Bounds) explore.State {
	t.Helper()
	s, err := New(b)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// All orders of two nodes' first periods with a loss and a crash.
func TestEveryOrderOfTwoNodes(t *testing.T) {
	most := 6000
	if testing.Short() {
		most = 1000
	}
	r, breach := explore.Search(start(t, Small()), most, 50)
	if breach != nil {
		t.Fatal(breach)
	}
	t.Logf("%+v", r)
	if r.States < most && !r.Whole {
		t.Errorf("%+v", r)
	}
}

// Random histories of four nodes with losses, doubles, crashes, leaves, stops and clocks apart: in the end all that run
// hold one another for alive, and nobody else.
func TestRandomHistoriesOfFourNodes(t *testing.T) {
	b := Bounds{Nodes: 4, Ticks: 60, Drops: 25, Doubles: 10, Crashes: 3, Leaves: 1, Stops: 3, Skew: 5 * time.Second,
		Options: members.Defaults(), MostFlying: 40}
	for seed := range uint64(40) {
		if _, breach := explore.Walk(start(t, b), seed, 250); breach != nil {
			t.Fatalf("seed %d: %v", seed, breach)
		}
	}
}

// A node that raises another's life is found, by a short script.
func TestAPlantedDefectIsFound(t *testing.T) {
	b := Bounds{Nodes: 3, Ticks: 60, Drops: 30, Options: members.Defaults(), MostFlying: 20, Skew: time.Hour, Defect: "raises others"}
	for seed := range uint64(40) {
		if _, breach := explore.Walk(start(t, b), seed, 300); breach != nil {
			if !strings.Contains(breach.Error(), "never was beyond") || len(breach.Script) > 60 {
				t.Errorf("%v", breach)
			}
			return
		}
	}
	t.Error("forty walks did not find it")
}

func BenchmarkSearch(b *testing.B) {
	for b.Loop() {
		r, breach := explore.Search(start(b, Small()), 2000, 0)
		if breach != nil {
			b.Fatal(breach)
		}
		b.ReportMetric(float64(r.States), "states")
	}
}
