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

// attemptResult is how an attempt at a pool ended.
type attemptResult struct {
	outcome          replication.Outcome
	rejectedByRule   bool // a partner's rule rejected it, and nothing ran
	mayRun           bool // it may run at a partner, which has not said its outcome
	rejectionSettled bool // the partner's rejection is the one outcome of the request there: it never ran, and never will
}

// isFinal says that the result of a query is the outcome of the request that it is about.
func (r *attemptResult) isFinal() bool {
	switch r.outcome.Kind {
	case replication.Served:
		return true
	case replication.Failed:
		return !r.mayRun || r.rejectionSettled
	}
	return r.rejectionSettled
}

// routedAttempt is a request, or a query for its outcome, on its way through the engine of a pool. The engine may make several
// attempts of it.
type routedAttempt struct {
	*execution
	pool      string
	partner   string          // whose gateways the pool has; empty: it has this partner's servers
	queryOnly bool            // only the outcome of the request is asked for
	request   *engine.Request // as the engine has it
	done      chan struct{}   // closed once its response has come

	mu         sync.Mutex
	rejectedBy string // the partner's rule that rejected it
	mayRun     bool   // an attempt of it may run still
	settled    bool   // the partner has settled its rejection
}

// send gives the request to the engine of a pool, and waits for its response.
func (e *execution) send(ctx context.Context, to destination) attemptResult {
	t := e.newAttempt(to.pool)
	return t.perform(ctx, to.selection, e.timeLeft(ctx))
}

// query asks a partner for the outcome of the request once.
func (e *execution) query(ctx context.Context, pool string, timeLeft time.Duration) attemptResult {
	t := e.newAttempt(pool)
	t.queryOnly = true
	return t.perform(ctx, routeexchange.Selection{}, timeLeft)
}

// newAttempt is the request on its way to a pool.
func (e *execution) newAttempt(pool string) *routedAttempt {
	t := &routedAttempt{execution: e, pool: pool, done: make(chan struct{})}
	if partner, ok := config.PartnerOfPool(pool); ok {
		t.partner = partner
	}
	return t
}

// perform hands the request to the engine and waits for its response. The zero result says that ctx has ended.
func (t *routedAttempt) perform(ctx context.Context, selection routeexchange.Selection, timeLeft time.Duration) attemptResult {
	defer close(t.done)
	if err := t.prepare(selection, timeLeft); err != nil {
		return attemptResult{outcome: replication.Outcome{Kind: replication.Failed}}
	}
	if selection.Route != nil {
		selection.Take()
		defer selection.Done()
	}
	if err := t.gateway.options.Calls.Submit(t.request, t.pool); err != nil {
		return attemptResult{outcome: replication.Outcome{
			Kind:       replication.Rejected,
			NotRun:     true,
			RetryAfter: defaultRetryAfter,
			Reason:     "no pool takes this request now",
		}}
	}
	select {
	case response := <-t.request.Response():
		return t.result(response)
	case <-ctx.Done():
		t.request.Disconnect(t.gateway.options.Clock.Now())
		return attemptResult{}
	}
}

// prepare makes the request as the engine has it, with an envelope if it goes to a partner.
func (t *routedAttempt) prepare(selection routeexchange.Selection, timeLeft time.Duration) error {
	now := t.gateway.options.Clock.Now()
	t.request = engine.NewRequest(t.record.ID, t.message)
	t.request.Class = t.record.Key.Class
	t.request.At = now
	t.request.Deadline = now + timeLeft
	t.request.AllowAttempt = t.allow
	t.request.AttemptEnded = t.attemptEnded
	if t.partner == "" {
		t.request.PriorAttempts = t.priorAttempts(now)
		return nil // a partner's gateways know one another's requests: what one has begun another tells of
	}
	self := t.gateway.self.Partner
	e := envelope{
		ID:        t.record.ID,
		Target:    t.record.Target,
		Path:      append(slices.Clone(t.record.PartnerPath), self),
		Tenant:    t.record.Tenant,
		Draws:     t.record.QuotaDraws,
		QueryOnly: t.queryOnly,
		From:      self,
	}
	if selection.Route != nil {
		e.Advertisement = selection.ID
	}
	text, err := e.seal(t.gateway.key(t.partner))
	if err != nil {
		return err
	}
	t.request.Message.ExtraHeaders = []engine.Field{{Name: envelopeHeader, Value: text}}
	return nil
}

// priorAttempts are the attempts that earlier owners made at the servers of the pool.
func (t *routedAttempt) priorAttempts(now time.Duration) (list []balancer.PriorAttempt) {
	for _, intent := range t.priorIntents {
		if intent.Pool == t.pool {
			list = append(list, balancer.PriorAttempt{
				Server:   intent.Server,
				Zone:     intent.Zone,
				Cell:     intent.Cell,
				SentAt:   now - intent.Age,
				NeverRan: intent.NotRun,
			})
		}
	}
	return list
}

// attemptNumber is an attempt's number among all of its request's. They go on over pools.
func (t *routedAttempt) attemptNumber(a *engine.Attempt) int {
	if len(t.request.PriorAttempts) != len(t.priorIntents) {
		return a.Number + len(t.priorIntents)
	}
	return a.Number
}

// allow implements engine.Request's AllowAttempt: a replicated request's attempt needs its intent accepted.
func (t *routedAttempt) allow(a *engine.Attempt) bool {
	if t.replicates() {
		intent := replication.Intent{Attempt: t.attemptNumber(a), Pool: t.pool, Server: a.Host.Server, Zone: a.Zone, Cell: a.Cell}
		if !t.work.Intend(a.Context(), intent) {
			return false
		}
	}
	if t.partner != "" {
		t.gateway.tasks.Go(func() { t.gateway.watchPartner(t.partner, a, t.done) })
	}
	return true
}

// attemptEnded implements engine.Request's AttemptEnded.
func (t *routedAttempt) attemptEnded(a *engine.Attempt, outcome *engine.Outcome) {
	t.mu.Lock()
	switch outcome.Result {
	case balancer.ConnectionLost, balancer.TimedOut, balancer.Cancelled:
		t.mayRun = true
	case balancer.Overloaded:
		t.settled = t.settled || outcome.Settled
	}
	if outcome.Reason != "" && outcome.Reason != reasonBusy {
		t.rejectedBy = outcome.Reason
	}
	t.mu.Unlock()
	if t.replicates() && outcome.Result.NeverRan() {
		t.work.NotifyNotRun(t.attemptNumber(a))
	}
}

// replicates says that replicas are to know of attempts. They know none of a query: that it did not arrive says nothing of the
// attempt that it is about.
func (t *routedAttempt) replicates() bool { return t.work != nil && !t.queryOnly }

// result is what the engine's response comes to.
func (t *routedAttempt) result(response engine.Response) attemptResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if response.Kind == engine.Duplicate {
		response = engine.Response{Kind: engine.Failed}
	}
	if t.partner == "" {
		return attemptResult{outcome: outcomeOf(response)}
	}
	rejected := response.Kind == engine.Rejected
	if rejected {
		response.Reason = ""
	}
	return attemptResult{
		outcome:          outcomeOf(response),
		rejectedByRule:   rejected && t.rejectedBy != "",
		mayRun:           response.Kind == engine.Failed && t.mayRun,
		rejectionSettled: rejected && t.settled,
	}
}

// watchPartner ends an attempt at a partner's gateway once the others of that gateway's group have lost it: a connection to a
// gateway that is stopped or cut off stands for as long as nobody writes, and another of the group knows the request's outcome.
func (g *Gateway) watchPartner(partner string, a *engine.Attempt, done <-chan struct{}) {
	tick := time.NewTicker(linkCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-done:
			return
		case <-a.Context().Done():
			return
		case <-g.ctx.Done():
			return
		}
		if !g.exchange.IsAlive(partner, a.Host.Server) {
			a.CancelServerGone()
			return
		}
	}
}
