package gateway

import (
	"net/textproto"
	"slices"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/route"
)

// Headers of clients.
const (
	retryHeader    = "X-Retry-Of"  // the id of the client's earlier request, whose response has not come
	comeBackHeader = "X-Come-Back" // the id of the client's earlier request that was rejected, once its Retry-After is over
	tenantHeader   = "X-Tenant"
)

// Prefixes of a replicated request's key: by an idempotency key, whoever sends it, or by the sender and its id.
const (
	idempotencyKeyPrefix = "k:"
	requestIDPrefix      = "i:"
)

// Times of a request.
const (
	defaultRetryAfter = 250 * time.Millisecond // where no better one is known
	responseReserve   = 10 * time.Millisecond  // of a request's time, for its response
	settleReserve     = 20 * time.Millisecond  // of a replicated request's time, for its outcome to be settled
)

// incoming is what a request says of itself, and what its envelope does if a partner forwarded it.
type incoming struct {
	record    replication.Record
	from      string // the partner that forwarded it; empty: a client sent it
	retryOf   string // the id of the sender's earlier request whose response it asks for
	queryOnly bool   // a partner asks for the outcome: the request must not be begun
}

// Intercept implements dispatch.Interceptor: it takes requests of partners, and those of this partner's clients that draw from a quota, are
// replicated or go to another partner.
func (g *Gateway) Intercept(_ *dispatch.Snapshot, request *engine.Request, routing *route.Request) bool {
	p := g.policy.Load()
	class, known := p.classes[request.Class]
	if !known { // nobody would check a partner's envelope, or draw for it
		reject(request, "this class is not known here")
		return true
	}
	in, err := g.readIncoming(p, request, routing)
	if err != nil {
		reject(request, err.Error())
		return true
	}
	replicated := class.Replication != nil && request.Message.Rest == nil
	if !replicated {
		if in.queryOnly {
			request.Finish(engine.Response{Kind: engine.Failed}) // no replica remembers it, and it must not be begun
			return true
		}
		in.retryOf = ""
	}
	draws := p.draws(request.Class, &in.record)
	needsGateway := replicated || len(draws) > 0 || len(in.record.PartnerPath) > 0
	if !needsGateway && !g.goesToPartner(&in.record, class) {
		return false
	}
	in.record.Key = in.key(request)
	f := &requestFlow{
		gateway:      g,
		request:      request,
		record:       in.record,
		class:        class,
		draws:        draws,
		awaitOnly:    in.queryOnly || in.retryOf != "" && in.record.IdempotencyKey == "",
		rejectedID:   firstValue(routing.Headers, comeBackHeader),
		replicated:   replicated,
		disconnected: make(chan struct{}),
	}
	request.Intercept(func(time.Duration) { f.disconnectOnce.Do(func() { close(f.disconnected) }) })
	g.tasks.Go(f.serve)
	return true
}

// reject answers a request that was not taken.
func reject(request *engine.Request, reason string) {
	request.Finish(engine.Response{Kind: engine.Rejected, NotRun: true, Reason: reason, RetryAfter: defaultRetryAfter})
}

// readIncoming reads a request and, on the listener of partners, its envelope. An error says why it is no partner's.
func (g *Gateway) readIncoming(p *policy, request *engine.Request, routing *route.Request) (*incoming, error) {
	message := &request.Message
	in := &incoming{retryOf: firstValue(routing.Headers, retryHeader)}
	in.record = replication.Record{
		ID:             request.ID,
		Method:         message.Method,
		Target:         message.Target,
		IdempotencyKey: message.IdempotencyKey,
		ContentType:    message.ContentType,
		Body:           message.Body,
		Tenant:         firstValue(routing.Headers, tenantHeader),
		Route: replication.Route{
			Listener: routing.Listener,
			Host:     routing.Host,
			Path:     routing.Path,
			Draw:     routing.HashKey,
		},
		Headers: routedHeaders(p, routing),
	}
	if p.partnerListener == "" || routing.Listener != p.partnerListener {
		return in, nil
	}
	e, err := openEnvelope(routing.Headers.Values(envelopeHeader), g.key, request.ID, message.Target)
	if err != nil {
		return nil, err
	}
	in.record.Tenant = e.Tenant
	in.record.PartnerPath = e.Path
	in.record.QuotaDraws = e.Draws
	in.record.Offer = [2]string{e.Advertisement.Origin, e.Advertisement.Name}
	in.from = e.From
	in.queryOnly = e.QueryOnly
	in.retryOf = ""
	if e.QueryOnly {
		in.retryOf = request.ID
	}
	return in, nil
}

// key is what the request is replicated under.
func (in *incoming) key(request *engine.Request) replication.Key {
	id := requestIDPrefix + in.from + ":" + request.ID
	switch {
	case in.record.IdempotencyKey != "":
		id = idempotencyKeyPrefix + in.record.IdempotencyKey
	case in.retryOf != "":
		id = requestIDPrefix + in.from + ":" + in.retryOf
	}
	return replication.Key{Class: request.Class, ID: id}
}

// draws are the names of the quotas that a request has to draw from here: those that it matches and has not drawn from before.
func (p *policy) draws(class string, record *replication.Record) []string {
	var names []string
	for i := range p.quotas {
		budget := &p.quotas[i]
		if budget.Matches(class, record.Tenant) && !slices.Contains(record.QuotaDraws, budget.Name) {
			names = append(names, budget.Name)
		}
	}
	return names
}

// goesToPartner says that the best route of a request is another partner's advertisement.
func (g *Gateway) goesToPartner(record *replication.Record, class config.Class) bool {
	selection, ok := g.routes.Choose(routedRequest(record, class))
	return ok && !selection.Own
}

// firstValue is the first value of a header; empty: there is none.
func firstValue(headers route.Headers, name string) string {
	values := headers.Values(name)
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// routedHeaders are the headers of a request that routes match, by their canonical names; nil: it has none of them.
func routedHeaders(p *policy, routing *route.Request) map[string][]string {
	var out map[string][]string
	for _, name := range p.routedHeaders {
		values := routing.Headers.Values(name)
		if len(values) == 0 {
			continue
		}
		if out == nil {
			out = map[string][]string{}
		}
		out[textproto.CanonicalMIMEHeaderKey(name)] = values
	}
	return out
}
