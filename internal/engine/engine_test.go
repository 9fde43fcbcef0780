package engine

import (
	"fmt"
	"testing"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/testpeer"
)

// With two servers, a safe request whose first attempt loses its connection is retried and served: one response, and never
// two attempts in flight. An unsafe request fails if an attempt may have run, and is retried if the attempt never ran.
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
				t.Fatalf("%s: got attempt %d with %d more in flight, want only attempt %d", test.class, attempt.Number, len(backend.attempts), i)
			}
			outcome <- Outcome{Result: result, At: eng.clock.Now(), Reply: Reply{Body: []byte("body")}}
		}
		got := testpeer.Receive(t, request.Response(), "the response")
		if got.Kind != test.want || got.Kind == Served && string(got.Reply.Body) != "body" || len(backend.attempts) > 0 {
			t.Errorf("%s after %v: got kind %v, body %q and %d more attempts, want kind %v", test.class, test.ends, got.Kind,
				got.Reply.Body, len(backend.attempts), test.want)
		}
	}
}

// If the pool polls servers, a request is sent to the least loaded one and served as without polling.
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
			t.Errorf("request was sent to %s, want s2 with the least load", attempt.Host.Server)
		}
		outcome <- Outcome{Result: balancer.Success, At: eng.clock.Now(), Load: &balancer.Load{Busy: 1}}
		if got := testpeer.Receive(t, request.Response(), "the response"); got.Kind != Served {
			t.Errorf("got response kind %v, want served", got.Kind)
		}
		if got := eng.Status().Polls; got != 4 {
			t.Errorf("got %d polls, want 4", got)
		}
	}
}

// While the servers of one zone do not reply and those of another do, a probe of a silent server uses a new connection: the
// backend closes the idle ones before the attempt starts.
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
			t.Fatal("no probe of a silent server in 10000 requests")
		}
		request := newRequest(eng, fmt.Sprint(i), "note")
		eng.Submit(request)
		attempt, outcome := backend.expectAttempt(t)
		if len(backend.closed) > 0 {
			if closedHost := <-backend.closed; closedHost != attempt.Host || attempt.Host.Server > "s" && (attempt.Host.Server[1]-'1')%2 != 1 {
				t.Errorf("idle connections to %v were closed, but the attempt was sent to %v; want the same server, of the silent zone", closedHost, attempt.Host)
			}
			return
		}
		if (attempt.Host.Server[1]-'1')%2 == 0 { // zone0
			outcome <- Outcome{Result: balancer.Success, At: eng.clock.Now()}
			testpeer.Receive(t, request.Response(), "the response")
		}
	}
}

// A request whose id is in use gets the response Duplicate, and the first request with the id is still served.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1"))
	go eng.Run(t.Context())
	first, second := newRequest(eng, "id", "view"), newRequest(eng, "id", "view")
	eng.Submit(first)
	_, outcome := backend.expectAttempt(t)
	eng.Submit(second)
	if response := testpeer.Receive(t, second.Response(), "the second's response"); response.Kind != Duplicate {
		t.Errorf("second request: got response kind %v, want duplicate", response.Kind)
	}
	outcome <- Outcome{Result: balancer.Success, At: eng.clock.Now()}
	if response := testpeer.Receive(t, first.Response(), "the first's response"); response.Kind != Served {
		t.Errorf("first request: got response kind %v, want served", response.Kind)
	}
}

// If a client disconnects, its attempt is cancelled, and its request id can be used again once the attempt has ended.
func TestDisconnectCancelsAttempt(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1"))
	go eng.Run(t.Context())
	request := newRequest(eng, "id", "note")
	eng.Submit(request)
	attempt, _ := backend.expectAttempt(t)
	request.Disconnect(eng.clock.Now())
	testpeer.Receive(t, attempt.Context().Done(), "the cancellation")
	testpeer.Until(t, "the request id to be free", func() bool {
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

// A request that is in flight when a new configuration makes its class unsafe is not retried.
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
	eng.Status() // returns after the loop has handled the new settings
	outcome <- Outcome{Result: balancer.ConnectionLost, At: eng.clock.Now()}
	if response := testpeer.Receive(t, request.Response(), "the response"); response.Kind != Failed || len(backend.attempts) > 0 {
		t.Errorf("got kind %v and %d more attempts, want failed and none", response.Kind, len(backend.attempts))
	}
}

// If the client of a request disconnects that was finished without an engine, its response is discarded.
func TestDisconnectWithoutEngineDiscardsResponse(t *testing.T) {
	request := NewRequest("id", Message{})
	request.Finish(Response{Kind: Rejected})
	request.Disconnect(0)
	select {
	case response := <-request.Response():
		t.Errorf("response %+v was not discarded after the disconnect", response)
	default:
	}
}
