package gateway

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/route"
	"damsontrestle/internal/routeexchange"
	"damsontrestle/internal/testpeer"
)

// backend stands in for the servers of a pool: attempts end as a test says, the last outcome again and again.
type backend struct {
	outcomes []engine.Outcome
	attempts []*engine.Attempt
	duration time.Duration // each attempt
}

func (b *backend) Run(a *engine.Attempt) engine.Outcome {
	a.Allowed()
	out := b.outcomes[min(len(b.attempts), len(b.outcomes)-1)]
	b.attempts = append(b.attempts, a)
	time.Sleep(b.duration)
	return out
}

func (*backend) Servers([]discovery.Target, bool)                           {}
func (*backend) Poll(discovery.Host, time.Duration) (busy float64, ok bool) { return 0, false }
func (*backend) CloseIdle(discovery.Host)                                   {}

// resumeRequest has a request taken over whose first attempt, at server s0 of a pool, may have run, with so many attempts at most.
func resumeRequest(t *testing.T, b *backend, pool string, effect config.Effect, attempts int, within time.Duration) replication.Outcome {
	t.Helper()
	return carryOut(t, b, pool, effect, attempts, within, []replication.Intent{{Pool: pool, Server: "s0", ID: "request"}})
}

// newEngine is the engine of a pool with two servers, whose attempts end as a backend says.
func newEngine(t *testing.T, b *backend, class config.Class, attempts int, c clock.Clock) *engine.Engine {
	t.Helper()
	settings := balancer.Settings{
		Balancers:        1,
		MaxAttempts:      attempts,
		Tick:             time.Millisecond,
		MaxRetryAfter:    time.Second,
		SlowStartMinimum: 1,
		TotalWeight:      1,
		Classes:          []balancer.Class{class.BalancerClass()},
	}
	settings.Classes[0].PriorityWeight = 1
	settings.Classes[0].LatencyObjective = testpeer.Limit
	eng, err := engine.New(engine.Options{
		Settings:    settings,
		Clock:       c,
		Backend:     b,
		Subscribe:   func() {},
		ListsPushed: true,
		Log:         slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	var servers discovery.List
	for _, id := range []string{"s0", "s1"} {
		servers.Targets = append(servers.Targets, discovery.Target{Server: balancer.Server{ID: id}, Endpoint: "127.0.0.1:1"})
	}
	eng.RestoreList(servers)
	return eng
}

// newSnapshot routes all requests to a pool.
func newSnapshot(t *testing.T, class config.Class, pool string, eng *engine.Engine) *dispatch.Snapshot {
	t.Helper()
	cfg := &config.Config{
		Classes:   []config.Class{class},
		Listeners: []config.Listener{{Name: "main", Protocol: config.HTTP1, Paths: config.AsSentPaths}},
		Pools:     []config.Pool{{Name: pool}},
		Routes:    []route.Route{{Name: "default", Default: true, To: []route.Target{{Pool: pool, Weight: 1}}}},
	}
	snapshot, err := dispatch.NewSnapshot(cfg, map[string]*engine.Engine{pool: eng})
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// carryOut has a request carried out of which there have been earlier attempts. Routes name the pool, by an advertisement of this
// partner's own.
func carryOut(t *testing.T, b *backend, pool string, effect config.Effect, attempts int, within time.Duration, priorIntents []replication.Intent) replication.Outcome {
	t.Helper()
	const partner = "p1"
	class := config.Class{Name: "note", Effect: effect, Deadline: config.Duration(testpeer.Limit)}
	c := clock.New()
	eng := newEngine(t, b, class, attempts, c)
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	g := &Gateway{options: Options{
		Calls: dispatch.New(newSnapshot(t, class, pool, eng)),
		Clock: c,
		Log:   slog.New(slog.DiscardHandler),
		Keys:  map[string][]byte{partner: []byte("the partners' key")},
	}}
	g.exchange = &routeexchange.Exchange{} // that knows of nobody
	g.self.Partner = "p0"
	own := routeexchange.Advertisement{ID: routeexchange.ID{Origin: "p0", Name: "own"}, Class: "note", Prefix: "/note/"}
	g.routes = routeexchange.NewTable(routeexchange.Policy{Self: "p0", Own: []routeexchange.Advertisement{own}}, time.Now)
	g.policy.Store(&policy{partners: map[string]bool{partner: true}})
	g.ctx, g.cancel = context.WithCancel(t.Context())
	defer g.tasks.Wait()
	var engines sync.WaitGroup
	engines.Go(func() { eng.Run(g.ctx) })
	defer engines.Wait()
	defer g.cancel()
	e := &execution{
		gateway: g,
		record: &replication.Record{
			ID:     "request",
			Key:    replication.Key{Class: "note", ID: "i:request"},
			Method: "POST",
			Target: "/note/x",
			Route:  replication.Route{Listener: "main", Path: "/note/x"},
		},
		message:      engine.Message{Method: "POST", Target: "/note/x"},
		class:        class,
		priorIntents: priorIntents,
	}
	return e.run(ctx)
}

// queryUnsafe has a partner asked for the outcome of an unsafe request that may run there.
func queryUnsafe(t *testing.T, b *backend, within time.Duration) replication.Outcome {
	t.Helper()
	return resumeRequest(t, b, config.PartnerPoolName("p1"), config.Unsafe, 1, within)
}

// That a query for a request was rejected, or reached nobody, says nothing of the request: it may run, and is asked for again.
func TestRejectedQueryDoesNotRejectRequest(t *testing.T) {
	served := engine.Outcome{Result: balancer.Success, Reply: engine.Reply{Body: []byte("answer"), Length: 6}}
	p := &backend{outcomes: []engine.Outcome{{Result: balancer.Overloaded}, {Result: balancer.Unreachable}, {Result: balancer.Overloaded}, served}}
	if outcome := queryUnsafe(t, p, testpeer.Limit); outcome.Kind != replication.Served || string(outcome.Body) != "answer" {
		t.Errorf("after %d queries the request came to %+v", len(p.attempts), outcome)
	}
}

// Once the partner has settled that it rejected the request, that is the request's outcome, and no time is waited for another.
func TestSettledRejectionIsFinalResponse(t *testing.T) {
	p := &backend{outcomes: []engine.Outcome{{Result: balancer.Overloaded, Settled: true}}}
	if outcome := queryUnsafe(t, p, testpeer.Limit); outcome.Kind != replication.Rejected || !outcome.NotRun || len(p.attempts) != 1 {
		t.Errorf("after %d queries the request came to %+v", len(p.attempts), outcome)
	}
}

// A partner that never says what became of a request leaves it failed: it may have run.
func TestRequestWithoutAnswerHasFailed(t *testing.T) {
	p := &backend{outcomes: []engine.Outcome{{Result: balancer.Overloaded}}}
	if outcome := queryUnsafe(t, p, 200*time.Millisecond); outcome.Kind != replication.Failed {
		t.Errorf("after %d queries the request came to %+v", len(p.attempts), outcome)
	}
}

// A request that goes on at this partner's own servers keeps its attempts: their numbers go on, and no server is tried twice. No
// partner's envelope goes with it.
func TestTakenOverRequestContinuesAtOwnServers(t *testing.T) {
	served := engine.Outcome{Result: balancer.Success, Reply: engine.Reply{Body: []byte("answer"), Length: 6}}
	b := &backend{outcomes: []engine.Outcome{served}}
	if outcome := resumeRequest(t, b, "own", config.Safe, 2, testpeer.Limit); outcome.Kind != replication.Served {
		t.Fatalf("it came to %+v", outcome)
	}
	if a := b.attempts[0]; len(b.attempts) != 1 || a.Number != 1 || a.Host.Server != "s1" || len(a.Request.Message.ExtraHeaders) != 0 {
		t.Errorf("%d attempts, the first is number %d at %s with headers %v", len(b.attempts), a.Number, a.Host.Server, a.Request.Message.ExtraHeaders)
	}
}

// A request that a partner's rule rejects after a while takes another route with the time that is left by then, not with what it had
// at first.
func TestNextRouteHasTimeThatIsLeft(t *testing.T) {
	const takes = 100 * time.Millisecond
	b := &backend{outcomes: []engine.Outcome{{Result: balancer.Overloaded, Reason: "a rule"}}, duration: takes}
	carryOut(t, b, config.PartnerPoolName("p1"), config.Safe, 1, testpeer.Limit, nil)
	if len(b.attempts) != maxRoutes {
		t.Fatalf("%d attempts, want %d", len(b.attempts), maxRoutes)
	}
	first, last := b.attempts[0].Request.Deadline, b.attempts[maxRoutes-1].Request.Deadline
	if later := last - first; later > takes {
		t.Errorf("the last attempt may take until %v after the first one's time", later)
	}
}
