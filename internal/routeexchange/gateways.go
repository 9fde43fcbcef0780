package routeexchange

import (
	"slices"
	"strings"
)

// IsGatewayAlive says whether one of a partner's gateways lives, as far as the others of them that are linked here tell. Where none
// tells any more it is not known, and counts as yes.
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

// Gateways are a partner's that live, as those of them tell to whom there are links. The list is not to be changed.
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
	if len(gateways) == 0 { // nobody tells any more: those of before may still be there
		return x.cachedGateways[partner]
	}
	slices.SortFunc(gateways, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	x.cachedGateways[partner] = gateways
	return gateways
}
