package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
)

// requestFlow is a request that the gateway has taken, from there to its response: quota, replication, then the engine of a pool.
type requestFlow struct {
	gateway        *Gateway
	request        *engine.Request
	record         replication.Record
	class          config.Class
	draws          []string // quotas that it has to draw from
	awaitOnly      bool     // its sender asks only for the outcome of an earlier request
	rejectedID     string   // the id of the client's earlier request that was rejected, as it says
	replicated     bool
	disconnectOnce sync.Once
	disconnected   chan struct{} // closed once its client has disconnected
}

// serve sends the response, within the client's time.
func (f *requestFlow) serve() {
	g := f.gateway
	left := g.options.Clock.Until(f.request.Deadline) - responseReserve
	ctx, cancel := context.WithTimeout(g.ctx, max(0, left))
	defer cancel()
	if !f.replicated { // a replicated request goes on without its client, who may come back for the response
		g.tasks.Go(func() {
			select {
			case <-f.disconnected:
				cancel()
			case <-ctx.Done():
			}
		})
	}
	response := f.respond(ctx)
	fromPartner := len(f.record.PartnerPath) > 0
	if fromPartner && response.Kind == engine.Rejected && response.NotRun && response.Reason == "" {
		response.Reason = reasonBusy
	}
	select {
	case <-f.disconnected:
		response.Reply.Discard()
	default:
		f.request.Finish(response)
	}
}

// respond is the request's way: quota, replication, engine. Tokens are given back where nothing was begun, here or at a partner:
// others may have them.
func (f *requestFlow) respond(ctx context.Context) engine.Response {
	if f.awaitOnly {
		return f.awaitEarlier(ctx)
	}
	if f.replicated && f.record.IdempotencyKey != "" && len(f.draws) > 0 && f.gateway.replicator.MayHold(ctx, f.record.Key) {
		if response, ok := f.awaitDuplicate(ctx); ok {
			return response // a repeat draws nothing
		}
	}
	undo, response, ok := f.drawTokens(ctx)
	if ok {
		response = f.carryOut(ctx)
	}
	if response.Kind == engine.Rejected && response.NotRun {
		for _, giveBack := range undo {
			giveBack()
		}
	}
	return response
}

// drawTokens draws a token from each quota that the request matches. undo gives those back that were drawn. false: a quota has
// none for it now, and rejected says so.
func (f *requestFlow) drawTokens(ctx context.Context) (undo []func(), rejected engine.Response, ok bool) {
	id := f.record.IdempotencyKey
	if id == "" {
		id = f.record.ID
	}
	for _, name := range f.draws {
		limiter := f.gateway.limiter(name)
		if limiter == nil {
			continue
		}
		token, retryAfter := limiter.Draw(ctx, id, f.rejectedID)
		if token == 0 {
			rejected = rejection(retryAfter)
			if len(f.record.PartnerPath) > 0 {
				rejected.Reason = "quota " + name
			}
			return undo, rejected, false
		}
		f.record.QuotaDraws = append(f.record.QuotaDraws, name)
		undo = append(undo, func() { limiter.Undo(token) })
	}
	return undo, engine.Response{}, true
}

// carryOut has the request carried out once, replicated if its class is.
func (f *requestFlow) carryOut(ctx context.Context) engine.Response {
	if !f.replicated {
		return f.runUnreplicated(ctx, f.request.Message)
	}
	f.record.TimeLeft = f.gateway.options.Clock.Until(f.request.Deadline)
	serveAlone := f.class.Replication.Fallback == config.ServeUnreplicated
	for {
		outcome, err := f.gateway.replicator.Execute(ctx, f.record, serveAlone, time.Duration(f.class.Window))
		switch {
		case err == nil:
			return settledResponse(outcome)
		case errors.Is(err, replication.ErrNoQuorum) && serveAlone:
			message := f.request.Message
			message.ClientDisconnected = nil // it goes on without its client
			return f.runUnreplicated(ctx, message)
		case errors.Is(err, replication.ErrNoQuorum), errors.Is(err, replication.ErrNoCapacity), errors.Is(err, replication.ErrKeyUnchecked):
			return rejection(defaultRetryAfter)
		}
		// Another request of the key is carried out, or a successor carries out this one: what is settled there is the response.
		if response, ok := f.awaitDuplicate(ctx); ok {
			return response
		}
	}
}

// awaitDuplicate waits for the response to a request whose key is taken. false: that one was rejected, and the key may be used
// anew.
func (f *requestFlow) awaitDuplicate(ctx context.Context) (response engine.Response, ok bool) {
	outcome, generation, err := f.gateway.replicator.Await(ctx, f.record.Key)
	if err != nil {
		return engine.Response{Kind: engine.Failed}, true
	}
	if outcome.Kind == replication.Rejected && f.record.IdempotencyKey != "" && generation >= f.record.Generation {
		f.record.Generation = generation + 1
		return engine.Response{}, false
	}
	return settledResponse(outcome), true
}

// awaitEarlier waits for the response to the sender's earlier request.
func (f *requestFlow) awaitEarlier(ctx context.Context) engine.Response {
	outcome, _, err := f.gateway.replicator.Await(ctx, f.record.Key)
	switch {
	case err == nil:
		return settledResponse(outcome)
	case errors.Is(err, replication.ErrUnknown), errors.Is(err, replication.ErrOutcomeLost):
		return engine.Response{Kind: engine.Failed} // it may have run, or never have come
	}
	return rejection(defaultRetryAfter) // to ask again is harmless
}

// runUnreplicated has a request carried out that no replica knows.
func (f *requestFlow) runUnreplicated(ctx context.Context, message engine.Message) engine.Response {
	e := &execution{gateway: f.gateway, record: &f.record, message: message, class: f.class}
	outcome := e.run(ctx)
	if outcome.Kind == 0 {
		return engine.Response{Kind: engine.Failed}
	}
	return responseOf(outcome)
}
