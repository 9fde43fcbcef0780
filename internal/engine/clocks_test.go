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

// timeline is an engine under a wall clock that is off against the one that writes boot_ms, and what happened when in it.
type timeline struct {
	t       *testing.T
	off     time.Duration
	script  *script
	engine  *Engine
	begun   time.Time
	started time.Duration // clock time
	events  []string
}

func newTimeline(t *testing.T, off time.Duration) *timeline {
	t.Helper()
	s := newScript()
	begun := time.Now()
	set := settings()
	set.SlowStartWindow = 3 * time.Second
	set.SlowStartMinimum = 0.1
	set.Classes = append(set.Classes, balancer.Class{Name: "put", Effect: balancer.Keyed, Scope: balancer.ScopeAll, Window: 2 * time.Second,
		LatencyObjective: testpeer.Limit, Deadline: 2 * testpeer.Limit, PriorityWeight: 1})
	o := options(s, set)
	o.Clock = clock.NewAt(begun.Add(off))
	e := newEngineWith(t, o)
	go e.Run(t.Context())
	return &timeline{t: t, off: off, script: s, engine: e, begun: begun, started: e.clock.Now()}
}

// note notes an event at the time of now, counted from the beginning.
func (l *timeline) note(format string, args ...any) {
	at := fmt.Sprintf("%v ", time.Since(l.begun))
	l.events = append(l.events, at+fmt.Sprintf(format, args...))
}

// submit submits a request with an id.
func (l *timeline) submit(id, class string) *Request {
	request := newRequest(l.engine, id, class)
	l.engine.Submit(request)
	return request
}

// expectAttempt waits for an attempt and notes it. It returns its server and the channel for its outcome.
func (l *timeline) expectAttempt() (server string, end chan<- Outcome) {
	l.t.Helper()
	a, end := l.script.expect(l.t)
	l.note("attempt %d of %s at %s, sent at %v, waits until %v, not after %v", a.N, a.Request.ID, a.To.Server,
		a.Sent-l.started, a.Deadline-l.started, min(a.NotAfter-l.started, time.Hour))
	return a.To.Server, end
}

// finish ends an attempt now.
func (l *timeline) finish(end chan<- Outcome, result balancer.Result) {
	end <- Outcome{Result: result, At: l.engine.clock.Now()}
}

// expectResponse waits for a response and notes it.
func (l *timeline) expectResponse(request *Request) {
	l.t.Helper()
	response := testpeer.Receive(l.t, request.Response(), "the response")
	l.note("%s: kind %d", request.ID, response.Kind)
}

// playQueue plays a request that waits for the endpoint list, and an attempt that takes a while.
func (l *timeline) playQueue() {
	queued := l.submit("queued", "view")
	time.Sleep(50 * time.Millisecond)
	l.engine.UpdateList(servers("s1", "s2"))
	_, end := l.expectAttempt()
	time.Sleep(300 * time.Millisecond) // while it is in flight
	l.finish(end, balancer.Success)
	l.expectResponse(queued)
}

// playRetryWindow plays a keyed request that fails in its retry window, and one that fails after it.
func (l *timeline) playRetryWindow() {
	for _, wait := range []time.Duration{time.Second, 2 * time.Second} { // half of the window is over, and all of it
		put := l.submit(fmt.Sprint("put after ", wait), "put")
		_, end := l.expectAttempt()
		time.Sleep(wait)
		l.finish(end, balancer.ConnectionLost)
		if wait < 2*time.Second {
			_, end = l.expectAttempt()
			l.finish(end, balancer.Success)
		}
		l.expectResponse(put)
	}
}

// playDrainAndSlowStart plays five seconds of requests with one server that drains and another in slow start.
func (l *timeline) playDrainAndSlowStart() {
	draining := servers("s1").Targets
	draining[0].State = balancer.Draining
	l.engine.UpdateList(discovery.List{Targets: draining})
	fresh := servers("s3").Targets
	fresh[0].Boot = time.Duration(time.Now().UnixNano()) // by the other clock, which is right
	l.engine.UpdateList(discovery.List{Targets: fresh})
	slowStarting := [5]int{}
	for n := range 250 {
		request := l.submit(fmt.Sprint("request ", n), "view")
		to, end := l.expectAttempt()
		if to == "s1" {
			l.t.Errorf("off by %v: a request to a server that drains", l.off)
		}
		if to == "s3" {
			slowStarting[n/50]++
		}
		time.Sleep(5 * time.Millisecond)
		l.finish(end, balancer.Success)
		l.expectResponse(request)
		time.Sleep(15 * time.Millisecond)
	}
	l.t.Logf("off by %v: requests to the server in slow start, each second: %v of 50", l.off, slowStarting)
	if slowStarting[0] > 15 || slowStarting[4] < 15 {
		l.t.Errorf("off by %v: %v of 50 requests to the server in slow start each second", l.off, slowStarting)
	}
}

// playDeadline plays a request whose attempt times out at its deadline.
func (l *timeline) playDeadline() {
	late := newRequest(l.engine, "late", "note")
	late.Deadline = late.At + time.Second
	l.engine.Submit(late)
	_, end := l.expectAttempt()
	time.Sleep(l.engine.clock.Until(late.Deadline))
	l.finish(end, balancer.TimedOut)
	l.expectResponse(late)
}

// playStages plays a request in each stage, and a server's drain and slow start, with a wall clock that is off against the
// one that writes boot_ms. It returns what happened when, counted from its beginning.
func playStages(t *testing.T, off time.Duration) []string {
	t.Helper()
	l := newTimeline(t, off)
	l.playQueue()
	l.playRetryWindow()
	l.playDrainAndSlowStart()
	l.playDeadline()
	l.engine.Retire()
	return l.events
}

// Whatever the wall clock shows as a process starts, and however far boot_ms lies from it, everything happens at the same
// time: a request is queued, an attempt is in flight, half of a retry window and all of it are over, a server drains and
// another is in slow start, a deadline ends. Steps of the wall clock while a process runs are never seen
// (clock.TestWallClockStepsAreIgnored).
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
