package gateway

import (
	"cmp"
	"slices"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/quota"
	"damsontrestle/internal/routeexchange"
	"damsontrestle/internal/splitmix"
)

const (
	linkCheckInterval = 100 * time.Millisecond
	gatherDelay       = 5 * time.Millisecond // of many gateways that change at once, as when a fleet starts, one look is enough
	// failoverSilences is after how many times the silence that ends a link other gateways of a partner are tried.
	failoverSilences = 2
)

// connector keeps the links that this gateway opens, and the pools of partners' gateways. Its task alone uses it.
type connector struct {
	gateway   *Gateway
	kept      map[string]string                  // by address, the partner that the link goes to
	first     map[string]int                     // by partner, the place in its order of the first gateway that is tried
	announced map[string][]routeexchange.Gateway // by partner, its gateways as its pool has them

	policy *policy
	orders map[string][]string // by partner, its gateways in the order in which policy has this one try them
}

// maintainLinks keeps links to those of the group whose names come later, to as many gateways of each partner as the configuration
// says, and to quota candidates; and notifies pools of partners' gateways. It goes on until Close.
func (g *Gateway) maintainLinks() {
	c := &connector{
		gateway:   g,
		kept:      map[string]string{},
		first:     map[string]int{},
		announced: map[string][]routeexchange.Gateway{},
		orders:    map[string][]string{},
	}
	tick := time.NewTicker(linkCheckInterval)
	defer tick.Stop()
	for {
		c.adopt(g.policy.Load())
		c.keep(c.wanted())
		c.updatePools()
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		case <-g.gatewaysChanged:
			clock.Sleep(g.ctx, gatherDelay)
		}
	}
}

// adopt has the connector go by a policy.
func (c *connector) adopt(p *policy) {
	if p == c.policy {
		return
	}
	c.policy = p
	for _, partner := range p.config.Partners {
		c.orders[partner.Name] = c.gateway.tryOrder(partner.Gateways)
	}
}

// wanted are the links that this gateway should have, by address the partner that each goes to.
func (c *connector) wanted() map[string]string {
	g := c.gateway
	want := map[string]string{}
	living := g.options.Living()
	g.routes.SetGroupSize(1 + len(living))
	for _, member := range living {
		if member.Name > g.self.Name {
			want[member.Addr.String()] = g.self.Partner
		}
	}
	for i := range c.policy.config.Partners {
		c.wantPartner(&c.policy.config.Partners[i], want)
	}
	for _, q := range c.policy.config.Quotas {
		for _, candidate := range q.Candidates {
			if id := quota.ParseCandidate(candidate.Name); id.Partner != g.self.Partner {
				want[candidate.Address] = id.Partner
			}
		}
	}
	return want
}

// wantPartner adds links to a partner's gateways. Where one of them has been down for long, others are tried from the next look on.
func (c *connector) wantPartner(partner *config.Partner, want map[string]string) {
	order := c.orders[partner.Name]
	patience := failoverSilences * time.Duration(c.policy.config.Federation.LinkTimeout)
	for i := range min(partner.Links, len(order)) {
		address := order[(c.first[partner.Name]+i)%len(order)]
		if len(order) > partner.Links && c.gateway.hub.Load().Down(address) > patience {
			c.first[partner.Name] += partner.Links
			return
		}
		want[address] = partner.Name
	}
}

// keep has the hub keep the wanted links and no others.
func (c *connector) keep(want map[string]string) {
	hub := c.gateway.hub.Load()
	for address, partner := range want {
		if c.kept[address] != partner {
			hub.Drop(address)
			hub.Keep(address, partner)
			c.kept[address] = partner
		}
	}
	for address := range c.kept {
		if want[address] == "" {
			hub.Drop(address)
			delete(c.kept, address)
		}
	}
}

// updatePools notifies the pools of partners whose gateways have changed.
func (c *connector) updatePools() {
	for _, partner := range c.policy.config.Partners {
		gateways := c.gateway.exchange.Gateways(partner.Name)
		if slices.Equal(gateways, c.announced[partner.Name]) {
			continue
		}
		c.announced[partner.Name] = gateways
		c.gateway.options.List(partner.Name, serverList(gateways))
	}
}

// checkLinks has maintainLinks look at once.
func (g *Gateway) checkLinks() {
	select {
	case g.gatewaysChanged <- struct{}{}:
	default:
	}
}

// tryOrder is the order in which this gateway tries a partner's addresses, another one at each gateway.
func (g *Gateway) tryOrder(addresses []string) []string {
	out := slices.Clone(addresses)
	self := g.self.String()
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(splitmix.Of(self, a), splitmix.Of(self, b)), cmp.Compare(a, b))
	})
	return out
}

// serverList is the endpoint list of a pool whose servers are a partner's gateways.
func serverList(gateways []routeexchange.Gateway) discovery.List {
	list := discovery.List{Full: true}
	for _, gateway := range gateways {
		list.Targets = append(list.Targets, discovery.Target{
			Endpoint: gateway.Calls,
			Server:   balancer.Server{ID: gateway.Name, Zone: gateway.Zone},
		})
	}
	return list
}
