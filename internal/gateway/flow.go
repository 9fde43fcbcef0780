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

// flow is a request from its taking to its answer.
type requestFlow struct {
	gateway        *Gateway
	request        *engine.Request
	record         replication.Record
	class          config.Class
	draws          []string // budgets that it has to draw from
	awaitOnly      bool     // its client only asks for what it asked for before
	rejectedID     string   // the id by which it was refused before, as it says
	replicated     bool
	disconnectOnce sync.Once
	disconnected   chan struct{} // its client has left
}

// tell tells the story and gives the answer.
func (f *requestFlow) serve() {
	g := f.gateway
	ctx, cancel := context.WithTimeout(g.ctx, max(0, g.options.Clock.Until(f.request.Deadline)-responseReserve))
	defer cancel()
	if !f.replicated { // else it goes on without its client, who may come back for the answer
		g.tasks.Go(func() {
			select {
			case <-f.disconnected:
				cancel()
			case <-ctx.Done():
			}
		})
	}
	response := f.respond(ctx)
	if response.Kind == engine.Rejected && len(f.record.Path) > 0 && response.Why == "" && response.NotRun {
		response.Why = reasonBusy
	}
	select {
	case <-f.disconnected:
		response.Reply.Discard()
	default:
		f.request.Finish(response)
	}
}

// answer is the request's way: quota, replication, engine.
func (f *requestFlow) respond(ctx context.Context) (response engine.Response) {
	g := f.gateway
	var drawn []func()
	defer func() {
		if response.Kind == engine.Rejected && response.NotRun {
			for _, undo := range drawn {
				undo() // nothing was begun, here or at a partner's: others may have what was drawn
			}
		}
	}()
	if f.awaitOnly {
		return f.await(ctx, true)
	}
	if f.replicated && f.record.IdempotencyKey != "" && len(f.draws) > 0 && g.replicator.Holds(ctx, f.record.Key) {
		if response, over := f.awaitOther(ctx); over {
			return response // a repeat draws nothing
		}
	}
	for _, name := range f.draws {
		limiter := g.limiter(name)
		if limiter == nil {
			continue
		}
		id := f.record.IdempotencyKey
		if id == "" {
			id = f.record.ID
		}
		token, retry := limiter.Draw(ctx, id, f.rejectedID)
		if token == 0 {
			response := rejection(retry)
			if len(f.record.Path) > 0 {
				response.Why = "quota " + name
			}
			return response
		}
		f.record.Draws = append(f.record.Draws, name)
		drawn = append(drawn, func() { limiter.Undo(token) })
	}
	if !f.replicated {
		message := f.request.Message
		return f.runLocally(ctx, message)
	}
	f.record.TimeLeft = g.options.Clock.Until(f.request.Deadline)
	serve := f.class.Replication.WhenAlone == config.ServeAlone
	for {
		outcome, err := g.replicator.Take(ctx, f.record, serve, time.Duration(f.class.Window))
		switch {
		case err == nil:
			return settledResponse(outcome)
		case errors.Is(err, replication.ErrAlone) && serve:
			message := f.request.Message
			message.Gone = nil // it goes on without its client
			return f.runLocally(ctx, message)
		case errors.Is(err, replication.ErrAlone), errors.Is(err, replication.ErrFull), errors.Is(err, replication.ErrNoAnswer):
			return rejection(defaultRetryAfter)
		}
		// Others have it in hand, or will soon: whatever they settle is this client's answer too.
		if response, over := f.awaitOther(ctx); over {
			return response
		}
	}
}

// found waits for the answer to a request whose key others have in hand. false: they refused it, and it may be begun anew.
func (f *requestFlow) awaitOther(ctx context.Context) (engine.Response, bool) {
	outcome, gen, err := f.gateway.replicator.Await(ctx, f.record.Key)
	if err == nil && outcome.Kind == replication.Rejected && f.record.IdempotencyKey != "" && gen >= f.record.Generation {
		f.record.Generation = gen + 1
		return engine.Response{}, false
	}
	if err != nil {
		return engine.Response{Kind: engine.Failed}, true
	}
	return settledResponse(outcome), true
}

// await brings the answer to what a client asked for before.
func (f *requestFlow) await(ctx context.Context, mayRetry bool) engine.Response {
	outcome, _, err := f.gateway.replicator.Await(ctx, f.record.Key)
	switch {
	case err == nil:
		return settledResponse(outcome)
	case errors.Is(err, replication.ErrUnknown), errors.Is(err, replication.ErrForgotten):
		return engine.Response{Kind: engine.Failed} // it may have run, or never have come
	case mayRetry:
		return rejection(defaultRetryAfter) // to ask again is harmless
	}
	return engine.Response{Kind: engine.Failed}
}

// own has a request carried out that nobody else holds.
func (f *requestFlow) runLocally(ctx context.Context, message engine.Message) engine.Response {
	outcome := f.gateway.run(ctx, &f.record, message, f.class, nil, nil)
	if outcome.Kind == 0 {
		return engine.Response{Kind: engine.Failed}
	}
	return responseOf(outcome)
}
