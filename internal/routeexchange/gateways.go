package routeexchange

import (
	"slices"
	"strings"
)

// IsGatewayAlive reports whether a partner's gateway is alive according to the partner's other gateways that are linked to this
// one. If none of them reports, the state is unknown and the gateway counts as alive.
func (x *Exchange) IsGatewayAlive(partner, name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	reported := false
	for _, in := range x.inbound {
		if in.source.Partner != partner || in.source.Gateway == name || in.gateways == nil {
			continue
		}
		if slices.ContainsFunc(in.gateways, func(g Gateway) bool { return g.Name == name }) {
			return true
		}
		reported = true
	}
	return !reported
}

// Gateways returns a partner's live gateways, as reported by those that are linked to this one. The caller must not modify the
// result.
func (x *Exchange) Gateways(partner string) []Gateway {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gatewaysValid[partner] {
		return x.cachedGateways[partner]
	}
	var gateways []Gateway
	for _, in := range x.inbound {
		if in.source.Partner != partner {
			continue
		}
		for _, g := range in.gateways {
			if !slices.ContainsFunc(gateways, func(o Gateway) bool { return o.Name == g.Name }) {
				gateways = append(gateways, g)
			}
		}
	}
	x.gatewaysValid[partner] = true
	if len(gateways) == 0 { // no gateway reports any longer; the earlier ones may still be alive
		return x.cachedGateways[partner]
	}
	slices.SortFunc(gateways, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	x.cachedGateways[partner] = gateways
	return gateways
}
