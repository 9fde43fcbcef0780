package node

import (
	"context"
	"fmt"

	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/gateway"
	"damsontrestle/internal/gossip"
	netlistener "damsontrestle/internal/listener"
)

// openGateway makes the node a gateway of its partner, where its file has a federation.
func (n *Node) openGateway(starting context.Context, c *config.Config) error {
	if c.Federation == nil || n.peers == nil {
		return nil
	}
	key, err := gossip.LoadKey(c.Node.Peers.KeyFile)
	if err != nil {
		return err
	}
	o := gateway.Options{
		Config:          c,
		GroupKey:        key,
		PartnerKeys:     map[string][]byte{},
		ActiveMembers:   n.peers.ActiveMembers,
		Dispatcher:      n.requests,
		UpdateEndpoints: n.updateGateways,
		Clock:           n.clock,
		Log:             n.log,
	}
	for _, p := range c.Partners {
		if o.PartnerKeys[p.Name], err = gossip.LoadKey(p.KeyFile); err != nil {
			return fmt.Errorf("partner %q: %w", p.Name, err)
		}
	}
	n.gateway, err = netlistener.Open(starting, n.log, func() (*gateway.Gateway, error) { return gateway.Open(o) })
	if err != nil {
		return err
	}
	n.requests.SetInterceptor(n.gateway)
	return nil
}

// updateGateways gives the gateways of a partner to their pool.
func (n *Node) updateGateways(partner string, list discovery.List) {
	n.mu.Lock()
	p := n.pools[config.PartnerPoolName(partner)]
	n.mu.Unlock()
	if p != nil {
		p.engine.UpdateList(list)
	}
}
