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

// tried is what an attempt at a pool came to.
type tried struct {
	out     replication.Outcome
	ruled   bool // a partner's rule refused it, and nothing ran
	unsure  bool // it may run at a partner, which has not said what became of it
	settled bool // the partner's refusal is the one answer to the call there: it never ran, and never will
}

// trial is a call, or the question what became of it, on its way through the engine of a pool.
type trial struct {
	gateway *Gateway
	record  *replication.Record
	pool    string
	partner string               // whose gateways the pool has; empty: it has this partner's servers
	earlier []replication.Intent // attempts that others made
	work    *replication.Work    // nil: the call is not in custody
	ask     bool                 // only what became of the call is asked for
	call    *engine.Call         // as the engine has it
	over    chan struct{}        // closed once its answer has come

	mu      sync.Mutex
	rule    string // of the partner's, by which it was refused
	open    bool   // an attempt of it may run still
	settled bool   // the partner has settled its refusal
}

// attempt gives a call, or the question what became of it, to the engine of a pool and waits for its answer.
func (g *Gateway) attempt(ctx context.Context, r *replication.Record, req engine.Request, pool string, way routeexchange.Chosen, left time.Duration, earlier []replication.Intent, w *replication.Work, ask bool) tried {
	t := &trial{gateway: g, record: r, pool: pool, earlier: earlier, work: w, ask: ask, over: make(chan struct{})}
	defer close(t.over)
	if partner, is := config.PartnerOf(pool); is {
		t.partner = partner
	}
	if err := t.prepare(req, way, left); err != nil {
		return tried{out: replication.Outcome{Kind: replication.Failed}}
	}
	if way.Way != nil {
		way.Take()
		defer way.Done()
	}
	if err := g.o.Calls.Hand(t.call, pool); err != nil {
		return tried{out: replication.Outcome{Kind: replication.Refused, NotRun: true, Retry: comeBack, Why: "no pool takes this call now"}}
	}
	select {
	case a := <-t.call.Answer():
		return t.result(a)
	case <-ctx.Done():
		t.call.Leave(g.o.Clock.Now())
		return tried{}
	}
}

// prepare makes the call as the engine has it.
func (t *trial) prepare(req engine.Request, way routeexchange.Chosen, left time.Duration) error {
	now := t.gateway.o.Clock.Now()
	t.call = engine.NewCall(t.record.ID, req)
	t.call.Class, t.call.At, t.call.Deadline = t.record.Key.Class, now, now+left
	t.call.Allow, t.call.Ended = t.allow, t.ended
	if t.partner == "" {
		t.call.Earlier = t.before(now)
		return nil // a partner's gateways know one another's calls: what one has begun another tells of
	}
	r := t.record
	m := pass{ID: r.ID, Target: r.Target, Came: append(slices.Clone(r.Path), t.gateway.self.Partner), Tenant: r.Tenant, Draws: r.Draws, Again: t.ask, From: t.gateway.self.Partner}
	if way.Way != nil {
		m.Offer = way.ID
	}
	text, err := m.seal(t.gateway.key(t.partner))
	if err != nil {
		return err
	}
	t.call.Request.Beside = []engine.Field{{Name: Header, Value: text}}
	return nil
}

// before are the attempts that others made at the servers of the pool.
func (t *trial) before(now time.Duration) (list []balancer.Earlier) {
	for _, in := range t.earlier {
		if in.Pool == t.pool {
			list = append(list, balancer.Earlier{Server: in.Server, Zone: in.Zone, Cell: in.Cell, Sent: now - in.Age, Unsent: in.NotRun})
		}
	}
	return list
}

// number is an attempt's among all of its call's. They go on over pools.
func (t *trial) number(a *engine.Attempt) int {
	if len(t.call.Earlier) != len(t.earlier) {
		return a.N + len(t.earlier)
	}
	return a.N
}

// allow implements engine.Call's Allow.
func (t *trial) allow(a *engine.Attempt) bool {
	in := replication.Intent{N: t.number(a), Pool: t.pool, Server: a.To.Server, Zone: a.Zone, Cell: a.Cell}
	if t.work != nil && !t.ask && !t.work.Intend(a.Context(), in) {
		return false
	}
	if t.partner != "" {
		t.gateway.tasks.Go(func() { t.gateway.mind(t.partner, a, t.over) })
	}
	return true
}

// ended implements engine.Call's Ended.
func (t *trial) ended(a *engine.Attempt, o *engine.Outcome) {
	t.mu.Lock()
	t.open = t.open || o.Ending == balancer.Broken || o.Ending == balancer.TimedOut || o.Ending == balancer.Withdrawn
	t.settled = t.settled || o.Ending == balancer.Overloaded && o.Settled
	if o.Why != "" && o.Why != busy {
		t.rule = o.Why
	}
	t.mu.Unlock()
	if t.work != nil && !t.ask && o.Ending.NeverRan() { // that a question did not arrive says nothing of the attempt that it is about
		t.work.Ended(t.number(a))
	}
}

// result is what the engine's answer comes to.
func (t *trial) result(a engine.Answer) tried {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Kind == engine.Duplicate {
		a = engine.Answer{Kind: engine.Failed}
	}
	if t.partner == "" {
		return tried{out: outcomeOf(a)}
	}
	refused := a.Kind == engine.Refused
	if refused {
		a.Why = ""
	}
	return tried{
		out:     outcomeOf(a),
		ruled:   refused && t.rule != "",
		unsure:  a.Kind == engine.Failed && t.open,
		settled: refused && t.settled,
	}
}

// mind ends an attempt at a partner's gateway once the others of that gateway's group have lost it: a connection to one that
// is stopped or cut off stands for as long as nobody writes, and another of the group knows what became of the call.
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
		if !g.offers.Lives(partner, a.To.Server) {
			a.Lost()
			return
		}
	}
}
