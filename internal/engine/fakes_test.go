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

// fakeBackend is a Backend whose attempts end with the outcomes that a test sends.
type fakeBackend struct {
	loads    map[string]float64  // load by server that polls return; other servers report none
	updates  int                 // number of updates of the endpoint list
	closed   chan discovery.Host // arguments of CloseIdle
	attempts chan *Attempt       // in the order of their start
	outcomes chan chan Outcome
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{attempts: make(chan *Attempt, 100), outcomes: make(chan chan Outcome, 100), closed: make(chan discovery.Host, 100)}
}

func (s *fakeBackend) Servers([]discovery.Target, bool) { s.updates++ }

func (s *fakeBackend) Poll(h discovery.Host, _ time.Duration) (float64, bool) {
	busy, ok := s.loads[h.Server]
	return busy, ok
}

func (s *fakeBackend) CloseIdle(h discovery.Host) { s.closed <- h }

func (s *fakeBackend) Run(a *Attempt) Outcome {
	outcome := make(chan Outcome, 1)
	s.attempts <- a
	s.outcomes <- outcome
	select {
	case o := <-outcome:
		return o
	case <-a.Context().Done():
		return Outcome{Result: balancer.Cancelled, At: a.SentAt}
	}
}

// expectAttempt waits for an attempt and returns it with the channel for its outcome.
func (s *fakeBackend) expectAttempt(t *testing.T) (*Attempt, chan<- Outcome) {
	t.Helper()
	return testpeer.Receive(t, s.attempts, "an attempt"), testpeer.Receive(t, s.outcomes, "its outcome channel")
}

func settings() balancer.Settings {
	class := func(name string, effect balancer.Effect) balancer.Class {
		return balancer.Class{Name: name, Effect: effect, LatencyObjective: testpeer.Limit, Deadline: 2 * testpeer.Limit, PriorityWeight: 1}
	}
	return balancer.Settings{Balancers: 1, MaxAttempts: 4, MayCancel: true, Tick: time.Millisecond,
		MaxRetryAfter: 2 * time.Second, SlowStartMinimum: 1, TotalWeight: 1,
		Classes: []balancer.Class{class("view", balancer.Safe), class("note", balancer.Unsafe)}}
}

// servers returns a full list of ready servers.
func servers(ids ...string) discovery.List {
	list := discovery.List{Full: true}
	for _, id := range ids {
		list.Targets = append(list.Targets, discovery.Target{Server: balancer.Server{ID: id}, Endpoint: "127.0.0.1:1"})
	}
	return list
}

// options returns Options with the given settings, pushed lists and a discarded log.
func options(backend *fakeBackend, balancerSettings balancer.Settings) Options {
	return Options{
		Settings:    balancerSettings,
		Seed:        1,
		Clock:       clock.New(),
		Backend:     backend,
		Subscribe:   func() {},
		ListsPushed: true,
		Log:         slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// newEngineWith returns an engine that is not running yet.
func newEngineWith(t *testing.T, opts Options) *Engine {
	t.Helper()
	eng, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	return eng
}

// newEngine returns an engine with a restored list that is not running yet.
func newEngine(t *testing.T, backend *fakeBackend, list discovery.List) *Engine {
	t.Helper()
	eng := newEngineWith(t, options(backend, settings()))
	eng.RestoreList(list)
	return eng
}

// newRequest returns a request with a deadline that no test reaches.
func newRequest(eng *Engine, id, class string) *Request {
	request := NewRequest(id, Message{})
	request.Class, request.At = class, eng.clock.Now()
	request.Deadline = request.At + testpeer.Limit
	return request
}

// newEngineWithLatencies returns a running engine that has served ten requests, with a latency of 20 ms each.
func newEngineWithLatencies(t *testing.T, backend *fakeBackend) *Engine {
	t.Helper()
	eng := newEngine(t, backend, servers("s1", "s2"))
	go eng.Run(t.Context())
	for i := range 10 {
		request := newRequest(eng, fmt.Sprint("before", i), "note")
		eng.Submit(request)
		attempt, outcome := backend.expectAttempt(t)
		outcome <- Outcome{Result: balancer.Success, At: attempt.SentAt + 20*time.Millisecond}
		testpeer.Receive(t, request.Response(), "the response")
	}
	return eng
}
