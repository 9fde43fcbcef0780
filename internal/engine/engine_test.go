package engine

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/testpeer"
)

// script is a Backend whose attempts end as a test says.
type script struct {
	loads    map[string]float64  // what servers say they hold when they are polled; others say nothing
	updates  int                 // of the endpoint list
	closed   chan discovery.Host // servers whose idle connections were closed
	attempts chan *Attempt       // as they begin
	next     chan chan Outcome
}

func newScript() *script {
	return &script{attempts: make(chan *Attempt, 100), next: make(chan chan Outcome, 100), closed: make(chan discovery.Host, 100)}
}

func (s *script) Servers([]discovery.Target, bool) { s.updates++ }

func (s *script) Poll(h discovery.Host, _ time.Duration) (float64, bool) {
	busy, ok := s.loads[h.Server]
	return busy, ok
}

func (s *script) CloseIdle(h discovery.Host) { s.closed <- h }

func (s *script) Run(a *Attempt) Outcome {
	end := make(chan Outcome, 1)
	s.attempts <- a
	s.next <- end
	select {
	case o := <-end:
		return o
	case <-a.Context().Done():
		return Outcome{Result: balancer.Cancelled, At: a.Sent}
	}
}

// expect waits for an attempt and returns it with the channel for its outcome.
func (s *script) expect(t *testing.T) (*Attempt, chan<- Outcome) {
	t.Helper()
	return testpeer.Receive(t, s.attempts, "an attempt"), testpeer.Receive(t, s.next, "its outcome channel")
}

func settings() balancer.Settings {
	class := func(name string, e balancer.Effect) balancer.Class {
		return balancer.Class{Name: name, Effect: e, LatencyObjective: testpeer.Limit, Deadline: 2 * testpeer.Limit, PriorityWeight: 1}
	}
	return balancer.Settings{Balancers: 1, MaxAttempts: 4, MayCancel: true, Tick: time.Millisecond,
		MaxRetryAfter: 2 * time.Second, SlowStartMinimum: 1, TotalWeight: 1,
		Classes: []balancer.Class{class("view", balancer.Safe), class("note", balancer.Unsafe)}}
}

// servers is a full snapshot of ready servers.
func servers(ids ...string) discovery.List {
	l := discovery.List{Full: true}
	for _, id := range ids {
		l.Targets = append(l.Targets, discovery.Target{Server: balancer.Server{ID: id}, Endpoint: "127.0.0.1:1"})
	}
	return l
}

func newEngine(t *testing.T, s *script, l discovery.List) *Engine {
	t.Helper()
	e, err := New(Options{Settings: settings(), Seed: 1, Clock: clock.New(), Backend: s, Subscribe: func() {}, Pushed: true,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	e.RestoreList(l)
	return e
}

// newRequest is a request with a deadline beyond any test.
func newRequest(e *Engine, id, class string) *Request {
	c := NewRequest(id, Message{})
	c.Class, c.At = class, e.clock.Now()
	c.Deadline = c.At + testpeer.Limit
	return c
}

// Given two servers, the first attempt of a safe request breaks and the next is served: one response, and no two attempts in flight at once.
// An unsafe request whose attempt may have run fails, and one whose attempt never ran is retried.
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
			t.Errorf("%s after %v: kind %d, body %q, %d more attempts; want kind %d", c.class, c.ends, got.Kind,
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
		e, err := New(Options{Settings: set, Seed: seed, Clock: clock.New(), Backend: s, Subscribe: func() {}, Pushed: true,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err != nil {
			t.Fatal(err)
		}
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
		t.Errorf("kind %d", a.Kind)
	}
	end <- Outcome{Result: balancer.Success, At: e.clock.Now()}
	if a := testpeer.Receive(t, first.Response(), "the first's response"); a.Kind != Served {
		t.Errorf("kind %d", a.Kind)
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
		t.Errorf("kind %d", a.Kind)
	}
	late := newRequest(e, "late", "view")
	e.Submit(late)
	if a := testpeer.Receive(t, late.Response(), "the rejection"); a.Kind != Rejected || a.RetryAfter <= 0 {
		t.Errorf("%+v", a)
	}
}

// A full snapshot that names what is known already is not passed to the balancer: it would draw its subset anew and
// open connections for nothing.
func TestUnchangedFullListChangesNothing(t *testing.T) {
	s := newScript()
	e := newEngine(t, s, servers("s1"))
	s.updates = 0
	terminating, moved := servers("s1"), servers("s1")
	terminating.Targets[0].State = balancer.Draining
	moved.Targets[0].Endpoint = "127.0.0.1:2"
	for i, c := range []struct {
		list discovery.List
		want int
	}{{servers("s1"), 0}, {terminating, 1}, {moved, 2}, {servers(), 3}} {
		if e.handleEvent(listUpdated{c.list}); s.updates != c.want {
			t.Errorf("list %d: %d updates, want %d", i, s.updates, c.want)
		}
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
		t.Errorf("kind %d", a.Kind)
	}
	testpeer.Receive(t, e.Done(), "the end of Run")
	out.Disconnect(e.clock.Now()) // does not block
	if got := e.Status(); got != (Status{}) {
		t.Errorf("%+v after Run has returned", got)
	}
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
		t.Errorf("kind %d, %d more attempts", a.Kind, len(s.attempts))
	}
}

// Stats returns what was counted, without servers that are no longer listed.
func TestStatsCountEvents(t *testing.T) {
	s := newScript()
	l := servers("a")
	l.Rev, l.Targets[0].Zone = 7, "z"
	e, err := New(Options{Settings: settings(), Seed: 1, Clock: clock.New(), Backend: s, Subscribe: func() {}, Pushed: true, Count: true,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	e.RestoreList(l)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.Run(ctx)
	c := NewRequest("1", Message{})
	c.Class, c.At = "view", e.clock.Now()
	c.Deadline = c.At + testpeer.Limit
	e.Submit(c)
	a, end := s.expect(t)
	is := e.Stats()
	if is.Rev != 7 || is.Classes["view"] != (ClassStats{Requests: 1, InFlight: 1}) || is.Servers["a"].InFlight != 1 || is.Zones["z"].Ready != 1 || is.Zones["z"].WarmedUp != 1 {
		t.Errorf("with an attempt in flight: %+v", is)
	}
	end <- Outcome{Result: balancer.Success, At: a.Sent + 3*time.Millisecond}
	testpeer.Receive(t, c.Response(), "the response")
	is = e.Stats()
	if z := is.Zones["z"]; is.Classes["view"].InFlight != 0 || z.Ended != 1 || z.Failures != 0 || z.TotalLatency != 3*time.Millisecond || is.LatencyHistogram[12] != 1 || is.Servers["a"].InFlight != 0 {
		t.Errorf("after its response: %+v", is)
	}
	e.UpdateList(discovery.List{Full: true, Rev: 8})
	if is = e.Stats(); len(is.Servers) != 0 || len(is.Zones) != 0 || is.Rev != 8 {
		t.Errorf("with no server listed: %+v", is)
	}
	cancel()
	<-e.Done()
	if is = e.Stats(); is.Classes != nil {
		t.Errorf("after Run has returned: %+v", is)
	}
}

// A server that is listed anew is in slow start whatever the clock that wrote its start shows, and its start stays the same
// while it is listed with the same boot_ms: the same list again is no update, and connections stay open.
func TestNewlyListedServerIsInSlowStartUnderAnyClock(t *testing.T) {
	for _, off := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		s := newScript()
		set := settings()
		set.SlowStartWindow = 3 * time.Second
		e, err := New(Options{Settings: set, Seed: 1, Clock: clock.New(), Backend: s, Subscribe: func() {}, Pushed: true, Count: true,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err != nil {
			t.Fatal(err)
		}
		go e.Run(t.Context())
		l := servers("old")
		e.UpdateList(l)
		e.Stats() // the first list has been taken
		l.Targets = append(l.Targets, servers("new").Targets...)
		l.Targets[1].Boot = e.clock.Now() + off
		e.UpdateList(l)
		if z := e.Stats().Zones[""]; z.Ready != 2 || z.WarmedUp != 1 {
			t.Errorf("listed as started %v from now: %d servers, %d warmed up, want 2 and 1", off, z.Ready, z.WarmedUp)
		}
		is := e.servers["new"]
		e.UpdateList(l)
		if e.Stats(); e.servers["new"] != is {
			t.Errorf("listed once more: %v, was %v", e.servers["new"], is)
		}
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

// newEngineWithLatencies is an engine that runs, and whose ten requests so far took 20 ms each by its clock.
func newEngineWithLatencies(t *testing.T, s *script) *Engine {
	e := newEngine(t, s, servers("s1", "s2"))
	go e.Run(t.Context())
	for i := range 10 {
		request := newRequest(e, fmt.Sprint("before", i), "note")
		e.Submit(request)
		a, end := s.expect(t)
		end <- Outcome{Result: balancer.Success, At: a.Sent + 20*time.Millisecond}
		testpeer.Receive(t, request.Response(), "the response")
	}
	return e
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
			if got := testpeer.Receive(t, request.Response(), "the response"); got.Kind != c.want || got.Kind == Rejected && (got.RetryAfter <= 0 || !got.Elsewhere) {
				t.Errorf("response %+v, want kind %d", got, c.want)
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

// A full snapshot that names one server less is an update, also where it names as many entries as are known because one of
// them was removed long ago.
func TestFullListWithoutServerIsAnUpdate(t *testing.T) {
	s := newScript()
	e := newEngine(t, s, servers("s1", "s2"))
	go e.Run(t.Context())
	same := servers("s1", "s2")
	less := servers("s1", "s3")
	less.Targets[1].State = balancer.Removed
	for _, c := range []struct {
		name  string
		list  discovery.List
		ready int
	}{{"the same", same, 2}, {"one less, and one that was removed", less, 1}} {
		if e.UpdateList(c.list); e.Status().Ready != c.ready {
			t.Errorf("%s: %d ready, want %d", c.name, e.Status().Ready, c.ready)
		}
	}
}
