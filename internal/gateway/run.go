package gateway

import (
	"context"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/route"
	"damsontrestle/internal/routeexchange"
)

// resume implements replication.Run, for requests that have just come and for such as are taken over.
func (g *Gateway) resume(ctx context.Context, r *replication.Record, earlier []replication.Intent, w *replication.Work) replication.Outcome {
	class, known := g.policy.Load().classes[r.Key.Class]
	if !known {
		return replication.Outcome{Kind: replication.Failed}
	}
	return g.run(ctx, r, engine.Message{Method: r.Method, Target: r.Target, Key: r.IdempotencyKey, ContentType: r.ContentType, Body: r.Body, Length: int64(len(r.Body))}, class, earlier, w)
}

// toPartner says that a pool is a partner's gateways.
func toPartner(pool string) bool {
	_, partners := config.PartnerOf(pool)
	return partners
}

// step is what a successor would do with a request, by the classes of now.
func (g *Gateway) step(r *replication.Record, intents []replication.Intent, left time.Duration) replication.Step {
	class, known := g.policy.Load().classes[r.Key.Class]
	if !known {
		return replication.GiveUp
	}
	return replication.Next(class.ForModule().Effect, intents, left, toPartner)
}

// run has a request carried out: by the engine of this partner's pool that routes name, or by a partner whose advertisement it goes by.
// w allows its attempts, where it is replicated; earlier are those that others made. A kind of 0: ctx has ended.
func (g *Gateway) run(ctx context.Context, r *replication.Record, req engine.Message, class config.Class, earlier []replication.Intent, w *replication.Work) replication.Outcome {
	step := replication.Next(class.ForModule().Effect, earlier, timeLeft(ctx, r, w), toPartner)
	// What may have run goes back to where it may have: servers and partners elsewhere know nothing of it.
	forced := ""
	switch step {
	case replication.GiveUp:
		return replication.Outcome{Kind: replication.Failed}
	case replication.Resend:
		forced = mayRunIn(earlier)
	case replication.QueryPartner:
		return g.askPartner(ctx, r, req, mayRunIn(earlier), earlier, w) // to ask needs no advertisement
	}
	var last attemptResult
	for range maxRoutes {
		way, pool, why := g.chooseRoute(r, class, forced)
		if why != "" && forced != "" {
			return replication.Outcome{Kind: replication.Failed}
		}
		if why != "" {
			if last.out.Kind != 0 {
				return last.out
			}
			return replication.Outcome{Kind: replication.Rejected, NotRun: true, Reason: why, RetryAfter: comeBack}
		}
		last = g.attempt(ctx, r, req, pool, way, timeLeft(ctx, r, w), earlier, w, false)
		if last.unsure && way.Route != nil && way.Replicated {
			// Whoever has it in hand there now tells what became of it.
			return g.askPartner(ctx, r, req, pool, earlier, w)
		}
		if !last.ruled {
			return last.out
		}
		g.table.Drop(way.Route) // its owner's rule has changed: whoever comes next goes another way at once
	}
	return last.out
}

// timeLeft is what is left now to whoever waits for a request: each way that it tries takes some.
func timeLeft(ctx context.Context, r *replication.Record, w *replication.Work) time.Duration {
	if w != nil {
		return w.TimeLeft() - settling
	}
	if at, ok := ctx.Deadline(); ok {
		return time.Until(at)
	}
	return r.TimeLeft
}

// mayRunIn is the pool of the last attempt that may have run.
func mayRunIn(earlier []replication.Intent) (pool string) {
	for _, in := range earlier {
		if !in.NotRun {
			pool = in.Pool
		}
	}
	return pool
}

// chooseRoute is where a request goes now, by the rules of now, or why it goes nowhere.
func (g *Gateway) chooseRoute(r *replication.Record, class config.Class, forced string) (way routeexchange.Selection, pool, why string) {
	request := callOf(r, class)
	ok := false
	if len(r.Path) > 0 {
		if way, why = g.table.Come(routeexchange.ID{Origin: r.Offer[0], Name: r.Offer[1]}, request); why != "" {
			return way, "", why
		}
		ok = true
	} else {
		way, ok = g.table.Choose(request)
	}
	if ok && !way.Own {
		pool = config.PartnerPool(way.Path[0])
		if forced == "" || forced == pool {
			return way, pool, ""
		}
	}
	if forced != "" {
		if _, partners := config.PartnerOf(forced); partners {
			return routeexchange.Selection{}, "", "the partner that may have run it has no offer for it now"
		}
		return routeexchange.Selection{}, forced, ""
	}
	pool, routed := g.o.Calls.Pool(&route.Request{Listener: r.Route.Listener, Class: class.Name, Host: r.Route.Host, Path: r.Route.Path, Headers: kept(r.Headers), Draw: r.Route.Draw})
	if !routed {
		return way, "", "no route takes this call"
	}
	return way, pool, ""
}

// askPartner asks a partner what became of a request that may run there, until it says or the request's time is over. That a
// question was refused, or came to nobody, says nothing of the request: only a refusal that is settled there is its answer.
func (g *Gateway) askPartner(ctx context.Context, r *replication.Record, req engine.Message, pool string, earlier []replication.Intent, w *replication.Work) replication.Outcome {
	for ctx.Err() == nil {
		left := timeLeft(ctx, r, w)
		if left <= 0 {
			break
		}
		got := g.attempt(ctx, r, req, pool, routeexchange.Selection{}, left, earlier, w, true)
		if got.out.Kind == replication.Served || got.out.Kind == replication.Failed && !got.unsure || got.settled {
			return got.out
		}
		clock.Sleep(ctx, retryQuery)
	}
	return replication.Outcome{Kind: replication.Failed}
}
