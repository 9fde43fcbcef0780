package gateway

import (
	"context"
	"errors"
	"net/textproto"
	"slices"
	"sync"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/route"
	"damsontrestle/internal/routeexchange"
)

// Words in refusals to partners' gateways.
const (
	reasonBusy = "busy" // no rule refused it
)

// Times of a request.
const (
	defaultRetryAfter = 250 * time.Millisecond // where nothing better is known
	responseReserve   = 10 * time.Millisecond  // of a request's time that is left for its answer
	settleReserve     = 20 * time.Millisecond  // of a request's time replicated that is left to have its outcome taken
	maxRoutes         = 4                      // ways that a request tries, of which all but the last refused it by their rules
	queryRetryDelay   = 20 * time.Millisecond  // after a question for what became of a request, which a partner did not answer
)

// Take implements dispatch.Guard: it takes requests of partners, and such of this partner's clients as draw from a budget, are in
// replication, or go to another partner.
func (g *Gateway) Take(snapshot *dispatch.Snapshot, request *engine.Request, r *route.Request) bool {
	p := g.policy.Load()
	class, known := p.classes[request.Class]
	if !known { // nobody would check a partner's pass, or draw for it
		request.Finish(engine.Response{Kind: engine.Rejected, NotRun: true, Why: "this class is not known here", RetryAfter: defaultRetryAfter})
		return true
	}
	record := replication.Record{ID: request.ID, Method: request.Message.Method, Target: request.Message.Target, IdempotencyKey: request.Message.Key, ContentType: request.Message.ContentType, Body: request.Message.Body,
		Tenant: firstValue(r.Headers, tenantHeader), Route: replication.Route{Listener: r.Listener, Host: r.Host, Path: r.Path, Draw: r.Draw}, Headers: g.routedHeaders(p, r)}
	again := firstValue(r.Headers, retryHeader)
	var from string
	queryOnly := false // a partner asks what became of it
	if r.Listener == p.partnerListener && p.partnerListener != "" {
		envelope, err := openEnvelope(r.Headers.Values(envelopeHeader), g.key, request.ID, request.Message.Target)
		if err != nil {
			request.Finish(engine.Response{Kind: engine.Rejected, NotRun: true, Why: err.Error(), RetryAfter: defaultRetryAfter})
			return true
		}
		record.Tenant, record.Path, record.Draws = envelope.Tenant, envelope.Path, envelope.Draws
		record.Offer = [2]string{envelope.Advertisement.Origin, envelope.Advertisement.Name}
		from, again, queryOnly = envelope.From, "", envelope.QueryOnly
		if queryOnly {
			again = request.ID
		}
	}
	isReplicated := class.Replication != nil && request.Message.Rest == nil
	if queryOnly && !isReplicated {
		request.Finish(engine.Response{Kind: engine.Failed}) // nobody here remembers, and it must not be begun
		return true
	}
	if !isReplicated {
		again = ""
	}
	var draws []string
	for i := range p.quotas {
		if b := &p.quotas[i]; b.Match(request.Class, record.Tenant) && !slices.Contains(record.Draws, b.Name) {
			draws = append(draws, b.Name)
		}
	}
	if !isReplicated && len(draws) == 0 && len(record.Path) == 0 {
		selection, ok := g.routes.Choose(routedRequest(&record, class))
		if !ok || selection.Own {
			return false
		}
	}
	record.Key = replication.Key{Class: request.Class, ID: "i:" + from + ":" + request.ID}
	switch {
	case record.IdempotencyKey != "":
		record.Key.ID = "k:" + record.IdempotencyKey
	case again != "":
		record.Key.ID = "i:" + from + ":" + again
	}
	f := &requestFlow{gateway: g, request: request, record: record, class: class, draws: draws, awaitOnly: again != "" && record.IdempotencyKey == "" || queryOnly, rejectedID: firstValue(r.Headers, comeBackHeader), replicated: isReplicated, disconnected: make(chan struct{})}
	request.Intercept(func(time.Duration) { f.disconnectOnce.Do(func() { close(f.disconnected) }) })
	g.tasks.Go(f.serve)
	return true
}

func firstValue(h route.Headers, name string) string {
	if list := h.Values(name); len(list) > 0 {
		return list[0]
	}
	return ""
}

// headers are those that routes look at.
func (g *Gateway) routedHeaders(p *policy, r *route.Request) map[string][]string {
	var out map[string][]string
	for _, name := range p.routedHeaders {
		if v := r.Headers.Values(name); len(v) > 0 {
			if out == nil {
				out = map[string][]string{}
			}
			out[textproto.CanonicalMIMEHeaderKey(name)] = v
		}
	}
	return out
}

// kept are headers that were kept of a request.
type recordedHeaders map[string][]string

// Values implements route.Headers.
func (k recordedHeaders) Values(name string) []string { return k[name] }

func routedRequest(record *replication.Record, class config.Class) *routeexchange.Request {
	return &routeexchange.Request{Class: class.Name, Path: record.Route.Path, Tenant: record.Tenant, Effect: class.ForModule().Effect, Via: record.Path}
}

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
