package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// In overload the window must shrink, and never under its floor.
func TestWindowFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		took time.Duration
		grow bool
	}{{450 * msec, false}, {40 * msec, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		c := b.classes["get"] // known to answer in 40 ms when there is room
		c.samples, c.meanLatency, c.baseLatency = 100, float64(40*msec), float64(40*msec)
		b.window = 15 // less than its growth may reach with the ten requests that are out here
		start, now := b.window, time.Duration(0)
		var open []Send
		for i := range 3000 {
			now += 4 * msec
			open = append(open, sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
			for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+tc.took <= now {
				s := open[0]
				open = append(open[1:], sends(endOnlyAttempt(b, now, s.ID, s, Success))...)
			}
		}
		if grew := b.window > start; grew != tc.grow && tc.grow || b.window < minWindowPerServer*b.serversPerNode() {
			t.Errorf("answers after %v: window %.1f from %.1f", tc.took, b.window, start)
		}
		if !tc.grow && b.window > minWindowPerServer*b.serversPerNode()+1 {
			t.Errorf("late answers left the window at %.1f", b.window)
		}
	}
}

// adjustedWindow is the window after many alike outcomes, each after share of what is aimed at, from 100.
func adjustedWindow(t *testing.T, shed float64, result Result, after func(*class) float64) float64 {
	t.Helper()
	return adjustedWindowAmong(t, 100, shed, result, after)
}

// adjustedWindowAmong is the same at one of so many nodes.
func adjustedWindowAmong(t *testing.T, nodes int, shed float64, result Result, after func(*class) float64) float64 {
	t.Helper()
	b := newBalancer(t, func(s *Settings) { s.Balancers = nodes })
	b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
	b.window, b.meanInFlight = 100, 100
	r := &request{class: b.classes["get"], attempts: []*attempt{{sent: 0}}}
	for range 50 {
		b.shedShare = shed
		b.now, b.inFlight = time.Duration(after(r.class)), int(b.window)
		b.adjustWindow(r, Outcome{Result: result})
	}
	return b.window
}

// While much is shed some servers choke for certain, so the window gets leaner.
func TestWindowIsSmallerWhileShedding(t *testing.T) {
	late := func(c *class) float64 { return 0.95 * c.targetLatency(0) }
	notShedding, shedding := adjustedWindow(t, 0, Success, late), adjustedWindow(t, 0.8, Success, late)
	if notShedding <= 100 || shedding >= 100 {
		t.Errorf("window from 100: nothing shed %.1f, want growth; much shed %.1f, want shrinking", notShedding, shedding)
	}
}

// Answers as quick as idle servers give them must open the window however much is shed, or shedding
// keeps itself up; spoilt answers and errors are no sign of overload.
func TestFastResponsesGrowWindowWhileShedding(t *testing.T) {
	idle := func(c *class) float64 { return 1.05 * c.baseLatency }
	if w := adjustedWindow(t, 1, Success, idle); w <= 100 {
		t.Errorf("idle servers' answers moved the window from 100 to %.1f", w)
	}
	for _, e := range []Result{ConnectionLost, Failure} {
		if w := adjustedWindow(t, 0, e, idle); w != 100 {
			t.Errorf("ending %v moved the window from 100 to %.1f", e, w)
		}
	}
}

// The tier below lets a request time out a little before this one would: its error, late as it is, tells of the overload.
func TestLateErrorsShrinkWindow(t *testing.T) {
	if w := adjustedWindow(t, 0, Failure, func(c *class) float64 { return 0.9 * float64(c.LatencyObjective) }); w >= 60 {
		t.Errorf("fifty errors just before the latency objective moved the window from 100 to %.1f", w)
	}
}

// All nodes' windows together swing alike however many nodes there are: one of few moves its own with care, one of
// hundreds by up to a whole call an answer.
func TestWindowDynamicsAreIndependentOfFleetSize(t *testing.T) {
	moved := func(nodes int) float64 {
		return 100 - adjustedWindowAmong(t, nodes, 0, Success, func(c *class) float64 { return 1.5 * c.targetLatency(0) })
	}
	for nodes, most := range map[int]float64{1: 5, 2: 7, 4: 10, 300: 26} {
		if got := moved(nodes); got <= 0 || got > most {
			t.Errorf("at one of %d nodes fifty answers that came half too late moved the window by %.1f, want up to %.0f", nodes, got, most)
		}
	}
	if one, four := moved(1), moved(4); math.Abs(four-2*one) > 0.2 {
		t.Errorf("a lone node's window moved by %.2f, one of four's by %.2f; want twice that", one, four)
	}
}

// With hundreds of nodes a share of the servers is one request or less: a window that starts or stays
// there rejects requests that the fleet could carry, so it must open within seconds of good answers.
func TestWindowOpensInLargeFleet(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Balancers = 300 })
	b.Handle(0, ServerList{Full: true, Servers: servers(60)})
	var open []Send
	for i := range 150 { // thirty a second, answered in 100 ms: three in flight
		now := time.Duration(i) * 33 * msec
		for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+100*msec <= now {
			s := open[0]
			open = append(open[1:], sends(endOnlyAttempt(b, now, s.ID, s, Success))...)
		}
		open = append(open, sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
	}
	if b.window < 3 {
		t.Errorf("the window is %.1f after five seconds", b.window)
	}
}

// Retries by clients make an overload last: they get only half of the window.
func TestRetriesLeaveCapacityForFirstAttempts(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	b.window, b.inFlight = 10, 6
	retry := sends(b.Handle(msec, Request{ID: "again", Class: "get", Deadline: time.Second, Retry: true}))
	first := sends(b.Handle(msec, Request{ID: "first", Class: "get", Deadline: time.Second}))
	if len(retry) != 0 || len(first) != 1 {
		t.Errorf("sent %v for a retry and %v for a first attempt", retry, first)
	}
}

// In overload what is of least priority weight is rejected first, also where too few wait for the hold to choose;
// with nothing shed every class may fill the window, and no class loses more than half of it.
func TestWindowReservesCapacityByPriorityWeight(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[0].PriorityWeight, s.Classes[2].PriorityWeight, s.ClassWeight = 1, 12, 0 })
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	for _, c := range b.classOrder {
		c.arrivals, c.served = 10, 5
	}
	low, high := &request{class: b.classes["get"]}, &request{class: b.classes["pay"]}
	if l, h := b.windowShare(low), b.windowShare(high); l != 1 || h != 1 {
		t.Errorf("nothing shed: parts of the window %.2f and %.2f, want 1", l, h)
	}
	b.shedShare = 0.6
	if l, h := b.windowShare(low), b.windowShare(high); l > 0.7 || l < 0.5 || h < 1.3 || h > 2 {
		t.Errorf("much shed: parts of the window %.2f for low priority weight and %.2f for high", l, h)
	}
}
