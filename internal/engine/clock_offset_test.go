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

// clockScenario runs an engine whose wall clock has an offset from the clock that writes boot_ms, and records events and
// their times.
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
	opts.Clock = clock.NewAt(start.Add(offset))
	eng := newEngineWith(t, opts)
	go eng.Run(t.Context())
	return &clockScenario{t: t, offset: offset, backend: backend, engine: eng, startWall: start, startClock: eng.clock.Now()}
}

// record records an event with the time since the start.
func (s *clockScenario) record(format string, args ...any) {
	at := fmt.Sprintf("%v ", time.Since(s.startWall))
	s.events = append(s.events, at+fmt.Sprintf(format, args...))
}

// submit submits a request.
func (s *clockScenario) submit(id, class string) *Request {
	request := newRequest(s.engine, id, class)
	s.engine.Submit(request)
	return request
}

// expectAttempt waits for an attempt and records it. It returns its server and the channel for its outcome.
func (s *clockScenario) expectAttempt() (serverID string, outcome chan<- Outcome) {
	s.t.Helper()
	attempt, outcome := s.backend.expectAttempt(s.t)
	s.record("attempt %d of %s to %s, sent at %v, deadline %v, not after %v", attempt.Number, attempt.Request.ID, attempt.Host.Server,
		attempt.SentAt-s.startClock, attempt.Deadline-s.startClock, min(attempt.NotAfter-s.startClock, time.Hour))
	return attempt.Host.Server, outcome
}

// finish ends an attempt with a result, at the current time.
func (s *clockScenario) finish(outcome chan<- Outcome, result balancer.Result) {
	outcome <- Outcome{Result: result, At: s.engine.clock.Now()}
}

// expectResponse waits for a response and records it.
func (s *clockScenario) expectResponse(request *Request) {
	s.t.Helper()
	response := testpeer.Receive(s.t, request.Response(), "the response")
	s.record("%s: kind %d", request.ID, response.Kind)
}

// playQueue runs a request that is queued until the endpoint list arrives, and whose attempt takes 300 ms.
func (s *clockScenario) playQueue() {
	queued := s.submit("queued", "view")
	time.Sleep(50 * time.Millisecond)
	s.engine.UpdateList(servers("s1", "s2"))
	_, outcome := s.expectAttempt()
	time.Sleep(300 * time.Millisecond) // while it is in flight
	s.finish(outcome, balancer.Success)
	s.expectResponse(queued)
}

// playRetryWindow runs a keyed request whose attempt fails within its retry window, and one whose attempt fails at its end.
func (s *clockScenario) playRetryWindow() {
	for _, wait := range []time.Duration{time.Second, 2 * time.Second} { // half of the window, and all of it
		put := s.submit(fmt.Sprint("put after ", wait), "put")
		_, outcome := s.expectAttempt()
		time.Sleep(wait)
		s.finish(outcome, balancer.ConnectionLost)
		if wait < 2*time.Second {
			_, outcome = s.expectAttempt()
			s.finish(outcome, balancer.Success)
		}
		s.expectResponse(put)
	}
}

// playDrainAndSlowStart runs five seconds of requests with one draining server and one in slow start.
func (s *clockScenario) playDrainAndSlowStart() {
	draining := servers("s1").Targets
	draining[0].State = balancer.Draining
	s.engine.UpdateList(discovery.List{Targets: draining})
	newServer := servers("s3").Targets
	newServer[0].Boot = time.Duration(time.Now().UnixNano()) // by the clock without the offset
	s.engine.UpdateList(discovery.List{Targets: newServer})
	slowStartRequests := [5]int{}
	for n := range 250 {
		request := s.submit(fmt.Sprint("request ", n), "view")
		to, outcome := s.expectAttempt()
		if to == "s1" {
			s.t.Errorf("clock offset %v: request was sent to the draining server", s.offset)
		}
		if to == "s3" {
			slowStartRequests[n/50]++
		}
		time.Sleep(5 * time.Millisecond)
		s.finish(outcome, balancer.Success)
		s.expectResponse(request)
		time.Sleep(15 * time.Millisecond)
	}
	s.t.Logf("clock offset %v: requests to the server in slow start, of 50 each second: %v", s.offset, slowStartRequests)
	if slowStartRequests[0] > 15 || slowStartRequests[4] < 15 {
		s.t.Errorf("clock offset %v: requests to the server in slow start, of 50 each second: %v; want at most 15 in the first second and at least 15 in the last", s.offset, slowStartRequests)
	}
}

// playDeadline runs a request whose attempt times out at its deadline.
func (s *clockScenario) playDeadline() {
	late := newRequest(s.engine, "late", "note")
	late.Deadline = late.At + time.Second
	s.engine.Submit(late)
	_, outcome := s.expectAttempt()
	time.Sleep(s.engine.clock.Until(late.Deadline))
	s.finish(outcome, balancer.TimedOut)
	s.expectResponse(late)
}

// playScenario runs requests in each stage, and the draining and slow start of servers, with an offset of the wall clock from
// the clock that writes boot_ms. It returns the events with the time since the start.
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

// The wall clock at the start of a process, and its offset from boot_ms, do not affect any timing: queueing, an attempt in
// flight, a retry window at half its length and at its end, draining and slow start of servers, a deadline. Steps of the wall
// clock while a process runs are not visible to it (clock.TestWallClockStepsAreIgnored).
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
					t.Errorf("clock offset %v: got %q, want %q as without an offset", offset, got[i], want[i])
					break
				}
			}
			t.Errorf("clock offset %v: got %d events, want %d as without an offset", offset, len(got), len(want))
		}
	}
}
