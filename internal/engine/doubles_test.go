package engine

import (
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

// options are of an engine with the given settings, whose lists are pushed and whose log goes nowhere.
func options(s *script, set balancer.Settings) Options {
	return Options{
		Settings:  set,
		Seed:      1,
		Clock:     clock.New(),
		Backend:   s,
		Subscribe: func() {},
		Pushed:    true,
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// newEngineWith returns an engine that does not run yet.
func newEngineWith(t *testing.T, o Options) *Engine {
	t.Helper()
	e, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// newEngine returns an engine with a restored list that does not run yet.
func newEngine(t *testing.T, s *script, l discovery.List) *Engine {
	t.Helper()
	e := newEngineWith(t, options(s, settings()))
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

// newEngineWithLatencies is an engine that runs, and whose ten requests so far took 20 ms each by its clock.
func newEngineWithLatencies(t *testing.T, s *script) *Engine {
	t.Helper()
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
