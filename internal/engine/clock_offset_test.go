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
type clockScenario struct {
	t          *testing.T
	offset     time.Duration
	backend    *fakeBackend
	engine     *Engine
	startWall  time.Time
	startClock time.Duration // clock time
	events     []string
}

func newClockScenario(t *testing.T, offset time.Duration) *clockScenario {
	t.Helper()
	backend := newFakeBackend()
	start := time.Now()
	balancerSettings := settings()
	balancerSettings.SlowStartWindow = 3 * time.Second
	balancerSettings.SlowStartMinimum = 0.1
	balancerSettings.Classes = append(balancerSettings.Classes, balancer.Class{Name: "put", Effect: balancer.Keyed, Scope: balancer.ScopeAll, Window: 2 * time.Second,
		LatencyObjective: testpeer.Limit, Deadline: 2 * testpeer.Limit, PriorityWeight: 1})
	opts := options(backend, balancerSettings)
	opts.Clock = clock.From(start.Add(offset))
	eng := newEngineWith(t, opts)
	go eng.Run(t.Context())
	return &clockScenario{t: t, offset: offset, backend: backend, engine: eng, startWall: start, startClock: eng.clock.Now()}
}

// note notes an event at the time of now, counted from the beginning.
func (l *clockScenario) record(format string, args ...any) {
	at := fmt.Sprintf("%v ", time.Since(l.startWall))
	l.events = append(l.events, at+fmt.Sprintf(format, args...))
}

// submit submits a request with an id.
func (l *clockScenario) submit(id, class string) *Request {
	request := newRequest(l.engine, id, class)
	l.engine.Submit(request)
	return request
}

// expectAttempt waits for an attempt and notes it. It returns its server and the channel for its outcome.
func (l *clockScenario) expectAttempt() (serverID string, outcome chan<- Outcome) {
	l.t.Helper()
	attempt, outcome := l.backend.expectAttempt(l.t)
	l.record("attempt %d of %s at %s, sent at %v, waits until %v, not after %v", attempt.Number, attempt.Request.ID, attempt.Host.Server,
		attempt.SentAt-l.startClock, attempt.Deadline-l.startClock, min(attempt.NotAfter-l.startClock, time.Hour))
	return attempt.Host.Server, outcome
}

// finish ends an attempt now.
func (l *clockScenario) finish(outcome chan<- Outcome, result balancer.Result) {
	outcome <- Outcome{Result: result, At: l.engine.clock.Now()}
}

// expectResponse waits for a response and notes it.
func (l *clockScenario) expectResponse(request *Request) {
	l.t.Helper()
	response := testpeer.Receive(l.t, request.Response(), "the response")
	l.record("%s: kind %d", request.ID, response.Kind)
}

// playQueue plays a request that waits for the endpoint list, and an attempt that takes a while.
func (l *clockScenario) playQueue() {
	queued := l.submit("queued", "view")
	time.Sleep(50 * time.Millisecond)
	l.engine.UpdateList(servers("s1", "s2"))
	_, outcome := l.expectAttempt()
	time.Sleep(300 * time.Millisecond) // while it is in flight
	l.finish(outcome, balancer.Success)
	l.expectResponse(queued)
}

// playRetryWindow plays a keyed request that fails in its retry window, and one that fails after it.
func (l *clockScenario) playRetryWindow() {
	for _, wait := range []time.Duration{time.Second, 2 * time.Second} { // half of the window is over, and all of it
		put := l.submit(fmt.Sprint("put after ", wait), "put")
		_, outcome := l.expectAttempt()
		time.Sleep(wait)
		l.finish(outcome, balancer.ConnectionLost)
		if wait < 2*time.Second {
			_, outcome = l.expectAttempt()
			l.finish(outcome, balancer.Success)
		}
		l.expectResponse(put)
	}
}

// playDrainAndSlowStart plays five seconds of requests with one server that drains and another in slow start.
func (l *clockScenario) playDrainAndSlowStart() {
	draining := servers("s1").Targets
	draining[0].State = balancer.Draining
	l.engine.UpdateList(discovery.List{Targets: draining})
	newServer := servers("s3").Targets
	newServer[0].Boot = time.Duration(time.Now().UnixNano()) // by the other clock, which is right
	l.engine.UpdateList(discovery.List{Targets: newServer})
	slowStartRequests := [5]int{}
	for n := range 250 {
		request := l.submit(fmt.Sprint("request ", n), "view")
		to, outcome := l.expectAttempt()
		if to == "s1" {
			l.t.Errorf("off by %v: a request to a server that drains", l.offset)
		}
		if to == "s3" {
			slowStartRequests[n/50]++
		}
		time.Sleep(5 * time.Millisecond)
		l.finish(outcome, balancer.Success)
		l.expectResponse(request)
		time.Sleep(15 * time.Millisecond)
	}
	l.t.Logf("off by %v: requests to the server in slow start, each second: %v of 50", l.offset, slowStartRequests)
	if slowStartRequests[0] > 15 || slowStartRequests[4] < 15 {
		l.t.Errorf("off by %v: %v of 50 requests to the server in slow start each second", l.offset, slowStartRequests)
	}
}

// playDeadline plays a request whose attempt times out at its deadline.
func (l *clockScenario) playDeadline() {
	late := newRequest(l.engine, "late", "note")
	late.Deadline = late.At + time.Second
	l.engine.Submit(late)
	_, outcome := l.expectAttempt()
	time.Sleep(l.engine.clock.Until(late.Deadline))
	l.finish(outcome, balancer.TimedOut)
	l.expectResponse(late)
}

// playStages plays a request in each stage, and a server's drain and slow start, with a wall clock that is off against the
// one that writes boot_ms. It returns what happened when, counted from its beginning.
func playScenario(t *testing.T, offset time.Duration) []string {
	t.Helper()
	scenario := newClockScenario(t, offset)
	scenario.playQueue()
	scenario.playRetryWindow()
	scenario.playDrainAndSlowStart()
	scenario.playDeadline()
	scenario.engine.Retire()
	return scenario.events
}

// Whatever the wall clock shows as a process starts, and however far boot_ms lies from it, everything happens at the same
// time: a request is queued, an attempt is in flight, half of a retry window and all of it are over, a server drains and
// another is in slow start, a deadline ends. Steps of the wall clock while a process runs are never seen
// (clock.TestWallClockStepsAreIgnored).
func TestWallClockOffsetChangesNoTiming(t *testing.T) {
	var want []string
	for _, offset := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		var got []string
		synctest.Test(t, func(t *testing.T) { got = playScenario(t, offset) })
		if offset == 0 {
			want = got
		}
		if !slices.Equal(got, want) {
			for i := range min(len(got), len(want)) {
				if got[i] != want[i] {
					t.Errorf("off by %v: %q, with a right clock %q", offset, got[i], want[i])
					break
				}
			}
			t.Errorf("off by %v: %d events, with a right clock %d", offset, len(got), len(want))
		}
	}
}
