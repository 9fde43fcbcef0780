// Package modelchecktest provides helpers for tests that model-check a system.
package modelchecktest

import (
	"testing"

	"damsontrestle/internal/modelcheck"
)

// RequireStart returns the start state s, or fails the test at once if err is not nil.
func RequireStart(t testing.TB, s modelcheck.State, err error) modelcheck.State {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// RequireSearchPasses searches up to maxStates states and fails the test on a breach.
func RequireSearchPasses(t *testing.T, start modelcheck.State, maxStates int) {
	t.Helper()
	r, breach := modelcheck.Search(start, maxStates, 50)
	if breach != nil {
		t.Fatal(breach)
	}
	if t.Logf("search: %+v", r); r.States < maxStates && !r.Complete {
		t.Errorf("search ended early: %+v", r)
	}
}

// RequireWalksPass makes random walks from seed 0 on and fails the test on a breach.
func RequireWalksPass(t *testing.T, start modelcheck.State, walks, steps int) {
	t.Helper()
	if seed, breach := modelcheck.Walks(start, 0, walks, steps); breach != nil {
		t.Fatalf("seed %d: %v", seed, modelcheck.Shorten(start, breach))
	}
}

// RequireBreachFound makes random walks, counting seeds up from first, and fails the test if none finds a breach.
func RequireBreachFound(t *testing.T, start modelcheck.State, first uint64, walks, steps int) {
	t.Helper()
	seed, breach := modelcheck.Walks(start, first, walks, steps)
	if breach == nil {
		t.Fatalf("%d walks found no breach", walks)
	}
	t.Logf("seed %d, %d moves: %v", seed, len(breach.Script), breach.Err)
}
