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

// openManagement opens the management endpoint at an address. It does nothing if the address is empty.
func (n *Node) openManagement(starting context.Context, address string) error {
	if address == "" {
		return nil
	}
	ln, err := netlistener.Open(starting, n.log, func() (net.Listener, error) { return net.Listen("tcp", address) })
	if err != nil {
		return fmt.Errorf("management endpoint: %w", err)
	}
	n.management = mgmt.Serve(ln, n, n.log)
	return nil
}

// Reasons reported by Health.
var (
	errNotAccepting = errors.New("clients are sent away") // fixed text of the management protocol
	errNoServer     = errors.New("no listed server is in service")
)

// Health implements mgmt.Control. It returns nil while the node is ready, and otherwise the reason why it is not.
func (n *Node) Health() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.shuttingDown:
		return ErrShuttingDown
	case !n.readiness.StateAt(n.clock.Now()).Ready:
		return errNotAccepting
	case !n.serving || !n.dispatcher.Snapshot().Ready():
		return errNoServer
	}
	return nil
}

// Metrics implements mgmt.Control. The report includes the servers of all pools and the known peers.
func (n *Node) Metrics() metrics.Report {
	report := n.metrics.Report()
	n.mu.Lock()
	var engines []*engine.Engine
	for _, p := range n.pools {
		engines = append(engines, p.engine)
	}
	n.mu.Unlock()
	for _, e := range engines {
		status := e.Status()
		report.RegistryEntries += status.Ready + status.Draining
		report.OutOfRotation += status.Avoided
	}
	memory := n.memory()
	report.Memory = &memory
	scheduling := metrics.ReadScheduling()
	report.Scheduling = &scheduling
	report.Peers = n.peerMetrics()
	return report
}

// Quiesce implements mgmt.Control. Health checks fail at once. After a delay each response closes its connection and idle
// connections are closed. The node keeps accepting connections so that health checkers can still reach it.
func (n *Node) Quiesce() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.shuttingDown {
		return nil // the shutdown closes all connections anyway
	}
	n.readiness.Quiesce(n.clock.Now())
	n.applyReadiness(n.readiness.StateAt(n.clock.Now()))
	if n.closingConnections != nil {
		return nil
	}
	n.log.Info("quiesced; closing client connections")
	var ctx context.Context
	ctx, n.closingConnections = context.WithCancel(n.incarnation)
	n.inBackground(func() { n.closeIdleConnections(ctx) })
	return nil
}

// closeIdleConnections closes idle client connections, if the readiness state requires it, until ctx is done or the node
// shuts down.
func (n *Node) closeIdleConnections(ctx context.Context) {
	for ; ctx.Err() == nil; clock.Sleep(ctx, closeIdleInterval) {
		n.mu.Lock()
		if ctx.Err() == nil && !n.shuttingDown {
			state := n.readiness.StateAt(n.clock.Now())
			n.applyReadiness(state)
			for _, l := range n.listeners {
				if state.CloseConnections {
					l.frontend.CloseIdle()
				}
			}
		}
		n.mu.Unlock()
	}
}

// Resume implements mgmt.Control. It undoes Quiesce.
func (n *Node) Resume() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.readiness.Resume(); err != nil {
		return err
	}
	if n.closingConnections != nil {
		n.closingConnections()
		n.closingConnections = nil
		n.log.Info("resumed; keeping client connections open again")
	}
	n.applyReadiness(n.readiness.StateAt(n.clock.Now()))
	return nil
}

// applyReadiness applies a readiness state to the front ends. The caller holds mu.
func (n *Node) applyReadiness(state readiness.State) {
	if n.shuttingDown {
		return // the shutdown sets them on its own schedule
	}
	for _, l := range n.listeners {
		l.frontend.SetReady(state.Ready)
		l.frontend.SetClosing(state.CloseConnections)
	}
}

// setLimitsShared sets whether another process of this node uses half of its limits.
func (n *Node) setLimitsShared(shared bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sharesLimits != shared {
		n.log.Info("sharing of the node's limits with another process changed", "by_two", shared)
	}
	n.sharesLimits = shared
	n.resize(n.cfg)
}
