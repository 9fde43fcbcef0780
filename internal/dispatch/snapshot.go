package dispatch

import (
	"fmt"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/route"
)

// minRetryAfter is the minimum Retry-After of a rejection that no pool produced.
const minRetryAfter = time.Millisecond

// Snapshot is the front ends' view of one configuration: its classes, its listeners, and the routes from requests to
// pools. It is immutable.
type Snapshot struct {
	classes    map[string]balancer.Class
	listeners  map[string]config.Listener
	table      *route.Table
	engines    map[string]*engine.Engine // by pool
	retryAfter time.Duration
}

// NewSnapshot returns the Snapshot of a validated configuration. engines holds the engine of each pool, by pool name. The
// error describes the invalid route or names the pool without an engine.
func NewSnapshot(cfg *config.Config, engines map[string]*engine.Engine) (*Snapshot, error) {
	table, err := cfg.RouteTable()
	if err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	s := &Snapshot{
		classes:    map[string]balancer.Class{},
		listeners:  map[string]config.Listener{},
		table:      table,
		engines:    engines,
		retryAfter: minRetryAfter,
	}
	for _, class := range cfg.Classes {
		s.classes[class.Name] = class.BalancerClass()
	}
	for _, listener := range cfg.Listeners {
		s.listeners[listener.Name] = listener
	}
	for _, pool := range cfg.AllPools() {
		if engines[pool.Name] == nil {
			return nil, fmt.Errorf("dispatch: pool %q has no engine", pool.Name)
		}
		s.retryAfter = max(s.retryAfter, time.Duration(pool.Tick))
	}
	return s, nil
}

// Class returns the request class of a name, if it exists.
func (s *Snapshot) Class(name string) (balancer.Class, bool) {
	class, ok := s.classes[name]
	return class, ok
}

// Listener returns the listener of a name, if it exists.
func (s *Snapshot) Listener(name string) (config.Listener, bool) {
	listener, ok := s.listeners[name]
	return listener, ok
}

// RetryAfter returns the Retry-After of a rejection that no pool produced.
func (s *Snapshot) RetryAfter() time.Duration { return s.retryAfter }

// Ready reports whether any pool has a listed server that is ready.
func (s *Snapshot) Ready() bool {
	for _, eng := range s.engines {
		if eng.Ready() {
			return true
		}
	}
	return false
}
