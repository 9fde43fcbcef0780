package audit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func near(got, want, by float64) bool { return math.Abs(got-want) <= by }

// Two servers with two slots each: at first one serves two requests and queues two while the other is idle, then each serves
// one.
func TestIdleWhileQueuedAndVariation(t *testing.T) {
	a := New()
	capacity := []Capacity{{Slots: 2, Speed: 1}, {Slots: 2, Speed: 1}}
	for i := range 50 {
		s := Sample{At: time.Duration(i) * SampleEvery, Working: []int{2, 0}, Waiting: []int{2, 0}, Connections: []int{3, 1}, Down: []bool{false, false}}
		if i >= 25 {
			s.Working, s.Waiting = []int{1, 1}, []int{0, 0}
		}
		a.RecordSample(s)
	}
	f := a.Metrics(0, time.Second, capacity)
	// Half of the time 2 of 4 slots are free while 2 requests wait. Loads of 2 and 0 per slot have a variation of sqrt 2, equal
	// ones of 0.
	if !near(f.Spread.IdleWhileQueued, 0.25, 1e-9) || !near(f.Spread.Variation, math.Sqrt2/2, 1e-9) || !near(f.Utilisation, 0.5, 1e-9) ||
		!near(f.Waiting, 0.25, 1e-9) || !near(f.Connections, 2, 1e-9) || !near(f.MostConns, 1.5, 1e-9) {
		t.Errorf("%+v", f)
	}
}

// Random selection stays within the chance bounds; additional requests to one server exceed them.
func TestChanceBoundsSeparateRandomFromSkewedLoad(t *testing.T) {
	capacity := make([]Capacity, 20)
	for i := range capacity {
		capacity[i] = Capacity{Slots: 1 + i%2, Speed: 1}
	}
	play := func(herd float64) map[string]Window {
		a, rng := New(), rand.New(rand.NewPCG(1, 1))
		for i := range 20000 {
			k := rng.IntN(30)
			if k >= 20 { // larger servers have twice the share
				k = 2*(k-20) + 1
			}
			if rng.Float64() < herd {
				k = 0
			}
			a.RecordAttempt(fmt.Sprint(i), "s", k, false, time.Duration(i)*time.Millisecond/2)
		}
		return a.Metrics(0, 10*time.Second, capacity).Spread.Windows
	}
	if w := play(0)["100ms"]; w.Within < 0.9 || w.Most > w.ChanceMost || w.Least < w.ChanceLeast {
		t.Errorf("random selection: %+v is outside the chance bounds", w)
	}
	if w := play(0.05)["1s"]; w.Within > 0.1 || w.Most < w.ChanceMost {
		t.Errorf("with 5%% of additional requests at one server: %+v is within the chance bounds", w)
	}
}

// A request and its client retries count as one request, which is in its latency objective if one of them is, measured from
// the start of the first.
func TestRetriesCountAsOneRequest(t *testing.T) {
	a := New()
	a.RecordRequest(Request{ID: "x", At: 10 * ms, LatencyObjective: 100 * ms, Deadline: 500 * ms})
	a.RecordOutcome("x", Refused, 20*ms, "1")
	a.RecordRequest(Request{ID: "x-1", FirstID: "x", At: 60 * ms, LatencyObjective: 50 * ms, Deadline: 450 * ms})
	a.RecordOutcome("x-1", Served, 90*ms, "")
	a.RecordRequest(Request{ID: "y", At: 10 * ms, LatencyObjective: 100 * ms, Deadline: 500 * ms})
	a.RecordOutcome("y", Failed, 20*ms, "")
	a.RecordRequest(Request{ID: "y-1", FirstID: "y", At: 60 * ms, LatencyObjective: 50 * ms, Deadline: 450 * ms})
	a.RecordOutcome("y-1", Served, 190*ms, "")
	f := a.Metrics(0, time.Second, nil)
	if f.Calls != 2 || f.InAim != 0.5 || f.Served != 1 || f.Late != 0.5 || !near(f.P99.Seconds(), 0.18, 0.001) {
		t.Errorf("%+v", f)
	}
}

func TestLongestIdle(t *testing.T) {
	a := New()
	for _, at := range []time.Duration{100, 200, 900} {
		a.RecordAttempt("x", "s", 0, false, at*ms)
	}
	a.RecordAttempt("y", "s", 1, false, 600*ms)
	if f := a.Metrics(0, time.Second, []Capacity{{1, 1}, {1, 1}}); f.Spread.LongestIdle != 700*ms {
		t.Errorf("%v; want the 700 ms between 200 and 900", f.Spread.LongestIdle)
	}
}
