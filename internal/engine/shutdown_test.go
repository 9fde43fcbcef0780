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
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1"))
	go eng.Run(t.Context())
	inFlight := newRequest(eng, "out", "note")
	eng.Submit(inFlight)
	backend.expectAttempt(t)
	eng.Shutdown()
	if response := testpeer.Receive(t, inFlight.Response(), "the response"); response.Kind != Failed {
		t.Errorf("kind %v", response.Kind)
	}
	late := newRequest(eng, "late", "view")
	eng.Submit(late)
	if response := testpeer.Receive(t, late.Response(), "the rejection"); response.Kind != Rejected || response.RetryAfter <= 0 {
		t.Errorf("%+v", response)
	}
}

// Shortly before the end of the shutdown a request that would not be served by then is rejected at once. One with enough
// time is sent as ever, and so is one of a class whose latency is not known.
func TestRequestThatCannotFinishBeforeShutdownIsNeverSent(t *testing.T) {
	for _, test := range []struct {
		name  string
		left  time.Duration // until the end of the shutdown
		class string
		want  Kind
	}{
		{"time enough", time.Hour, "note", Served},
		{"too little", 10 * time.Millisecond, "note", Rejected},
		{"nothing known of its class", time.Minute, "view", Served},
	} {
		t.Run(test.name, func(t *testing.T) {
			backend := newFakeBackend()
			eng := newEngineWithLatencies(t, backend)
			eng.ScheduleShutdown(eng.clock.Now() + test.left)
			request := newRequest(eng, "late", test.class)
			eng.Submit(request)
			if test.want == Served {
				_, outcome := backend.expectAttempt(t)
				outcome <- Outcome{Result: balancer.Success, At: eng.clock.Now()}
			}
			got := testpeer.Receive(t, request.Response(), "the response")
			if got.Kind != test.want {
				t.Errorf("response %+v, want kind %v", got, test.want)
			}
			if got.Kind == Rejected && (got.RetryAfter <= 0 || !got.TryOtherNode) {
				t.Errorf("response %+v, want a Retry-After and another node", got)
			}
		})
	}
}

// A request that is queued when the shutdown is announced is rejected too where it is too late for it.
func TestQueuedRequestIsRejectedBeforeShutdown(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngineWithLatencies(t, backend)
	eng.UpdateList(discovery.List{Full: true})
	queued := newRequest(eng, "waiting", "note")
	eng.Submit(queued)
	if got := eng.Status(); got.Open != 1 {
		t.Fatalf("%+v, want one queued request", got)
	}
	eng.ScheduleShutdown(eng.clock.Now() + 10*time.Millisecond)
	if got := testpeer.Receive(t, queued.Response(), "the response"); got.Kind != Rejected || len(backend.attempts) > 0 {
		t.Errorf("response %+v after %d attempts, want a rejection after none", got, len(backend.attempts))
	}
}

// A retired engine finishes the requests that it has, with retries, and its Run returns. Its status is empty from then on.
func TestRunReturnsAfterRetireOnceAllRequestsAreFinished(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1", "s2"))
	go eng.Run(t.Context())
	request := newRequest(eng, "out", "view")
	eng.Submit(request)
	_, outcome := backend.expectAttempt(t)
	eng.Retire()
	if got := eng.Status(); got.Open != 1 || got.Ready != 2 || got.Requests != 1 {
		t.Errorf("%+v", got)
	}
	outcome <- Outcome{Result: balancer.ConnectionLost, At: eng.clock.Now()}
	_, outcome = backend.expectAttempt(t) // still retried
	outcome <- Outcome{Result: balancer.Success, At: eng.clock.Now()}
	if response := testpeer.Receive(t, request.Response(), "the response"); response.Kind != Served {
		t.Errorf("kind %v", response.Kind)
	}
	testpeer.Receive(t, eng.Done(), "the end of Run")
	request.Disconnect(eng.clock.Now()) // does not block
	if got := eng.Status(); got != (Status{}) {
		t.Errorf("%+v after Run has returned", got)
	}
}
