package http1

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"woodpick"
	"woodpick/internal/clock"
	"woodpick/internal/discovery"
	"woodpick/internal/engine"
	"woodpick/internal/standin"
)

// rig is a front, an engine and a back, as a node joins them.
type rig struct {
	front   *Front
	callers *Callers
	engine  *engine.Engine
	back    *Back
	ln      net.Listener
	classes map[string]woodpick.Class
}

// rigConfig is what a rig is made of.
type rigConfig struct {
	Settings woodpick.Settings
	Room     int    // descriptors for callers and servers
	Known    string // the list
}

// testConfig is a deployment with a class of each kind and long limits.
func testConfig(known string) rigConfig {
	class := func(name string, e woodpick.Effect) woodpick.Class {
		return woodpick.Class{Name: name, Effect: e, Scope: woodpick.ScopeAll, Window: standin.Limit,
			Aim: standin.Limit, Deadline: 2 * standin.Limit, Worth: 1}
	}
	return rigConfig{Room: 976, Known: strings.Replace(known, "%d", "1", 1),
		Settings: woodpick.Settings{Balancers: 1, MaxAttempts: 4, MayCancel: true,
			Tick: time.Millisecond, MaxRetryAfter: 2 * time.Second, ColdFrom: 1, WholeWeight: 1,
			Classes: []woodpick.Class{class("view", woodpick.Safe), class("note", woodpick.Unsafe),
				class("keyed", woodpick.Keyed)}}}
}

// start runs a rig until the test ends.
func start(t *testing.T, cfg rigConfig, change func(*rig)) *rig {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := clock.New()
	n := &rig{classes: map[string]woodpick.Class{}}
	n.back = NewBack(BackOptions{Clock: c, Most: cfg.Room / 2, ConnectTimeout: standin.Limit, Idle: time.Minute})
	n.callers = NewCallers(c, cfg.Room, 24, n.back.Connections)
	for _, c := range cfg.Settings.Classes {
		n.classes[c.Name] = c
	}
	var err error
	if n.engine, err = engine.New(engine.Options{Settings: cfg.Settings, Seed: 1, Clock: c, Backend: n.back,
		Subscribe: func() {}, Pushed: true, Log: log}); err != nil {
		t.Fatal(err)
	}
	n.front = NewFront(c, n.callers, n, time.Millisecond, log)
	list, err := discovery.Parse([]byte(cfg.Known))
	if err != nil {
		t.Fatal(err)
	}
	n.engine.Hold(list)
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
	t.Cleanup(func() { n.front.server.Close(); cancel() })
	return n
}

func (n *rig) Addr() string { return n.ln.Addr().String() }

// The rig is the front's Service.

func (n *rig) Class(name string) (woodpick.Class, bool) {
	c, ok := n.classes[name]
	return c, ok
}

func (n *rig) Ready() bool                            { return n.engine.Ready() }
func (n *rig) Take(c *engine.Call)                    { n.engine.Take(c) }
func (n *rig) Leave(c *engine.Call, at time.Duration) { n.engine.Leave(c, at) }

// tell gives the rig another list.
func (n *rig) tell(t *testing.T, text string) {
	t.Helper()
	list, err := discovery.Parse([]byte(strings.Replace(text, "%d", "9", 1)))
	if err != nil {
		t.Fatal(err)
	}
	n.engine.TakeList(list)
}
