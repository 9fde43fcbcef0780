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
	"damsontrestle/internal/requestids"
	"damsontrestle/internal/route"
	"damsontrestle/internal/testpeer"
)

// namedBackend is a Backend whose replies contain its name.
type namedBackend string

func (n namedBackend) Run(a *engine.Attempt) engine.Outcome {
	return engine.Outcome{Result: balancer.Success, At: a.SentAt, Reply: engine.Reply{Body: []byte(n)}}
}

func (namedBackend) Servers([]discovery.Target, bool) {}

func (namedBackend) Poll(discovery.Host, time.Duration) (float64, bool) { return 0, false }

func (namedBackend) CloseIdle(discovery.Host) {}

// options returns Options with pushed lists and a discarded log.
func options(settings balancer.Settings, name string) engine.Options {
	return engine.Options{
		Settings:    settings,
		Clock:       clock.New(),
		Backend:     namedBackend(name),
		Subscribe:   func() {},
		ListsPushed: true,
		Log:         slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// newEngine returns an engine that runs until the end of the test or benchmark.
func newEngine(tb testing.TB, settings balancer.Settings, name string, servers ...discovery.Target) *engine.Engine {
	tb.Helper()
	eng, err := engine.New(options(settings, name))
	if err != nil {
		tb.Fatal(err)
	}
	if len(servers) > 0 {
		eng.RestoreList(discovery.List{Full: true, Targets: servers})
	}
	go eng.Run(tb.Context())
	return eng
}

// server is the only server of each pool.
var server = discovery.Target{Server: balancer.Server{ID: "s"}, Endpoint: "127.0.0.1:1"}

// newPoolEngine returns an engine with one server, for a pool of twoPools.
func newPoolEngine(t *testing.T, cfg *config.Config, name string) *engine.Engine {
	t.Helper()
	return newEngine(t, cfg.BalancerSettings(cfg.Pools[0]), name, server)
}

// twoPools returns a configuration that routes the class view to one pool and all others to another.
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
	request := engine.NewRequest(id, engine.Message{})
	request.Class, request.At = class, clock.New().Now()
	request.Deadline = request.At + time.Hour
	return request, &route.Request{Listener: "main", Class: class, Path: "/" + class + "/k", HashKey: id}
}

func TestRequestGoesToPoolOfItsRoute(t *testing.T) {
	cfg := twoPools("a", "b")
	snapshot, err := NewSnapshot(cfg, map[string]*engine.Engine{"a": newPoolEngine(t, cfg, "a"), "b": newPoolEngine(t, cfg, "b")})
	if err != nil {
		t.Fatal(err)
	}
	dispatcher := New(snapshot, requestids.New())
	if !snapshot.Ready() {
		t.Error("snapshot is not ready, want ready")
	}
	for class, want := range map[string]string{"view": "a", "note": "b"} {
		request, routing := newRequest("id", class)
		if err := dispatcher.Dispatch(snapshot, request, routing); err != nil {
			t.Fatal(err)
		}
		if got := testpeer.Receive(t, request.Response(), "the response"); string(got.Reply.Body) != want {
			t.Errorf("class %s: got a reply of pool %q", class, got.Reply.Body)
		}
	}
	request, routing := newRequest("id", "none")
	if err := dispatcher.Dispatch(snapshot, request, routing); !errors.Is(err, ErrNoRoute) {
		t.Errorf("class without a route: got error %v, want ErrNoRoute", err)
	}
	if _, err := NewSnapshot(cfg, nil); err == nil {
		t.Error("NewSnapshot without engines returned no error")
	}
}

// While snapshots are swapped, every request is submitted under the snapshot that it was read under, or gets ErrStale. No
// request reaches a pool that its snapshot does not contain, and a retired engine gets none.
func TestSwapIsAtomic(t *testing.T) {
	cfg := [2]*config.Config{twoPools("a0", "b0"), twoPools("a1", "b1")}
	newSnapshot := func(i int) (*Snapshot, []*engine.Engine) {
		views := fmt.Sprint("a", i)
		rest := fmt.Sprint("b", i)
		viewEngine := newPoolEngine(t, cfg[i], views)
		restEngine := newPoolEngine(t, cfg[i], rest)
		snapshot, err := NewSnapshot(cfg[i], map[string]*engine.Engine{views: viewEngine, rest: restEngine})
		if err != nil {
			t.Fatal(err)
		}
		return snapshot, []*engine.Engine{viewEngine, restEngine}
	}
	first, old := newSnapshot(0)
	dispatcher := New(first, requestids.New())
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
				snapshot := dispatcher.Snapshot()
				request, routing := newRequest(fmt.Sprint(i, "-", k), []string{"view", "note"}[k%2])
				err := dispatcher.Dispatch(snapshot, request, routing)
				if errors.Is(err, ErrStale) {
					continue
				}
				if err != nil {
					t.Error(err)
					return
				}
				select {
				case got := <-request.Response():
					if got.Kind != engine.Served {
						t.Errorf("got response %+v, want kind served", got)
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
		snapshot, engines := newSnapshot((k + 1) % 2)
		dispatcher.Swap(snapshot, func() {})
		for _, e := range old {
			e.Retire()
			testpeer.Receive(t, e.Done(), "the return of a retired engine's Run")
		}
		old = engines
	}
	close(stop)
	clients.Wait()
}

// BenchmarkDispatch measures a request from its dispatch to its response.
func BenchmarkDispatch(b *testing.B) {
	cfg := testpeer.Config()
	eng := newEngine(b, cfg.BalancerSettings(cfg.Pools[0]), "x", server)
	snapshot, err := NewSnapshot(cfg, map[string]*engine.Engine{"servers": eng})
	if err != nil {
		b.Fatal(err)
	}
	dispatcher := New(snapshot, requestids.New())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		request, routing := newRequest(fmt.Sprint(i), "view")
		if err := dispatcher.Dispatch(snapshot, request, routing); err != nil {
			b.Fatal(err)
		}
		<-request.Response()
	}
}

// BenchmarkSwap measures how long a swap of a configuration blocks submissions, by its number of pools.
func BenchmarkSwap(b *testing.B) {
	for _, pools := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(pools, " pools"), func(b *testing.B) {
			cfg := testpeer.Config()
			pool := cfg.Pools[0]
			cfg.Pools, cfg.Routes[0].To = nil, nil
			engines := map[string]*engine.Engine{}
			var all []*engine.Engine
			for i := range pools {
				pool.Name = fmt.Sprint("p", i)
				cfg.Pools = append(cfg.Pools, pool)
				cfg.Routes[0].To = append(cfg.Routes[0].To, route.Target{Pool: pool.Name, Weight: 1})
				eng := newEngine(b, cfg.BalancerSettings(pool), "x")
				engines[pool.Name] = eng
				all = append(all, eng)
			}
			snapshot, err := NewSnapshot(cfg, engines)
			if err != nil {
				b.Fatal(err)
			}
			dispatcher := New(snapshot, requestids.New())
			settings := cfg.BalancerSettings(pool)
			for b.Loop() {
				dispatcher.Swap(snapshot, func() {
					for _, eng := range all {
						eng.Reconfigure(settings, true)
					}
				})
			}
		})
	}
}
