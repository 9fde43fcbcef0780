package federation

import (
	"context"

	"damsontrestle/internal/gateway"
	"damsontrestle/internal/peering"
	"damsontrestle/internal/quota"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/routeexchange"
)

// Status returns the federation status of the gateway, or the zero value if it does not answer.
func (g *Gateway) Status(ctx context.Context) gateway.Status {
	s, err := g.Show(ctx)
	if err != nil || s.Status.Gateway == nil {
		return gateway.Status{}
	}
	return *s.Status.Gateway
}

// LinkStats returns the link statistics and the incarnation of each gateway that it has a link to.
func (g *Gateway) LinkStats(ctx context.Context) (peering.Stats, map[string]uint64) {
	s := g.Status(ctx)
	to := map[string]uint64{}
	for _, l := range s.Links {
		to[l.Gateway] = l.Incarnation
	}
	return s.Stats, to
}

// ReplicationStatus returns the status of its request replication.
func (g *Gateway) ReplicationStatus(ctx context.Context) replication.Status {
	return g.Status(ctx).Replication
}

// RouteStatus returns the status of its route table.
func (g *Gateway) RouteStatus(ctx context.Context) routeexchange.Status { return g.Status(ctx).Routes }

// QuotaStatus returns the status of its limiter for the quota "notes".
func (g *Gateway) QuotaStatus(ctx context.Context) quota.Status { return g.Status(ctx).Quotas["notes"] }
