package dispatch

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/route"
	"damsontrestle/internal/testpeer"
)

// named is a Backend that serves every attempt with a name.
type named string

func (n named) Run(a *engine.Attempt) engine.Outcome {
	return engine.Outcome{Result: balancer.Success, At: a.Sent, Reply: engine.Reply{Body: []byte(n)}}
}

func (named) Servers([]discovery.Target, bool) {}

func (named) Poll(discovery.Host, time.Duration) (float64, bool) { return 0, false }

func (named) CloseIdle(discovery.Host) {}

// options are of an engine whose lists are pushed and whose log goes nowhere.
func options(settings balancer.Settings, name string) engine.Options {
	return engine.Options{
		Settings:  settings,
		Clock:     clock.New(),
		Backend:   named(name),
		Subscribe: func() {},
		Pushed:    true,
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// newEngine returns an engine that runs until the test or benchmark ends.
func newEngine(tb testing.TB, settings balancer.Settings, name string, servers ...discovery.Target) *engine.Engine {
	tb.Helper()
	e, err := engine.New(options(settings, name))
	if err != nil {
		tb.Fatal(err)
	}
	if len(servers) > 0 {
		e.RestoreList(discovery.List{Full: true, Targets: servers})
	}
	go e.Run(tb.Context())
	return e
}

// server is the one server of a pool.
var server = discovery.Target{Server: balancer.Server{ID: "s"}, Endpoint: "127.0.0.1:1"}

// newPoolEngine returns an engine with one server for a pool of twoPools.
func newPoolEngine(t *testing.T, cfg *config.Config, name string) *engine.Engine {
	t.Helper()
	return newEngine(t, cfg.Settings(cfg.Pools[0]), name, server)
}

// twoPools sends views to one pool and all else to another.
func twoPools(views, rest string) *config.Config {
	cfg := testpeer.Config()
	other := cfg.Pools[0]
	other.Name = rest
	cfg.Pools[0].Name = views
	cfg.Pools = append(cfg.Pools, other)
	cfg.Routes = []route.Route{{Name: "views", Classes: []string{"view"}, To: []route.Target{{Pool: views, Weight: 1}}},
		{Name: "rest", Default: true, To: []route.Target{{Pool: rest, Weight: 1}}}}
	return cfg
}

func newRequest(id, class string) (*engine.Request, *route.Request) {
	c := engine.NewRequest(id, engine.Message{})
	c.Class, c.At = class, clock.New().Now()
	c.Deadline = c.At + time.Hour
	return c, &route.Request{Listener: "main", Class: class, Path: "/" + class + "/k", HashKey: id}
}

func TestRequestGoesToPoolOfItsRoute(t *testing.T) {
	cfg := twoPools("a", "b")
	v, err := NewSnapshot(cfg, map[string]*engine.Engine{"a": newPoolEngine(t, cfg, "a"), "b": newPoolEngine(t, cfg, "b")})
	if err != nil {
		t.Fatal(err)
	}
	d := New(v)
	if !v.Ready() {
		t.Error("not ready")
	}
	for class, want := range map[string]string{"view": "a", "note": "b"} {
		c, r := newRequest("id", class)
		if err := d.Take(v, c, r); err != nil {
			t.Fatal(err)
		}
		if got := testpeer.Receive(t, c.Response(), "the response"); string(got.Reply.Body) != want {
			t.Errorf("%s went to %q", class, got.Reply.Body)
		}
	}
	c, r := newRequest("id", "none")
	if err := d.Take(v, c, r); !errors.Is(err, ErrNoRoute) {
		t.Errorf("%v", err)
	}
	if _, err := NewSnapshot(cfg, nil); err == nil {
		t.Error("a snapshot without engines")
	}
}

// While snapshots are swapped, every request is submitted under the snapshot that it was read under, or gets ErrStale; no
// request reaches a pool that its snapshot does not name, and a retired engine gets none.
func TestSwapIsAtomic(t *testing.T) {
	cfg := [2]*config.Config{twoPools("a0", "b0"), twoPools("a1", "b1")}
	newSnapshot := func(i int) (*Snapshot, []*engine.Engine) {
		views := fmt.Sprint("a", i)
		rest := fmt.Sprint("b", i)
		a := newPoolEngine(t, cfg[i], views)
		b := newPoolEngine(t, cfg[i], rest)
		v, err := NewSnapshot(cfg[i], map[string]*engine.Engine{views: a, rest: b})
		if err != nil {
			t.Fatal(err)
		}
		return v, []*engine.Engine{a, b}
	}
	first, old := newSnapshot(0)
	d := New(first)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				v := d.Snapshot()
				c, r := newRequest(fmt.Sprint(i, "-", k), []string{"view", "note"}[k%2])
				err := d.Take(v, c, r)
				if errors.Is(err, ErrStale) {
					continue
				}
				if err != nil {
					t.Error(err)
					return
				}
				select {
				case got := <-c.Response():
					if got.Kind != engine.Served {
						t.Errorf("%+v", got)
						return
					}
				case <-time.After(testpeer.Limit):
					t.Error("no response")
					return
				}
			}
		})
	}
	for k := range 200 {
		v, engines := newSnapshot((k + 1) % 2)
		d.Swap(v, func() {})
		for _, e := range old {
			e.Retire()
			testpeer.Receive(t, e.Done(), "the end of a retired engine's Run")
		}
		old = engines
	}
	close(stop)
	clients.Wait()
}

// BenchmarkTake takes a request from a front end to its engine, and waits for its response.
func BenchmarkTake(b *testing.B) {
	cfg := testpeer.Config()
	e := newEngine(b, cfg.Settings(cfg.Pools[0]), "x", server)
	v, err := NewSnapshot(cfg, map[string]*engine.Engine{"servers": e})
	if err != nil {
		b.Fatal(err)
	}
	d := New(v)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c, r := newRequest(fmt.Sprint(i), "view")
		if err := d.Take(v, c, r); err != nil {
			b.Fatal(err)
		}
		<-c.Response()
	}
}

// BenchmarkSwap is how long no request is submitted while a configuration with so many pools is put in place.
func BenchmarkSwap(b *testing.B) {
	for _, pools := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(pools, " pools"), func(b *testing.B) {
			cfg := testpeer.Config()
			p := cfg.Pools[0]
			cfg.Pools, cfg.Routes[0].To = nil, nil
			engines := map[string]*engine.Engine{}
			var all []*engine.Engine
			for i := range pools {
				p.Name = fmt.Sprint("p", i)
				cfg.Pools = append(cfg.Pools, p)
				cfg.Routes[0].To = append(cfg.Routes[0].To, route.Target{Pool: p.Name, Weight: 1})
				e := newEngine(b, cfg.Settings(p), "x")
				engines[p.Name] = e
				all = append(all, e)
			}
			v, err := NewSnapshot(cfg, engines)
			if err != nil {
				b.Fatal(err)
			}
			d := New(v)
			set := cfg.Settings(p)
			for b.Loop() {
				d.Swap(v, func() {
					for _, e := range all {
						e.Reconfigure(set, true)
					}
				})
			}
		})
	}
}
