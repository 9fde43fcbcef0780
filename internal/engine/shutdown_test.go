package engine

import (
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/testpeer"
)

// Shutdown fails a request with an attempt in flight, and new requests are rejected with a Retry-After.
func TestShutdownFailsInFlightAndRejectsNewRequests(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1"))
	go eng.Run(t.Context())
	inFlight := newRequest(eng, "out", "note")
	eng.Submit(inFlight)
	backend.expectAttempt(t)
	eng.Shutdown()
	if response := testpeer.Receive(t, inFlight.Response(), "the response"); response.Kind != Failed {
		t.Errorf("got response kind %v, want failed", response.Kind)
	}
	late := newRequest(eng, "late", "view")
	eng.Submit(late)
	if response := testpeer.Receive(t, late.Response(), "the rejection"); response.Kind != Rejected || response.RetryAfter <= 0 {
		t.Errorf("got response %+v, want a rejection with a Retry-After", response)
	}
}

// A request that cannot be served before the scheduled shutdown is rejected at once. A request with enough time is sent as
// usual, and so is one of a class with unknown latency.
func TestRequestThatCannotFinishBeforeShutdownIsNeverSent(t *testing.T) {
	for _, test := range []struct {
		name  string
		left  time.Duration // until the shutdown
		class string
		want  Kind
	}{
		{"enough time", time.Hour, "note", Served},
		{"too little time", 10 * time.Millisecond, "note", Rejected},
		{"latency of the class is unknown", time.Minute, "view", Served},
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
				t.Errorf("got response %+v, want kind %v", got, test.want)
			}
			if got.Kind == Rejected && (got.RetryAfter <= 0 || !got.TryOtherNode) {
				t.Errorf("got response %+v, want a Retry-After and TryOtherNode", got)
			}
		})
	}
}

// A request that is already queued when the shutdown is scheduled is also rejected if it cannot be served before.
func TestQueuedRequestIsRejectedBeforeShutdown(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngineWithLatencies(t, backend)
	eng.UpdateList(discovery.List{Full: true})
	queued := newRequest(eng, "queued", "note")
	eng.Submit(queued)
	if got := eng.Status(); got.Open != 1 {
		t.Fatalf("got status %+v, want one queued request", got)
	}
	eng.ScheduleShutdown(eng.clock.Now() + 10*time.Millisecond)
	if got := testpeer.Receive(t, queued.Response(), "the response"); got.Kind != Rejected || len(backend.attempts) > 0 {
		t.Errorf("got response %+v after %d attempts, want a rejection without attempts", got, len(backend.attempts))
	}
}

// A retired engine finishes its pending requests, including retries, and then Run returns. Its status is empty from then on.
func TestRunReturnsAfterRetireOnceAllRequestsAreFinished(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1", "s2"))
	go eng.Run(t.Context())
	request := newRequest(eng, "out", "view")
	eng.Submit(request)
	_, outcome := backend.expectAttempt(t)
	eng.Retire()
	if got := eng.Status(); got.Open != 1 || got.Ready != 2 || got.Requests != 1 {
		t.Errorf("got status %+v, want one pending request and two ready servers", got)
	}
	outcome <- Outcome{Result: balancer.ConnectionLost, At: eng.clock.Now()}
	_, outcome = backend.expectAttempt(t) // still retried
	outcome <- Outcome{Result: balancer.Success, At: eng.clock.Now()}
	if response := testpeer.Receive(t, request.Response(), "the response"); response.Kind != Served {
		t.Errorf("got response kind %v, want served", response.Kind)
	}
	testpeer.Receive(t, eng.Done(), "the end of Run")
	request.Disconnect(eng.clock.Now()) // does not block
	if got := eng.Status(); got != (Status{}) {
		t.Errorf("got status %+v after Run has returned, want the zero value", got)
	}
}
