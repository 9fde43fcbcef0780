package node

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/gossip"
	netlistener "damsontrestle/internal/listener"
	"damsontrestle/internal/membership"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/zonestate"
)

// openPeers opens the node's gossip transport if the configuration has a peers block.
func (n *Node) openPeers(starting context.Context, c config.Node) error {
	if c.Peers.Listen == "" {
		return nil
	}
	options, err := n.gossipOptions(c)
	if err != nil {
		return err
	}
	n.peers, err = netlistener.Open(starting, n.log, func() (*gossip.Transport, error) { return gossip.Open(options) })
	return err
}

// gossipOptions returns the options of the gossip transport for a configuration.
func (n *Node) gossipOptions(c config.Node) (gossip.Options, error) {
	p := c.Peers
	key, err := gossip.LoadKey(p.KeyFile)
	if err != nil {
		return gossip.Options{}, err
	}
	advertised := p.Listen
	if p.Advertise != "" {
		advertised = p.Advertise
	}
	address, err := netip.ParseAddrPort(advertised)
	if err != nil {
		return gossip.Options{}, fmt.Errorf("peers: %w", err)
	}
	members := membership.Defaults()
	members.ProbeInterval = time.Duration(p.ProbeInterval)
	members.ProbeTimeout = members.ProbeInterval * 3 / 10
	for _, s := range p.Seeds {
		seed, err := netip.ParseAddrPort(s)
		if err != nil {
			return gossip.Options{}, fmt.Errorf("peers: %w", err)
		}
		members.Seeds = append(members.Seeds, seed)
	}
	options := gossip.Options{
		Listen:     p.Listen,
		Key:        key,
		Membership: members,
		Clock:      n.clock,
		Log:        n.log,
		Self: membership.Peer{
			Name:       c.Name,
			Addr:       address,
			Region:     p.Region,
			Zone:       c.Zone,
			ListenOnly: p.ListenOnly,
		},
	}
	if p.MaxZoneStateAge > 0 {
		state := zonestate.Defaults(time.Duration(p.MaxZoneStateAge))
		state.Delay = time.Duration(p.MaxDelay)
		options.ZoneState = &state
	}
	return options, nil
}

// peerMetrics returns the metrics of peers and zones. It returns nil if the node has no peers.
func (n *Node) peerMetrics() *metrics.Peers {
	if n.peers == nil {
		return nil
	}
	status := n.peers.Status()
	peers := &metrics.Peers{
		Members: map[string]int{},
		Zones:   map[string]int{},
		Dropped: status.Counts.WrongKey + status.Counts.Malformed + status.Counts.Unsupported + status.Counts.QueueFull,
	}
	for _, m := range status.Members {
		peers.Members[m.Status]++
	}
	if status.ZoneState != nil {
		peers.Isolated = status.ZoneState.Isolated
		for _, z := range status.ZoneState.Zones {
			peers.Zones[z.Freshness]++
		}
	}
	return peers
}
