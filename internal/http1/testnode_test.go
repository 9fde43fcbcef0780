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
	"damsontrestle/internal/requestids"
	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/upstream"
)

// testNode connects a front end, an engine and an upstream pool as a node does.
type testNode struct {
	front      *Front
	clients    *downstream.Set
	dispatcher *dispatch.Dispatcher
	engine     *engine.Engine
	upstream   *upstream.Pool
	limits     upstream.Limits // of upstream
	backend    *listedBackend
	listener   net.Listener
}

// testNodeConfig is the configuration of a testNode.
type testNodeConfig struct {
	*config.Config
	Capacity int    // file descriptors for clients and servers
	List     string // endpoint list, as JSON
}

func testConfig(list string) testNodeConfig {
	return testNodeConfig{Config: testpeer.Config(), Capacity: 976, List: strings.Replace(list, "%d", "1", 1)}
}

// listedBackend is a pool that also records the servers of the endpoint list.
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

// server returns the last state of a server that the pool was given.
func (l *listedBackend) server(id string) (target discovery.Target, listed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	target, listed = l.servers[id]
	return target, listed
}

// startNode runs a testNode until the test ends. It calls configure, if any, before the node serves clients.
func startNode(t testing.TB, cfg testNodeConfig, configure func(*testNode)) *testNode {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	clk := clock.New()
	connections := cfg.Capacity / 2
	node := &testNode{limits: upstream.Limits{MaxConnections: connections, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute}}
	node.upstream = upstream.NewPool(clk, descriptors.NewShare(connections), &metrics.Recorder{}, node.limits)
	node.backend = &listedBackend{Pool: node.upstream, servers: map[string]discovery.Target{}}
	node.clients = downstream.New(clk, downstream.Limits{Capacity: cfg.Capacity, ServerMinimum: cfg.Capacity / 4, Reserve: 24}, node.upstream.Connections)
	var err error
	if node.engine, err = engine.New(engine.Options{Settings: cfg.BalancerSettings(cfg.Pools[0]), Seed: 1, Clock: clk, Backend: node.backend,
		Subscribe: func() {}, ListsPushed: true, Log: log}); err != nil {
		t.Fatal(err)
	}
	node.dispatcher = dispatch.New(node.snapshot(t, cfg.Config), requestids.New())
	node.front = NewFront("main", clk, node.clients, node.dispatcher, &metrics.Recorder{}, log)
	list, err := discovery.Parse([]byte(cfg.List))
	if err != nil {
		t.Fatal(err)
	}
	node.engine.RestoreList(list)
	if node.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	if configure != nil {
		configure(node)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go node.engine.Run(ctx)
	go node.upstream.Sweep(ctx)
	go node.front.Serve(node.listener)
	t.Cleanup(func() { node.listener.Close(); node.front.server.Close(); node.upstream.Close(); cancel() })
	return node
}

// snapshot returns a routing snapshot of a configuration in which all pools share the test node's engine.
func (n *testNode) snapshot(t testing.TB, cfg *config.Config) *dispatch.Snapshot {
	t.Helper()
	engines := map[string]*engine.Engine{}
	for _, p := range cfg.Pools {
		engines[p.Name] = n.engine
	}
	snapshot, err := dispatch.NewSnapshot(cfg, engines)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func (n *testNode) Addr() string { return n.listener.Addr().String() }

// updateList replaces the endpoint list.
func (n *testNode) updateList(t testing.TB, text string) {
	t.Helper()
	list, err := discovery.Parse([]byte(strings.Replace(text, "%d", "9", 1)))
	if err != nil {
		t.Fatal(err)
	}
	n.engine.UpdateList(list)
}

// count returns the number of listed servers.
func (l *listedBackend) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.servers)
}

// setSettle sets the settle time of connections to servers.
func (n *testNode) setSettle(settle time.Duration) {
	n.limits.SettleDelay = settle
	n.upstream.SetLimits(n.limits)
}
