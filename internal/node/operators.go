package node

import (
	"context"
	"errors"
	"fmt"
	"net"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/engine"
	netlistener "damsontrestle/internal/listener"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/mgmt"
	"damsontrestle/internal/readiness"
)

// openDoor opens the operators' door at an address; empty: none.
func (n *Node) openDoor(starting context.Context, address string) error {
	if address == "" {
		return nil
	}
	ln, err := netlistener.Open(starting, n.log, func() (net.Listener, error) { return net.Listen("tcp", address) })
	if err != nil {
		return fmt.Errorf("the operators' door: %w", err)
	}
	n.door = mgmt.Serve(ln, n, n.log)
	return nil
}

// Reasons why a node is not ready.
var (
	errSentAway = errors.New("clients are sent away")
	errNoServer = errors.New("no listed server is in service")
)

// Health implements mgmt.Control.
func (n *Node) Health() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.ending:
		return ErrEnding
	case !n.duty.At(n.clock.Now()).Ready:
		return errSentAway
	case !n.serving || !n.calls.View().Ready():
		return errNoServer
	}
	return nil
}

// Figures implements mgmt.Control.
func (n *Node) Figures() metrics.Report {
	r := n.figures.Report()
	n.mu.Lock()
	var engines []*engine.Engine
	for _, p := range n.pools {
		engines = append(engines, p.engine)
	}
	n.mu.Unlock()
	for _, e := range engines {
		s := e.Status()
		r.Listed += s.Ready + s.Draining
		r.Avoided += s.Avoided
	}
	r.Peers = n.peersFigures()
	return r
}

// Quiesce implements mgmt.Control: the health answer says no at once, and a little later each answer closes its
// connection and quiet ones are closed. The node goes on accepting, for who asks for its health must hear of it.
func (n *Node) Quiesce() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ending {
		return nil // who ends sends all away
	}
	n.duty.Quiesce(n.clock.Now())
	n.follow(n.duty.At(n.clock.Now()))
	if n.parting != nil {
		return nil
	}
	n.log.Info("clients are sent away")
	var ctx context.Context
	ctx, n.parting = context.WithCancel(n.life)
	n.behind(func() { n.part(ctx) })
	return nil
}

// part lets callers go until ctx ends or the node does.
func (n *Node) part(ctx context.Context) {
	for ; ctx.Err() == nil; clock.Sleep(ctx, letGoStep) {
		n.mu.Lock()
		if ctx.Err() == nil && !n.ending {
			s := n.duty.At(n.clock.Now())
			n.follow(s)
			for _, l := range n.listeners {
				if s.Parted {
					l.front.LetQuietGo()
				}
			}
		}
		n.mu.Unlock()
	}
}

// Resume implements mgmt.Control.
func (n *Node) Resume() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.duty.Resume(); err != nil {
		return err
	}
	if n.parting != nil {
		n.parting()
		n.parting = nil
		n.log.Info("clients are taken again")
	}
	n.follow(n.duty.At(n.clock.Now()))
	return nil
}

// follow has the fronts do what the duty says. The caller holds mu.
func (n *Node) follow(s readiness.State) {
	if n.ending {
		return // the end goes its own way
	}
	for _, l := range n.listeners {
		l.front.SetReady(s.Ready)
		l.front.SetClosing(s.Parted)
	}
}

// share keeps to half of the limits while another process of this node has the other half.
func (n *Node) share(two bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.two != two {
		n.log.Info("the node's limits are shared", "by_two", two)
	}
	n.two = two
	n.resize(n.cfg)
}
