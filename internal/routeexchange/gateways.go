package routeexchange

import (
	"slices"
	"strings"
)

// IsAlive says whether one of a partner's gateways lives, as far as the others of them that are linked here tell. Where none
// tells any more it is not known, and counts as yes.
func (x *Exchange) IsAlive(partner, name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	others := false
	for _, r := range x.inbound {
		if r.source.Partner != partner || r.source.Gateway == name || r.group == nil {
			continue
		}
		if slices.ContainsFunc(r.group, func(w Gateway) bool { return w.Name == name }) {
			return true
		}
		others = true
	}
	return !others
}

// Gateways are a partner's that live, as those of them tell to whom there are links. The list is not to be changed.
func (x *Exchange) Gateways(partner string) []Gateway {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gatewaysValid[partner] {
		return x.lastGateways[partner]
	}
	var out []Gateway
	for _, r := range x.inbound {
		if r.source.Partner != partner {
			continue
		}
		for _, w := range r.group {
			if !slices.ContainsFunc(out, func(o Gateway) bool { return o.Name == w.Name }) {
				out = append(out, w)
			}
		}
	}
	x.gatewaysValid[partner] = true
	if len(out) == 0 { // nobody tells any more: those of before may still be there
		return x.lastGateways[partner]
	}
	slices.SortFunc(out, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	x.lastGateways[partner] = out
	return out
}
