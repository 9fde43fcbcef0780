package gateway

import (
	"context"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/routeexchange"
)

// resume implements replication.Run, for requests that have just come and for such as are taken over.
func (g *Gateway) resume(ctx context.Context, record *replication.Record, priorIntents []replication.Intent, work *replication.Work) replication.Outcome {
	class, known := g.policy.Load().classes[record.Key.Class]
	if !known {
		return replication.Outcome{Kind: replication.Failed}
	}
	return g.run(ctx, record, engine.Message{Method: record.Method, Target: record.Target, Key: record.IdempotencyKey, ContentType: record.ContentType, Body: record.Body, Length: int64(len(record.Body))}, class, priorIntents, work)
}

// step is what a successor would do with a request, by the classes of now.
func (g *Gateway) successorStep(record *replication.Record, intents []replication.Intent, timeLeft time.Duration) replication.Step {
	class, known := g.policy.Load().classes[record.Key.Class]
	if !known {
		return replication.GiveUp
	}
	return replication.Next(class.ForModule().Effect, intents, timeLeft, isPartnerPool)
}

// run has a request carried out: by the engine of this partner's pool that routes name, or by a partner whose advertisement it goes by.
// w allows its attempts, where it is replicated; earlier are those that others made. A kind of 0: ctx has ended.
func (g *Gateway) run(ctx context.Context, record *replication.Record, message engine.Message, class config.Class, priorIntents []replication.Intent, work *replication.Work) replication.Outcome {
	step := replication.Next(class.ForModule().Effect, priorIntents, timeLeft(ctx, record, work), isPartnerPool)
	// What may have run goes back to where it may have: servers and partners elsewhere know nothing of it.
	forced := ""
	switch step {
	case replication.GiveUp:
		return replication.Outcome{Kind: replication.Failed}
	case replication.Resend:
		forced = mayRunIn(priorIntents)
	case replication.QueryPartner:
		return g.askPartner(ctx, record, message, mayRunIn(priorIntents), priorIntents, work) // to ask needs no advertisement
	}
	var last attemptResult
	for range maxRoutes {
		selection, pool, why := g.chooseRoute(record, class, forced)
		if why != "" && forced != "" {
			return replication.Outcome{Kind: replication.Failed}
		}
		if why != "" {
			if last.outcome.Kind != 0 {
				return last.outcome
			}
			return replication.Outcome{Kind: replication.Rejected, NotRun: true, Reason: why, RetryAfter: defaultRetryAfter}
		}
		last = g.attempt(ctx, record, message, pool, selection, timeLeft(ctx, record, work), priorIntents, work, false)
		if last.mayRun && selection.Route != nil && selection.Replicated {
			// Whoever has it in hand there now tells what became of it.
			return g.askPartner(ctx, record, message, pool, priorIntents, work)
		}
		if !last.rejectedByRule {
			return last.outcome
		}
		g.routes.Drop(selection.Route) // its owner's rule has changed: whoever comes next goes another way at once
	}
	return last.outcome
}

// timeLeft is what is left now to whoever waits for a request: each way that it tries takes some.
func timeLeft(ctx context.Context, record *replication.Record, work *replication.Work) time.Duration {
	if work != nil {
		return work.TimeLeft() - settleReserve
	}
	if at, ok := ctx.Deadline(); ok {
		return time.Until(at)
	}
	return record.TimeLeft
}

// mayRunIn is the pool of the last attempt that may have run.
func mayRunIn(priorIntents []replication.Intent) (pool string) {
	for _, intent := range priorIntents {
		if !intent.NotRun {
			pool = intent.Pool
		}
	}
	return pool
}

// askPartner asks a partner what became of a request that may run there, until it says or the request's time is over. That a
// question was refused, or came to nobody, says nothing of the request: only a refusal that is settled there is its answer.
func (g *Gateway) askPartner(ctx context.Context, record *replication.Record, message engine.Message, pool string, priorIntents []replication.Intent, work *replication.Work) replication.Outcome {
	for ctx.Err() == nil {
		left := timeLeft(ctx, record, work)
		if left <= 0 {
			break
		}
		result := g.attempt(ctx, record, message, pool, routeexchange.Selection{}, left, priorIntents, work, true)
		if result.outcome.Kind == replication.Served || result.outcome.Kind == replication.Failed && !result.mayRun || result.rejectionSettled {
			return result.outcome
		}
		clock.Sleep(ctx, queryRetryDelay)
	}
	return replication.Outcome{Kind: replication.Failed}
}
