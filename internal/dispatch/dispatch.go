// Package dispatch stands between the front ends and the engines. A View is what requests are read under: which
// classes there are, how a listener takes paths, which pool a request goes to. There is one View at a time, and
// it is swapped completely: every request is taken under one of them, by the engine that this one names for it.
package dispatch

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/route"
)

// Snapshot is one configuration as the front ends see it. It never changes.
type Snapshot struct {
	classes    map[string]balancer.Class
	listeners  map[string]config.Listener
	table      *route.Table
	pools      map[string]*engine.Engine
	retryAfter time.Duration
}

// NewSnapshot makes the View of a checked configuration whose pools are served by these engines.
func NewSnapshot(cfg *config.Config, engines map[string]*engine.Engine) (*Snapshot, error) {
	table, err := cfg.Table()
	if err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	v := &Snapshot{classes: map[string]balancer.Class{}, listeners: map[string]config.Listener{}, table: table, pools: engines,
		retryAfter: time.Millisecond}
	for _, c := range cfg.Classes {
		v.classes[c.Name] = c.ForModule()
	}
	for _, l := range cfg.Listeners {
		v.listeners[l.Name] = l
	}
	for _, p := range cfg.AllPools() {
		if engines[p.Name] == nil {
			return nil, fmt.Errorf("dispatch: pool %q has no engine", p.Name)
		}
		v.retryAfter = max(v.retryAfter, time.Duration(p.Tick))
	}
	return v, nil
}

// Class tells of a class of requests, if there is one of that name.
func (v *Snapshot) Class(name string) (balancer.Class, bool) {
	c, ok := v.classes[name]
	return c, ok
}

// Listener tells of a listener, if there is one of that name.
func (v *Snapshot) Listener(name string) (config.Listener, bool) {
	l, ok := v.listeners[name]
	return l, ok
}

// RetryAfter is when to come back after a refusal that no pool worded.
func (v *Snapshot) RetryAfter() time.Duration { return v.retryAfter }

// Ready says that a listed server is in service in some pool.
func (v *Snapshot) Ready() bool {
	for _, e := range v.pools {
		if e.Ready() {
			return true
		}
	}
	return false
}

// Errors of Take.
var (
	// ErrStale says that the View has been swapped meanwhile: the request must be looked at again.
	ErrStale = errors.New("the configuration has changed")
	// ErrNoRoute says that no route takes the request.
	ErrNoRoute = errors.New("no route takes this call")
)

// Guard stands before the engines where gateways are federated: it takes requests that need more than an engine.
type Guard interface {
	// Take says whether it takes a request that was read under a View; exactly one answer comes on the request's channel then. It
	// must not block, and gives requests on by Hand later.
	Take(v *Snapshot, c *engine.Request, r *route.Request) bool
}

// Dispatcher holds the View of now.
type Dispatcher struct {
	snapshot atomic.Pointer[Snapshot]
	guard    Guard        // nil: none
	mu       sync.RWMutex // held for reading while a request is handed over, for writing while the View is swapped
}

// New returns a Dispatcher with its first View.
func New(v *Snapshot) *Dispatcher {
	d := &Dispatcher{}
	d.snapshot.Store(v)
	return d
}

// Snapshot is the one of now.
func (d *Dispatcher) Snapshot() *Snapshot { return d.snapshot.Load() }

// Take hands a request that was read under a View to the engine that it names for it, unless the View has been
// swapped meanwhile. With no error, exactly one answer comes on the request's channel.
func (d *Dispatcher) Take(v *Snapshot, c *engine.Request, r *route.Request) error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.snapshot.Load() != v {
		return ErrStale
	}
	if d.guard != nil && d.guard.Take(v, c, r) {
		return nil
	}
	to, ok := v.table.Choose(r)
	if !ok {
		return ErrNoRoute
	}
	v.pools[to.Pool].Submit(c)
	return nil
}

// SetGuard has a Guard asked from now on, before any engine.
func (d *Dispatcher) SetGuard(g Guard) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.guard = g
}

// Pool is the pool that the routes of now name for a request.
func (d *Dispatcher) Pool(r *route.Request) (string, bool) {
	to, ok := d.snapshot.Load().table.Choose(r)
	return to.Pool, ok
}

// Submit gives a request to the engine of a pool, past the Guard. With no error, exactly one answer comes on its channel.
func (d *Dispatcher) Submit(c *engine.Request, pool string) error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e := d.snapshot.Load().pools[pool]
	if e == nil {
		return ErrNoRoute
	}
	e.Submit(c)
	return nil
}

// Swap puts another View in place and runs with while no request is handed over: what that posts to engines
// comes after all requests taken under the old View and before any under the new one.
func (d *Dispatcher) Swap(v *Snapshot, with func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	with()
	d.snapshot.Store(v)
}
