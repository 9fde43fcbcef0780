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
	maxRoutes       = 4                     // that a request tries, of which the rules of all but the last rejected it
	queryRetryDelay = 20 * time.Millisecond // after a query for an outcome that a partner did not answer
)

// execution is a request that is carried out at this gateway, by its owner or a successor, or without replication.
type execution struct {
	gateway      *Gateway
	record       *replication.Record
	message      engine.Message
	class        config.Class
	priorIntents []replication.Intent // of earlier owners
	work         *replication.Work    // allows its attempts; nil: it is not replicated
}

// resume implements replication.RunFunc, for requests that have just come and for those that are taken over.
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

// successorStep is what a successor would do with a request, by the classes of now.
func (g *Gateway) successorStep(record *replication.Record, intents []replication.Intent, timeLeft time.Duration) replication.Step {
	class, known := g.policy.Load().classes[record.Key.Class]
	if !known {
		return replication.GiveUp
	}
	return replication.NextStep(class.BalancerClass().Effect, intents, timeLeft, isPartnerPool)
}

// run carries the request out: by the engine of this partner's pool that routes name, or at a partner by whose advertisement it
// goes. What may have run goes back to where it may have: servers and partners elsewhere know nothing of it. An outcome of kind 0
// says that ctx has ended.
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

// tryRoutes sends the request by one route after the other, until one does not reject it by its rule. forced is the pool that it
// has to go to; empty: any.
func (e *execution) tryRoutes(ctx context.Context, forced string) replication.Outcome {
	var last attemptResult
	for range maxRoutes {
		to, reason := e.chooseRoute(forced)
		if reason != "" {
			return unroutable(last.outcome, reason, forced)
		}
		last = e.send(ctx, to)
		if last.mayRun && to.selection.Route != nil && to.selection.Replicated {
			return e.queryPartner(ctx, to.pool) // whoever carries it there now knows its outcome
		}
		if !last.rejectedByRule {
			return last.outcome
		}
		e.gateway.routes.Suppress(to.selection.Route) // its owner's rule has changed: the next request takes another route at once
	}
	return last.outcome
}

// unroutable is the outcome where no route, or no further one, takes the request.
func unroutable(last replication.Outcome, reason, forced string) replication.Outcome {
	switch {
	case forced != "":
		return replication.Outcome{Kind: replication.Failed} // an attempt may have run
	case last.Kind != 0:
		return last
	}
	return replication.Outcome{Kind: replication.Rejected, NotRun: true, Reason: reason, RetryAfter: defaultRetryAfter}
}

// timeLeft is the time that is left now to whoever waits for the request: each route that it tries takes some.
func (e *execution) timeLeft(ctx context.Context) time.Duration {
	if e.work != nil {
		return e.work.TimeLeft() - settleReserve
	}
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return e.record.TimeLeft
}

// lastPool is the pool of the last attempt that may have run.
func lastPool(priorIntents []replication.Intent) (pool string) {
	for _, intent := range priorIntents {
		if !intent.NotRun {
			pool = intent.Pool
		}
	}
	return pool
}

// queryPartner asks a partner for the outcome of a request that may run there, until it is known or the request's time is over. It
// needs no advertisement. That a query was rejected, or reached nobody, says nothing of the request: only a rejection that is
// settled there is its outcome.
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
