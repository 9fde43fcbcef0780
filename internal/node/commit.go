package node

import (
	"fmt"

	"damsontrestle/internal/config"
	"damsontrestle/internal/dispatch"
)

// Commit atomically replaces the running configuration: each request is handled under either the old or the new one. The
// only error is ErrShuttingDown, in which case the change is rolled back. Replaced parts are retired in the background:
// their listeners stop accepting, the pools that admitted the open requests answer them, and then the parts are closed.
func (c *Change) Commit() error {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.change = nil
	if n.shuttingDown {
		c.rollBack()
		return ErrShuttingDown
	}
	c.rollbacks = nil
	replaced := c.swap()
	n.resize(c.cfg)
	for _, class := range c.cfg.Classes {
		n.metrics.RegisterClasses(class.Name)
	}
	for _, u := range c.updates {
		u.pool.backend.SetLimits(n.limitsOf(c.cfg, u.cfg))
	}
	c.switchListeners(&replaced)
	n.cfg = c.cfg
	if n.gateway != nil {
		n.gateway.AdvertiseChanges()
	}
	n.retire(replaced)
	return nil
}

// swap makes the new routing snapshot current for all further requests and updates the pools to the new configuration.
func (c *Change) swap() (replaced replacedParts) {
	n := c.node
	pools := map[string]*pool{}
	for name, p := range c.pools {
		pools[name] = p
	}
	for _, u := range c.updates {
		pools[u.pool.name] = u.pool
	}
	for name, p := range n.pools {
		if pools[name] != p {
			replaced.pools = append(replaced.pools, p)
		}
	}
	if n.dispatcher == nil {
		n.dispatcher = dispatch.New(c.snapshot, n.forwarded)
	}
	now := n.clock.Now()
	n.dispatcher.Swap(c.snapshot, func() {
		if n.gateway != nil {
			n.adopt(c.cfg)
		}
		for _, u := range c.updates {
			if old := u.commit(now); old != nil {
				replaced.sources = append(replaced.sources, old)
			}
		}
		for _, p := range replaced.pools {
			// A retiring pool must not retry an in-flight attempt of a class that has become unsafe either.
			p.engine.Reconfigure(c.cfg.BalancerSettings(p.cfg), !p.settings.PollDiscovery)
		}
	})
	n.pools = pools
	return replaced
}

// adopt makes the gateway apply the rules of a new configuration.
func (n *Node) adopt(c *config.Config) {
	if n.options.aroundAdopt != nil {
		n.options.aroundAdopt()
		defer n.options.aroundAdopt()
	}
	n.gateway.SetConfig(c)
}

// switchListeners makes exactly the listeners of the new configuration accept connections.
func (c *Change) switchListeners(replaced *replacedParts) {
	n := c.node
	sockets, listeners := map[string]*socket{}, map[string]*listener{}
	for _, l := range c.cfg.Listeners {
		key := socketKey(l)
		s := c.sockets[key]
		if s == nil {
			s = n.sockets[key]
		}
		sockets[key] = s
		old := n.listeners[l.Name]
		next := &listener{cfg: l, socket: s}
		if old != nil && old.cfg.Protocol == l.Protocol {
			next.frontend = old.frontend // keeps its clients connected
		} else {
			next.frontend = n.newFrontend(l)
		}
		listeners[l.Name] = next
	}
	for name, old := range n.listeners {
		if next := listeners[name]; next == nil || next.frontend != old.frontend {
			replaced.listeners = append(replaced.listeners, old)
		}
	}
	for key, s := range n.sockets {
		if sockets[key] == nil {
			replaced.sockets = append(replaced.sockets, s)
		}
	}
	n.sockets, n.listeners = sockets, listeners
	n.applyReadiness(n.readiness.StateAt(n.clock.Now()))
	if !n.serving {
		return
	}
	for _, l := range listeners {
		if l.socket.frontend == l.frontend {
			continue
		}
		if err := l.socket.release(0); err != nil {
			n.fail(fmt.Errorf("listener %q: %w", l.cfg.Name, err))
			continue
		}
		l.socket.accept(l.frontend, n.fail)
	}
}
