// Package modelchecktest is what tests of systems that are explored have in common.
package modelchecktest

import (
	"testing"

	"damsontrestle/internal/modelcheck"
)

// Start is the start of a system; an error ends the test.
func RequireStart(t testing.TB, s modelcheck.State, err error) modelcheck.State {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Orders tries all orders up to a number of states; a breach ends the test.
func RequireSearchPasses(t *testing.T, start modelcheck.State, maxStates int) {
	t.Helper()
	r, breach := modelcheck.Search(start, maxStates, 50)
	if breach != nil {
		t.Fatal(breach)
	}
	if t.Logf("%+v", r); r.States < maxStates && !r.Complete {
		t.Errorf("%+v", r)
	}
}

// Holds makes walks, none of which may meet a breach.
func RequireWalksPass(t *testing.T, start modelcheck.State, walks, steps int) {
	t.Helper()
	if seed, breach := modelcheck.Walks(start, 0, walks, steps); breach != nil {
		t.Fatalf("seed %d: %v", seed, modelcheck.Shorten(start, breach))
	}
}

// Found makes walks from a seed on, one of which must meet a breach.
func RequireBreachFound(t *testing.T, start modelcheck.State, first uint64, walks, steps int) {
	t.Helper()
	seed, breach := modelcheck.Walks(start, first, walks, steps)
	if breach == nil {
		t.Fatalf("%d walks did not find it", walks)
	}
	t.Logf("seed %d, %d moves: %v", seed, len(breach.Script), breach.Err)
}
