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

// Request headers of clients.
const (
	retryOfHeader    = "X-Retry-Of"  // ID of the client's earlier request whose response was not received
	rejectedIDHeader = "X-Come-Back" // ID of the client's earlier, rejected request; sent after its Retry-After
	tenantHeader     = "X-Tenant"
)

// Prefixes of a replicated request's key, which is the idempotency key from any sender, or the sender and the request ID.
const (
	idempotencyKeyPrefix = "k:"
	requestIDPrefix      = "i:"
)

const (
	defaultRetryAfter = 250 * time.Millisecond // if no better value is known
	responseReserve   = 10 * time.Millisecond  // part of a request's time that is reserved for sending the response
	settleReserve     = 20 * time.Millisecond  // part of a replicated request's time that is reserved for settling the outcome
)

// inboundRequest is a request as its headers describe it, and its envelope if a partner forwarded it.
type inboundRequest struct {
	record    replication.Record
	sender    string // the partner that forwarded it; empty: a client sent it
	retryOf   string // ID of the sender's earlier request whose response is wanted
	queryOnly bool   // a partner's query for the outcome, which must not start the request
}

// Intercept implements dispatch.Interceptor. It takes the requests of partners, and those of this partner's clients that draw from a
// quota, are replicated or go to another partner.
func (g *Gateway) Intercept(_ *dispatch.Snapshot, request *engine.Request, routing *route.Request) bool {
	p := g.policy.Load()
	class, known := p.classes[request.Class]
	if !known { // without the gateway, neither a partner's envelope nor quotas would be checked
		reject(request, "this class is not known here")
		return true
	}
	in, err := g.parseRequest(p, request, routing)
	if err != nil {
		reject(request, err.Error())
		return true
	}
	replicated := class.Replication != nil && request.Message.Rest == nil
	if !replicated {
		if in.queryOnly {
			request.Finish(engine.Response{Kind: engine.Failed}) // no replica has the outcome, and a query must not start the request
			return true
		}
		in.retryOf = ""
	}
	draws := p.quotasToDraw(request.Class, &in.record)
	needsGateway := replicated || len(draws) > 0 || len(in.record.PartnerPath) > 0
	if !needsGateway && !g.goesToPartner(&in.record, class) {
		return false
	}
	in.record.Key = in.key(request)
	flow := &requestFlow{
		gateway:      g,
		request:      request,
		record:       in.record,
		class:        class,
		quotas:       draws,
		queryOnly:    in.queryOnly || in.retryOf != "" && in.record.IdempotencyKey == "",
		rejectedID:   firstValue(routing.Headers, rejectedIDHeader),
		replicated:   replicated,
		disconnected: make(chan struct{}),
	}
	request.Intercept(func(time.Duration) { flow.disconnectOnce.Do(func() { close(flow.disconnected) }) })
	g.tasks.Go(flow.serve)
	return true
}

// reject rejects a request without having run it.
func reject(request *engine.Request, reason string) {
	request.Finish(engine.Response{Kind: engine.Rejected, NotRun: true, Reason: reason, RetryAfter: defaultRetryAfter})
}

// parseRequest reads the headers of a request and, on the partners' listener, its envelope. It returns an error if the envelope is
// not valid.
func (g *Gateway) parseRequest(p *policy, request *engine.Request, routing *route.Request) (*inboundRequest, error) {
	message := &request.Message
	in := &inboundRequest{retryOf: firstValue(routing.Headers, retryOfHeader)}
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
	env, err := openEnvelope(routing.Headers.Values(envelopeHeader), g.key, request.ID, message.Target)
	if err != nil {
		return nil, err
	}
	in.record.Tenant = env.Tenant
	in.record.PartnerPath = env.Path
	in.record.QuotaDraws = env.QuotaDraws
	in.record.Offer = [2]string{env.Advertisement.Origin, env.Advertisement.Name}
	in.sender = env.From
	in.queryOnly = env.QueryOnly
	in.retryOf = ""
	if env.QueryOnly {
		in.retryOf = request.ID
	}
	return in, nil
}

// key returns the key under which the request is replicated.
func (in *inboundRequest) key(request *engine.Request) replication.Key {
	id := requestIDPrefix + in.sender + ":" + request.ID
	switch {
	case in.record.IdempotencyKey != "":
		id = idempotencyKeyPrefix + in.record.IdempotencyKey
	case in.retryOf != "":
		id = requestIDPrefix + in.sender + ":" + in.retryOf
	}
	return replication.Key{Class: request.Class, ID: id}
}

// quotasToDraw returns the names of the quotas that the request matches and has not drawn from at an earlier gateway.
func (p *policy) quotasToDraw(class string, record *replication.Record) []string {
	var names []string
	for i := range p.quotas {
		budget := &p.quotas[i]
		if budget.Matches(class, record.Tenant) && !slices.Contains(record.QuotaDraws, budget.Name) {
			names = append(names, budget.Name)
		}
	}
	return names
}

// goesToPartner reports whether the best route of a request is another partner's advertisement.
func (g *Gateway) goesToPartner(record *replication.Record, class config.Class) bool {
	selection, ok := g.routes.Choose(routedRequest(record, class))
	return ok && !selection.Own
}

// firstValue returns the first value of a header, or an empty string if there is none.
func firstValue(headers route.Headers, name string) string {
	values := headers.Values(name)
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// routedHeaders returns the headers of a request that routes match, by canonical name, or nil if it has none of them.
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
