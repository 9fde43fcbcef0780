package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// In overload the window must shrink, but not below its minimum.
func TestWindowFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		took time.Duration
		grow bool
	}{{450 * msec, false}, {40 * msec, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		c := b.classes["get"] // replies in 40 ms without contention
		c.samples, c.meanLatency, c.baseLatency = 100, float64(40*msec), float64(40*msec)
		b.window = 15 // below the growth limit for the ten requests in flight here
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
			t.Errorf("replies after %v: window %.1f, started at %.1f", tc.took, b.window, start)
		}
		if !tc.grow && b.window > minWindowPerServer*b.serversPerNode()+1 {
			t.Errorf("after late replies the window is %.1f, want about the minimum", b.window)
		}
	}
}

// adjustedWindow returns the window, starting from 100, after 50 outcomes with the given result and latency.
func adjustedWindow(t *testing.T, shed float64, result Result, latency func(*class) float64) float64 {
	t.Helper()
	return adjustedWindowAmong(t, 100, shed, result, latency)
}

// adjustedWindowAmong is adjustedWindow for one of several nodes.
func adjustedWindowAmong(t *testing.T, nodes int, shed float64, result Result, latency func(*class) float64) float64 {
	t.Helper()
	b := newBalancer(t, func(s *Settings) { s.Balancers = nodes })
	b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
	b.window, b.meanInFlight = 100, 100
	r := &request{class: b.classes["get"], attempts: []*attempt{{sent: 0}}}
	for range 50 {
		b.shedShare = shed
		b.now, b.inFlight = time.Duration(latency(r.class)), int(b.window)
		b.adjustWindow(r, Outcome{Result: result})
	}
	return b.window
}

// While much load is shed, some servers are certainly overloaded, so the window must be smaller.
func TestWindowIsSmallerWhileShedding(t *testing.T) {
	late := func(c *class) float64 { return 0.95 * c.targetLatency(0) }
	notShedding, shedding := adjustedWindow(t, 0, Success, late), adjustedWindow(t, 0.8, Success, late)
	if notShedding <= 100 || shedding >= 100 {
		t.Errorf("window from 100: %.1f with nothing shed, want growth; %.1f with 0.8 shed, want shrinking", notShedding, shedding)
	}
}

// Replies as fast as those of idle servers must grow the window however much is shed; otherwise shedding sustains
// itself. Early errors and lost connections are no sign of overload.
func TestFastResponsesGrowWindowWhileShedding(t *testing.T) {
	idle := func(c *class) float64 { return 1.05 * c.baseLatency }
	if w := adjustedWindow(t, 1, Success, idle); w <= 100 {
		t.Errorf("replies at idle latency moved the window from 100 to %.1f, want growth", w)
	}
	for _, e := range []Result{ConnectionLost, Failure} {
		if w := adjustedWindow(t, 0, e, idle); w != 100 {
			t.Errorf("result %v moved the window from 100 to %.1f, want no change", e, w)
		}
	}
}

// The tier below times a request out slightly before this one does, so its late error indicates overload.
func TestLateErrorsShrinkWindow(t *testing.T) {
	if w := adjustedWindow(t, 0, Failure, func(c *class) float64 { return 0.9 * float64(c.LatencyObjective) }); w >= 60 {
		t.Errorf("50 errors just before the latency objective moved the window from 100 to %.1f, want below 60", w)
	}
}

// The total of all nodes' windows oscillates by about the same amount for any number of nodes: a node among few takes
// small steps, one among hundreds steps of up to a whole request per reply.
func TestWindowDynamicsAreIndependentOfFleetSize(t *testing.T) {
	windowChange := func(nodes int) float64 {
		return 100 - adjustedWindowAmong(t, nodes, 0, Success, func(c *class) float64 { return 1.5 * c.targetLatency(0) })
	}
	for nodes, most := range map[int]float64{1: 5, 2: 7, 4: 10, 300: 26} {
		if got := windowChange(nodes); got <= 0 || got > most {
			t.Errorf("one of %d nodes: 50 replies at 1.5 times the target latency moved the window by %.1f, want up to %.0f", nodes, got, most)
		}
	}
	if one, four := windowChange(1), windowChange(4); math.Abs(four-2*one) > 0.2 {
		t.Errorf("the window of a single node moved by %.2f, that of one of four nodes by %.2f; want twice as much", one, four)
	}
}

// With hundreds of nodes, one node's share of the servers allows one request or less. A window that starts or stays
// there rejects requests that the fleet could serve, so it must grow within seconds of good replies.
func TestWindowOpensInLargeFleet(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Balancers = 300 })
	b.Handle(0, ServerList{Full: true, Servers: servers(60)})
	var open []Send
	for i := range 150 { // 30 per second, each answered in 100 ms: three in flight
		now := time.Duration(i) * 33 * msec
		for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+100*msec <= now {
			s := open[0]
			open = append(open[1:], sends(endOnlyAttempt(b, now, s.ID, s, Success))...)
		}
		open = append(open, sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
	}
	if b.window < 3 {
		t.Errorf("the window is %.1f after five seconds, want at least 3", b.window)
	}
}

// Client retries prolong an overload, so they get only half of the window.
func TestRetriesLeaveCapacityForFirstAttempts(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	b.window, b.inFlight = 10, 6
	retry := sends(b.Handle(msec, Request{ID: "again", Class: "get", Deadline: time.Second, Retry: true}))
	first := sends(b.Handle(msec, Request{ID: "first", Class: "get", Deadline: time.Second}))
	if len(retry) != 0 || len(first) != 1 {
		t.Errorf("sent %v for a retry and %v for a first attempt, want only the first attempt", retry, first)
	}
}

// In overload the classes of least priority weight are rejected first, even if too few requests are delayed to choose
// among. With nothing shed every class may fill the window, and no class loses more than half of it.
func TestWindowReservesCapacityByPriorityWeight(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[0].PriorityWeight, s.Classes[2].PriorityWeight, s.ClassWeight = 1, 12, 0 })
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	for _, c := range b.classOrder {
		c.arrivals, c.served = 10, 5
	}
	low, high := &request{class: b.classes["get"]}, &request{class: b.classes["pay"]}
	if l, h := b.windowShare(low), b.windowShare(high); l != 1 || h != 1 {
		t.Errorf("nothing shed: window shares %.2f and %.2f, want 1", l, h)
	}
	b.shedShare = 0.6
	if l, h := b.windowShare(low), b.windowShare(high); l > 0.7 || l < 0.5 || h < 1.3 || h > 2 {
		t.Errorf("0.6 shed: window shares %.2f for low priority weight and %.2f for high", l, h)
	}
}
