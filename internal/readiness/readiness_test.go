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
	for _, c := range []struct {
		name string
		run  func(*Tracker)
		at   time.Duration
		want State
	}{
		{"nothing asked", func(*Tracker) {}, time.Hour, State{Ready: true}},
		{"just sent away", func(d *Tracker) { d.Quiesce(0) }, CloseIdleAfter - 1, State{}},
		{"parting", func(d *Tracker) { d.Quiesce(0) }, CloseIdleAfter, State{CloseConnections: true}},
		{"sent away twice counts from the first", func(d *Tracker) { d.Quiesce(0); d.Quiesce(CloseIdleAfter - ms) }, CloseIdleAfter, State{CloseConnections: true}},
		{"taken again", func(d *Tracker) { d.Quiesce(0); d.Resume() }, CloseIdleAfter, State{Ready: true}},
		{"and sent away anew", func(d *Tracker) { d.Quiesce(0); d.Resume(); d.Quiesce(CloseIdleAfter) }, CloseIdleAfter + ms, State{}},
		{"ended while sent away", func(d *Tracker) { d.Quiesce(0); d.End() }, CloseIdleAfter, State{CloseConnections: true}},
		{"sent away while ending", func(d *Tracker) { d.End(); d.Quiesce(0) }, ms, State{}},
	} {
		d := &Tracker{}
		if c.run(d); d.At(c.at) != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, d.At(c.at), c.want)
		}
	}
}

// Whatever is called in whatever order: an ending node is never ready again, and one that parts with its clients
// is not ready.
func TestTrackerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, ended, now := &Tracker{}, false, time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "later"))
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				d.Quiesce(now)
			case 1:
				if err := d.Resume(); errors.Is(err, ErrShuttingDown) != ended {
					t.Fatalf("resume: %v, ended %v", err, ended)
				}
			case 2:
				d.End()
				ended = true
			}
			if s := d.At(now); s.Ready && (ended || s.CloseConnections) {
				t.Fatalf("%+v, ended %v", s, ended)
			}
		}
	})
}
