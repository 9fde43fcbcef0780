package gateway

import (
	"cmp"
	"slices"

	"damsontrestle/internal/peering"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/routeexchange"
)

// groupLinks implements replication.Links for the gateway's own group.
type groupLinks struct{ *Gateway }

// To implements replication.Links.
func (l groupLinks) To(name string) *peering.Link {
	hub := l.hub.Load()
	if hub == nil {
		return nil
	}
	return hub.Link(peering.GatewayID{Partner: l.self.Partner, Name: name})
}

// All implements replication.Links.
func (l groupLinks) All() []*peering.Link {
	hub := l.hub.Load()
	if hub == nil {
		return nil
	}
	return hub.Links(l.self.Partner)
}

// groupMembers returns the active gateways of the own group, including this one, sorted by name.
func (g *Gateway) groupMembers() []replication.Gateway {
	out := []replication.Gateway{{Name: g.self.Name, Zone: g.options.Config.Node.Zone, Incarnation: g.incarnation}}
	for _, m := range g.options.ActiveMembers() {
		member := replication.Gateway{Name: m.Name, Zone: m.Zone}
		if link := (groupLinks{g}).To(m.Name); link != nil {
			member.Incarnation = link.Peer.Incarnation
		}
		out = append(out, member)
	}
	slices.SortFunc(out, func(a, b replication.Gateway) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// ownGateways returns the gateways that are advertised to partners: this one and the linked ones of its group, if they accept
// partners' requests, sorted by name.
func (g *Gateway) ownGateways() (out []routeexchange.Gateway) {
	if address := requestAddress(g.options.Config); address != "" {
		out = append(out, routeexchange.Gateway{Name: g.self.Name, Address: address, Zone: g.options.Config.Node.Zone})
	}
	for _, link := range (groupLinks{g}).All() {
		if link.Peer.RequestAddr != "" {
			out = append(out, routeexchange.Gateway{Name: link.Peer.Name, Address: link.Peer.RequestAddr, Zone: link.Peer.Zone})
		}
	}
	slices.SortFunc(out, func(a, b routeexchange.Gateway) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
