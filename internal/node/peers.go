package node

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"woodpick/internal/config"
	"woodpick/internal/facts"
	"woodpick/internal/figures"
	netlistener "woodpick/internal/listener"
	"woodpick/internal/members"
	"woodpick/internal/peers"
)

// openPeers opens the room in which the node comes to know others, where its file has one.
func (n *Node) openPeers(starting context.Context, c config.Node) error {
	p := c.Peers
	if p.Listen == "" {
		return nil
	}
	key, err := peers.LoadKey(p.KeyFile)
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
	o := members.Defaults()
	o.Period, o.Timeout = time.Duration(p.Period), time.Duration(p.Period)*3/10
	for _, s := range p.Seeds {
		seed, err := netip.ParseAddrPort(s)
		if err != nil {
			return fmt.Errorf("peers: %w", err)
		}
		o.Seeds = append(o.Seeds, seed)
	}
	var fo *facts.Options
	if p.Fresh > 0 {
		d := facts.Defaults(time.Duration(p.Fresh))
		d.Delay = time.Duration(p.Delay)
		fo = &d
	}
	options := peers.Options{Listen: p.Listen, Key: key, Members: o, Facts: fo, Clock: n.clock, Log: n.log,
		Self: members.Peer{Name: c.Name, Addr: addr, Region: p.Region, Zone: c.Zone, Listens: p.ListenOnly}}
	n.peers, err = netlistener.Open(starting, n.log, func() (*peers.Room, error) { return peers.Open(options) })
	return err
}

// peersFigures is what operators are told of other nodes; nil: none are known of.
func (n *Node) peersFigures() *figures.Peers {
	if n.peers == nil {
		return nil
	}
	s := n.peers.Status()
	out := &figures.Peers{Members: map[string]int{}, Zones: map[string]int{}, Dropped: s.Counts.Strange + s.Counts.Malformed + s.Counts.Other + s.Counts.Lost}
	for _, m := range s.Members {
		out.Members[m.Status]++
	}
	if s.Facts != nil {
		out.Alone = s.Facts.Alone
		for _, z := range s.Facts.Zones {
			out.Zones[z.Word]++
		}
	}
	return out
}
