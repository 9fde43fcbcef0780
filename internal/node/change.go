package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/engine"
	netlistener "damsontrestle/internal/listener"
)

// Errors of a change.
var (
	// ErrBusy says that another change is under way.
	ErrBusy = errors.New("another change is under way")
	// ErrShuttingDown says that the node is ending.
	ErrShuttingDown = errors.New("the node is ending")
)

// Change is a configuration that stands ready beside the one that runs. Nothing of what runs has changed: the
// new listeners' sockets are bound but accept nothing, the new pools know their servers and have no requests.
// One of Commit and Undo ends it.
type Change struct {
	node      *Node
	cfg       *config.Config
	sockets   map[string]*socket // bound for the change
	pools     map[string]*pool   // made for it, running
	updates   []update           // of the pools that stay
	snapshot  *dispatch.Snapshot
	listeners map[string]*listener
	rollbacks []func()
}

// Prepare makes a checked configuration ready. It may take until every new list of servers has come, but no
// longer than wait. An error tells what failed; everything is undone then. The fault hook of the node's
// options is asked at every point where something could fail.
func (n *Node) Prepare(ctx context.Context, cfg *config.Config, wait time.Duration) (*Change, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.shuttingDown:
		return nil, ErrShuttingDown
	case n.change != nil:
		return nil, ErrBusy
	}
	c := &Change{node: n, cfg: cfg, sockets: map[string]*socket{}, pools: map[string]*pool{}, listeners: map[string]*listener{}}
	n.change = c
	n.mu.Unlock()
	err := c.prepare(ctx, wait)
	n.mu.Lock()
	if err == nil && n.shuttingDown {
		err = ErrShuttingDown
	}
	if err != nil {
		c.rollBack()
		n.change = nil
		return nil, err
	}
	return c, nil
}

// rollBack undoes what was prepared, the last first.
func (c *Change) rollBack() {
	for i := len(c.rollbacks) - 1; i >= 0; i-- {
		c.rollbacks[i]()
	}
	c.rollbacks = nil
}

// Undo leaves everything as it was.
func (c *Change) Undo() {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	c.rollBack()
	c.node.change = nil
}

// fault asks the hook whether a step is to fail.
func (c *Change) fault(point string) error {
	if c.node.options.Fault == nil {
		return nil
	}
	return c.node.options.Fault(point)
}

func (c *Change) prepare(ctx context.Context, wait time.Duration) error {
	if err := c.checkDescriptors(); err != nil {
		return err
	}
	for _, l := range c.cfg.Listeners {
		if err := c.bind(ctx, l); err != nil {
			return err
		}
	}
	for _, p := range c.cfg.AllPools() {
		if err := c.makePool(p); err != nil {
			return err
		}
	}
	if err := c.makeSnapshot(); err != nil {
		return err
	}
	return c.awaitLists(ctx, wait)
}

// checkDescriptors holds what is asked for against the limits, with what retiring pools still have.
func (c *Change) checkDescriptors() error {
	if err := c.fault("check limits"); err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	if c.node.cfg == nil {
		return nil // the first one was checked when it was read
	}
	needs, limit := c.cfg.Needs(), c.cfg.Node.Limits
	retiring := c.node.retiringConnections()
	if most := needs.Descriptors + retiring; most > limit.Descriptors {
		return fmt.Errorf("limits: %d descriptors are needed, %d of them until pools that are being retired have closed their connections; node.limits.descriptors is %d",
			most, retiring, limit.Descriptors)
	}
	if needs.Memory > limit.Memory {
		return fmt.Errorf("limits: about %v of memory are needed; node.limits.memory is %v", needs.Memory, limit.Memory)
	}
	return nil
}

// bind opens the socket of a listener unless the running configuration has it open.
func (c *Change) bind(ctx context.Context, l config.Listener) error {
	key := socketKey(l)
	if c.node.sockets[key] != nil {
		return nil
	}
	if err := c.fault("bind " + l.Name); err != nil {
		return fmt.Errorf("listener %q: %w", l.Name, err)
	}
	// A socket of this address that an earlier change left behind is still being closed, a moment at most.
	c.node.mu.Lock()
	closing := c.node.closingSockets[key]
	c.node.mu.Unlock()
	if closing != nil {
		<-closing
	}
	s, err := c.listen(ctx, l)
	if err != nil {
		return err
	}
	c.sockets[key] = s
	c.rollbacks = append(c.rollbacks, func() { s.shutdown() })
	return c.after("bind " + l.Name)
}

// listen opens a listener's socket. The first configuration's is tried again until ctx ends, for a process that can't
// start is of no use; a change that can't be made is refused at once, and what runs goes on.
func (c *Change) listen(ctx context.Context, l config.Listener) (*socket, error) {
	if c.node.cfg != nil {
		return c.node.listen(l)
	}
	return netlistener.Open(ctx, c.node.log, func() (*socket, error) { return c.node.listen(l) })
}

// after is the point just behind a step, where its traces are there to be undone.
func (c *Change) after(point string) error {
	if err := c.fault("after " + point); err != nil {
		return fmt.Errorf("%s: %w", point, err)
	}
	return nil
}

// makePool makes a pool that is new, and prepares another watch for one that stays and whose list is to come
// from elsewhere.
func (c *Change) makePool(p config.Pool) error {
	n := c.node
	old := n.pools[p.Name]
	if old == nil || old.cfg.Protocol != p.Protocol {
		if err := c.fault("make pool " + p.Name); err != nil {
			return fmt.Errorf("pool %q: %w", p.Name, err)
		}
		known, seed := discovery.List{Full: true, Rev: -1}, rand.Uint64()
		if n.cfg == nil && n.start != nil {
			known, seed = n.start.known, n.start.seed
		}
		made, err := n.newPool(c.cfg, p, seed, known)
		if err != nil {
			return err
		}
		made.start()
		c.pools[p.Name] = made
		c.rollbacks = append(c.rollbacks, made.close)
		return c.after("make pool " + p.Name)
	}
	u := update{pool: old, cfg: p, settings: c.cfg.Settings(p)}
	if u.registryChanged() && p.Registry != nil {
		if err := c.fault("watch for pool " + p.Name); err != nil {
			return fmt.Errorf("pool %q: %w", p.Name, err)
		}
		u.source = n.newSource(*p.Registry, -1, n.log.With("pool", p.Name))
		u.source.start()
		u.source.watch.Subscribe()
		c.rollbacks = append(c.rollbacks, u.source.stop)
		if err := c.after("watch for pool " + p.Name); err != nil {
			return err
		}
	}
	c.updates = append(c.updates, u)
	return nil
}

// makeSnapshot makes the routing snapshot under which requests will be read.
func (c *Change) makeSnapshot() error {
	if err := c.fault("compile routes"); err != nil {
		return fmt.Errorf("routes: %w", err)
	}
	engines := map[string]*engine.Engine{}
	for name, p := range c.pools {
		engines[name] = p.engine
	}
	for _, u := range c.updates {
		engines[u.pool.name] = u.pool.engine
	}
	var err error
	c.snapshot, err = dispatch.NewSnapshot(c.cfg, engines)
	return err
}

// awaitLists waits until the registries of new pools, and new registries of old ones, have listed servers in
// service.
func (c *Change) awaitLists(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	await := func(pool string, at config.Registry, r *relay) error {
		if err := c.fault("warm pool " + pool); err != nil {
			return fmt.Errorf("pool %q: %w", pool, err)
		}
		select {
		case <-r.hasList:
			return nil
		case <-ctx.Done():
		case <-c.node.draining:
			return ErrShuttingDown
		}
		switch {
		case ctx.Err() != context.DeadlineExceeded:
			return fmt.Errorf("pool %q: its list was not waited for: %w", pool, ctx.Err())
		case isClosed(r.listed):
			return fmt.Errorf("pool %q: the registry at %s lists no server in service, after %v", pool, at.Address, wait)
		}
		return fmt.Errorf("pool %q: the registry at %s has not answered with a list within %v", pool, at.Address, wait)
	}
	for _, p := range c.cfg.Pools {
		if made := c.pools[p.Name]; made != nil && p.Registry != nil {
			if err := await(p.Name, *p.Registry, made.source.Load().relay); err != nil {
				return err
			}
		}
	}
	for _, u := range c.updates {
		if u.source != nil {
			if err := await(u.pool.name, *u.cfg.Registry, u.source.relay); err != nil {
				return err
			}
		}
	}
	return nil
}

// Commit puts the configuration in place of the one that runs: one swap, of which no request sees half. It fails
// only if the node is ending, and has changed nothing then. What goes is retired behind it: its listeners
// accept no more, what was taken is answered by what took it, and then it is closed.
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
		n.metrics.Know(class.Name)
	}
	for _, u := range c.updates {
		u.pool.back.SetLimits(n.limitsOf(c.cfg, u.cfg))
	}
	c.switchListeners(&gone)
	n.cfg = c.cfg
	if n.gateway != nil {
		n.gateway.Announce()
	}
	n.retire(gone)
	return nil
}

// replaced is what a change leaves behind.
type replaced struct {
	pools   []*pool
	sources []*source
	fronts  []*listener
	sockets []*socket
}

// swap has every request from now on taken under the new routing snapshot, by pools that go by the new configuration.
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
			// What is out and is unsafe from now on must not be sent again by a pool that goes either.
			p.engine.Reconfigure(c.cfg.Settings(p.cfg), !p.settings.PollDiscovery)
		}
	})
	n.pools = pools
	return gone
}

// adopt has the gateway go by another configuration's rules.
func (n *Node) adopt(c *config.Config) {
	if n.options.adopt != nil {
		n.options.adopt()
		defer n.options.adopt()
	}
	n.gateway.Adopt(c)
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
			next.front = old.front // the clients that it has stay
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
	n.applyReadiness(n.readiness.At(n.clock.Now()))
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

// retire sees what a change left behind to its end.
func (n *Node) retire(gone replaced) {
	for _, s := range gone.sources {
		n.inBackground(func() { s.stop() })
	}
	for _, s := range gone.sockets {
		closed := make(chan struct{})
		n.closingSockets[s.key] = closed
		n.inBackground(func() {
			defer func() {
				close(closed)
				n.mu.Lock()
				delete(n.closingSockets, s.key)
				n.mu.Unlock()
			}()
			if err := s.release(acceptGrace); err != nil {
				n.log.Warn("a listener's socket", "address", s.Addr(), "error", err)
			}
			s.shutdown()
		})
	}
	for _, l := range gone.fronts {
		l.front.SetReady(false)
		n.retiringListeners[l] = true
		n.inBackground(func() {
			n.retireFront(l.front)
			n.mu.Lock()
			delete(n.retiringListeners, l)
			n.mu.Unlock()
		})
	}
	for _, p := range gone.pools {
		n.retiringPools[p] = true
		n.inBackground(func() {
			p.retire()
			n.mu.Lock()
			delete(n.retiringPools, p)
			n.mu.Unlock()
		})
	}
}

// inBackground runs a part of a retirement. close waits for it.
func (n *Node) inBackground(f func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		f()
	}()
}

// retiringConnections are those that retiring pools have open.
func (n *Node) retiringConnections() (sum int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.retiringPools {
		sum += p.back.Connections()
	}
	return sum
}

// StillDraining names what earlier changes left behind and is not over yet: "pool a", "listener b".
func (n *Node) StillDraining() (names []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.retiringNames()
}

// retiringNames names what is being retired. The caller holds mu.
func (n *Node) retiringNames() (names []string) {
	for p := range n.retiringPools {
		names = append(names, "pool "+p.name)
	}
	for l := range n.retiringListeners {
		names = append(names, "listener "+l.cfg.Name)
	}
	slices.Sort(names)
	return names
}
