package engine

import (
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/testpeer"
)

// At the end of the shutdown a request with an attempt in flight fails, and new ones are rejected with a Retry-After.
func TestShutdownFailsInFlightAndRejectsNewRequests(t *testing.T) {
	s := newScript()
	e := newEngine(t, s, servers("s1"))
	go e.Run(t.Context())
	out := newRequest(e, "out", "note")
	e.Submit(out)
	s.expect(t)
	e.AnswerAll()
	if a := testpeer.Receive(t, out.Response(), "the response"); a.Kind != Failed {
		t.Errorf("kind %v", a.Kind)
	}
	late := newRequest(e, "late", "view")
	e.Submit(late)
	if a := testpeer.Receive(t, late.Response(), "the rejection"); a.Kind != Rejected || a.RetryAfter <= 0 {
		t.Errorf("%+v", a)
	}
}

// Shortly before the end of the shutdown a request that would not be served by then is rejected at once. One with enough
// time is sent as ever, and so is one of a class whose latency is not known.
func TestRequestThatCannotFinishBeforeShutdownIsNeverSent(t *testing.T) {
	for _, c := range []struct {
		name  string
		left  time.Duration // until the end of the shutdown
		class string
		want  Kind
	}{
		{"time enough", time.Hour, "note", Served},
		{"too little", 10 * time.Millisecond, "note", Rejected},
		{"nothing known of its class", time.Minute, "view", Served},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript()
			e := newEngineWithLatencies(t, s)
			e.ShutdownAt(e.clock.Now() + c.left)
			request := newRequest(e, "late", c.class)
			e.Submit(request)
			if c.want == Served {
				_, end := s.expect(t)
				end <- Outcome{Result: balancer.Success, At: e.clock.Now()}
			}
			got := testpeer.Receive(t, request.Response(), "the response")
			if got.Kind != c.want {
				t.Errorf("response %+v, want kind %v", got, c.want)
			}
			if got.Kind == Rejected && (got.RetryAfter <= 0 || !got.Elsewhere) {
				t.Errorf("response %+v, want a Retry-After and another node", got)
			}
		})
	}
}

// A request that is queued when the shutdown is announced is rejected too where it is too late for it.
func TestQueuedRequestIsRejectedBeforeShutdown(t *testing.T) {
	s := newScript()
	e := newEngineWithLatencies(t, s)
	e.UpdateList(discovery.List{Full: true})
	waiting := newRequest(e, "waiting", "note")
	e.Submit(waiting)
	if got := e.Status(); got.Open != 1 {
		t.Fatalf("%+v, want one queued request", got)
	}
	e.ShutdownAt(e.clock.Now() + 10*time.Millisecond)
	if got := testpeer.Receive(t, waiting.Response(), "the response"); got.Kind != Rejected || len(s.attempts) > 0 {
		t.Errorf("response %+v after %d attempts, want a rejection after none", got, len(s.attempts))
	}
}

// A retired engine finishes the requests that it has, with retries, and its Run returns. Its status is empty from then on.
func TestRetireEndsOnceAllRequestsAreAnswered(t *testing.T) {
	s := newScript()
	e := newEngine(t, s, servers("s1", "s2"))
	go e.Run(t.Context())
	out := newRequest(e, "out", "view")
	e.Submit(out)
	_, end := s.expect(t)
	e.Retire()
	if got := e.Status(); got.Open != 1 || got.Ready != 2 || got.Requests != 1 {
		t.Errorf("%+v", got)
	}
	end <- Outcome{Result: balancer.ConnectionLost, At: e.clock.Now()}
	_, end = s.expect(t) // still retried
	end <- Outcome{Result: balancer.Success, At: e.clock.Now()}
	if a := testpeer.Receive(t, out.Response(), "the response"); a.Kind != Served {
		t.Errorf("kind %v", a.Kind)
	}
	testpeer.Receive(t, e.Done(), "the end of Run")
	out.Disconnect(e.clock.Now()) // does not block
	if got := e.Status(); got != (Status{}) {
		t.Errorf("%+v after Run has returned", got)
	}
}
