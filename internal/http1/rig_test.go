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

// testNode is a front end, an engine and a back, as a node joins them.
type testNode struct {
	front      *Front
	clients    *downstream.Set
	dispatcher *dispatch.Dispatcher
	engine     *engine.Engine
	upstream   *upstream.Pool
	limits     upstream.Limits // of back
	backend    *listedBackend
	listener   net.Listener
}

// testNodeConfig is what a fault bench is made of.
type testNodeConfig struct {
	*config.Config
	Capacity int    // descriptors for clients and servers
	List     string // the list
}

func testConfig(known string) testNodeConfig {
	return testNodeConfig{Config: testpeer.Config(), Capacity: 976, List: strings.Replace(known, "%d", "1", 1)}
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
func start(t testing.TB, cfg testNodeConfig, change func(*testNode)) *testNode {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := clock.New()
	connections := cfg.Capacity / 2
	n := &testNode{limits: upstream.Limits{MaxConnections: connections, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute}}
	n.upstream = upstream.NewPool(c, descriptors.NewShare(connections), &metrics.Recorder{}, n.limits)
	n.backend = &listedBackend{Pool: n.upstream, servers: map[string]discovery.Target{}}
	n.clients = downstream.New(c, downstream.Limits{Capacity: cfg.Capacity, ServerMinimum: cfg.Capacity / 4, Reserve: 24}, n.upstream.Connections)
	var err error
	if n.engine, err = engine.New(engine.Options{Settings: cfg.BalancerSettings(cfg.Pools[0]), Seed: 1, Clock: c, Backend: n.backend,
		Subscribe: func() {}, ListsPushed: true, Log: log}); err != nil {
		t.Fatal(err)
	}
	n.dispatcher = dispatch.New(n.snapshot(t, cfg.Config))
	n.front = NewFront("main", c, n.clients, n.dispatcher, &metrics.Recorder{}, log)
	list, err := discovery.Parse([]byte(cfg.List))
	if err != nil {
		t.Fatal(err)
	}
	n.engine.RestoreList(list)
	if n.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go n.engine.Run(ctx)
	go n.upstream.Sweep(ctx)
	go n.front.Serve(n.listener)
	t.Cleanup(func() { n.listener.Close(); n.front.server.Close(); n.upstream.Close(); cancel() })
	return n
}

// snapshot is a configuration over the fault bench's one engine.
func (n *testNode) snapshot(t testing.TB, cfg *config.Config) *dispatch.Snapshot {
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

func (n *testNode) Addr() string { return n.listener.Addr().String() }

// updateList gives the fault bench another list.
func (n *testNode) updateList(t testing.TB, text string) {
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
func (n *testNode) setSettle(settle time.Duration) {
	n.limits.SettleDelay = settle
	n.upstream.SetLimits(n.limits)
}
