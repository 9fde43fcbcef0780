package http1

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/descriptors"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/upstream"
)

// rig is a front end, an engine and a back, as a node joins them.
type rig struct {
	front   *Front
	callers *downstream.Set
	calls   *dispatch.Dispatcher
	engine  *engine.Engine
	back    *upstream.Pool
	limits  upstream.Limits // of back
	listed  *listedBackend
	ln      net.Listener
}

// rigConfig is what a fault bench is made of.
type rigConfig struct {
	*config.Config
	Room  int    // descriptors for clients and servers
	Known string // the list
}

func testConfig(known string) rigConfig {
	return rigConfig{Config: testpeer.Config(), Room: 976, Known: strings.Replace(known, "%d", "1", 1)}
}

// listedBackend is a pool that remembers the servers of the list as it was told of them.
type listedBackend struct {
	*upstream.Pool

	mu      sync.Mutex
	servers map[string]discovery.Target
}

// Servers implements engine.Backend.
func (l *listedBackend) Servers(targets []discovery.Target, full bool) {
	l.Pool.Servers(targets, full)
	l.mu.Lock()
	defer l.mu.Unlock()
	if full {
		clear(l.servers)
	}
	for _, target := range targets {
		l.servers[target.ID] = target
		if target.State == balancer.Removed {
			delete(l.servers, target.ID)
		}
	}
}

// server returns what the pool was told of a server last.
func (l *listedBackend) server(id string) (target discovery.Target, listed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	target, listed = l.servers[id]
	return target, listed
}

// start runs a fault bench until the test ends.
func start(t testing.TB, cfg rigConfig, change func(*rig)) *rig {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := clock.New()
	connections := cfg.Room / 2
	n := &rig{limits: upstream.Limits{MaxConnections: connections, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute}}
	n.back = upstream.NewPool(c, descriptors.NewShare(connections), &metrics.Set{}, n.limits)
	n.listed = &listedBackend{Pool: n.back, servers: map[string]discovery.Target{}}
	n.callers = downstream.New(c, downstream.Share{Capacity: cfg.Room, Minimum: cfg.Room / 4, Spare: 24}, n.back.Connections)
	var err error
	if n.engine, err = engine.New(engine.Options{Settings: cfg.Settings(cfg.Pools[0]), Seed: 1, Clock: c, Backend: n.listed,
		Subscribe: func() {}, Pushed: true, Log: log}); err != nil {
		t.Fatal(err)
	}
	n.calls = dispatch.New(n.view(t, cfg.Config))
	n.front = NewFront("main", c, n.callers, n.calls, &metrics.Set{}, log)
	list, err := discovery.Parse([]byte(cfg.Known))
	if err != nil {
		t.Fatal(err)
	}
	n.engine.RestoreList(list)
	if n.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go n.engine.Run(ctx)
	go n.back.Sweep(ctx)
	go n.front.Serve(n.ln)
	t.Cleanup(func() { n.ln.Close(); n.front.server.Close(); n.back.Close(); cancel() })
	return n
}

// view is a configuration over the fault bench's one engine.
func (n *rig) view(t testing.TB, cfg *config.Config) *dispatch.Snapshot {
	t.Helper()
	engines := map[string]*engine.Engine{}
	for _, p := range cfg.Pools {
		engines[p.Name] = n.engine
	}
	v, err := dispatch.NewSnapshot(cfg, engines)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (n *rig) Addr() string { return n.ln.Addr().String() }

// tell gives the fault bench another list.
func (n *rig) tell(t testing.TB, text string) {
	t.Helper()
	list, err := discovery.Parse([]byte(strings.Replace(text, "%d", "9", 1)))
	if err != nil {
		t.Fatal(err)
	}
	n.engine.UpdateList(list)
}

// count returns how many servers the pool was told of last.
func (l *listedBackend) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.servers)
}

// setSettle changes how long a connection to a server settles.
func (n *rig) setSettle(settle time.Duration) {
	n.limits.Settle = settle
	n.back.SetLimits(n.limits)
}
