package http1

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/descriptors"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/testpeer"
)

// rig is a front end, an engine and a back, as a node joins them.
type rig struct {
	front   *Front
	callers *downstream.Set
	calls   *dispatch.Dispatcher
	engine  *engine.Engine
	back    *Back
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

// newBack is a Back with so many connections at most.
func newBack(c clock.Clock, most int) *Back {
	return NewBack(c, descriptors.NewShare(most), &metrics.Set{}, Limits{Most: most, ConnectTimeout: testpeer.Limit, Idle: time.Minute})
}

// start runs a fault bench until the test ends.
func start(t testing.TB, cfg rigConfig, change func(*rig)) *rig {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := clock.New()
	n := &rig{back: newBack(c, cfg.Room/2)}
	n.callers = downstream.New(c, downstream.Share{Capacity: cfg.Room, Minimum: cfg.Room / 4, Spare: 24}, n.back.Connections)
	var err error
	if n.engine, err = engine.New(engine.Options{Settings: cfg.Settings(cfg.Pools[0]), Seed: 1, Clock: c, Backend: n.back,
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
