package gateway

import (
	"damsontrestle/internal/config"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/route"
	"damsontrestle/internal/routeexchange"
)

// kept are headers that were kept of a request.
type recordedHeaders map[string][]string

// Values implements route.Headers.
func (k recordedHeaders) Values(name string) []string { return k[name] }

func routedRequest(record *replication.Record, class config.Class) *routeexchange.Request {
	return &routeexchange.Request{Class: class.Name, Path: record.Route.Path, Tenant: record.Tenant, Effect: class.ForModule().Effect, Via: record.Path}
}

// toPartner says that a pool is a partner's gateways.
func isPartnerPool(pool string) bool {
	_, partners := config.PartnerOf(pool)
	return partners
}

// chooseRoute is where a request goes now, by the rules of now, or why it goes nowhere.
func (g *Gateway) chooseRoute(record *replication.Record, class config.Class, forced string) (selection routeexchange.Selection, pool, why string) {
	request := routedRequest(record, class)
	ok := false
	if len(record.Path) > 0 {
		if selection, why = g.routes.Come(routeexchange.ID{Origin: record.Offer[0], Name: record.Offer[1]}, request); why != "" {
			return selection, "", why
		}
		ok = true
	} else {
		selection, ok = g.routes.Choose(request)
	}
	if ok && !selection.Own {
		pool = config.PartnerPool(selection.Path[0])
		if forced == "" || forced == pool {
			return selection, pool, ""
		}
	}
	if forced != "" {
		if _, partners := config.PartnerOf(forced); partners {
			return routeexchange.Selection{}, "", "the partner that may have run it has no offer for it now"
		}
		return routeexchange.Selection{}, forced, ""
	}
	pool, routed := g.options.Calls.Pool(&route.Request{Listener: record.Route.Listener, Class: class.Name, Host: record.Route.Host, Path: record.Route.Path, Headers: recordedHeaders(record.Headers), Draw: record.Route.Draw})
	if !routed {
		return selection, "", "no route takes this call"
	}
	return selection, pool, ""
}
