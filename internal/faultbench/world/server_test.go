package world

import (
	"testing"
	"time"

	"damsontrestle/internal/faultbench/experiment"
)

const ms = time.Millisecond

func spec() experiment.Servers {
	return experiment.Servers{Slots: 2, Queue: 2, Service: 100 * ms, ServiceDistribution: experiment.Constant, SlowStartMinimum: 1}
}

func TestServerQueuesAndRejects(t *testing.T) {
	s := NewServer(spec(), "s", "a", -1, 1)
	jobs := make([]*Job, 5)
	for i, want := range []ArrivalResult{Started, Started, Queued, Queued, Rejected} {
		jobs[i] = &Job{}
		if got := s.Arrive(time.Duration(i)*ms, jobs[i]); got != want {
			t.Fatalf("request %d: result %d, want %d", i, got, want)
		}
	}
	s.Abandon(jobs[2]) // queued: it never runs
	s.Abandon(jobs[1]) // started: its service continues
	if s.Working() != 2 || s.Waiting() != 1 {
		t.Fatalf("%d requests in service and %d queued, want 2 and 1", s.Working(), s.Waiting())
	}
	if next := s.Finish(100*ms, jobs[0]); next != jobs[3] || next.StartedAt != 100*ms || next.EndsAt != 200*ms {
		t.Fatalf("next job is %+v, want the fourth request", next)
	}
	if next := s.Finish(101*ms, jobs[1]); next != nil || s.Working() != 1 || s.Ran != 3 || s.Rejected != 1 {
		t.Fatalf("next job is %+v, %d in service, %d ran, %d rejected; want no job, 1, 3 and 1", next, s.Working(), s.Ran, s.Rejected)
	}
}

func TestSlowStartReducesSpeedAndDetectsOverload(t *testing.T) {
	c := spec()
	c.SlowStartMinimum, c.SlowStartWindow, c.Queue = 0.25, 10*time.Second, 1000
	s := NewServer(c, "s", "a", 0, 1)
	j := &Job{}
	if s.Arrive(0, j); j.EndsAt != 400*ms {
		t.Errorf("at a quarter of full speed a request of 100 ms ends at %v, want 400 ms", j.EndsAt)
	}
	// In a second two slots at a quarter of full speed can serve five requests. The rule allows three times that plus the slack.
	for i := range 17 {
		s.Arrive(time.Duration(i)*50*ms, &Job{})
	}
	if s.SlowStartOverloads() != 0 {
		t.Error("18 requests in a second were counted as an overload")
	}
	for range 10 {
		s.Arrive(900*ms, &Job{})
	}
	if s.SlowStartOverloads() != 1 {
		t.Errorf("28 requests in a second were counted as %d overloads, want 1", s.SlowStartOverloads())
	}
	if s.Speed(5*time.Second) != 0.625 || s.Speed(10*time.Second) != 1 {
		t.Errorf("speed is %v halfway and %v at the end, want 0.625 and 1", s.Speed(5*time.Second), s.Speed(10*time.Second))
	}
}

// Streams depend on the seed only, and generate approximately the configured rates and class shares.
func TestStreamsAreReproducibleAndMatchRates(t *testing.T) {
	e := &experiment.Experiment{Seed: 5, Measure: 100 * time.Second, Clients: experiment.Clients{Rate: 3},
		Nodes:   []experiment.Nodes{{Count: 2, Zones: []string{"a"}, RateFactor: 1}, {Count: 1, Zones: []string{"a"}, RateFactor: 4}},
		Classes: []experiment.Class{{Name: "x", Share: 1}, {Name: "y", Share: 3}}}
	counts, classes := []int{0, 0, 0}, []int{0, 0}
	s, again := NewStreams(e, "c"), NewStreams(e, "c")
	for n := range counts {
		last := time.Duration(-1)
		for {
			c, more := s.Next(n)
			if d, _ := again.Next(n); d != c {
				t.Fatalf("the same seed generated %+v and %+v", c, d)
			}
			if !more {
				break
			}
			if c.At <= last {
				t.Fatalf("request time %v does not follow the previous one, %v", c.At, last)
			}
			last = c.At
			counts[n]++
			classes[c.Class]++
		}
	}
	for n, want := range []int{150, 150, 600} {
		if counts[n] < want*7/10 || counts[n] > want*13/10 {
			t.Errorf("node %d has %d requests, want about %d", n, counts[n], want)
		}
	}
	if classes[1] < 2*classes[0] || classes[1] > 4*classes[0] {
		t.Errorf("requests by class are %v, want a ratio of one to three", classes)
	}
}
