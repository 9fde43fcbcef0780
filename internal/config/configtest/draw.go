// Package configtest generates configurations for property-based tests.
package configtest

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"damsontrestle/internal/config"
	"damsontrestle/internal/route"
)

// Addresses is the pool of addresses for drawn configurations.
type Addresses struct {
	Servers   []string
	Listeners []string // each is used at most once in a configuration
}

// Draw returns a configuration that passes every check, with up to three listeners, pools and additional routes. Their names recur
// in other draws.
func Draw(t *rapid.T, available Addresses) *config.Config {
	cfg := &config.Config{Node: config.Node{Name: "n", StateFolder: "/state", AdminSocket: "/run/admin",
		Limits: config.Limits{Memory: config.Size(rapid.IntRange(128, 132).Draw(t, "memory")) << 20,
			Descriptors: rapid.IntRange(600, 604).Draw(t, "descriptors"), Cores: rapid.IntRange(1, 2).Draw(t, "cores")}}}
	names := func(label string, least int, all ...string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(all), least, len(all), rapid.ID[string]).Draw(t, label)
	}
	classes := names("classes", 1, "view", "note", "keyed")
	for _, name := range classes {
		class := config.Class{Name: name, Effect: map[string]config.Effect{"view": config.Safe, "note": config.Unsafe, "keyed": config.Keyed}[name],
			LatencyObjective: config.Duration(time.Duration(rapid.IntRange(900, 902).Draw(t, "aim")) * time.Millisecond), Deadline: config.Duration(4 * time.Second),
			PriorityWeight: float64(rapid.IntRange(1, 3).Draw(t, "worth")), LateShare: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "late")}
		if name == "keyed" {
			class.KeyScope, class.Window = rapid.SampledFrom([]config.Scope{config.CellScope, config.AllScope}).Draw(t, "scope"), config.Duration(time.Second)
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	listeners := names("listeners", 1, "l1", "l2", "l3")
	addresses := rapid.Permutation(available.Listeners).Draw(t, "addresses")
	for i, name := range listeners {
		cfg.Listeners = append(cfg.Listeners, config.Listener{Name: name, Address: addresses[i], Protocol: config.HTTP1,
			Paths: rapid.SampledFrom([]config.PathPolicy{config.StrictPaths, config.NormalizePaths}).Draw(t, "paths")})
	}
	pools := names("pools", 1, "p1", "p2", "p3")
	for _, name := range pools {
		p := config.Pool{Name: name, Protocol: config.HTTP1, MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), MayCancel: rapid.Bool().Draw(t, "cancel"),
			Tick: config.Duration(time.Millisecond), MaxRetryAfter: config.Duration(time.Second), Balancers: config.Balancers{Count: 1},
			Shedding: config.Shedding{Total: 0.5, WorstClass: 0.5}, SlowStart: config.SlowStart{Minimum: 1},
			Connections: config.Connections{Max: rapid.IntRange(20, 22).Draw(t, "most"), IdleTimeout: config.Duration(time.Minute),
				ConnectTimeout: config.Duration(time.Duration(rapid.IntRange(1, 2).Draw(t, "connect")) * time.Second)}}
		servers := names("servers", 1, "s1", "s2", "s3")
		serverAddresses := rapid.Permutation(available.Servers).Draw(t, "at")
		for i, s := range servers {
			p.Servers = append(p.Servers, config.Server{Name: s, Address: serverAddresses[i], Size: 1, State: config.Ready, Cell: rapid.IntRange(0, 1).Draw(t, "cell")})
		}
		cfg.Pools = append(cfg.Pools, p)
	}
	to := func() []route.Target {
		var out []route.Target
		for _, p := range rapid.SliceOfNDistinct(rapid.SampledFrom(pools), 1, 2, rapid.ID[string]).Draw(t, "to") {
			out = append(out, route.Target{Pool: p, Weight: rapid.IntRange(1, 3).Draw(t, "weight")})
		}
		return out
	}
	cfg.Routes = append(cfg.Routes, route.Route{Name: "default", Default: true, To: to()})
	for i, host := range names("hosts", 0, "a.example", "*.example", "b.example") {
		r := route.Route{Name: fmt.Sprint("r", i), Hosts: []string{host}, To: to()}
		if rapid.Bool().Draw(t, "by class") {
			r.Classes = []string{classes[0]}
		}
		if rapid.Bool().Draw(t, "by header") {
			r.Headers = []route.Header{{Name: "X-Team"}}
		}
		cfg.Routes = append(cfg.Routes, r)
	}
	if p := cfg.Check().Errors(); len(p) > 0 {
		t.Fatalf("drawn configuration has errors: %v", p)
	}
	return cfg
}
