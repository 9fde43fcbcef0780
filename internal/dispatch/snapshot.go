package dispatch

import (
	"fmt"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/route"
)

// minRetryAfter is the least Retry-After of a rejection that no pool worded.
const minRetryAfter = time.Millisecond

// Snapshot is one configuration as the front ends see it: which classes there are, how a listener takes paths, which pool
// a request goes to. It never changes.
type Snapshot struct {
	classes    map[string]balancer.Class
	listeners  map[string]config.Listener
	table      *route.Table
	engines    map[string]*engine.Engine // by pool
	retryAfter time.Duration
}

// NewSnapshot returns the Snapshot of a checked configuration whose pools are served by these engines, by name. The error
// names what is wrong with its routes, or the pool that has no engine.
func NewSnapshot(cfg *config.Config, engines map[string]*engine.Engine) (*Snapshot, error) {
	table, err := cfg.Table()
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
		s.classes[class.Name] = class.ForModule()
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

// Class returns the class of requests of a name, if there is one.
func (s *Snapshot) Class(name string) (balancer.Class, bool) {
	class, ok := s.classes[name]
	return class, ok
}

// Listener returns the listener of a name, if there is one.
func (s *Snapshot) Listener(name string) (config.Listener, bool) {
	listener, ok := s.listeners[name]
	return listener, ok
}

// RetryAfter is the Retry-After of a rejection that no pool worded.
func (s *Snapshot) RetryAfter() time.Duration { return s.retryAfter }

// Ready says that a listed server is in service in some pool.
func (s *Snapshot) Ready() bool {
	for _, eng := range s.engines {
		if eng.Ready() {
			return true
		}
	}
	return false
}
