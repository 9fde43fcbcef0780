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
	coalesceDelay     = 5 * time.Millisecond // of many gateways that change at once, as when a fleet starts, one look is enough
	// failoverSilences is after how many times the silence that ends a link other gateways of a partner are tried.
	failoverTimeouts = 2
)

// connector keeps the links that this gateway opens, and the pools of partners' gateways. Its task alone uses it.
type connector struct {
	gateway    *Gateway
	connected  map[string]string                  // by address, the partner that the link goes to
	firstIndex map[string]int                     // by partner, the place in its order of the first gateway that is tried
	announced  map[string][]routeexchange.Gateway // by partner, its gateways as its pool has them

	policy     *policy
	dialOrders map[string][]string // by partner, its gateways in the order in which policy has this one try them
}

// maintainLinks keeps links to those of the group whose names come later, to as many gateways of each partner as the configuration
// says, and to quota candidates; and notifies pools of partners' gateways. It goes on until Close.
func (g *Gateway) maintainLinks() {
	c := &connector{
		gateway:    g,
		connected:  map[string]string{},
		firstIndex: map[string]int{},
		announced:  map[string][]routeexchange.Gateway{},
		dialOrders: map[string][]string{},
	}
	tick := time.NewTicker(linkCheckInterval)
	defer tick.Stop()
	for {
		c.setPolicy(g.policy.Load())
		c.connect(c.desiredLinks())
		c.updatePools()
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		case <-g.gatewaysChanged:
			clock.Sleep(g.ctx, coalesceDelay)
		}
	}
}

// setPolicy has the connector go by a policy.
func (c *connector) setPolicy(p *policy) {
	if p == c.policy {
		return
	}
	c.policy = p
	for _, partner := range p.config.Partners {
		c.dialOrders[partner.Name] = c.gateway.dialOrder(partner.Gateways)
	}
}

// desiredLinks are the links that this gateway should have, by address the partner that each goes to.
func (c *connector) desiredLinks() map[string]string {
	g := c.gateway
	links := map[string]string{}
	members := g.options.ActiveMembers()
	g.routes.SetGroupSize(1 + len(members))
	for _, member := range members {
		if member.Name > g.self.Name {
			links[member.Addr.String()] = g.self.Partner
		}
	}
	for i := range c.policy.config.Partners {
		c.addPartnerLinks(&c.policy.config.Partners[i], links)
	}
	for _, q := range c.policy.config.Quotas {
		for _, candidate := range q.Candidates {
			if id := quota.ParseCandidate(candidate.Name); id.Partner != g.self.Partner {
				links[candidate.Address] = id.Partner
			}
		}
	}
	return links
}

// addPartnerLinks adds links to a partner's gateways. Where one of them has been down for long, others are tried from the next look on.
func (c *connector) addPartnerLinks(partner *config.Partner, links map[string]string) {
	order := c.dialOrders[partner.Name]
	failoverAfter := failoverTimeouts * time.Duration(c.policy.config.Federation.Silence)
	for i := range min(partner.Links, len(order)) {
		address := order[(c.firstIndex[partner.Name]+i)%len(order)]
		if len(order) > partner.Links && c.gateway.hub.Load().DownFor(address) > failoverAfter {
			c.firstIndex[partner.Name] += partner.Links
			return
		}
		links[address] = partner.Name
	}
}

// connect has the hub keep the wanted links and no others.
func (c *connector) connect(links map[string]string) {
	hub := c.gateway.hub.Load()
	for address, partner := range links {
		if c.connected[address] != partner {
			hub.Disconnect(address)
			hub.Connect(address, partner)
			c.connected[address] = partner
		}
	}
	for address := range c.connected {
		if links[address] == "" {
			hub.Disconnect(address)
			delete(c.connected, address)
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
		c.gateway.options.UpdateEndpoints(partner.Name, endpointList(gateways))
	}
}

// triggerLinkCheck has maintainLinks look at once.
func (g *Gateway) triggerLinkCheck() {
	select {
	case g.gatewaysChanged <- struct{}{}:
	default:
	}
}

// dialOrder is the order in which this gateway tries a partner's addresses, another one at each gateway.
func (g *Gateway) dialOrder(addresses []string) []string {
	out := slices.Clone(addresses)
	self := g.self.String()
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(splitmix.Of(self, a), splitmix.Of(self, b)), cmp.Compare(a, b))
	})
	return out
}

// endpointList is the endpoint list of a pool whose servers are a partner's gateways.
func endpointList(gateways []routeexchange.Gateway) discovery.List {
	list := discovery.List{Full: true}
	for _, gateway := range gateways {
		list.Targets = append(list.Targets, discovery.Target{
			Endpoint: gateway.Calls,
			Server:   balancer.Server{ID: gateway.Name, Zone: gateway.Zone},
		})
	}
	return list
}
