package gateway

import (
	"time"

	"damsontrestle/internal/peering"
	"damsontrestle/internal/quota"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/routeexchange"
)

// Status is the state of a gateway, as operators see it.
type Status struct {
	Partner     string                  `json:"partner"`
	Incarnation uint64                  `json:"life"`
	Links       []LinkStatus            `json:"links"`
	Stats       peering.Stats           `json:"link_stats"`
	Replication replication.Status      `json:"custody"`
	Routes      routeexchange.Status    `json:"offers"`
	Quotas      map[string]quota.Status `json:"quotas,omitempty"`
}

// LinkStatus is the state of a link to another gateway.
type LinkStatus struct {
	Gateway     string        `json:"gateway"`
	Zone        string        `json:"zone,omitempty"`
	Incarnation uint64        `json:"life"`
	RTT         time.Duration `json:"rtt"`
}

// Status returns the state of the gateway.
func (g *Gateway) Status() Status {
	hub := g.hub.Load()
	s := Status{
		Partner:     g.self.Partner,
		Incarnation: g.incarnation,
		Stats:       hub.Stats(),
		Replication: g.replicator.Status(),
		Routes:      g.routes.Status(),
		Quotas:      map[string]quota.Status{},
	}
	for _, link := range hub.Links("") {
		s.Links = append(s.Links, LinkStatus{link.Peer.ID().String(), link.Peer.Zone, link.Peer.Incarnation, link.RTT()})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, limiter := range g.limiters {
		s.Quotas[name] = limiter.Status()
	}
	return s
}
