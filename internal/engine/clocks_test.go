package engine

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/testpeer"
)

// playStages plays a request in each stage, and a server's drain and slow start, with a wall clock that is off against the
// one that writes boot_ms. It returns what happened when, counted from its beginning.
func playStages(t *testing.T, off time.Duration) (seen []string) {
	ctx := t.Context()
	s, begin := newScript(), time.Now()
	set := settings()
	set.SlowStartWindow, set.SlowStartMinimum = 3*time.Second, 0.1
	set.Classes = append(set.Classes, balancer.Class{Name: "put", Effect: balancer.Keyed, Scope: balancer.ScopeAll, Window: 2 * time.Second,
		LatencyObjective: testpeer.Limit, Deadline: 2 * testpeer.Limit, PriorityWeight: 1})
	o := options(s, set)
	o.Clock = clock.From(begin.Add(off))
	e := newEngineWith(t, o)
	go e.Run(ctx)
	from := e.clock.Now()
	note := func(format string, args ...any) {
		seen = append(seen, fmt.Sprintf("%v ", time.Since(begin))+fmt.Sprintf(format, args...))
	}
	begun := func() (string, chan<- Outcome) {
		a, end := s.expect(t)
		note("attempt %d of %s at %s, sent at %v, waits until %v, not after %v", a.N, a.Request.ID, a.To.Server, a.Sent-from, a.Deadline-from, min(a.NotAfter-from, time.Hour))
		return a.To.Server, end
	}
	finish := func(end chan<- Outcome, how balancer.Result) { end <- Outcome{Result: how, At: e.clock.Now()} }
	answered := func(c *Request) { note("%s: kind %d", c.ID, testpeer.Receive(t, c.Response(), "the response").Kind) }

	queued := newRequest(e, "queued", "view")
	e.Submit(queued)
	time.Sleep(50 * time.Millisecond)
	e.UpdateList(servers("s1", "s2"))
	_, end := begun()
	time.Sleep(300 * time.Millisecond) // while it is in flight
	finish(end, balancer.Success)
	answered(queued)

	for _, wait := range []time.Duration{time.Second, 2 * time.Second} { // half of the window is over, and all of it
		put := newRequest(e, fmt.Sprint("put after ", wait), "put")
		e.Submit(put)
		_, end = begun()
		time.Sleep(wait)
		finish(end, balancer.ConnectionLost)
		if wait < 2*time.Second {
			_, end = begun()
			finish(end, balancer.Success)
		}
		answered(put)
	}

	draining := servers("s1").Targets
	draining[0].State = balancer.Draining
	e.UpdateList(discovery.List{Targets: draining})
	fresh := servers("s3").Targets
	fresh[0].Boot = time.Duration(time.Now().UnixNano()) // by the other clock, which is right
	e.UpdateList(discovery.List{Targets: fresh})
	slowStarting := [5]int{}
	for n := range 250 {
		c := newRequest(e, fmt.Sprint("request ", n), "view")
		e.Submit(c)
		to, end := begun()
		if to == "s1" {
			t.Errorf("off by %v: a request to a server that drains", off)
		}
		if to == "s3" {
			slowStarting[n/50]++
		}
		time.Sleep(5 * time.Millisecond)
		finish(end, balancer.Success)
		answered(c)
		time.Sleep(15 * time.Millisecond)
	}
	t.Logf("off by %v: requests to the server in slow start, each second: %v of 50", off, slowStarting)
	if slowStarting[0] > 15 || slowStarting[4] < 15 {
		t.Errorf("off by %v: %v of 50 requests to the server in slow start each second", off, slowStarting)
	}
	late := newRequest(e, "late", "note")
	late.Deadline = late.At + time.Second
	e.Submit(late)
	_, end = begun()
	time.Sleep(e.clock.Until(late.Deadline))
	finish(end, balancer.TimedOut)
	answered(late)
	e.Retire()
	return seen
}

// Whatever the wall clock shows as a process starts, and however far boot_ms lies from it, everything happens at the same
// time: a request is queued, an attempt is in flight, half of a retry window and all of it are over, a server drains and another is
// in slow start, a deadline ends. Steps of the wall clock while a process runs are never seen (clock.TestWallClockStepsAreIgnored).
func TestWallClockOffsetChangesNoTiming(t *testing.T) {
	var right []string
	for _, off := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		var seen []string
		synctest.Test(t, func(t *testing.T) { seen = playStages(t, off) })
		if off == 0 {
			right = seen
		}
		if !slices.Equal(seen, right) {
			for i := range min(len(seen), len(right)) {
				if seen[i] != right[i] {
					t.Errorf("off by %v: %q, with a right clock %q", off, seen[i], right[i])
					break
				}
			}
			t.Errorf("off by %v: %d events, with a right clock %d", off, len(seen), len(right))
		}
	}
}
