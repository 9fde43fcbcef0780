package gateway

import (
	"damsontrestle/internal/config"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/route"
	"damsontrestle/internal/routeexchange"
)

// destination is where a request goes.
type destination struct {
	pool      string
	selection routeexchange.Selection // the advertisement that it goes by; none for this partner's own pools
}

// recordedHeaders are the headers of a request that were recorded, as routes match them.
type recordedHeaders map[string][]string

// Values implements route.Headers.
func (h recordedHeaders) Values(name string) []string { return h[name] }

// routedRequest is a request as advertisements are chosen for it.
func routedRequest(record *replication.Record, class config.Class) *routeexchange.Request {
	return &routeexchange.Request{
		Class:  class.Name,
		Path:   record.Route.Path,
		Tenant: record.Tenant,
		Effect: class.BalancerClass().Effect,
		Via:    record.PartnerPath,
	}
}

// isPartnerPool says that a pool is a partner's gateways.
func isPartnerPool(pool string) bool {
	_, ok := config.PartnerOfPool(pool)
	return ok
}

// chooseRoute is where the request goes now, by the rules of now, or the reason why it goes nowhere. forced is the pool that it has
// to go to; empty: any.
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
	pool, routed := e.gateway.options.Calls.Pool(&route.Request{
		Listener: e.record.Route.Listener,
		Class:    e.class.Name,
		Host:     e.record.Route.Host,
		Path:     e.record.Route.Path,
		Headers:  recordedHeaders(e.record.Headers),
		Draw:     e.record.Route.Draw,
	})
	if !routed {
		return destination{}, "no route takes this request"
	}
	return destination{pool, selection}, ""
}

// chooseAdvertisement is the advertisement by which a partner forwarded the request, if its rules still let it in, or else the
// best one for it; false: there is none.
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
