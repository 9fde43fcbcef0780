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
)

// How a node ends: it accepts for a while after it was told to, and is done before it would be killed,
// which is the longest deadline, killCap at most, and killAfter later.
const (
	drainAccept = 600 * time.Millisecond
	killCap     = 3 * time.Second
	killAfter   = 700 * time.Millisecond
	killMargin  = 150 * time.Millisecond
	lastMargin  = 150 * time.Millisecond // from the last answers to the end
)

// drainMost is how long the node may take to end.
func drainMost(cfg Config) time.Duration {
	var longest time.Duration
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, killCap) + killAfter - killMargin
}

// endingOf is how a node ends: it serves for as long as most answers, which take less than half of their
// aim, come before the end. Callers that it lets go sooner would find no node at all.
func endingOf(cfg Config) ending {
	var aim time.Duration
	for _, c := range cfg.Settings.Classes {
		aim = max(aim, c.Aim)
	}
	last := drainMost(cfg) - lastMargin
	return ending{accept: drainAccept, serve: max(drainAccept, last-aim/2), last: last}
}

// reserved descriptors are for the listener, discovery, the log, the runtime, and callers whose
// requests are read only to be refused.
const reserved = 48

// Node is one load balancer on sockets.
type Node struct {
	loop      *loop
	frontend  *frontend
	backend   *backend
	discovery *discovery
	listener  net.Listener
	cfg       Config // as started with
	push      bool
	ending    ending
	drainMost time.Duration
	log       *slog.Logger
}

// Limit keeps the process within its core and its memory.
func Limit(cfg Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
}

// New puts a node together and begins to listen. Nothing is served before Run.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	balancer, err := woodpick.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	room := cfg.Sockets - reserved
	clock := newClock()
	l := newLoop(balancer, clock, log)
	n := &Node{cfg: cfg, loop: l, log: log, push: !cfg.Settings.AskDiscovery, ending: endingOf(cfg), drainMost: drainMost(cfg),
		backend: newBackend(cfg, clock, room/2)}
	callers := newCallers(clock, room, reserved/2, n.backend.connections)
	n.frontend = newFrontend(cfg, clock, callers, l.post, l.ready.Load, log)
	l.sockets = func() []any {
		c, held := callers.report()
		return []any{"callers", held, "accepted", c.Accepted, "let_go", c.LetGo, "crowded", c.Crowded,
			"turned_away", c.TurnedAway, "servers", n.backend.connections()}
	}
	l.start = func(a *attempt) {
		go func() {
			r := n.backend.run(a)
			a.cancel()
			l.post(ended{a, r})
		}()
	}
	l.servers, l.push = n.backend.servers, n.push
	known, err := parseList(cfg.Known)
	rev := int64(-1)
	if err != nil {
		log.Warn("the known list is dropped", "error", err)
		known = list{full: true}
	} else {
		rev = known.rev
	}
	n.discovery = newDiscovery(cfg, rev, l.post, log)
	l.subscribe = n.discovery.subscribe
	l.takeList(known, true)
	if n.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return n, nil
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Reload takes over what may change in a running node: where discovery is. The module, the callers and
// the connections to servers stay as they are.
func (n *Node) Reload(cfg Config) {
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
	n.discovery.move(cfg.Discovery)
}

// Run serves until ctx ends, and then until all that was taken is answered.
func (n *Node) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	go n.loop.run(inner)
	go n.backend.sweep(inner)
	if n.push {
		go n.discovery.push(inner)
	} else {
		go n.discovery.ask(inner)
	}
	gone := make(chan error, 1)
	go func() { gone <- n.frontend.server.Serve(callerListener{n.listener, n.frontend.callers}) }()
	select {
	case err := <-gone:
		return fmt.Errorf("node: %w", err)
	case <-ctx.Done():
	}
	n.log.Info("draining")
	limit, cancel := context.WithTimeout(inner, n.drainMost)
	defer cancel()
	if err := n.frontend.drain(limit, n.listener, n.ending); err != nil {
		return fmt.Errorf("node: drain: %w", err)
	}
	if err := <-gone; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("node: %w", err)
	}
	return nil
}
