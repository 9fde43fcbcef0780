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
func (g *Gateway) Look(ctx context.Context) gateway.Status {
	s, err := g.Show(ctx)
	if err != nil || s.Status.Gateway == nil {
		return gateway.Status{}
	}
	return *s.Status.Gateway
}

// Links are what its links did, and the incarnation of each gateway that it has one to.
func (g *Gateway) Links(ctx context.Context) (peering.Stats, map[string]uint64) {
	s := g.Look(ctx)
	to := map[string]uint64{}
	for _, l := range s.Links {
		to[l.Gateway] = l.Incarnation
	}
	return s.Stats, to
}

// Custody is its part replicated.
func (g *Gateway) Custody(ctx context.Context) replication.Status { return g.Look(ctx).Replication }

// Offers is its table.
func (g *Gateway) Offers(ctx context.Context) routeexchange.Status { return g.Look(ctx).Routes }

// Notes is its limiter of the quota "notes".
func (g *Gateway) Notes(ctx context.Context) quota.Status { return g.Look(ctx).Quotas["notes"] }
