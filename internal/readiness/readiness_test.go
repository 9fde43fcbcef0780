package readiness

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"
)

// Each sequence of operator commands and shutdown results in the given state.
func TestTrackerTransitions(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name string
		run  func(*Tracker)
		at   time.Duration
		want State
	}{
		{"no command", func(*Tracker) {}, time.Hour, State{Ready: true}},
		{"before CloseIdleAfter", func(tracker *Tracker) { tracker.Quiesce(0) }, CloseIdleAfter - 1, State{}},
		{"after CloseIdleAfter", func(tracker *Tracker) { tracker.Quiesce(0) }, CloseIdleAfter, State{CloseConnections: true}},
		{"second Quiesce does not restart the delay", func(tracker *Tracker) { tracker.Quiesce(0); tracker.Quiesce(CloseIdleAfter - ms) }, CloseIdleAfter, State{CloseConnections: true}},
		{"resumed", func(tracker *Tracker) { tracker.Quiesce(0); tracker.Resume() }, CloseIdleAfter, State{Ready: true}},
		{"Quiesce after Resume restarts the delay", func(tracker *Tracker) { tracker.Quiesce(0); tracker.Resume(); tracker.Quiesce(CloseIdleAfter) }, CloseIdleAfter + ms, State{}},
		{"Shutdown after Quiesce", func(tracker *Tracker) { tracker.Quiesce(0); tracker.Shutdown() }, CloseIdleAfter, State{CloseConnections: true}},
		{"Quiesce after Shutdown", func(tracker *Tracker) { tracker.Shutdown(); tracker.Quiesce(0) }, ms, State{}},
	} {
		tracker := &Tracker{}
		if test.run(tracker); tracker.StateAt(test.at) != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, tracker.StateAt(test.at), test.want)
		}
	}
}

// For any sequence of calls, a node that is shutting down never becomes ready again, and a node that closes connections is
// not ready.
func TestTrackerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, ended, now := &Tracker{}, false, time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "later"))
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				tracker.Quiesce(now)
			case 1:
				if err := tracker.Resume(); errors.Is(err, ErrShuttingDown) != ended {
					t.Fatalf("Resume returned %v with shutdown %v", err, ended)
				}
			case 2:
				tracker.Shutdown()
				ended = true
			}
			if state := tracker.StateAt(now); state.Ready && (ended || state.CloseConnections) {
				t.Fatalf("got state %+v with shutdown %v", state, ended)
			}
		}
	})
}
