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

var (
	// ErrBusy is returned by Prepare while another change is in progress.
	ErrBusy = errors.New("another change is under way")
	// ErrShuttingDown is returned by Prepare and Commit once the node is shutting down.
	ErrShuttingDown = errors.New("the node is ending")
)

// Change is a configuration that is prepared beside the running one, which stays unchanged: sockets of new listeners are
// bound but not accepted from, and new pools receive their endpoint lists but no requests. The caller ends it with either
// Commit or Undo. Its methods must be called from one goroutine.
type Change struct {
	node      *Node
	cfg       *config.Config
	sockets   map[string]*socket // sockets opened for the change, by socketKey
	pools     map[string]*pool   // pools created for the change, already running, by name
	updates   []update           // updates of the existing pools that stay
	snapshot  *dispatch.Snapshot
	listeners map[string]*listener
	rollbacks []func()
}

// Prepare prepares a change to a validated configuration. It waits at most wait for all new endpoint lists to arrive. On an
// error everything is rolled back. It returns ErrBusy or ErrShuttingDown if the change could not be started, and
// ErrShuttingDown also if a shutdown began meanwhile. The fault hook of the node's options is called at every point where a
// step can fail.
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

// rollBack undoes the prepared steps in reverse order. The caller holds Node.mu.
func (c *Change) rollBack() {
	for _, rollBack := range slices.Backward(c.rollbacks) {
		rollBack()
	}
	c.rollbacks = nil
}

// Undo rolls the change back and restores the state before Prepare.
func (c *Change) Undo() {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	c.rollBack()
	c.node.change = nil
}

// injectFault returns the error that a test injects at a fault point, or nil.
func (c *Change) injectFault(point string) error {
	if c.node.options.Fault == nil {
		return nil
	}
	return c.node.options.Fault(point)
}

func (c *Change) prepare(ctx context.Context, wait time.Duration) error {
	if err := c.checkLimits(); err != nil {
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

// checkLimits checks the resource needs of the configuration, including the connections of retiring pools, against its
// limits.
func (c *Change) checkLimits() error {
	if err := c.injectFault("check limits"); err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	if c.node.cfg == nil {
		return nil // the initial configuration was checked when it was parsed
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

// bind opens the socket of a listener unless the running configuration already has it open.
func (c *Change) bind(ctx context.Context, l config.Listener) error {
	key := socketKey(l)
	if c.node.sockets[key] != nil {
		return nil
	}
	if err := c.injectFault("bind " + l.Name); err != nil {
		return fmt.Errorf("listener %q: %w", l.Name, err)
	}
	// An earlier change may still be closing its socket at this address, which takes only a moment.
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
	return c.injectFaultAfter("bind " + l.Name)
}

// listen opens a listener's socket. For the initial configuration it retries until ctx is done, because a process that
// cannot start is of no use. A later change fails at once and the running configuration stays in place.
func (c *Change) listen(ctx context.Context, l config.Listener) (*socket, error) {
	if c.node.cfg != nil {
		return c.node.listen(l)
	}
	return netlistener.Open(ctx, c.node.log, func() (*socket, error) { return c.node.listen(l) })
}

// injectFaultAfter is the fault point after a step, when the step has to be rolled back.
func (c *Change) injectFaultAfter(point string) error {
	if err := c.injectFault("after " + point); err != nil {
		return fmt.Errorf("%s: %w", point, err)
	}
	return nil
}

// preparePool creates a new pool, or prepares the update of an existing one.
func (c *Change) preparePool(p config.Pool) error {
	old := c.node.pools[p.Name]
	if old == nil || old.cfg.Protocol != p.Protocol {
		return c.createPool(p)
	}
	return c.prepareUpdate(old, p)
}

// createPool creates a pool and starts it.
func (c *Change) createPool(p config.Pool) error {
	n := c.node
	if err := c.injectFault("make pool " + p.Name); err != nil {
		return fmt.Errorf("pool %q: %w", p.Name, err)
	}
	initial := initialState{seed: rand.Uint64(), known: discovery.List{Full: true, Rev: -1}}
	if n.cfg == nil && n.initial != nil {
		initial = *n.initial
	}
	created, err := n.newPool(c.cfg, p, initial.seed, initial.known)
	if err != nil {
		return err
	}
	created.start()
	c.pools[p.Name] = created
	c.rollbacks = append(c.rollbacks, created.close)
	return c.injectFaultAfter("make pool " + p.Name)
}

// prepareUpdate prepares the update of an existing pool. If its endpoint list is to come from a different registry, it
// starts a new watch.
func (c *Change) prepareUpdate(old *pool, p config.Pool) error {
	n := c.node
	u := update{pool: old, cfg: p, settings: c.cfg.BalancerSettings(p)}
	if u.registryChanged() && p.Registry != nil {
		if err := c.injectFault("watch for pool " + p.Name); err != nil {
			return fmt.Errorf("pool %q: %w", p.Name, err)
		}
		u.source = n.newSource(*p.Registry, -1, n.log.With("pool", p.Name))
		u.source.start()
		u.source.watch.Subscribe()
		c.rollbacks = append(c.rollbacks, u.source.stop)
		if err := c.injectFaultAfter("watch for pool " + p.Name); err != nil {
			return err
		}
	}
	c.updates = append(c.updates, u)
	return nil
}

// makeSnapshot builds the routing snapshot that requests will use after the commit.
func (c *Change) makeSnapshot() error {
	if err := c.injectFault("compile routes"); err != nil {
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

// awaitLists waits until every registry that is new to a pool has listed a server in service. With a wait of 0 it returns
// at once.
func (c *Change) awaitLists(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, p := range c.cfg.Pools {
		created := c.pools[p.Name]
		if created == nil || p.Registry == nil {
			continue
		}
		if err := c.awaitList(ctx, p, created.source.Load().relay, wait); err != nil {
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

// awaitList waits until the registry of a pool has listed a server in service or ctx is done. wait is the timeout of ctx,
// for the error texts.
func (c *Change) awaitList(ctx context.Context, p config.Pool, r *relay, wait time.Duration) error {
	if err := c.injectFault("warm pool " + p.Name); err != nil {
		return fmt.Errorf("pool %q: %w", p.Name, err)
	}
	select {
	case <-r.serverReady:
		return nil
	case <-ctx.Done():
	case <-c.node.draining:
		return ErrShuttingDown
	}
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fmt.Errorf("pool %q: wait for its endpoint list: %w", p.Name, ctx.Err())
	case isClosed(r.snapshotReceived):
		return fmt.Errorf("pool %q: the registry at %s lists no server in service, after %v", p.Name, p.Registry.Address, wait)
	}
	return fmt.Errorf("pool %q: the registry at %s has not answered with a list within %v", p.Name, p.Registry.Address, wait)
}
