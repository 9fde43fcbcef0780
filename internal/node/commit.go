package node

import (
	"fmt"

	"damsontrestle/internal/config"
	"damsontrestle/internal/dispatch"
)

// Commit replaces the configuration that runs at once: each request is handled under either the old one or the new one.
// The only error is ErrShuttingDown; the change is rolled back then. What was replaced is retired in the background: its
// listeners accept no more connections, open requests are answered by the pools that admitted them, then it is closed.
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
	gone := c.swap()
	n.resize(c.cfg)
	for _, class := range c.cfg.Classes {
		n.metrics.RegisterClasses(class.Name)
	}
	for _, u := range c.updates {
		u.pool.back.SetLimits(n.limitsOf(c.cfg, u.cfg))
	}
	c.switchListeners(&gone)
	n.cfg = c.cfg
	if n.gateway != nil {
		n.gateway.AdvertiseChanges()
	}
	n.retire(gone)
	return nil
}

// swap has every request from now on handled under the new routing snapshot, by pools that follow the new configuration.
func (c *Change) swap() (gone replaced) {
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
			gone.pools = append(gone.pools, p)
		}
	}
	if n.requests == nil {
		n.requests = dispatch.New(c.snapshot)
	}
	now := n.clock.Now()
	n.requests.Swap(c.snapshot, func() {
		if n.gateway != nil {
			n.adopt(c.cfg)
		}
		for _, u := range c.updates {
			if old := u.commit(now); old != nil {
				gone.sources = append(gone.sources, old)
			}
		}
		for _, p := range gone.pools {
			// An attempt in flight of a class that is unsafe from now on must not be retried by a retiring pool either.
			p.engine.Reconfigure(c.cfg.BalancerSettings(p.cfg), !p.settings.PollDiscovery)
		}
	})
	n.pools = pools
	return gone
}

// adopt has the gateway follow another configuration's rules.
func (n *Node) adopt(c *config.Config) {
	if n.options.adopt != nil {
		n.options.adopt()
		defer n.options.adopt()
	}
	n.gateway.SetConfig(c)
}

// switchListeners has every listener of the new configuration accept, and no other.
func (c *Change) switchListeners(gone *replaced) {
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
			next.front = old.front // its clients stay connected
		} else {
			next.front = n.newFront(l)
		}
		listeners[l.Name] = next
	}
	for name, old := range n.listeners {
		if next := listeners[name]; next == nil || next.front != old.front {
			gone.fronts = append(gone.fronts, old)
		}
	}
	for key, s := range n.sockets {
		if sockets[key] == nil {
			gone.sockets = append(gone.sockets, s)
		}
	}
	n.sockets, n.listeners = sockets, listeners
	n.applyReadiness(n.readiness.StateAt(n.clock.Now()))
	if !n.serving {
		return
	}
	for _, l := range listeners {
		if l.socket.front == l.front {
			continue
		}
		if err := l.socket.release(0); err != nil {
			n.fail(fmt.Errorf("listener %q: %w", l.cfg.Name, err))
			continue
		}
		l.socket.accept(l.front, n.fail)
	}
}
