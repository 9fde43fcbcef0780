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

// openPeers opens the room in which the node comes to know others, where its file has one.
func (n *Node) openPeers(starting context.Context, c config.Node) error {
	p := c.Peers
	if p.Listen == "" {
		return nil
	}
	key, err := gossip.LoadKey(p.KeyFile)
	if err != nil {
		return err
	}
	at := p.Listen
	if p.Advertise != "" {
		at = p.Advertise
	}
	addr, err := netip.ParseAddrPort(at)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	o := membership.Defaults()
	o.Period, o.Timeout = time.Duration(p.Period), time.Duration(p.Period)*3/10
	for _, s := range p.Seeds {
		seed, err := netip.ParseAddrPort(s)
		if err != nil {
			return fmt.Errorf("peers: %w", err)
		}
		o.Seeds = append(o.Seeds, seed)
	}
	var fo *zonestate.Options
	if p.Fresh > 0 {
		d := zonestate.Defaults(time.Duration(p.Fresh))
		d.Delay = time.Duration(p.Delay)
		fo = &d
	}
	options := gossip.Options{Listen: p.Listen, Key: key, Members: o, ZoneState: fo, Clock: n.clock, Log: n.log,
		Self: membership.Peer{Name: c.Name, Addr: addr, Region: p.Region, Zone: c.Zone, Listens: p.ListenOnly}}
	n.peers, err = netlistener.Open(starting, n.log, func() (*gossip.Transport, error) { return gossip.Open(options) })
	return err
}

// peerMetrics is what operators are told of other nodes; nil: none are known of.
func (n *Node) peerMetrics() *metrics.Peers {
	if n.peers == nil {
		return nil
	}
	s := n.peers.Status()
	out := &metrics.Peers{Members: map[string]int{}, Zones: map[string]int{}, Dropped: s.Counts.Strange + s.Counts.Malformed + s.Counts.Other + s.Counts.Lost}
	for _, m := range s.Members {
		out.Members[m.Status]++
	}
	if s.ZoneState != nil {
		out.Alone = s.ZoneState.Alone
		for _, z := range s.ZoneState.Zones {
			out.Zones[z.Freshness]++
		}
	}
	return out
}
