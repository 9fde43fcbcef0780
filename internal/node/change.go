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
	// ErrShuttingDown says that the node shuts down.
	ErrShuttingDown = errors.New("the node is ending")
)

// Change is a configuration that is prepared beside the one that runs, which is unchanged: sockets of new listeners are
// bound but accept nothing, new pools have their endpoint lists but get no requests. The caller ends it by either Commit
// or Undo. Its methods belong to one goroutine.
type Change struct {
	node      *Node
	cfg       *config.Config
	sockets   map[string]*socket // bound for the change, by socketKey
	pools     map[string]*pool   // made for it, running, by name
	updates   []update           // of the pools that stay
	snapshot  *dispatch.Snapshot
	listeners map[string]*listener
	rollbacks []func()
}

// Prepare prepares a checked configuration. It waits until every new endpoint list has come, but no longer than wait. On
// an error everything is undone; ErrBusy and ErrShuttingDown say that it was not begun, or that a shutdown came between.
// The fault hook of the node's options is called at every point where something could fail.
func (n *Node) Prepare(ctx context.Context, cfg *config.Config, wait time.Duration) (*Change, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.shuttingDown:
		return nil, ErrShuttingDown
	case n.change != nil:
		return nil, ErrBusy
	}
	c := &Change{
		node:      n,
		cfg:       cfg,
		sockets:   map[string]*socket{},
		pools:     map[string]*pool{},
		listeners: map[string]*listener{},
	}
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

// rollBack undoes what was prepared, the last step first.
func (c *Change) rollBack() {
	for _, rollBack := range slices.Backward(c.rollbacks) {
		rollBack()
	}
	c.rollbacks = nil
}

// Undo rolls the change back: everything is as it was before Prepare.
func (c *Change) Undo() {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	c.rollBack()
	c.node.change = nil
}

// fault is the error with which a test has a step fail; nil: it goes on.
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
		if err := c.preparePool(p); err != nil {
			return err
		}
	}
	if err := c.makeSnapshot(); err != nil {
		return err
	}
	return c.awaitLists(ctx, wait)
}

// checkDescriptors compares the configuration's needs, with the connections of retiring pools, with its limits.
func (c *Change) checkDescriptors() error {
	if err := c.fault("check limits"); err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	if c.node.cfg == nil {
		return nil // the first one was checked when it was read
	}
	needs := c.cfg.Needs()
	limit := c.cfg.Node.Limits
	retiring := c.node.retiringConnections()
	if needed := needs.Descriptors + retiring; needed > limit.Descriptors {
		return fmt.Errorf("limits: %d descriptors are needed, %d of them until pools that are being retired have closed their connections; node.limits.descriptors is %d",
			needed, retiring, limit.Descriptors)
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

// listen opens a listener's socket. That of the first configuration is retried until ctx ends, for a process that can't
// start is of no use; a later change fails at once, and what runs goes on.
func (c *Change) listen(ctx context.Context, l config.Listener) (*socket, error) {
	if c.node.cfg != nil {
		return c.node.listen(l)
	}
	return netlistener.Open(ctx, c.node.log, func() (*socket, error) { return c.node.listen(l) })
}

// after is the fault point behind a step, where there is something to roll back.
func (c *Change) after(point string) error {
	if err := c.fault("after " + point); err != nil {
		return fmt.Errorf("%s: %w", point, err)
	}
	return nil
}

// preparePool makes a pool that is new, or prepares the update of one that stays.
func (c *Change) preparePool(p config.Pool) error {
	old := c.node.pools[p.Name]
	if old == nil || old.cfg.Protocol != p.Protocol {
		return c.makePool(p)
	}
	return c.prepareUpdate(old, p)
}

// makePool makes a pool, which runs from then on.
func (c *Change) makePool(p config.Pool) error {
	n := c.node
	if err := c.fault("make pool " + p.Name); err != nil {
		return fmt.Errorf("pool %q: %w", p.Name, err)
	}
	first := initialState{seed: rand.Uint64(), known: discovery.List{Full: true, Rev: -1}}
	if n.cfg == nil && n.start != nil {
		first = *n.start
	}
	made, err := n.newPool(c.cfg, p, first.seed, first.known)
	if err != nil {
		return err
	}
	made.start()
	c.pools[p.Name] = made
	c.rollbacks = append(c.rollbacks, made.close)
	return c.after("make pool " + p.Name)
}

// prepareUpdate prepares what becomes of a pool that stays, with another watch where its list is to come from another
// registry.
func (c *Change) prepareUpdate(old *pool, p config.Pool) error {
	n := c.node
	u := update{pool: old, cfg: p, settings: c.cfg.BalancerSettings(p)}
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

// awaitLists waits until the registries of new pools, and new registries of pools that stay, have listed servers in
// service. A wait of 0 is none.
func (c *Change) awaitLists(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, p := range c.cfg.Pools {
		made := c.pools[p.Name]
		if made == nil || p.Registry == nil {
			continue
		}
		if err := c.awaitList(ctx, p, made.source.Load().relay, wait); err != nil {
			return err
		}
	}
	for _, u := range c.updates {
		if u.source == nil {
			continue
		}
		if err := c.awaitList(ctx, u.cfg, u.source.relay, wait); err != nil {
			return err
		}
	}
	return nil
}

// awaitList waits until the registry of a pool has listed a server in service, or ctx ends, which does so after wait.
func (c *Change) awaitList(ctx context.Context, p config.Pool, r *relay, wait time.Duration) error {
	if err := c.fault("warm pool " + p.Name); err != nil {
		return fmt.Errorf("pool %q: %w", p.Name, err)
	}
	select {
	case <-r.hasList:
		return nil
	case <-ctx.Done():
	case <-c.node.draining:
		return ErrShuttingDown
	}
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fmt.Errorf("pool %q: its list was not waited for: %w", p.Name, ctx.Err())
	case isClosed(r.listed):
		return fmt.Errorf("pool %q: the registry at %s lists no server in service, after %v", p.Name, p.Registry.Address, wait)
	}
	return fmt.Errorf("pool %q: the registry at %s has not answered with a list within %v", p.Name, p.Registry.Address, wait)
}
