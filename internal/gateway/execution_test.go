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
	"damsontrestle/internal/requestids"
	"damsontrestle/internal/route"
	"damsontrestle/internal/routeexchange"
	"damsontrestle/internal/testpeer"
)

// backend is a fake of a pool's servers. Attempts get the outcomes in turn, and the last one from then on.
type backend struct {
	outcomes []engine.Outcome
	attempts []*engine.Attempt
	duration time.Duration // of each attempt
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

// resumeRequest runs a request that was taken over, whose first attempt may have run at server s0 of a pool. attempts is the limit.
func resumeRequest(t *testing.T, b *backend, pool string, effect config.Effect, attempts int, within time.Duration) replication.Outcome {
	t.Helper()
	return runExecution(t, b, pool, effect, attempts, within, []replication.Intent{{Pool: pool, Server: "s0", ID: "request"}})
}

// newEngine returns the engine of a pool with two servers and a fake backend.
func newEngine(t *testing.T, b *backend, class config.Class, attempts int, clk clock.Clock) *engine.Engine {
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
		Clock:       clk,
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

// newSnapshot returns a snapshot that routes all requests to a pool.
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

// runExecution runs a request with the given intents of earlier attempts. Routes lead to the pool, by an advertisement of this partner.
func runExecution(t *testing.T, servers *backend, pool string, effect config.Effect, attempts int, within time.Duration, priorIntents []replication.Intent) replication.Outcome {
	t.Helper()
	const partner = "p1"
	class := config.Class{Name: "note", Effect: effect, Deadline: config.Duration(testpeer.Limit)}
	clk := clock.New()
	eng := newEngine(t, servers, class, attempts, clk)
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	g := &Gateway{options: Options{
		Dispatcher:  dispatch.New(newSnapshot(t, class, pool, eng), requestids.New()),
		Clock:       clk,
		Log:         slog.New(slog.DiscardHandler),
		PartnerKeys: map[string][]byte{partner: []byte("the partners' key")},
	}}
	g.exchange = &routeexchange.Exchange{} // without any gateways
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

// queryUnsafe queries a partner for the outcome of an unsafe request that may run there.
func queryUnsafe(t *testing.T, b *backend, within time.Duration) replication.Outcome {
	t.Helper()
	return resumeRequest(t, b, config.PartnerPoolName("p1"), config.Unsafe, 1, within)
}

// A query that was rejected or not delivered does not settle the request, which may run: the query is repeated.
func TestRejectedQueryDoesNotRejectRequest(t *testing.T) {
	served := engine.Outcome{Result: balancer.Success, Reply: engine.Reply{Body: []byte("answer"), Length: 6}}
	p := &backend{outcomes: []engine.Outcome{{Result: balancer.Overloaded}, {Result: balancer.Unreachable}, {Result: balancer.Overloaded}, served}}
	if outcome := queryUnsafe(t, p, testpeer.Limit); outcome.Kind != replication.Served || string(outcome.Body) != "answer" {
		t.Errorf("after %d queries the outcome is %+v", len(p.attempts), outcome)
	}
}

// A rejection that the partner has settled is the request's outcome and is returned without further queries.
func TestSettledRejectionIsFinalResponse(t *testing.T) {
	p := &backend{outcomes: []engine.Outcome{{Result: balancer.Overloaded, Settled: true}}}
	if outcome := queryUnsafe(t, p, testpeer.Limit); outcome.Kind != replication.Rejected || !outcome.NotRun || len(p.attempts) != 1 {
		t.Errorf("after %d queries the outcome is %+v", len(p.attempts), outcome)
	}
}

// A request whose outcome the partner never reports fails, as it may have run.
func TestRequestWithUnknownOutcomeFails(t *testing.T) {
	p := &backend{outcomes: []engine.Outcome{{Result: balancer.Overloaded}}}
	if outcome := queryUnsafe(t, p, 200*time.Millisecond); outcome.Kind != replication.Failed {
		t.Errorf("after %d queries the outcome is %+v", len(p.attempts), outcome)
	}
}

// A request that is taken over at this partner's own servers continues the numbering of its attempts, is not sent to the same server
// twice, and carries no envelope.
func TestTakenOverRequestContinuesAtOwnServers(t *testing.T) {
	served := engine.Outcome{Result: balancer.Success, Reply: engine.Reply{Body: []byte("answer"), Length: 6}}
	b := &backend{outcomes: []engine.Outcome{served}}
	if outcome := resumeRequest(t, b, "own", config.Safe, 2, testpeer.Limit); outcome.Kind != replication.Served {
		t.Fatalf("outcome %+v, want it to be served", outcome)
	}
	if a := b.attempts[0]; len(b.attempts) != 1 || a.Number != 1 || a.Host.Server != "s1" || len(a.Request.Message.ExtraHeaders) != 0 {
		t.Errorf("%d attempts, the first is number %d at %s with headers %v; want one attempt, number 1 at s1 without headers", len(b.attempts), a.Number, a.Host.Server, a.Request.Message.ExtraHeaders)
	}
}

// A request that a partner's rule rejects after a delay is sent by another route with the remaining time, not with the initial time.
func TestNextRouteGetsRemainingTime(t *testing.T) {
	const attemptDuration = 100 * time.Millisecond
	b := &backend{outcomes: []engine.Outcome{{Result: balancer.Overloaded, Reason: "a rule"}}, duration: attemptDuration}
	runExecution(t, b, config.PartnerPoolName("p1"), config.Safe, 1, testpeer.Limit, nil)
	if len(b.attempts) != maxRoutes {
		t.Fatalf("%d attempts, want %d", len(b.attempts), maxRoutes)
	}
	first, last := b.attempts[0].Request.Deadline, b.attempts[maxRoutes-1].Request.Deadline
	if later := last - first; later > attemptDuration {
		t.Errorf("the last attempt's deadline is %v after the first one's, want at most %v", later, attemptDuration)
	}
}
