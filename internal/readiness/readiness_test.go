package readiness

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"
)

// Given an operator's requests and the node's end in this order, the node says and does this.
func TestTrackerTransitions(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name string
		run  func(*Tracker)
		at   time.Duration
		want State
	}{
		{"nothing asked", func(*Tracker) {}, time.Hour, State{Ready: true}},
		{"just sent away", func(tracker *Tracker) { tracker.Quiesce(0) }, CloseIdleAfter - 1, State{}},
		{"parting", func(tracker *Tracker) { tracker.Quiesce(0) }, CloseIdleAfter, State{CloseConnections: true}},
		{"sent away twice counts from the first", func(tracker *Tracker) { tracker.Quiesce(0); tracker.Quiesce(CloseIdleAfter - ms) }, CloseIdleAfter, State{CloseConnections: true}},
		{"taken again", func(tracker *Tracker) { tracker.Quiesce(0); tracker.Resume() }, CloseIdleAfter, State{Ready: true}},
		{"and sent away anew", func(tracker *Tracker) { tracker.Quiesce(0); tracker.Resume(); tracker.Quiesce(CloseIdleAfter) }, CloseIdleAfter + ms, State{}},
		{"ended while sent away", func(tracker *Tracker) { tracker.Quiesce(0); tracker.Shutdown() }, CloseIdleAfter, State{CloseConnections: true}},
		{"sent away while ending", func(tracker *Tracker) { tracker.Shutdown(); tracker.Quiesce(0) }, ms, State{}},
	} {
		tracker := &Tracker{}
		if test.run(tracker); tracker.StateAt(test.at) != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, tracker.StateAt(test.at), test.want)
		}
	}
}

// Whatever is called in whatever order: an ending node is never ready again, and one that parts with its clients
// is not ready.
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
					t.Fatalf("resume: %v, ended %v", err, ended)
				}
			case 2:
				tracker.Shutdown()
				ended = true
			}
			if state := tracker.StateAt(now); state.Ready && (ended || state.CloseConnections) {
				t.Fatalf("%+v, ended %v", state, ended)
			}
		}
	})
}
