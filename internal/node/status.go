package node

import (
	"damsontrestle/internal/engine"
	"damsontrestle/internal/gateway"
	"damsontrestle/internal/gossip"
)

// Status is what a node serves and holds at one moment. Its JSON keys are those of the admin socket.
type Status struct {
	Listeners map[string]ListenerStatus `json:"listeners"`
	Pools     map[string]PoolStatus     `json:"pools"`
	Draining  []string                  `json:"draining,omitempty"` // of earlier configurations, as "pool a"
	Clients   int                       `json:"callers"`            // connections
	Ready     bool                      `json:"ready"`
	Peers     *gossip.Status            `json:"peers,omitempty"` // what is known of other nodes
	Gateway   *gateway.Status           `json:"gateway,omitempty"`
}

// ListenerStatus is the state of a listener.
type ListenerStatus struct {
	Address string `json:"address"` // that it listens at
}

// PoolStatus is the state of a pool.
type PoolStatus struct {
	Requests    engine.Status `json:"calls"`
	Connections int           `json:"connections"` // to servers
}

// Status reports the node's state now.
func (n *Node) Status() Status {
	n.mu.Lock()
	s := Status{
		Listeners: map[string]ListenerStatus{},
		Pools:     map[string]PoolStatus{},
		Clients:   n.clients.Len(),
		Ready:     n.requests.Snapshot().Ready() && n.readiness.StateAt(n.clock.Now()).Ready,
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
	for name, p := range pools {
		s.Pools[name] = PoolStatus{p.engine.Status(), p.back.Connections()}
	}
	return s
}
