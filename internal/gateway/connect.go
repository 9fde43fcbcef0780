package gateway

import (
	"cmp"
	"slices"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/quota"
	"damsontrestle/internal/routeexchange"
	"damsontrestle/internal/splitmix"
)

// Times of connecting.
const (
	linkCheckInterval  = 100 * time.Millisecond
	gatherDelay        = 5 * time.Millisecond
	otherAfterSilences = 2 // times the silence that ends a link, after which another of a partner's gateways is tried
)

// connect holds links to those of the group whose names come later, to as many gateways of each partner as the file says, and
// to quota candidates; and gives partners' gateways to their pools.
func (g *Gateway) maintainLinks() {
	tick := time.NewTicker(linkCheckInterval)
	defer tick.Stop()
	kept := map[string]string{}
	first := map[string]int{} // of a partner's gateways, in the order of this one
	given := map[string][]routeexchange.Gateway{}
	var of *policy                  // that
	orders := map[string][]string{} // is by: each partner's gateways as this one tries them
	for {
		p := g.policy.Load()
		if p != of {
			of = p
			for _, n := range p.config.Partners {
				orders[n.Name] = g.tryOrder(n.Gateways)
			}
		}
		want := map[string]string{}
		living := g.options.Living()
		g.routes.SetShare(1 + len(living))
		for _, m := range living {
			if m.Name > g.self.Name {
				want[m.Addr.String()] = g.self.Partner
			}
		}
		for _, n := range p.config.Partners {
			order := orders[n.Name]
			for i := range min(n.Links, len(order)) {
				at := order[(first[n.Name]+i)%len(order)]
				if g.hub.Load().Down(at) > otherAfterSilences*time.Duration(p.config.Federation.Silence) && len(order) > n.Links {
					first[n.Name] += n.Links
					break
				}
				want[at] = n.Name
			}
		}
		for _, q := range p.config.Quotas {
			for _, k := range q.Candidates {
				if who := quota.ParseCandidate(k.Name); who.Partner != g.self.Partner {
					want[k.Address] = who.Partner
				}
			}
		}
		for at, partner := range want {
			if kept[at] != partner {
				g.hub.Load().Drop(at)
				g.hub.Load().Keep(at, partner)
				kept[at] = partner
			}
		}
		for at := range kept {
			if want[at] == "" {
				g.hub.Load().Drop(at)
				delete(kept, at)
			}
		}
		for _, n := range p.config.Partners {
			now := g.exchange.Gateways(n.Name)
			if !slices.Equal(now, given[n.Name]) {
				given[n.Name] = now
				g.options.List(n.Name, serverList(now))
			}
		}
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		case <-g.gatewaysChanged:
			clock.Sleep(g.ctx, gatherDelay) // of many that change, as when a fleet starts, one look is enough
		}
	}
}

// listen has the lists of partners' gateways looked at.
func (g *Gateway) wakeConnect() {
	select {
	case g.gatewaysChanged <- struct{}{}:
	default:
	}
}

// order is the order in which this gateway tries a partner's, another one for each gateway.
func (g *Gateway) tryOrder(addresses []string) []string {
	out := slices.Clone(addresses)
	self := g.self.String()
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(splitmix.Of(self, a), splitmix.Of(self, b)), cmp.Compare(a, b))
	})
	return out
}

// listOf are a partner's gateways as a pool has its servers.
func serverList(gateways []routeexchange.Gateway) discovery.List {
	l := discovery.List{Full: true}
	for _, w := range gateways {
		l.Targets = append(l.Targets, discovery.Target{Endpoint: w.Calls, Server: balancer.Server{ID: w.Name, Zone: w.Zone}})
	}
	return l
}
