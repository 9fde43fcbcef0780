// Package dispatch connects the front ends with the engines. It owns the routing snapshot (Snapshot) under which requests
// are read, and submits each request to the engine of its route's pool.
//
// There is one current Snapshot, which is swapped atomically. The package guarantees that each request is submitted under
// the Snapshot that it was read under, or not at all (ErrStale), and that an engine gets no request after a Swap that
// removes it. Requests that need more than an engine are left to an Interceptor; package route chooses the route.
package dispatch

import (
	"errors"
	"sync"
	"sync/atomic"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/requestids"
	"damsontrestle/internal/route"
)

var (
	// ErrStale is returned if the Snapshot has been swapped: the request must be read again under the new one.
	ErrStale = errors.New("the configuration has changed")
	// ErrNoRoute is returned if no route matches the request, or if the pool does not exist. Its text is sent to clients as
	// the body of a 404.
	ErrNoRoute = errors.New("no route takes this call")
)

// Interceptor handles requests that need more than an engine, in front of the engines. Federated gateways use it.
type Interceptor interface {
	// Intercept reports whether it takes over a request that was read under a Snapshot. If so, exactly one response is sent
	// on the request's channel. It must not block; it may submit the request later with Dispatcher.Submit.
	Intercept(s *Snapshot, request *engine.Request, routing *route.Request) bool
}

// Dispatcher holds the current Snapshot. Its methods are safe for concurrent use.
type Dispatcher struct {
	snapshot    atomic.Pointer[Snapshot]
	interceptor Interceptor // nil: none
	forwarded   *requestids.Set
	mu          sync.RWMutex // read-locked while a request is submitted, write-locked while the Snapshot is swapped
}

// New returns a Dispatcher with an initial Snapshot. It refuses requests whose ids are in forwarded, and adds the ids of those that may
// have run.
func New(s *Snapshot, forwarded *requestids.Set) *Dispatcher {
	d := &Dispatcher{forwarded: forwarded}
	d.snapshot.Store(s)
	return d
}

// Snapshot returns the current Snapshot.
func (d *Dispatcher) Snapshot() *Snapshot { return d.snapshot.Load() }

// Dispatch passes a request that was read under a Snapshot to the Interceptor or submits it to the engine of its route.
// Without an error, exactly one response is sent on the request's channel. The error is ErrStale or ErrNoRoute.
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
	if class, known := s.Class(request.Class); !known || class.Effect != balancer.Safe {
		if d.forwarded.Contains(request.ID) {
			request.Finish(engine.Response{Kind: engine.Duplicate, EndState: engine.EndState{Reason: engine.EndDuplicate}})
			return nil
		}
		request.Forwarded = d.forwarded
	}
	s.engines[choice.Pool].Submit(request)
	return nil
}

// SetInterceptor sets the Interceptor of all further requests.
func (d *Dispatcher) SetInterceptor(interceptor Interceptor) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.interceptor = interceptor
}

// Pool returns the pool of a request by the current routes; false if no route matches.
func (d *Dispatcher) Pool(routing *route.Request) (string, bool) {
	choice, ok := d.snapshot.Load().table.Choose(routing)
	return choice.Pool, ok
}

// Submit submits a request to the engine of a pool, bypassing the Interceptor. Without an error, exactly one response is
// sent on its channel. The error is ErrNoRoute if there is no such pool.
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

// Swap replaces the Snapshot and calls reconfigure while no request is submitted: engines receive the events that
// reconfigure posts after all requests under the old Snapshot and before any under the new one.
func (d *Dispatcher) Swap(next *Snapshot, reconfigure func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reconfigure()
	d.snapshot.Store(next)
}
