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

// openGateway starts the federation gateway if the configuration has a federation block.
func (n *Node) openGateway(starting context.Context, c *config.Config) error {
	if c.Federation == nil || n.peers == nil {
		return nil
	}
	key, err := gossip.LoadKey(c.Node.Peers.KeyFile)
	if err != nil {
		return err
	}
	options := gateway.Options{
		Config:          c,
		GroupKey:        key,
		PartnerKeys:     map[string][]byte{},
		ActiveMembers:   n.peers.ActiveMembers,
		Dispatcher:      n.dispatcher,
		UpdateEndpoints: n.updateGateways,
		Clock:           n.clock,
		Log:             n.log,
	}
	for _, p := range c.Partners {
		if options.PartnerKeys[p.Name], err = gossip.LoadKey(p.KeyFile); err != nil {
			return fmt.Errorf("partner %q: %w", p.Name, err)
		}
	}
	n.gateway, err = netlistener.Open(starting, n.log, func() (*gateway.Gateway, error) { return gateway.Open(options) })
	if err != nil {
		return err
	}
	n.dispatcher.SetInterceptor(n.gateway)
	return nil
}

// updateGateways updates the endpoint list of a partner's pool to the partner's gateways.
func (n *Node) updateGateways(partner string, list discovery.List) {
	n.mu.Lock()
	p := n.pools[config.PartnerPoolName(partner)]
	n.mu.Unlock()
	if p != nil {
		p.engine.UpdateList(list)
	}
}
