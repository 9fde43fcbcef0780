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

// requestFlow takes an intercepted request to its response: through quota, replication and the engine of a pool.
type requestFlow struct {
	gateway        *Gateway
	request        *engine.Request
	record         replication.Record
	class          config.Class
	quotas         []string // names of the quotas to draw from
	queryOnly      bool     // the sender only wants the outcome of an earlier request
	rejectedID     string   // ID of the client's earlier, rejected request, from rejectedIDHeader
	replicated     bool
	disconnectOnce sync.Once
	disconnected   chan struct{} // closed when the client disconnects
}

// serve processes the request and sends the response before the client's deadline.
func (f *requestFlow) serve() {
	g := f.gateway
	left := g.options.Clock.Until(f.request.Deadline) - responseReserve
	ctx, cancel := context.WithTimeout(g.ctx, max(0, left))
	defer cancel()
	if !f.replicated { // a replicated request continues without its client, which may reconnect for the response
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

// respond passes the request through quota, replication and engine, and returns the response. It returns the drawn tokens for use
// by other requests if no attempt was started, here or at a partner.
func (f *requestFlow) respond(ctx context.Context) engine.Response {
	if f.queryOnly {
		return f.awaitEarlier(ctx)
	}
	if f.replicated && f.record.IdempotencyKey != "" && len(f.quotas) > 0 && f.gateway.replicator.MayHold(ctx, f.record.Key) {
		if response, ok := f.awaitDuplicate(ctx); ok {
			return response // a duplicate draws no tokens
		}
	}
	undo, response, ok := f.drawTokens(ctx)
	if ok {
		response = f.execute(ctx)
	}
	if response.Kind == engine.Rejected && response.NotRun {
		for _, returnToken := range undo {
			returnToken()
		}
	}
	return response
}

// drawTokens draws a token from each of the quotas. The functions in undo return the drawn tokens. If a quota has no token left, ok
// is false and rejected is the response.
func (f *requestFlow) drawTokens(ctx context.Context) (undo []func(), rejected engine.Response, ok bool) {
	id := f.record.IdempotencyKey
	if id == "" {
		id = f.record.ID
	}
	for _, name := range f.quotas {
		limiter := f.gateway.quotaLimiter(name)
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

// execute runs the request once, replicated if its class is.
func (f *requestFlow) execute(ctx context.Context) engine.Response {
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
			message.ClientDisconnected = nil // it continues without its client
			return f.runUnreplicated(ctx, message)
		case errors.Is(err, replication.ErrNoQuorum), errors.Is(err, replication.ErrNoCapacity), errors.Is(err, replication.ErrKeyUnchecked):
			return rejection(defaultRetryAfter)
		}
		// Another request of the key is running, or a successor runs this one: the response is the outcome settled there.
		if response, ok := f.awaitDuplicate(ctx); ok {
			return response
		}
	}
}

// awaitDuplicate waits for the response to the request that holds the key. ok is false if that request was rejected and the key may
// be reused.
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
		return engine.Response{Kind: engine.Failed} // it may have run, or never have arrived
	}
	return rejection(defaultRetryAfter) // repeating the query is harmless
}

// runUnreplicated runs the request without replication.
func (f *requestFlow) runUnreplicated(ctx context.Context, message engine.Message) engine.Response {
	e := &execution{gateway: f.gateway, record: &f.record, message: message, class: f.class}
	outcome := e.run(ctx)
	if outcome.Kind == 0 {
		return engine.Response{Kind: engine.Failed}
	}
	return responseOf(outcome)
}
