package node

import (
	"damsontrestle/internal/engine"
	"damsontrestle/internal/gateway"
	"damsontrestle/internal/gossip"
	"damsontrestle/internal/metrics"
)

// Status is a snapshot of what a node serves and holds. Its JSON keys are part of the admin API.
type Status struct {
	Listeners map[string]ListenerStatus `json:"listeners"`
	Pools     map[string]PoolStatus     `json:"pools"`
	Draining  []string                  `json:"draining,omitempty"` // parts of earlier configurations, as "pool a"
	Clients   int                       `json:"callers"`            // open client connections
	Ready     bool                      `json:"ready"`
	Peers     *gossip.Status            `json:"peers,omitempty"` // nil: the node has no peers
	Gateway   *gateway.Status           `json:"gateway,omitempty"`

	UnattributedInput       map[string]map[string]int64 `json:"unattributed_input,omitempty"`        // as in metrics.Report
	ServerConnectionsClosed map[string]int64            `json:"server_connections_closed,omitempty"` // as in metrics.Report
	Memory                  metrics.Memory              `json:"memory"`                              // as in metrics.Report
}

// ListenerStatus is the state of a listener.
type ListenerStatus struct {
	Address string `json:"address"` // address of its socket
}

// PoolStatus is the state of a pool.
type PoolStatus struct {
	Requests    engine.Status `json:"calls"`
	Connections int           `json:"connections"` // open connections to servers
}

// memory returns the memory of the process and its limit.
func (n *Node) memory() metrics.Memory {
	memory := metrics.ReadMemory()
	memory.Limit = int64(n.Config().Node.Limits.Memory)
	return memory
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	n.mu.Lock()
	s := Status{
		Listeners: map[string]ListenerStatus{},
		Pools:     map[string]PoolStatus{},
		Clients:   n.clients.Len(),
		Ready:     n.dispatcher.Snapshot().Ready() && n.readiness.StateAt(n.clock.Now()).Ready,
	}
	for name, l := range n.listeners {
		s.Listeners[name] = ListenerStatus{l.socket.Addr().String()}
	}
	s.Draining = n.retiringNames()
	pools := n.pools
	n.mu.Unlock()
	if n.peers != nil {
		st := n.peers.Status()
		s.Peers = &st
	}
	if n.gateway != nil {
		st := n.gateway.Status()
		s.Gateway = &st
	}
	report := n.metrics.Report()
	s.UnattributedInput, s.ServerConnectionsClosed = report.UnattributedInput, report.ServerConnectionsClosed
	s.Memory = n.memory()
	for name, p := range pools {
		s.Pools[name] = PoolStatus{p.engine.Status(), p.backend.Connections()}
	}
	return s
}
