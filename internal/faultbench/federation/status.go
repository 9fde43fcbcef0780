package federation

import (
	"context"

	"damsontrestle/internal/gateway"
	"damsontrestle/internal/peering"
	"damsontrestle/internal/quota"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/routeexchange"
)

// Look is what a gateway's process tells of its part in the federation; nothing where it does not answer.
func (g *Gateway) Status(ctx context.Context) gateway.Status {
	s, err := g.Show(ctx)
	if err != nil || s.Status.Gateway == nil {
		return gateway.Status{}
	}
	return *s.Status.Gateway
}

// Links are what its links did, and the incarnation of each gateway that it has one to.
func (g *Gateway) LinkStats(ctx context.Context) (peering.Stats, map[string]uint64) {
	s := g.Status(ctx)
	to := map[string]uint64{}
	for _, l := range s.Links {
		to[l.Gateway] = l.Incarnation
	}
	return s.Stats, to
}

// Custody is its part replicated.
func (g *Gateway) ReplicationStatus(ctx context.Context) replication.Status {
	return g.Status(ctx).Replication
}

// Offers is its table.
func (g *Gateway) RouteStatus(ctx context.Context) routeexchange.Status { return g.Status(ctx).Routes }

// Notes is its limiter of the quota "notes".
func (g *Gateway) QuotaStatus(ctx context.Context) quota.Status { return g.Status(ctx).Quotas["notes"] }
