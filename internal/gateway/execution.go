package gateway

import (
	"context"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
)

const (
	maxRoutes       = 4                     // limit of routes tried for a request; another one is tried only after a rejection by rule
	queryRetryDelay = 20 * time.Millisecond // after a query that did not return the outcome
)

// execution runs a request at this gateway: as its owner, as a successor, or without replication.
type execution struct {
	gateway      *Gateway
	record       *replication.Record
	message      engine.Message
	class        config.Class
	priorIntents []replication.Intent // of earlier owners
	work         *replication.Work    // accepts intents of attempts; nil: the request is not replicated
}

// resume implements replication.RunFunc for new requests and for those that are taken over.
func (g *Gateway) resume(ctx context.Context, record *replication.Record, priorIntents []replication.Intent, work *replication.Work) replication.Outcome {
	class, known := g.policy.Load().classes[record.Key.Class]
	if !known {
		return replication.Outcome{Kind: replication.Failed}
	}
	message := engine.Message{
		Method:         record.Method,
		Target:         record.Target,
		IdempotencyKey: record.IdempotencyKey,
		ContentType:    record.ContentType,
		Body:           record.Body,
		Length:         int64(len(record.Body)),
	}
	e := &execution{g, record, message, class, priorIntents, work}
	return e.run(ctx)
}

// successorStep returns the step that a successor would take with a request, by the current classes.
func (g *Gateway) successorStep(record *replication.Record, intents []replication.Intent, timeLeft time.Duration) replication.Step {
	class, known := g.policy.Load().classes[record.Key.Class]
	if !known {
		return replication.GiveUp
	}
	return replication.NextStep(class.BalancerClass().Effect, intents, timeLeft, isPartnerPool)
}

// run sends the request to the engine of this partner's pool that its route names, or to a partner whose advertisement matches it. A
// request that may have run is sent only to the pool where it may have: other servers and partners know nothing of it. The outcome's
// kind is 0 if ctx ended first.
func (e *execution) run(ctx context.Context) replication.Outcome {
	switch replication.NextStep(e.class.BalancerClass().Effect, e.priorIntents, e.timeLeft(ctx), isPartnerPool) {
	case replication.GiveUp:
		return replication.Outcome{Kind: replication.Failed}
	case replication.Resend:
		return e.tryRoutes(ctx, lastPool(e.priorIntents))
	case replication.QueryPartner:
		return e.queryPartner(ctx, lastPool(e.priorIntents))
	}
	return e.tryRoutes(ctx, "")
}

// tryRoutes sends the request by one route after another until one does not reject it by rule, maxRoutes at most. forced is the only
// pool allowed; empty: any.
func (e *execution) tryRoutes(ctx context.Context, forced string) replication.Outcome {
	var last attemptResult
	for range maxRoutes {
		dest, reason := e.chooseRoute(forced)
		if reason != "" {
			return unroutable(last.outcome, reason, forced)
		}
		last = e.send(ctx, dest)
		if last.mayRun && dest.selection.Route != nil && dest.selection.Replicated {
			return e.queryPartner(ctx, dest.pool) // the request's current owner there knows the outcome
		}
		if !last.rejectedByRule {
			return last.outcome
		}
		e.gateway.routes.Suppress(dest.selection.Route) // the partner's rule has changed: later requests take another route at once
	}
	return last.outcome
}

// unroutable returns the outcome of a request for which no route, or no further one, is left. last is the outcome of the last attempt;
// its kind is 0 if there was none.
func unroutable(last replication.Outcome, reason, forced string) replication.Outcome {
	switch {
	case forced != "":
		return replication.Outcome{Kind: replication.Failed} // an attempt may have run
	case last.Kind != 0:
		return last
	}
	return replication.Outcome{Kind: replication.Rejected, NotRun: true, Reason: reason, RetryAfter: defaultRetryAfter}
}

// timeLeft returns the time left until the request's deadline. It decreases with each route that is tried.
func (e *execution) timeLeft(ctx context.Context) time.Duration {
	if e.work != nil {
		return e.work.TimeLeft() - settleReserve
	}
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return e.record.TimeLeft
}

// lastPool returns the pool of the last attempt that may have run.
func lastPool(priorIntents []replication.Intent) (pool string) {
	for _, intent := range priorIntents {
		if !intent.NotRun {
			pool = intent.Pool
		}
	}
	return pool
}

// queryPartner queries a partner for the outcome of a request that may run there, until it is known or the request's deadline has
// passed. It needs no advertisement. A query that was rejected or not delivered does not settle the request: only a rejection that
// the partner has settled is its outcome.
func (e *execution) queryPartner(ctx context.Context, pool string) replication.Outcome {
	for ctx.Err() == nil {
		timeLeft := e.timeLeft(ctx)
		if timeLeft <= 0 {
			break
		}
		result := e.query(ctx, pool, timeLeft)
		if result.isFinal() {
			return result.outcome
		}
		clock.Sleep(ctx, queryRetryDelay)
	}
	return replication.Outcome{Kind: replication.Failed}
}
