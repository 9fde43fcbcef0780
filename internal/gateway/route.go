package gateway

import (
	"damsontrestle/internal/config"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/route"
	"damsontrestle/internal/routeexchange"
)

// destination is the pool to which a request is sent.
type destination struct {
	pool      string
	selection routeexchange.Selection // the advertisement it is routed by; zero if there is none
}

// recordedHeaders are the headers in a replication record, by canonical name.
type recordedHeaders map[string][]string

// Values implements route.Headers.
func (h recordedHeaders) Values(name string) []string { return h[name] }

// routedRequest returns the properties of a request by which an advertisement is chosen.
func routedRequest(record *replication.Record, class config.Class) *routeexchange.Request {
	return &routeexchange.Request{
		Class:  class.Name,
		Path:   record.Route.Path,
		Tenant: record.Tenant,
		Effect: class.BalancerClass().Effect,
		Via:    record.PartnerPath,
	}
}

// isPartnerPool reports whether a pool consists of a partner's gateways.
func isPartnerPool(pool string) bool {
	_, ok := config.PartnerOfPool(pool)
	return ok
}

// chooseRoute returns the destination of the request by the current rules, or the reason why there is none. forced is the only pool
// allowed; empty: any.
func (e *execution) chooseRoute(forced string) (to destination, reason string) {
	selection, ok, reason := e.chooseAdvertisement()
	if reason != "" {
		return destination{}, reason
	}
	if ok && !selection.Own {
		pool := config.PartnerPoolName(selection.Path[0])
		if forced == "" || forced == pool {
			return destination{pool, selection}, ""
		}
	}
	if forced != "" {
		if isPartnerPool(forced) {
			return destination{}, "the partner that may have run it advertises no route for it now"
		}
		return destination{pool: forced}, ""
	}
	pool, routed := e.gateway.options.Dispatcher.Pool(&route.Request{
		Listener: e.record.Route.Listener,
		Class:    e.class.Name,
		Host:     e.record.Route.Host,
		Path:     e.record.Route.Path,
		Headers:  recordedHeaders(e.record.Headers),
		HashKey:  e.record.Route.Draw,
	})
	if !routed {
		return destination{}, "no route takes this request"
	}
	return destination{pool, selection}, ""
}

// chooseAdvertisement returns the advertisement for the request. For a partner's request it is the one that the partner forwarded it
// by; if its rules no longer admit the request, ok is false and reason is not empty. For any other request it is the best one; ok is
// false if there is none.
func (e *execution) chooseAdvertisement() (selection routeexchange.Selection, ok bool, reason string) {
	request := routedRequest(e.record, e.class)
	if len(e.record.PartnerPath) == 0 {
		selection, ok = e.gateway.routes.Choose(request)
		return selection, ok, ""
	}
	id := routeexchange.ID{Origin: e.record.Offer[0], Name: e.record.Offer[1]}
	selection, reason = e.gateway.routes.AdmitForwarded(id, request)
	return selection, reason == "", reason
}
