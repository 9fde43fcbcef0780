// Package node puts the parts of a node together from a configuration, starts them and ends them. It has
// no logic of its own: what is decided is the module's, what is spoken is the protocols' packages'.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"runtime"
	"runtime/debug"
	"time"

	"woodpick"
	"woodpick/internal/clock"
	"woodpick/internal/config"
	"woodpick/internal/discovery"
	"woodpick/internal/engine"
	"woodpick/internal/http1"
)

// Node is one load balancer on sockets.
type Node struct {
	cfg      *config.Config // as started with
	clock    clock.Clock
	engine   *engine.Engine
	back     *http1.Back
	front    *http1.Front
	callers  *http1.Callers
	watch    *discovery.Watch
	listener net.Listener
	push     bool
	ending   ending
	log      *slog.Logger
}

// Limit keeps the process within its core and its memory.
func Limit(l config.Limits) {
	runtime.GOMAXPROCS(l.Cores)
	debug.SetMemoryLimit(int64(l.Memory) * 3 / 4)
}

// service is what the front takes calls for: one engine.
type service struct {
	*engine.Engine
	classes map[string]woodpick.Class
}

// Class implements http1.Service.
func (s service) Class(name string) (woodpick.Class, bool) {
	c, ok := s.classes[name]
	return c, ok
}

// New puts a node together and begins to listen. Nothing is served before Run.
func New(cfg *config.Config, start config.Start, log *slog.Logger) (*Node, error) {
	pool := cfg.Pools[0]
	set := cfg.Settings(pool)
	room := cfg.Node.Limits.Descriptors - config.Reserved
	n := &Node{cfg: cfg, log: log, clock: clock.New(), push: !set.AskDiscovery, ending: endingOf(cfg)}
	n.back = http1.NewBack(http1.BackOptions{Clock: n.clock, Most: pool.Connections.Most,
		ConnectTimeout: time.Duration(pool.Connections.ConnectTimeout), Idle: time.Duration(pool.Connections.Idle)})
	n.callers = http1.NewCallers(n.clock, room, config.Reserved/2, n.back.Connections)
	var err error
	n.engine, err = engine.New(engine.Options{Settings: set, Seed: start.Seed, Clock: n.clock, Backend: n.back,
		Subscribe: func() { n.watch.Subscribe() }, Pushed: n.push, Log: log,
		Report: func() []any { return append(n.callers.Report(), "servers", n.back.Connections()) }})
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	s := service{n.engine, map[string]woodpick.Class{}}
	for _, c := range set.Classes {
		s.classes[c.Name] = c
	}
	n.front = http1.NewFront(n.clock, n.callers, s, max(set.Tick, time.Millisecond), log)
	known, err := discovery.Parse(start.Known)
	rev := int64(-1)
	if err != nil {
		log.Warn("the known list is dropped", "error", err)
		known = discovery.List{Full: true}
	} else {
		rev = known.Rev
	}
	n.watch = discovery.NewWatch(pool.Registry.Address, rev, n.engine, log)
	n.engine.Hold(known)
	if n.listener, err = net.Listen("tcp", cfg.Listeners[0].Address); err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return n, nil
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Reload takes over what may change in a running node: where discovery is. The module, the callers and
// the connections to servers stay as they are.
func (n *Node) Reload(cfg *config.Config) {
	old, next := *n.cfg, *cfg
	for _, f := range []struct {
		name    string
		changed bool
	}{
		{"listen", old.Listeners[0].Address != next.Listeners[0].Address}, {"limits", old.Node.Limits != next.Node.Limits},
		{"settings", !reflect.DeepEqual(old.Settings(old.Pools[0]), next.Settings(next.Pools[0]))},
	} {
		if f.changed {
			n.log.Warn("a change in the configuration waits for the next start", "field", f.name)
		}
	}
	at := cfg.Pools[0].Registry.Address
	n.log.Info("the configuration is read again", "discovery", at)
	n.watch.Move(at)
}

// Run serves until ctx ends, and then until all that was taken is answered.
func (n *Node) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	go n.engine.Run(inner)
	go n.back.Sweep(inner)
	if n.push {
		go n.watch.Push(inner)
	} else {
		go n.watch.Ask(inner)
	}
	gone := make(chan error, 1)
	go func() { gone <- n.front.Serve(n.listener) }()
	select {
	case err := <-gone:
		return fmt.Errorf("node: %w", err)
	case <-ctx.Done():
	}
	n.log.Info("draining")
	if err := n.drain(inner, n.listener, n.ending); err != nil {
		return fmt.Errorf("node: drain: %w", err)
	}
	if err := <-gone; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("node: %w", err)
	}
	return nil
}
