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

func TestSlotsQueueAndTurningAway(t *testing.T) {
	s := NewServer(spec(), "s", "a", -1, 1)
	jobs := make([]*Job, 5)
	for i, want := range []ArrivalResult{Started, Started, Queued, Queued, Rejected} {
		jobs[i] = &Job{}
		if got := s.Arrive(time.Duration(i)*ms, jobs[i]); got != want {
			t.Fatalf("call %d: verdict %d, want %d", i, got, want)
		}
	}
	s.Abandon(jobs[2]) // waits: it never runs
	s.Abandon(jobs[1]) // works: that goes on
	if s.Working() != 2 || s.Waiting() != 1 {
		t.Fatalf("%d work and %d wait", s.Working(), s.Waiting())
	}
	if next := s.Finish(100*ms, jobs[0]); next != jobs[3] || next.StartedAt != 100*ms || next.EndsAt != 200*ms {
		t.Fatalf("next is %+v, want the fourth call", next)
	}
	if next := s.Finish(101*ms, jobs[1]); next != nil || s.Working() != 1 || s.Ran != 3 || s.Rejected != 1 {
		t.Fatalf("next is %+v, %d work, %d ran, %d were turned away", next, s.Working(), s.Ran, s.Rejected)
	}
}

func TestColdServersAreSlowAndPushedOverByMoreThanTheyBear(t *testing.T) {
	c := spec()
	c.SlowStartMinimum, c.SlowStartWindow, c.Queue = 0.25, 10*time.Second, 1000
	s := NewServer(c, "s", "a", 0, 1)
	j := &Job{}
	if s.Arrive(0, j); j.EndsAt != 400*ms {
		t.Errorf("at a quarter of its speed 100 ms of work end at %v", j.EndsAt)
	}
	// In a second it could do two slots' work at a quarter of their speed: five requests; three times that and a little
	// more may come.
	for i := range 17 {
		s.Arrive(time.Duration(i)*50*ms, &Job{})
	}
	if s.SlowStartOverloads() != 0 {
		t.Error("18 calls in a second pushed it over")
	}
	for range 10 {
		s.Arrive(900*ms, &Job{})
	}
	if s.SlowStartOverloads() != 1 {
		t.Errorf("28 calls in a second pushed it over %d times", s.SlowStartOverloads())
	}
	if s.Speed(5*time.Second) != 0.625 || s.Speed(10*time.Second) != 1 {
		t.Errorf("its speed is %v halfway, %v at the end", s.Speed(5*time.Second), s.Speed(10*time.Second))
	}
}

// The same seed brings the same requests, whatever becomes of them, and about as many as were asked for.
func TestStreams(t *testing.T) {
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
				t.Fatalf("%+v and %+v from one seed", c, d)
			}
			if !more {
				break
			}
			if c.At <= last {
				t.Fatalf("%v comes after %v", c.At, last)
			}
			last = c.At
			counts[n]++
			classes[c.Class]++
		}
	}
	for n, want := range []int{150, 150, 600} {
		if counts[n] < want*7/10 || counts[n] > want*13/10 {
			t.Errorf("node %d has %d calls, want about %d", n, counts[n], want)
		}
	}
	if classes[1] < 2*classes[0] || classes[1] > 4*classes[0] {
		t.Errorf("classes come %v, want one to three", classes)
	}
}
