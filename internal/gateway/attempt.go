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
	outcome          replication.Outcome
	rejectedByRule   bool // a partner's rule refused it, and nothing ran
	mayRun           bool // it may run at a partner, which has not said what became of it
	rejectionSettled bool // the partner's refusal is the one answer to the request there: it never ran, and never will
}

// routedAttempt is a request, or the question what became of it, on its way through the engine of a pool.
type routedAttempt struct {
	gateway      *Gateway
	record       *replication.Record
	pool         string
	partner      string               // whose gateways the pool has; empty: it has this partner's servers
	priorIntents []replication.Intent // attempts that others made
	work         *replication.Work    // nil: the request is not replicated
	queryOnly    bool                 // only what became of the request is asked for
	request      *engine.Request      // as the engine has it
	done         chan struct{}        // closed once its answer has come

	mu         sync.Mutex
	rejectedBy string // of the partner's, by which it was refused
	mayRun     bool   // an attempt of it may run still
	settled    bool   // the partner has settled its refusal
}

// attempt gives a request, or the question what became of it, to the engine of a pool and waits for its answer.
func (g *Gateway) attempt(ctx context.Context, record *replication.Record, message engine.Message, pool string, selection routeexchange.Selection, timeLeft time.Duration, priorIntents []replication.Intent, work *replication.Work, ask bool) attemptResult {
	t := &routedAttempt{gateway: g, record: record, pool: pool, priorIntents: priorIntents, work: work, queryOnly: ask, done: make(chan struct{})}
	defer close(t.done)
	if partner, is := config.PartnerOf(pool); is {
		t.partner = partner
	}
	if err := t.prepare(message, selection, timeLeft); err != nil {
		return attemptResult{outcome: replication.Outcome{Kind: replication.Failed}}
	}
	if selection.Route != nil {
		selection.Take()
		defer selection.Done()
	}
	if err := g.options.Calls.Submit(t.request, pool); err != nil {
		return attemptResult{outcome: replication.Outcome{Kind: replication.Rejected, NotRun: true, RetryAfter: defaultRetryAfter, Reason: "no pool takes this call now"}}
	}
	select {
	case response := <-t.request.Response():
		return t.result(response)
	case <-ctx.Done():
		t.request.Disconnect(g.options.Clock.Now())
		return attemptResult{}
	}
}

// prepare makes the request as the engine has it.
func (t *routedAttempt) prepare(message engine.Message, selection routeexchange.Selection, timeLeft time.Duration) error {
	now := t.gateway.options.Clock.Now()
	t.request = engine.NewRequest(t.record.ID, message)
	t.request.Class, t.request.At, t.request.Deadline = t.record.Key.Class, now, now+timeLeft
	t.request.AllowAttempt, t.request.AttemptEnded = t.allow, t.attemptEnded
	if t.partner == "" {
		t.request.PriorAttempts = t.priorAttempts(now)
		return nil // a partner's gateways know one another's requests: what one has begun another tells of
	}
	record := t.record
	sealed := envelope{ID: record.ID, Target: record.Target, Path: append(slices.Clone(record.Path), t.gateway.self.Partner), Tenant: record.Tenant, Draws: record.Draws, QueryOnly: t.queryOnly, From: t.gateway.self.Partner}
	if selection.Route != nil {
		sealed.Advertisement = selection.ID
	}
	text, err := sealed.seal(t.gateway.key(t.partner))
	if err != nil {
		return err
	}
	t.request.Message.Beside = []engine.Field{{Name: envelopeHeader, Value: text}}
	return nil
}

// before are the attempts that others made at the servers of the pool.
func (t *routedAttempt) priorAttempts(now time.Duration) (list []balancer.PriorAttempt) {
	for _, intent := range t.priorIntents {
		if intent.Pool == t.pool {
			list = append(list, balancer.PriorAttempt{Server: intent.Server, Zone: intent.Zone, Cell: intent.Cell, SentAt: now - intent.Age, NeverRan: intent.NotRun})
		}
	}
	return list
}

// number is an attempt's among all of its request's. They go on over pools.
func (t *routedAttempt) attemptNumber(a *engine.Attempt) int {
	if len(t.request.PriorAttempts) != len(t.priorIntents) {
		return a.N + len(t.priorIntents)
	}
	return a.N
}

// allow implements engine.Request's Allow.
func (t *routedAttempt) allow(a *engine.Attempt) bool {
	intent := replication.Intent{Attempt: t.attemptNumber(a), Pool: t.pool, Server: a.To.Server, Zone: a.Zone, Cell: a.Cell}
	if t.work != nil && !t.queryOnly && !t.work.Intend(a.Context(), intent) {
		return false
	}
	if t.partner != "" {
		t.gateway.tasks.Go(func() { t.gateway.watchPartner(t.partner, a, t.done) })
	}
	return true
}

// ended implements engine.Request's Ended.
func (t *routedAttempt) attemptEnded(a *engine.Attempt, outcome *engine.Outcome) {
	t.mu.Lock()
	t.mayRun = t.mayRun || outcome.Result == balancer.ConnectionLost || outcome.Result == balancer.TimedOut || outcome.Result == balancer.Cancelled
	t.settled = t.settled || outcome.Result == balancer.Overloaded && outcome.Settled
	if outcome.Why != "" && outcome.Why != reasonBusy {
		t.rejectedBy = outcome.Why
	}
	t.mu.Unlock()
	if t.work != nil && !t.queryOnly && outcome.Result.NeverRan() { // that a question did not arrive says nothing of the attempt that it is about
		t.work.AttemptNotRun(t.attemptNumber(a))
	}
}

// result is what the engine's answer comes to.
func (t *routedAttempt) result(response engine.Response) attemptResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if response.Kind == engine.Duplicate {
		response = engine.Response{Kind: engine.Failed}
	}
	if t.partner == "" {
		return attemptResult{outcome: outcomeOf(response)}
	}
	refused := response.Kind == engine.Rejected
	if refused {
		response.Why = ""
	}
	return attemptResult{
		outcome:          outcomeOf(response),
		rejectedByRule:   refused && t.rejectedBy != "",
		mayRun:           response.Kind == engine.Failed && t.mayRun,
		rejectionSettled: refused && t.settled,
	}
}

// mind ends an attempt at a partner's gateway once the others of that gateway's group have lost it: a connection to one that
// is stopped or cut off stands for as long as nobody writes, and another of the group knows what became of the request.
func (g *Gateway) watchPartner(partner string, a *engine.Attempt, over <-chan struct{}) {
	tick := time.NewTicker(linkCheckInterval)
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
		if !g.exchange.Incarnations(partner, a.To.Server) {
			a.ConnectionLost()
			return
		}
	}
}
