package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/routeexchange"
)

// attemptResult is what an attempt at a pool came to.
type attemptResult struct {
	out     replication.Outcome
	ruled   bool // a partner's rule refused it, and nothing ran
	unsure  bool // it may run at a partner, which has not said what became of it
	settled bool // the partner's refusal is the one answer to the request there: it never ran, and never will
}

// routedAttempt is a request, or the question what became of it, on its way through the engine of a pool.
type routedAttempt struct {
	gateway *Gateway
	record  *replication.Record
	pool    string
	partner string               // whose gateways the pool has; empty: it has this partner's servers
	earlier []replication.Intent // attempts that others made
	work    *replication.Work    // nil: the request is not replicated
	ask     bool                 // only what became of the request is asked for
	call    *engine.Request      // as the engine has it
	over    chan struct{}        // closed once its answer has come

	mu      sync.Mutex
	rule    string // of the partner's, by which it was refused
	open    bool   // an attempt of it may run still
	settled bool   // the partner has settled its refusal
}

// attempt gives a request, or the question what became of it, to the engine of a pool and waits for its answer.
func (g *Gateway) attempt(ctx context.Context, r *replication.Record, req engine.Message, pool string, way routeexchange.Selection, left time.Duration, earlier []replication.Intent, w *replication.Work, ask bool) attemptResult {
	t := &routedAttempt{gateway: g, record: r, pool: pool, earlier: earlier, work: w, ask: ask, over: make(chan struct{})}
	defer close(t.over)
	if partner, is := config.PartnerOf(pool); is {
		t.partner = partner
	}
	if err := t.prepare(req, way, left); err != nil {
		return attemptResult{out: replication.Outcome{Kind: replication.Failed}}
	}
	if way.Route != nil {
		way.Take()
		defer way.Done()
	}
	if err := g.o.Calls.Submit(t.call, pool); err != nil {
		return attemptResult{out: replication.Outcome{Kind: replication.Rejected, NotRun: true, RetryAfter: comeBack, Reason: "no pool takes this call now"}}
	}
	select {
	case a := <-t.call.Response():
		return t.result(a)
	case <-ctx.Done():
		t.call.Disconnect(g.o.Clock.Now())
		return attemptResult{}
	}
}

// prepare makes the request as the engine has it.
func (t *routedAttempt) prepare(req engine.Message, way routeexchange.Selection, left time.Duration) error {
	now := t.gateway.o.Clock.Now()
	t.call = engine.NewRequest(t.record.ID, req)
	t.call.Class, t.call.At, t.call.Deadline = t.record.Key.Class, now, now+left
	t.call.AllowAttempt, t.call.AttemptEnded = t.allow, t.ended
	if t.partner == "" {
		t.call.PriorAttempts = t.before(now)
		return nil // a partner's gateways know one another's requests: what one has begun another tells of
	}
	r := t.record
	m := envelope{ID: r.ID, Target: r.Target, Came: append(slices.Clone(r.Path), t.gateway.self.Partner), Tenant: r.Tenant, Draws: r.Draws, Again: t.ask, From: t.gateway.self.Partner}
	if way.Route != nil {
		m.Offer = way.ID
	}
	text, err := m.seal(t.gateway.key(t.partner))
	if err != nil {
		return err
	}
	t.call.Message.Beside = []engine.Field{{Name: Header, Value: text}}
	return nil
}

// before are the attempts that others made at the servers of the pool.
func (t *routedAttempt) before(now time.Duration) (list []balancer.PriorAttempt) {
	for _, in := range t.earlier {
		if in.Pool == t.pool {
			list = append(list, balancer.PriorAttempt{Server: in.Server, Zone: in.Zone, Cell: in.Cell, SentAt: now - in.Age, NeverRan: in.NotRun})
		}
	}
	return list
}

// number is an attempt's among all of its request's. They go on over pools.
func (t *routedAttempt) number(a *engine.Attempt) int {
	if len(t.call.PriorAttempts) != len(t.earlier) {
		return a.N + len(t.earlier)
	}
	return a.N
}

// allow implements engine.Request's Allow.
func (t *routedAttempt) allow(a *engine.Attempt) bool {
	in := replication.Intent{Attempt: t.number(a), Pool: t.pool, Server: a.To.Server, Zone: a.Zone, Cell: a.Cell}
	if t.work != nil && !t.ask && !t.work.Intend(a.Context(), in) {
		return false
	}
	if t.partner != "" {
		t.gateway.tasks.Go(func() { t.gateway.mind(t.partner, a, t.over) })
	}
	return true
}

// ended implements engine.Request's Ended.
func (t *routedAttempt) ended(a *engine.Attempt, o *engine.Outcome) {
	t.mu.Lock()
	t.open = t.open || o.Result == balancer.ConnectionLost || o.Result == balancer.TimedOut || o.Result == balancer.Cancelled
	t.settled = t.settled || o.Result == balancer.Overloaded && o.Settled
	if o.Why != "" && o.Why != busy {
		t.rule = o.Why
	}
	t.mu.Unlock()
	if t.work != nil && !t.ask && o.Result.NeverRan() { // that a question did not arrive says nothing of the attempt that it is about
		t.work.AttemptNotRun(t.number(a))
	}
}

// result is what the engine's answer comes to.
func (t *routedAttempt) result(a engine.Response) attemptResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Kind == engine.Duplicate {
		a = engine.Response{Kind: engine.Failed}
	}
	if t.partner == "" {
		return attemptResult{out: outcomeOf(a)}
	}
	refused := a.Kind == engine.Rejected
	if refused {
		a.Why = ""
	}
	return attemptResult{
		out:     outcomeOf(a),
		ruled:   refused && t.rule != "",
		unsure:  a.Kind == engine.Failed && t.open,
		settled: refused && t.settled,
	}
}

// mind ends an attempt at a partner's gateway once the others of that gateway's group have lost it: a connection to one that
// is stopped or cut off stands for as long as nobody writes, and another of the group knows what became of the request.
func (g *Gateway) mind(partner string, a *engine.Attempt, over <-chan struct{}) {
	tick := time.NewTicker(connectEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-over:
			return
		case <-a.Context().Done():
			return
		case <-g.ctx.Done():
			return
		}
		if !g.offers.Incarnations(partner, a.To.Server) {
			a.ConnectionLost()
			return
		}
	}
}
