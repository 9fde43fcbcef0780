package gateway

import (
	"net/textproto"
	"slices"
	"time"

	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/route"
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

// Headers of clients.
const (
	retryHeader    = "X-Retry-Of"  // the id that a request was asked for by before, whose answer has not come
	comeBackHeader = "X-Come-Back" // the id that a request was refused by before, where its client comes at the time that it was told
	tenantHeader   = "X-Tenant"
)
