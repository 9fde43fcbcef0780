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

// openPeers opens the node's gossip transport, where its file has one.
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

// gossipOptions are those of a configuration's transport.
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

// peerMetrics is what operators are told of other nodes; nil: none are known of.
func (n *Node) peerMetrics() *metrics.Peers {
	if n.peers == nil {
		return nil
	}
	s := n.peers.Status()
	out := &metrics.Peers{
		Members: map[string]int{},
		Zones:   map[string]int{},
		Dropped: s.Counts.WrongKey + s.Counts.Malformed + s.Counts.Unsupported + s.Counts.QueueFull,
	}
	for _, m := range s.Members {
		out.Members[m.Status]++
	}
	if s.ZoneState != nil {
		out.Isolated = s.ZoneState.Isolated
		for _, z := range s.ZoneState.Zones {
			out.Zones[z.Freshness]++
		}
	}
	return out
}
