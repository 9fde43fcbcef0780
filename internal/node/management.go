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

// openManagement opens the management endpoint at an address; empty: none.
func (n *Node) openManagement(starting context.Context, address string) error {
	if address == "" {
		return nil
	}
	ln, err := netlistener.Open(starting, n.log, func() (net.Listener, error) { return net.Listen("tcp", address) })
	if err != nil {
		return fmt.Errorf("the management endpoint: %w", err)
	}
	n.management = mgmt.Serve(ln, n, n.log)
	return nil
}

// Reasons why a node is not ready.
var (
	errNotAccepting = errors.New("clients are sent away") // the management endpoint's text
	errNoServer     = errors.New("no listed server is in service")
)

// Health implements mgmt.Control: nil while the node is ready, else why it is not.
func (n *Node) Health() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.shuttingDown:
		return ErrShuttingDown
	case !n.readiness.StateAt(n.clock.Now()).Ready:
		return errNotAccepting
	case !n.serving || !n.requests.Snapshot().Ready():
		return errNoServer
	}
	return nil
}

// Metrics implements mgmt.Control, with the servers of all pools and what is known of peers.
func (n *Node) Metrics() metrics.Report {
	r := n.metrics.Report()
	n.mu.Lock()
	var engines []*engine.Engine
	for _, p := range n.pools {
		engines = append(engines, p.engine)
	}
	n.mu.Unlock()
	for _, e := range engines {
		s := e.Status()
		r.RegistryEntries += s.Ready + s.Draining
		r.OutOfRotation += s.Avoided
	}
	r.Peers = n.peerMetrics()
	return r
}

// Quiesce implements mgmt.Control: the health answer says no at once, and a little later each answer closes its
// connection and quiet ones are closed. The node goes on accepting, for who asks for its health must hear of it.
func (n *Node) Quiesce() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.shuttingDown {
		return nil // a shutdown closes all connections anyway
	}
	n.readiness.Quiesce(n.clock.Now())
	n.applyReadiness(n.readiness.StateAt(n.clock.Now()))
	if n.closingConnections != nil {
		return nil
	}
	n.log.Info("clients are sent away")
	var ctx context.Context
	ctx, n.closingConnections = context.WithCancel(n.incarnation)
	n.inBackground(func() { n.closeIdleConnections(ctx) })
	return nil
}

// closeIdleConnections closes idle client connections until ctx or the node ends.
func (n *Node) closeIdleConnections(ctx context.Context) {
	for ; ctx.Err() == nil; clock.Sleep(ctx, closeIdleStep) {
		n.mu.Lock()
		if ctx.Err() == nil && !n.shuttingDown {
			s := n.readiness.StateAt(n.clock.Now())
			n.applyReadiness(s)
			for _, l := range n.listeners {
				if s.CloseConnections {
					l.front.CloseIdle()
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
	if err := n.readiness.Resume(); err != nil {
		return err
	}
	if n.closingConnections != nil {
		n.closingConnections()
		n.closingConnections = nil
		n.log.Info("clients are accepted again")
	}
	n.applyReadiness(n.readiness.StateAt(n.clock.Now()))
	return nil
}

// applyReadiness has the front ends follow the readiness state. The caller holds mu.
func (n *Node) applyReadiness(s readiness.State) {
	if n.shuttingDown {
		return // the shutdown sets them by its own schedule
	}
	for _, l := range n.listeners {
		l.front.SetReady(s.Ready)
		l.front.SetClosing(s.CloseConnections)
	}
}

// shareLimits halves the limits while another process of this node uses the other half.
func (n *Node) shareLimits(two bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hasSuccessor != two {
		n.log.Info("the node's limits are shared", "by_two", two)
	}
	n.hasSuccessor = two
	n.resize(n.cfg)
}
