package node

import (
	"fmt"
	"net/netip"
	"time"

	"woodpick/internal/config"
	"woodpick/internal/facts"
	"woodpick/internal/members"
	"woodpick/internal/peers"
)

// openPeers opens the room in which the node comes to know others, where its file has one.
func (n *Node) openPeers(c config.Node) error {
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
	n.peers, err = peers.Open(peers.Options{Listen: p.Listen, Key: key, Members: o, Facts: fo, Clock: n.clock, Log: n.log,
		Self: members.Peer{Name: c.Name, Addr: addr, Region: p.Region, Zone: c.Zone, Listens: p.ListenOnly}})
	return err
}
