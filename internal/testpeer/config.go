package testpeer

import (
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/route"
)

// Config returns a small configuration with long time limits: one class of each effect (view, note, keyed), the listener
// main, the pool servers with a registry, and the route default.
func Config() *config.Config {
	class := func(name string, e config.Effect) config.Class {
		return config.Class{Name: name, Effect: e, LatencyObjective: config.Duration(Limit), Deadline: config.Duration(2 * Limit), PriorityWeight: 1}
	}
	keyed := class("keyed", config.Keyed)
	keyed.KeyScope, keyed.Window = config.AllScope, config.Duration(Limit)
	return &config.Config{
		Node:      config.Node{Name: "n", Limits: config.Limits{Memory: 192 << 20, Descriptors: 1024, Cores: 1}},
		Classes:   []config.Class{class("view", config.Safe), class("note", config.Unsafe), keyed},
		Listeners: []config.Listener{{Name: "main", Address: "127.0.0.1:0", Protocol: config.HTTP1, Paths: config.AsSentPaths}},
		Pools: []config.Pool{{Name: "servers", Protocol: config.HTTP1, MaxAttempts: 4, MayCancel: true, Tick: config.Duration(time.Millisecond),
			MaxRetryAfter: config.Duration(2 * time.Second), Balancers: config.Balancers{Count: 1}, Shedding: config.Shedding{Total: 1},
			Connections: config.Connections{Max: 488, IdleTimeout: config.Duration(time.Minute), ConnectTimeout: config.Duration(Limit)},
			SlowStart:   config.SlowStart{Minimum: 1}, Registry: &config.Registry{Address: "127.0.0.1:1", Mode: config.Pushed}}},
		Routes: []route.Route{{Name: "default", Default: true, To: []route.Target{{Pool: "servers", Weight: 1}}}},
	}
}
