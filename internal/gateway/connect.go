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
	coalesceDelay     = 5 * time.Millisecond // combines changes of many gateways, such as when all of them start, into one check
	// failoverTimeouts is the downtime of a link, in heartbeat timeouts, after which other gateways of the partner are tried.
	failoverTimeouts = 2
)

// connector maintains the links that this gateway dials and the endpoint lists of partner pools. Only the goroutine of
// maintainLinks uses it.
type connector struct {
	gateway    *Gateway
	connected  map[string]string                  // partner that the link goes to, by address
	firstIndex map[string]int                     // index in dialOrders of the first gateway to connect to, by partner
	announced  map[string][]routeexchange.Gateway // gateways last sent to the partner's pool, by partner

	policy     *policy
	dialOrders map[string][]string // addresses of gateways in the order in which this gateway tries them, by partner
}

// maintainLinks maintains links to the gateways of the group whose names sort after this one's, to the configured number of gateways
// of each partner, and to quota candidates. It updates the pools of partners when their gateways change. It returns after Close.
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

// setPolicy sets the policy and computes the dial orders if it is a new one.
func (c *connector) setPolicy(p *policy) {
	if p == c.policy {
		return
	}
	c.policy = p
	for _, partner := range p.config.Partners {
		c.dialOrders[partner.Name] = c.gateway.dialOrder(partner.Gateways)
	}
}

// desiredLinks returns the links that this gateway should have: the partner that each goes to, by address.
func (c *connector) desiredLinks() map[string]string {
	g := c.gateway
	links := map[string]string{}
	members := g.options.ActiveMembers()
	g.routes.SetGatewayCount(1 + len(members))
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

// addPartnerLinks adds links to a partner's gateways. If one of them has been down for too long, it adds no more, and other gateways
// are tried from the next check on.
func (c *connector) addPartnerLinks(partner *config.Partner, links map[string]string) {
	order := c.dialOrders[partner.Name]
	failoverAfter := failoverTimeouts * time.Duration(c.policy.config.Federation.LinkTimeout)
	for i := range min(partner.Links, len(order)) {
		address := order[(c.firstIndex[partner.Name]+i)%len(order)]
		if len(order) > partner.Links && c.gateway.hub.Load().DownFor(address) > failoverAfter {
			c.firstIndex[partner.Name] += partner.Links
			return
		}
		links[address] = partner.Name
	}
}

// connect makes the hub maintain the given links and no others.
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

// triggerLinkCheck makes maintainLinks check the links without waiting for its next tick.
func (g *Gateway) triggerLinkCheck() {
	select {
	case g.gatewaysChanged <- struct{}{}:
	default:
	}
}

// dialOrder returns a partner's addresses in the order in which this gateway tries them. It depends on the gateway's ID, so that the
// links of different gateways are spread over the addresses.
func (g *Gateway) dialOrder(addresses []string) []string {
	out := slices.Clone(addresses)
	self := g.self.String()
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(splitmix.Hash(self, a), splitmix.Hash(self, b)), cmp.Compare(a, b))
	})
	return out
}

// endpointList returns the endpoint list of a pool whose servers are a partner's gateways.
func endpointList(gateways []routeexchange.Gateway) discovery.List {
	list := discovery.List{Full: true}
	for _, gateway := range gateways {
		list.Targets = append(list.Targets, discovery.Target{
			Endpoint: gateway.Address,
			Server:   balancer.Server{ID: gateway.Name, Zone: gateway.Zone},
		})
	}
	return list
}
