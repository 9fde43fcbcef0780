// Package dispatch stands between the front ends and the engines. It owns the routing snapshot (Snapshot) under which
// requests are read, and hands each request to the engine of the pool that its route names.
//
// There is one Snapshot at a time, and it is swapped atomically. The package promises that each request is submitted under
// the Snapshot that it was read under, or not at all (ErrStale), and that an engine that a swap retires gets no request
// after it. What a request needs beyond an engine is left to a Guard; routes are decided on by package route.
package dispatch

import (
	"errors"
	"sync"
	"sync/atomic"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/route"
)

var (
	// ErrStale says that the Snapshot has been swapped meanwhile: the request must be read again under the new one.
	ErrStale = errors.New("the configuration has changed")
	// ErrNoRoute says that no route takes the request, or that the pool asked for does not exist. Clients get its text, as
	// the body of a 404.
	ErrNoRoute = errors.New("no route takes this call")
)

// Guard stands before the engines where gateways are federated: it takes requests that need more than an engine.
type Interceptor interface {
	// Take says whether it takes a request that was read under a Snapshot. If so, exactly one response comes on the
	// request's channel. It must not block, and passes requests on by Dispatcher.Submit later.
	Intercept(s *Snapshot, request *engine.Request, routing *route.Request) bool
}

// Dispatcher holds the Snapshot of now. Its methods may be called by any goroutine.
type Dispatcher struct {
	snapshot    atomic.Pointer[Snapshot]
	interceptor Interceptor  // nil: none
	mu          sync.RWMutex // held for reading while a request is submitted, for writing while the Snapshot is swapped
}

// New returns a Dispatcher with its first Snapshot.
func New(s *Snapshot) *Dispatcher {
	d := &Dispatcher{}
	d.snapshot.Store(s)
	return d
}

// Snapshot returns the one of now.
func (d *Dispatcher) Snapshot() *Snapshot { return d.snapshot.Load() }

// Take submits a request that was read under a Snapshot to the engine that this names for it, or gives it to the Guard.
// With no error, exactly one response comes on the request's channel. The error is ErrStale or ErrNoRoute.
func (d *Dispatcher) Dispatch(s *Snapshot, request *engine.Request, routing *route.Request) error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.snapshot.Load() != s {
		return ErrStale
	}
	if d.interceptor != nil && d.interceptor.Intercept(s, request, routing) {
		return nil
	}
	choice, ok := s.table.Choose(routing)
	if !ok {
		return ErrNoRoute
	}
	s.engines[choice.Pool].Submit(request)
	return nil
}

// SetGuard has a Guard see all requests from now on, before any engine.
func (d *Dispatcher) SetInterceptor(interceptor Interceptor) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.interceptor = interceptor
}

// Pool returns the pool that the routes of now name for a request.
func (d *Dispatcher) Pool(routing *route.Request) (string, bool) {
	choice, ok := d.snapshot.Load().table.Choose(routing)
	return choice.Pool, ok
}

// Submit submits a request to the engine of a pool, past the Guard. With no error, exactly one response comes on its
// channel. The error is ErrNoRoute where there is no such pool.
func (d *Dispatcher) Submit(request *engine.Request, pool string) error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	eng := d.snapshot.Load().engines[pool]
	if eng == nil {
		return ErrNoRoute
	}
	eng.Submit(request)
	return nil
}

// Swap puts another Snapshot in place and calls reconfigure while no request is submitted: what that posts to engines comes
// after all requests under the old Snapshot and before any under the new one.
func (d *Dispatcher) Swap(next *Snapshot, reconfigure func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reconfigure()
	d.snapshot.Store(next)
}
