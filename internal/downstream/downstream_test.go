package downstream

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damsontrestle/internal/clock"
)

// fakeConn is a connection that records the calls that end it.
type fakeConn struct {
	name          string
	started       bool
	aborted       bool
	sinceLastRead time.Duration
	calls         *[]string
}

func (f *fakeConn) CloseIdle() bool {
	if f.started {
		return false
	}
	*f.calls = append(*f.calls, f.name+" closed idle")
	return true
}

func (f *fakeConn) AbortRead()            { f.aborted = true; *f.calls = append(*f.calls, f.name+" read aborted") }
func (f *fakeConn) ReadAborted() bool     { return f.aborted }
func (f *fakeConn) RequestStarted() bool  { return f.started }
func (f *fakeConn) ResponsePending() bool { return f.started }

func (f *fakeConn) SinceLastRead() time.Duration { return f.sinceLastRead }
func (f *fakeConn) Abort() error                 { *f.calls = append(*f.calls, f.name+" aborted"); return nil }

func newTestSet(capacity int, serverConns int) *Set {
	s := New(clock.New(), Limits{Capacity: capacity, ServerMinimum: capacity / 4, Reserve: 100}, func() int { return serverConns })
	s.SetGracePeriods(GracePeriods{})
	return s
}

// Excess connections are closed in the order of their use to a good client: lingering, partial request, no request yet, idle.
// A connection with an open request is never closed.
func TestEvictionOrder(t *testing.T) {
	var calls []string
	set := newTestSet(100, 0)
	add := func(name string, started bool, p Phase) *fakeConn {
		f := &fakeConn{name: name, started: started, calls: &calls}
		set.Add(f, nil)
		if p == PhaseActive {
			set.BeginRequest(f)
		} else if p != PhaseNew {
			set.SetPhase(f, p)
		}
		return f
	}
	add("idle", false, PhaseIdle)
	add("new", false, PhaseNew)
	add("partial", true, PhaseNew)
	add("reading", false, PhaseReading)
	add("lingering", false, PhaseLingering)
	add("open", true, PhaseActive)
	add("next request", true, PhaseIdle)
	for capacity := 14; capacity >= 2; capacity -= 2 { // clients may hold half of it
		set.Resize(Limits{Capacity: capacity, ServerMinimum: capacity / 2, Reserve: 100})
	}
	want := []string{"lingering aborted", "partial read aborted", "reading read aborted", "new closed idle", "idle closed idle"}
	if len(calls) < len(want) || !slices.Equal(calls[:1], want[:1]) || !slices.Contains(calls[1:4], "partial read aborted") || !slices.Contains(calls[1:4], "reading read aborted") ||
		!slices.Equal(calls[len(calls)-2:], want[3:]) {
		t.Errorf("calls %v", calls)
	}
}

// Of two clients with a partial request, the one that has stopped sending is evicted, though the other began before it.
func TestStalledClientIsEvictedBeforeSlowOne(t *testing.T) {
	var calls []string
	set := newTestSet(100, 0)
	set.SetGracePeriods(GracePeriods{Partial: time.Minute})
	slow := &fakeConn{name: "slow", started: true, sinceLastRead: time.Second, calls: &calls}
	stalled := &fakeConn{name: "stalled", started: true, sinceLastRead: time.Hour, calls: &calls}
	set.Add(slow, nil)
	set.Add(stalled, nil)
	for _, info := range set.conns {
		info.since -= 2 * time.Hour
	}
	set.Resize(Limits{Capacity: 2, ServerMinimum: 1, Reserve: 100})
	if !slices.Equal(calls, []string{"stalled read aborted"}) {
		t.Errorf("calls %v", calls)
	}
}

// The limit counts open requests, not connections. Requests beyond the descriptors reserved for server connections are
// rejected, and so are those of a connection whose read was aborted.
func TestOpenRequestLimit(t *testing.T) {
	var calls []string
	set := newTestSet(8, 0)
	first, second := &fakeConn{name: "first", calls: &calls}, &fakeConn{name: "second", calls: &calls}
	set.Add(first, nil)
	set.Add(second, nil)
	for i := range 4 {
		if !set.BeginRequest(first) {
			t.Fatalf("request %d was rejected", i)
		}
	}
	if set.BeginRequest(second) {
		t.Error("a fifth request was accepted; the limit is 4")
	}
	set.SetPhase(second, PhaseIdle)
	for want := 3; want >= 0; want-- {
		if remaining := set.EndRequest(first); remaining != want {
			t.Errorf("EndRequest returned %d, want %d", remaining, want)
		}
	}
	if set.EndRequest(first) != 0 {
		t.Error("EndRequest without an open request did not return 0")
	}
	second.aborted = true
	if set.BeginRequest(second) {
		t.Error("a request was accepted after AbortRead")
	}
	if set.BeginRequest(&fakeConn{}) {
		t.Error("a request was accepted on an unknown connection")
	}
	set.Remove(second)
	set.Remove(first)
	if set.Len() != 0 || set.openRequests != 0 || set.closingConns != 0 {
		t.Errorf("%d connections, %d requests, %d closing; want none", set.Len(), set.openRequests, set.closingConns)
	}
}

// CloseIdle closes only connections of the given front end.
func TestCloseIdleOfOneFrontEnd(t *testing.T) {
	var calls []string
	set := newTestSet(1000, 0)
	for i := range 6 {
		f := &fakeConn{name: fmt.Sprint(i), calls: &calls}
		set.Add(f, i%2)
		if i < 4 {
			set.SetPhase(f, PhaseIdle)
		}
		if i == 2 {
			set.BeginRequest(f)
		}
	}
	if count := set.CloseIdle(0); count != 3 || !slices.Equal(slices.Sorted(slices.Values(calls)), []string{"0 closed idle", "4 closed idle"}) {
		t.Errorf("CloseIdle returned %d, calls %v", count, calls)
	}
}

// A connection is kept during its grace period, unless descriptors are about to run out.
func TestGracePeriods(t *testing.T) {
	var calls []string
	set := New(clock.New(), Limits{Capacity: 4, ServerMinimum: 4, Reserve: 2}, func() int { return 0 })
	set.SetGracePeriods(GracePeriods{Lingering: time.Hour, New: time.Hour, Partial: time.Hour, Idle: time.Hour})
	for i := range 4 {
		f := &fakeConn{name: fmt.Sprint(i), calls: &calls}
		set.Add(f, nil)
		set.SetPhase(f, PhaseIdle)
	}
	if len(calls) != 0 || !set.OverLimit() || set.Full() {
		t.Errorf("calls %v, over limit %v, full %v", calls, set.OverLimit(), set.Full())
	}
	for i := range 2 {
		set.Add(&fakeConn{name: fmt.Sprint("more", i), calls: &calls}, nil)
	}
	if !set.Full() {
		t.Error("Full reports false with the capacity and the reserve in use")
	}
}

// racingConn starts a request at the moment at which RequestStarted is called.
type racingConn struct{ fakeConn }

func (c *racingConn) RequestStarted() bool {
	was := c.started
	c.started = true
	return was
}

// A request whose first bytes arrive while idle connections are closed is read: it is not aborted.
func TestCloseIdleAbortsNoRequest(t *testing.T) {
	var calls []string
	set := newTestSet(100, 0)
	racing := &racingConn{fakeConn{name: "racing", calls: &calls}}
	set.Add(racing, nil)
	startedConn := &fakeConn{name: "started", started: true, calls: &calls}
	set.Add(startedConn, nil)
	if count := set.CloseIdle(nil); count != 2 || racing.aborted || startedConn.aborted {
		t.Errorf("CloseIdle returned %d, calls %v", count, calls)
	}
}
