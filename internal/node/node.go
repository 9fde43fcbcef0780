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

// reserved descriptors are for the listener, discovery, the log, the runtime, and callers whose
// requests are read only to be refused.
const reserved = 48

// Node is one load balancer on sockets.
type Node struct {
	clock    clock.Clock
	engine   *engine.Engine
	back     *http1.Back
	front    *http1.Front
	callers  *http1.Callers
	watch    *discovery.Watch
	listener net.Listener
	cfg      config.Config // as started with
	push     bool
	ending   ending
	log      *slog.Logger
}

// Limit keeps the process within its core and its memory.
func Limit(cfg config.Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
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
func New(cfg config.Config, log *slog.Logger) (*Node, error) {
	room := cfg.Sockets - reserved
	n := &Node{cfg: cfg, log: log, clock: clock.New(), push: !cfg.Settings.AskDiscovery, ending: endingOf(cfg)}
	n.back = http1.NewBack(http1.BackOptions{Clock: n.clock, Most: room / 2, ConnectTimeout: cfg.ConnectTimeout, Idle: cfg.ConnIdle})
	n.callers = http1.NewCallers(n.clock, room, reserved/2, n.back.Connections)
	var err error
	n.engine, err = engine.New(engine.Options{Settings: cfg.Settings, Seed: cfg.Seed, Clock: n.clock, Backend: n.back,
		Subscribe: func() { n.watch.Subscribe() }, Pushed: n.push, Log: log,
		Report: func() []any { return append(n.callers.Report(), "servers", n.back.Connections()) }})
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	s := service{n.engine, map[string]woodpick.Class{}}
	for _, c := range cfg.Settings.Classes {
		s.classes[c.Name] = c
	}
	n.front = http1.NewFront(n.clock, n.callers, s, max(cfg.Settings.Tick, time.Millisecond), log)
	known, err := discovery.Parse(cfg.Known)
	rev := int64(-1)
	if err != nil {
		log.Warn("the known list is dropped", "error", err)
		known = discovery.List{Full: true}
	} else {
		rev = known.Rev
	}
	n.watch = discovery.NewWatch(cfg.Discovery, rev, n.engine, log)
	n.engine.Hold(known)
	if n.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return n, nil
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Reload takes over what may change in a running node: where discovery is. The module, the callers and
// the connections to servers stay as they are.
func (n *Node) Reload(cfg config.Config) {
	for _, f := range []struct {
		name    string
		changed bool
	}{
		{"listen", cfg.Listen != n.cfg.Listen}, {"limits", cfg.Sockets != n.cfg.Sockets || cfg.MemoryMB != n.cfg.MemoryMB},
		{"settings", !reflect.DeepEqual(cfg.Settings, n.cfg.Settings)},
	} {
		if f.changed {
			n.log.Warn("a change in the configuration waits for the next start", "field", f.name)
		}
	}
	n.log.Info("the configuration is read again", "discovery", cfg.Discovery)
	n.watch.Move(cfg.Discovery)
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
