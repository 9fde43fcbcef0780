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
	rejectedByRule   bool // rejected by a partner's rule before anything ran
	mayRun           bool // may run at a partner that has not reported the outcome
	rejectionSettled bool // the partner settled the rejection as the request's outcome there: it never ran and never will
}

// isFinal reports whether the result of a query is the outcome of the queried request.
func (r *attemptResult) isFinal() bool {
	switch r.outcome.Kind {
	case replication.Served:
		return true
	case replication.Failed:
		return !r.mayRun || r.rejectionSettled
	}
	return r.rejectionSettled
}

// routedAttempt is a request, or a query for its outcome, that is submitted to the engine of a pool. The engine may make several
// attempts for it.
type routedAttempt struct {
	*execution
	pool      string
	partner   string          // the partner whose gateways are in the pool; empty: the pool has this partner's own servers
	queryOnly bool            // a query for the outcome, which must not start the request
	request   *engine.Request // as submitted to the engine
	done      chan struct{}   // closed when submit returns

	mu               sync.Mutex
	rejectedBy       string // the partner's rule that rejected it
	mayRun           bool   // an attempt may still be running
	rejectionSettled bool   // the partner has settled the rejection
}

// send submits the request to the engine of a pool and waits for the response.
func (e *execution) send(ctx context.Context, dest destination) attemptResult {
	attempt := e.newAttempt(dest.pool)
	return attempt.submit(ctx, dest.selection, e.timeLeft(ctx))
}

// query asks a partner for the outcome of the request once.
func (e *execution) query(ctx context.Context, pool string, timeLeft time.Duration) attemptResult {
	attempt := e.newAttempt(pool)
	attempt.queryOnly = true
	return attempt.submit(ctx, routeexchange.Selection{}, timeLeft)
}

// newAttempt returns a routedAttempt of the request at a pool.
func (e *execution) newAttempt(pool string) *routedAttempt {
	attempt := &routedAttempt{execution: e, pool: pool, done: make(chan struct{})}
	if partner, ok := config.PartnerOfPool(pool); ok {
		attempt.partner = partner
	}
	return attempt
}

// submit submits the request to the engine and waits for the response. It returns the zero result if ctx ends first.
func (t *routedAttempt) submit(ctx context.Context, selection routeexchange.Selection, timeLeft time.Duration) attemptResult {
	defer close(t.done)
	if err := t.prepare(selection, timeLeft); err != nil {
		return attemptResult{outcome: replication.Outcome{Kind: replication.Failed}}
	}
	if selection.Route != nil {
		selection.Acquire()
		defer selection.Release()
	}
	if err := t.gateway.options.Dispatcher.Submit(t.request, t.pool); err != nil {
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

// prepare builds the engine's request, with an envelope if it goes to a partner.
func (t *routedAttempt) prepare(selection routeexchange.Selection, timeLeft time.Duration) error {
	now := t.gateway.options.Clock.Now()
	t.request = engine.NewRequest(t.record.ID, t.message)
	t.request.Class = t.record.Key.Class
	t.request.At = now
	t.request.Deadline = now + timeLeft
	t.request.AllowAttempt = t.allowAttempt
	t.request.AttemptEnded = t.attemptEnded
	if t.partner == "" {
		t.request.PriorAttempts = t.priorAttempts(now)
		return nil // only own servers need prior attempts: the gateways of a partner know the outcomes of each other's requests
	}
	self := t.gateway.self.Partner
	env := envelope{
		ID:         t.record.ID,
		Target:     t.record.Target,
		Path:       append(slices.Clone(t.record.PartnerPath), self),
		Tenant:     t.record.Tenant,
		QuotaDraws: t.record.QuotaDraws,
		QueryOnly:  t.queryOnly,
		From:       self,
	}
	if selection.Route != nil {
		env.Advertisement = selection.ID
	}
	text, err := env.seal(t.gateway.key(t.partner))
	if err != nil {
		return err
	}
	t.request.Message.ExtraHeaders = []engine.Field{{Name: envelopeHeader, Value: text}}
	return nil
}

// priorAttempts returns the attempts that earlier owners made at the servers of the pool.
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

// attemptNumber returns an attempt's number among all attempts of the request. Numbering continues across pools.
func (t *routedAttempt) attemptNumber(a *engine.Attempt) int {
	if len(t.request.PriorAttempts) != len(t.priorIntents) {
		return a.Number + len(t.priorIntents)
	}
	return a.Number
}

// allowAttempt implements engine.Request.AllowAttempt. An attempt of a replicated request may start once its intent is accepted.
func (t *routedAttempt) allowAttempt(a *engine.Attempt) bool {
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

// attemptEnded implements engine.Request.AttemptEnded.
func (t *routedAttempt) attemptEnded(a *engine.Attempt, outcome *engine.Outcome) {
	t.mu.Lock()
	switch outcome.Result {
	case balancer.ConnectionLost, balancer.TimedOut, balancer.Cancelled:
		t.mayRun = true
	case balancer.Overloaded:
		t.rejectionSettled = t.rejectionSettled || outcome.Settled
	}
	if outcome.Reason != "" && outcome.Reason != reasonBusy {
		t.rejectedBy = outcome.Reason
	}
	t.mu.Unlock()
	if t.replicates() && outcome.Result.NeverRan() {
		t.work.NotifyNotRun(t.attemptNumber(a))
	}
}

// replicates reports whether attempts are recorded at replicas. Queries are not: a query that never ran does not show that the
// queried attempt never ran.
func (t *routedAttempt) replicates() bool { return t.work != nil && !t.queryOnly }

// result converts the engine's response.
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
		rejectionSettled: rejected && t.rejectionSettled,
	}
}

// watchPartner cancels an attempt at a partner's gateway once the other gateways of its group have lost that gateway. A TCP
// connection to a stopped or partitioned gateway stays open as long as nothing is written, and another gateway of the group knows
// the request's outcome.
func (g *Gateway) watchPartner(partner string, attempt *engine.Attempt, done <-chan struct{}) {
	tick := time.NewTicker(linkCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-done:
			return
		case <-attempt.Context().Done():
			return
		case <-g.ctx.Done():
			return
		}
		if !g.exchange.IsGatewayAlive(partner, attempt.Host.Server) {
			attempt.CancelServerGone()
			return
		}
	}
}
