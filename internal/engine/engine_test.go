package engine

import (
	"fmt"
	"testing"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/testpeer"
)

// Given two servers, the first attempt of a safe request breaks and the next is served: one response, and no two
// attempts in flight at once. An unsafe request whose attempt may have run fails, and one whose attempt never ran is retried.
func TestOneResponseAndNoConcurrentAttempts(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1", "s2"))
	go eng.Run(t.Context())
	for _, test := range []struct {
		class string
		ends  []balancer.Result
		want  Kind
	}{
		{"view", []balancer.Result{balancer.ConnectionLost, balancer.Success}, Served},
		{"note", []balancer.Result{balancer.ConnectionLost}, Failed},
		{"note", []balancer.Result{balancer.Unreachable, balancer.Success}, Served},
		{"note", []balancer.Result{balancer.Overloaded, balancer.Unreachable}, Rejected},
	} {
		request := newRequest(eng, "id", test.class)
		eng.Submit(request)
		for i, result := range test.ends {
			attempt, outcome := backend.expectAttempt(t)
			if attempt.Number != i || len(backend.attempts) > 0 {
				t.Fatalf("%s: attempt %d with %d more in flight, want attempt %d alone", test.class, attempt.Number, len(backend.attempts), i)
			}
			outcome <- Outcome{Result: result, At: eng.clock.Now(), Reply: Reply{Body: []byte("body")}}
		}
		got := testpeer.Receive(t, request.Response(), "the response")
		if got.Kind != test.want || got.Kind == Served && string(got.Reply.Body) != "body" || len(backend.attempts) > 0 {
			t.Errorf("%s after %v: kind %v, body %q, %d more attempts; want kind %v", test.class, test.ends, got.Kind,
				got.Reply.Body, len(backend.attempts), test.want)
		}
	}
}

// Where the pool polls servers, a request goes to the one that holds least, and its reply is the client's as ever.
func TestRequestGoesToPolledServerWithLeastLoad(t *testing.T) {
	for seed := range uint64(5) {
		backend := newFakeBackend()
		backend.loads = map[string]float64{"s1": 4, "s2": 1, "s3": 4, "s4": 4}
		balancerSettings := settings()
		balancerSettings.PollChoices = 4
		opts := options(backend, balancerSettings)
		opts.Seed = seed
		eng := newEngineWith(t, opts)
		eng.RestoreList(servers("s1", "s2", "s3", "s4"))
		go eng.Run(t.Context())
		request := newRequest(eng, "id", "note")
		eng.Submit(request)
		attempt, outcome := backend.expectAttempt(t)
		if attempt.Host.Server != "s2" {
			t.Errorf("the request goes to %s; s2 holds least", attempt.Host.Server)
		}
		outcome <- Outcome{Result: balancer.Success, At: eng.clock.Now(), Load: &balancer.Load{Busy: 1}}
		if got := testpeer.Receive(t, request.Response(), "the response"); got.Kind != Served {
			t.Errorf("the response is %v", got.Kind)
		}
		if got := eng.Status().Polls; got != 4 {
			t.Errorf("%d servers were polled; want 4", got)
		}
	}
}

// While the servers of one zone are silent and those of another reply, a probe of the silent ones goes over a connection of
// its own: the back end closes the idle ones before the attempt begins.
func TestProbeOfSilentZoneUsesItsOwnConnection(t *testing.T) {
	backend := newFakeBackend()
	list := servers("s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
	for i := range list.Targets {
		list.Targets[i].Zone = fmt.Sprint("zone", i%2)
	}
	eng := newEngine(t, backend, list)
	go eng.Run(t.Context())
	for i := 0; len(backend.closed) == 0; i++ {
		if i == 10000 {
			t.Fatal("no probe is made")
		}
		request := newRequest(eng, fmt.Sprint(i), "note")
		eng.Submit(request)
		attempt, outcome := backend.expectAttempt(t)
		if len(backend.closed) > 0 {
			if closedHost := <-backend.closed; closedHost != attempt.Host || attempt.Host.Server > "s" && (attempt.Host.Server[1]-'1')%2 != 1 {
				t.Errorf("idle connections to %v were closed, the attempt goes to %v", closedHost, attempt.Host)
			}
			return
		}
		if (attempt.Host.Server[1]-'1')%2 == 0 { // zone0
			outcome <- Outcome{Result: balancer.Success, At: eng.clock.Now()}
			testpeer.Receive(t, request.Response(), "the response")
		}
	}
}

// A request with an id that is in use gets a response of its own, and the first request with it goes on.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1"))
	go eng.Run(t.Context())
	first, second := newRequest(eng, "id", "view"), newRequest(eng, "id", "view")
	eng.Submit(first)
	_, outcome := backend.expectAttempt(t)
	eng.Submit(second)
	if response := testpeer.Receive(t, second.Response(), "the second's response"); response.Kind != Duplicate {
		t.Errorf("kind %v", response.Kind)
	}
	outcome <- Outcome{Result: balancer.Success, At: eng.clock.Now()}
	if response := testpeer.Receive(t, first.Response(), "the first's response"); response.Kind != Served {
		t.Errorf("kind %v", response.Kind)
	}
}

// The attempt of a client that disconnects is cancelled; the id is free again once that has ended.
func TestDisconnectCancelsAttempt(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1"))
	go eng.Run(t.Context())
	request := newRequest(eng, "id", "note")
	eng.Submit(request)
	attempt, _ := backend.expectAttempt(t)
	request.Disconnect(eng.clock.Now())
	testpeer.Receive(t, attempt.Context().Done(), "the cancel")
	testpeer.Until(t, "the id to be free", func() bool {
		again := newRequest(eng, "id", "note")
		eng.Submit(again)
		select {
		case got := <-again.Response():
			return got.Kind != Duplicate
		case <-backend.attempts:
			return true
		}
	})
}

// Requests that are in flight when their class becomes unsafe are not retried.
func TestReconfigureAppliesToInFlightRequests(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1", "s2"))
	go eng.Run(t.Context())
	request := newRequest(eng, "out", "view")
	eng.Submit(request)
	_, outcome := backend.expectAttempt(t)
	next := settings()
	next.Classes[0].Effect = balancer.Unsafe
	eng.Reconfigure(next, true)
	eng.Status() // the loop has handled the new settings
	outcome <- Outcome{Result: balancer.ConnectionLost, At: eng.clock.Now()}
	if response := testpeer.Receive(t, request.Response(), "the response"); response.Kind != Failed || len(backend.attempts) > 0 {
		t.Errorf("kind %v, %d more attempts", response.Kind, len(backend.attempts))
	}
}

// The client of a request that never came to an engine may disconnect all the same.
func TestDisconnectWithoutEngineDiscardsResponse(t *testing.T) {
	request := NewRequest("id", Message{})
	request.Finish(Response{Kind: Rejected})
	request.Disconnect(0)
	select {
	case response := <-request.Response():
		t.Errorf("%+v is still there for a client that has disconnected", response)
	default:
	}
}
