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
	s := newScript()
	e := newEngine(t, s, servers("s1", "s2"))
	go e.Run(t.Context())
	for _, c := range []struct {
		class string
		ends  []balancer.Result
		want  Kind
	}{
		{"view", []balancer.Result{balancer.ConnectionLost, balancer.Success}, Served},
		{"note", []balancer.Result{balancer.ConnectionLost}, Failed},
		{"note", []balancer.Result{balancer.Unreachable, balancer.Success}, Served},
		{"note", []balancer.Result{balancer.Overloaded, balancer.Unreachable}, Rejected},
	} {
		request := newRequest(e, "id", c.class)
		e.Submit(request)
		for i, ending := range c.ends {
			a, end := s.expect(t)
			if a.N != i || len(s.attempts) > 0 {
				t.Fatalf("%s: attempt %d with %d more in flight, want attempt %d alone", c.class, a.N, len(s.attempts), i)
			}
			end <- Outcome{Result: ending, At: e.clock.Now(), Reply: Reply{Body: []byte("body")}}
		}
		got := testpeer.Receive(t, request.Response(), "the response")
		if got.Kind != c.want || got.Kind == Served && string(got.Reply.Body) != "body" || len(s.attempts) > 0 {
			t.Errorf("%s after %v: kind %v, body %q, %d more attempts; want kind %v", c.class, c.ends, got.Kind,
				got.Reply.Body, len(s.attempts), c.want)
		}
	}
}

// Where the pool polls servers, a request goes to the one that holds least, and its reply is the client's as ever.
func TestServersArePolledBeforeRequest(t *testing.T) {
	for seed := range uint64(5) {
		s := newScript()
		s.loads = map[string]float64{"s1": 4, "s2": 1, "s3": 4, "s4": 4}
		set := settings()
		set.PollChoices = 4
		o := options(s, set)
		o.Seed = seed
		e := newEngineWith(t, o)
		e.RestoreList(servers("s1", "s2", "s3", "s4"))
		go e.Run(t.Context())
		request := newRequest(e, "id", "note")
		e.Submit(request)
		a, end := s.expect(t)
		if a.To.Server != "s2" {
			t.Errorf("the request goes to %s; s2 holds least", a.To.Server)
		}
		end <- Outcome{Result: balancer.Success, At: e.clock.Now(), Load: &balancer.Load{Busy: 1}}
		if got := testpeer.Receive(t, request.Response(), "the response"); got.Kind != Served {
			t.Errorf("the response is %v", got.Kind)
		}
		if got := e.Status().Polls; got != 4 {
			t.Errorf("%d servers were polled; want 4", got)
		}
	}
}

// While the servers of one zone are silent and those of another reply, a probe of the silent ones goes over a connection of
// its own: the back end closes the idle ones before the attempt begins.
func TestProbeOfSilentZoneUsesItsOwnConnection(t *testing.T) {
	s := newScript()
	l := servers("s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
	for i := range l.Targets {
		l.Targets[i].Zone = fmt.Sprint("zone", i%2)
	}
	e := newEngine(t, s, l)
	go e.Run(t.Context())
	for i := 0; len(s.closed) == 0; i++ {
		if i == 10000 {
			t.Fatal("no probe is made")
		}
		request := newRequest(e, fmt.Sprint(i), "note")
		e.Submit(request)
		a, end := s.expect(t)
		if len(s.closed) > 0 {
			if h := <-s.closed; h != a.To || a.To.Server > "s" && (a.To.Server[1]-'1')%2 != 1 {
				t.Errorf("idle connections to %v were closed, the attempt goes to %v", h, a.To)
			}
			return
		}
		if (a.To.Server[1]-'1')%2 == 0 { // zone0
			end <- Outcome{Result: balancer.Success, At: e.clock.Now()}
			testpeer.Receive(t, request.Response(), "the response")
		}
	}
}

// A request with an id that is in use gets a response of its own, and the first request with it goes on.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	s := newScript()
	e := newEngine(t, s, servers("s1"))
	go e.Run(t.Context())
	first, second := newRequest(e, "id", "view"), newRequest(e, "id", "view")
	e.Submit(first)
	_, end := s.expect(t)
	e.Submit(second)
	if a := testpeer.Receive(t, second.Response(), "the second's response"); a.Kind != Duplicate {
		t.Errorf("kind %v", a.Kind)
	}
	end <- Outcome{Result: balancer.Success, At: e.clock.Now()}
	if a := testpeer.Receive(t, first.Response(), "the first's response"); a.Kind != Served {
		t.Errorf("kind %v", a.Kind)
	}
}

// The attempt of a client that disconnects is cancelled; the id is free again once that has ended.
func TestDisconnectCancelsAttempt(t *testing.T) {
	s := newScript()
	e := newEngine(t, s, servers("s1"))
	go e.Run(t.Context())
	c := newRequest(e, "id", "note")
	e.Submit(c)
	a, _ := s.expect(t)
	c.Disconnect(e.clock.Now())
	testpeer.Receive(t, a.Context().Done(), "the cancel")
	testpeer.Until(t, "the id to be free", func() bool {
		again := newRequest(e, "id", "note")
		e.Submit(again)
		select {
		case got := <-again.Response():
			return got.Kind != Duplicate
		case <-s.attempts:
			return true
		}
	})
}

// Requests that are in flight when their class becomes unsafe are not retried.
func TestReconfigureTightensInFlightRequests(t *testing.T) {
	s := newScript()
	e := newEngine(t, s, servers("s1", "s2"))
	go e.Run(t.Context())
	out := newRequest(e, "out", "view")
	e.Submit(out)
	_, end := s.expect(t)
	next := settings()
	next.Classes[0].Effect = balancer.Unsafe
	e.Reconfigure(next, true)
	e.Status() // the loop has handled the new settings
	end <- Outcome{Result: balancer.ConnectionLost, At: e.clock.Now()}
	if a := testpeer.Receive(t, out.Response(), "the response"); a.Kind != Failed || len(s.attempts) > 0 {
		t.Errorf("kind %v, %d more attempts", a.Kind, len(s.attempts))
	}
}

// The client of a request that never came to an engine may disconnect all the same.
func TestRequestWithoutEngineMayBeDisconnected(t *testing.T) {
	c := NewRequest("id", Message{})
	c.Finish(Response{Kind: Rejected})
	c.Disconnect(0)
	select {
	case a := <-c.Response():
		t.Errorf("%+v is still there for a client that has disconnected", a)
	default:
	}
}
