package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/route"
	"damsontrestle/internal/testpeer"
)

func TestChangeOfListenersPoolsAndRoutes(t *testing.T) {
	a, b := newTestServer(t, "a"), newTestServer(t, "b")
	first := configWithPools(staticPool("pa", a))
	n := startWithConfig(t, first, Options{})
	wantServed(t, n, "main", "/view/k", "a")

	second := configWithPools(staticPool("pa", a), staticPool("pb", b))
	second.Listeners = append(second.Listeners, config.Listener{Name: "side", Address: "127.0.0.1:0", Protocol: config.HTTP1, Paths: config.StrictPaths})
	second.Listeners[0].Paths = config.StrictPaths
	second.Routes = append(second.Routes, route.Route{Name: "side", Listeners: []string{"side"}, To: []route.Target{{Pool: "pb", Weight: 1}}},
		route.Route{Name: "notes", Paths: []string{"/note/b/*"}, To: []route.Target{{Pool: "pb", Weight: 1}}})
	main := n.Addr("main")
	kept := testpeer.Dial(t, main)
	kept.Get("kept")
	kept.Want(t, 200, "a")
	opened := a.AcceptedConnections()
	applyConfig(t, n, second)
	if n.Addr("main") != main {
		t.Errorf("listener moved from %s to %s", main, n.Addr("main"))
	}
	wantServed(t, n, "main", "/view/k", "a")
	wantServed(t, n, "main", "/note/b/k", "b")
	wantServed(t, n, "side", "/view/k", "b")
	kept.Get("kept again") // the connection stays open with its listener
	kept.Want(t, 200, "a")
	if a.AcceptedConnections() != opened {
		t.Errorf("pool that stayed opened %d more connections to its server", a.AcceptedConnections()-opened)
	}

	side := n.Addr("side")
	applyConfig(t, n, configWithPools(staticPool("pb", b)))
	wantServed(t, n, "main", "/view/k", "b")
	testpeer.Until(t, "the removed listener to close", func() bool {
		nc, err := net.Dial("tcp", side)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	testpeer.Until(t, "the removed pool to be closed", func() bool { return len(n.Retiring()) == 0 })
}

// A pool that stays keeps its Balancer and its state. Servers that are new in its list count as just started; the others
// keep their start time.
func TestUnchangedPoolKeepsItsBalancer(t *testing.T) {
	a, b := newTestServer(t, "a"), newTestServer(t, "b")
	n := startWithConfig(t, configWithPools(staticPool("p", a)), Options{})
	wantServed(t, n, "main", "/view/k", "a")
	was := n.pools["p"]
	next := configWithPools(staticPool("p", a, b))
	next.Pools[0].MaxAttempts, next.Pools[0].SlowStart = 2, config.SlowStart{Minimum: 0.2, Window: config.Duration(time.Hour)}
	applyConfig(t, n, next)
	if n.pools["p"] != was || was.engine.Status().Requests != 1 {
		t.Error("pool was created again")
	}
	if s0, s1 := was.static["s0"], was.static["s1"]; s0.Boot != 0 || s1.Boot == 0 {
		t.Errorf("got start times %v and %v, want 0 and a later one", s0.Boot, s1.Boot)
	}
	fresh := was.static["s1"].Boot
	next = configWithPools(staticPool("p", a, b))
	next.Pools[0].Servers[0].Address, next.Pools[0].Servers[1].Address = b.Address(), a.Address()
	applyConfig(t, n, next)
	if s0, s1 := was.static["s0"], was.static["s1"]; s0.Boot == 0 || s1.Boot <= fresh {
		t.Errorf("after address changes: got start times %v and %v, want later ones", s0.Boot, s1.Boot)
	}
}

// A removed pool answers its in-flight requests exactly once. An unsafe request is never retried on the new pool.
func TestRemovedPoolAnswersInFlightRequests(t *testing.T) {
	hold, got := make(chan struct{}), make(chan string, 10)
	old := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		id := r.Header.Get("X-Request-Id")
		got <- id
		<-hold
		if strings.HasPrefix(id, "break") {
			return false
		}
		return testpeer.Reply200(c, "old")
	})
	next := newTestServer(t, "new")
	n := startWithConfig(t, configWithPools(staticPool("p1", old)), Options{})
	served, broken := testpeer.Dial(t, n.Addr("main")), testpeer.Dial(t, n.Addr("main"))
	served.Send("POST", "/note/k", "serve", "x", "60")
	broken.Send("POST", "/note/k", "break", "x", "60")
	testpeer.Receive(t, got, "an attempt")
	testpeer.Receive(t, got, "an attempt")
	applyConfig(t, n, configWithPools(staticPool("p2", next)))
	wantServed(t, n, "main", "/note/k", "new")
	if d := n.Retiring(); len(d) != 1 || d[0] != "pool p1" {
		t.Errorf("got retiring parts %v, want pool p1", d)
	}
	close(hold)
	served.Want(t, 200, "old")
	broken.Want(t, http.StatusBadGateway, "")
	testpeer.Until(t, "the old pool to be closed", func() bool { return len(n.Retiring()) == 0 })
	if next.RequestCount() != 1 || old.RequestCount() != 2 {
		t.Errorf("got %d requests at the new server and %d at the old, want 1 and 2", next.RequestCount(), old.RequestCount())
	}
}

// If a class becomes unsafe while its requests are in flight, none of them is retried, whether its pool stays or is
// removed.
func TestClassChangedToUnsafeIsNotRetried(t *testing.T) {
	for _, pool := range []string{"p", "another"} {
		hold, got := make(chan struct{}), make(chan struct{}, 10)
		s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
			got <- struct{}{}
			<-hold
			return false
		})
		other := newTestServer(t, "other")
		n := startWithConfig(t, configWithPools(staticPool("p", s)), Options{})
		c := testpeer.Dial(t, n.Addr("main"))
		c.Get("view")
		testpeer.Receive(t, got, "the attempt")
		next := configWithPools(staticPool(pool, s, other))
		next.Classes[0].Effect = config.Unsafe
		applyConfig(t, n, next)
		close(hold)
		c.Want(t, http.StatusBadGateway, "")
		if s.RequestCount() != 1 || other.RequestCount() != 0 {
			t.Errorf("pool %s: got %d and %d attempts, want 1 and 0", pool, s.RequestCount(), other.RequestCount())
		}
	}
}

// An address can move from one listener to another, and two listeners can exchange addresses, without a rejected client.
func TestListenersExchangeAddresses(t *testing.T) {
	a, b := newTestServer(t, "a"), newTestServer(t, "b")
	free := func() string { return testpeer.ClosedPort(t) }
	one, two := free(), free()
	cfg := func(first, second string) *config.Config {
		c := configWithPools(staticPool("pa", a), staticPool("pb", b))
		c.Listeners = []config.Listener{{Name: first, Address: one, Protocol: config.HTTP1, Paths: config.StrictPaths},
			{Name: second, Address: two, Protocol: config.HTTP1, Paths: config.StrictPaths}}
		c.Routes = append(c.Routes, route.Route{Name: "y", Listeners: []string{"y"}, To: []route.Target{{Pool: "pb", Weight: 1}}})
		return c
	}
	n := startWithConfig(t, cfg("x", "y"), Options{})
	wantServedAt := func(address, server string) {
		t.Helper()
		if status, body := sendRequest(t, address, "GET", "/view/k"); status != 200 || body != server {
			t.Errorf("%s: got %d %q, want 200 from server %q", address, status, body, server)
		}
	}
	wantServedAt(one, "a")
	wantServedAt(two, "b")
	clientOfX := testpeer.Dial(t, one)
	clientOfX.Get("before")
	clientOfX.Want(t, 200, "a")
	applyConfig(t, n, cfg("y", "x"))
	wantServedAt(one, "b")
	wantServedAt(two, "a")
	clientOfX.Get("after") // the connection still belongs to listener x
	clientOfX.Want(t, 200, "a")
	applyConfig(t, n, cfg("z", "y"))
	wantServedAt(one, "a")
	wantServedAt(two, "b")
	clientOfX.WantClosed(t, "an idle connection of a removed listener")
}

// A change fails after its wait if a registry never answers or lists no server. It waits for a registry that answers in
// time.
func TestChangeWaitsForEndpointLists(t *testing.T) {
	a := newTestServer(t, "a")
	n := startWithConfig(t, configWithPools(staticPool("p", a)), Options{})
	silent, empty, late := testpeer.NewAgent(t), testpeer.NewAgent(t), testpeer.NewAgent(t)
	silent.Tell(true, "")
	empty.Tell(false, testpeer.FullSnapshot(testpeer.Entry("a", a.Address(), "terminating")))
	late.Tell(true, "")
	with := func(name string, at *testpeer.Agent) *config.Config {
		p := staticPool(name)
		p.Registry = &config.Registry{Address: at.Address(), Mode: config.Pushed}
		return configWithPools(p)
	}
	for _, name := range []string{"p", "new"} {
		for _, c := range []struct {
			at   *testpeer.Agent
			want string
		}{{silent, "has not answered with a list within"}, {empty, "lists no server in service"}} {
			if _, err := n.Prepare(t.Context(), with(name, c.at), 200*time.Millisecond); err == nil ||
				!strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), fmt.Sprintf("pool %q", name)) {
				t.Errorf("got error %v, want it to contain %q", err, c.want)
			}
		}
	}
	wantServed(t, n, "main", "/view/k", "a")
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() {
		_, err := n.Prepare(ctx, with("p", silent), testpeer.Limit)
		stopped <- err
	}()
	testpeer.Until(t, "the change to be in progress", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.change != nil
	})
	cancel()
	if err := testpeer.Receive(t, stopped, "Prepare to return"); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context.Canceled", err)
	}
	done := make(chan error, 1)
	go func() {
		c, err := n.Prepare(t.Context(), with("p", late), testpeer.Limit)
		if err == nil {
			err = c.Commit()
		}
		done <- err
	}()
	testpeer.Receive(t, late.Queries, "a poll")
	late.Tell(false, testpeer.FullSnapshot(testpeer.Entry("a", a.Address(), "in_service")))
	if err := testpeer.Receive(t, done, "the change"); err != nil {
		t.Error(err)
	}
	wantServed(t, n, "main", "/view/k", "a")
}

// A polled registry that rejects the first request of a change, as an overloaded one does, is polled again. This holds also
// if the change does not wait for its list, when no engine has been notified of the failure.
func TestRegistryIsRetriedAfterRejectedSubscription(t *testing.T) {
	a, b := newTestServer(t, "a"), newTestServer(t, "b")
	for _, wait := range []time.Duration{testpeer.Limit, 0} {
		var requests atomic.Int64
		rejected := make(chan struct{})
		registry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch requests.Add(1) {
			case 1:
				w.WriteHeader(http.StatusServiceUnavailable)
				close(rejected)
			case 2:
				fmt.Fprintf(w, testpeer.FullSnapshot(testpeer.Entry("b", b.Address(), "in_service")), 1)
			default:
				<-r.Context().Done()
			}
		}))
		t.Cleanup(registry.Close)
		n := startWithConfig(t, configWithPools(staticPool("p", a)), Options{})
		p := staticPool("p")
		p.Registry = &config.Registry{Address: registry.Listener.Addr().String(), Mode: config.Polled, PollInterval: config.Duration(10 * time.Second)}
		c, err := n.Prepare(t.Context(), configWithPools(p), wait)
		if err != nil {
			t.Errorf("wait %v: Prepare: %v", wait, err)
			continue
		}
		testpeer.Receive(t, rejected, "the rejected request")
		watch := c.updates[0].source.relay
		if err := c.Commit(); err != nil {
			t.Fatal(err)
		}
		testpeer.Receive(t, watch.snapshotReceived, "the list")
		testpeer.Until(t, "the new server to be used", func() bool {
			_, body := sendRequest(t, n.Addr("main"), "GET", "/view/k")
			return body == "b"
		})
	}
}

// The descriptor check of a change includes the connections that retiring pools still have open.
func TestDescriptorsOfRetiringPoolsCount(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 10)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		<-hold
		return testpeer.Reply200(c, "held")
	})
	b := newTestServer(t, "b")
	tight := func(name string, s *testpeer.Server) *config.Config {
		c := configWithPools(staticPool(name, s))
		c.Pools[0].Connections.Max = (512 - config.ReservedDescriptors) / 2
		return c
	}
	n := startWithConfig(t, tight("p1", s), Options{})
	c := testpeer.Dial(t, n.Addr("main"))
	c.Get("held")
	testpeer.Receive(t, got, "the attempt")
	applyConfig(t, n, tight("p2", b))
	_, err := n.Prepare(t.Context(), tight("p3", b), testpeer.Limit)
	if err == nil || !strings.Contains(err.Error(), "513 descriptors are needed, 1 of them until pools that are being retired") {
		t.Errorf("got error %v", err)
	}
	close(hold)
	c.Want(t, 200, "held")
	testpeer.Until(t, "the old pool to be closed", func() bool { return len(n.Retiring()) == 0 })
	applyConfig(t, n, tight("p3", b))
	wantServed(t, n, "main", "/view/k", "b")
	over := tight("p4", b)
	over.Pools[0].Connections.Max++
	if _, err := n.Prepare(t.Context(), over, 0); err == nil || !strings.Contains(err.Error(), "514 descriptors are needed") {
		t.Errorf("got error %v", err)
	}
	over = tight("p4", b)
	over.Node.Limits.Memory = 16 << 20
	if _, err := n.Prepare(t.Context(), over, 0); err == nil || !strings.Contains(err.Error(), "of memory are needed; node.limits.memory is 16MiB") {
		t.Errorf("got error %v", err)
	}
}

// A node that is shutting down accepts no change, and a change that is being prepared is rolled back.
func TestShutdownDuringChange(t *testing.T) {
	a := newTestServer(t, "a")
	silent := testpeer.NewAgent(t)
	silent.Tell(true, "")
	n, err := New(configWithPools(staticPool("p", a)), discardLog(), Options{schedule: &shutdownSchedule{stopAccepting: 300 * time.Millisecond, answerAll: time.Second, finish: testpeer.Limit}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- n.Run(ctx) }()
	wantServed(t, n, "main", "/view/k", "a")
	waiting := staticPool("p")
	waiting.Registry = &config.Registry{Address: silent.Address(), Mode: config.Pushed}
	prepared := make(chan error, 1)
	go func() {
		_, err := n.Prepare(t.Context(), configWithPools(waiting), testpeer.Limit)
		prepared <- err
	}()
	testpeer.Receive(t, silent.Queries, "the first request of the new watch")
	cancel()
	if err := testpeer.Receive(t, prepared, "the change"); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("got error %v, want ErrShuttingDown", err)
	}
	if _, err := n.Prepare(t.Context(), configWithPools(staticPool("q", a)), 0); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("got error %v, want ErrShuttingDown", err)
	}
	if err := testpeer.Receive(t, end, "the node to stop"); err != nil {
		t.Error(err)
	}
}

// A change that was prepared before the shutdown began is rolled back by Commit afterwards.
func TestCommitAfterShutdownChangesNothing(t *testing.T) {
	a, b := newTestServer(t, "a"), newTestServer(t, "b")
	n, err := New(configWithPools(staticPool("p", a)), discardLog(), Options{schedule: &shutdownSchedule{answerAll: time.Second, finish: testpeer.Limit}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- n.Run(ctx) }()
	c, err := n.Prepare(t.Context(), configWithPools(staticPool("q", b)), 0)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	testpeer.Until(t, "the shutdown to begin", func() bool {
		select {
		case <-n.draining:
			return true
		default:
			return false
		}
	})
	if err := c.Commit(); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("got error %v, want ErrShuttingDown", err)
	}
	if err := testpeer.Receive(t, end, "the node to stop"); err != nil {
		t.Error(err)
	}
}

// Listeners, pools and routes are added and removed under a load of view and note requests. Every request is answered once,
// no note runs twice, and none is lost.
func TestChangesUnderLoad(t *testing.T) {
	changes := 100
	if testing.Short() {
		changes = 30
	}
	var backends []*testpeer.FaultyServer
	var servers []*testpeer.Server
	for i := range 4 {
		b := testpeer.NewFaultyServer(testpeer.FaultyServerOptions{Name: fmt.Sprint("b", i), MeanServiceTime: 2 * time.Millisecond, Seed: uint64(i),
			Faults: testpeer.Faults{Fail: 0.01, Refuse: 0.02, Reset: 0.01, Cut: 0.005}})
		backends = append(backends, b)
		servers = append(servers, testpeer.NewServer(t, b.Serve))
	}
	one, two := testpeer.ClosedPort(t), testpeer.ClosedPort(t)
	configOf := func(i int) *config.Config {
		p := []config.Pool{staticPool("stays", servers[0], servers[1+i%3]), staticPool(fmt.Sprint("p", i/3), servers[2], servers[3])}
		p[0].MaxAttempts = 2 + i%3
		c := configWithPools(p...)
		c.Listeners = []config.Listener{{Name: "main", Address: one, Protocol: config.HTTP1, Paths: config.StrictPaths}}
		if i%40 < 20 {
			c.Listeners = append(c.Listeners, config.Listener{Name: fmt.Sprint("side", i%5), Address: two, Protocol: config.HTTP1, Paths: config.StrictPaths})
		}
		c.Routes = append(c.Routes, route.Route{Name: fmt.Sprint("r", i%2), Classes: []string{[]string{"view", "note"}[i%2]},
			To: []route.Target{{Pool: p[1].Name, Weight: 1 + i%3}, {Pool: "stays", Weight: 1}}})
		return c
	}
	n := startWithConfig(t, configOf(0), Options{})
	audit := testpeer.NewAudit()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		testpeer.Load{Audit: audit, Clients: 16, Addresses: func() []string { return []string{one, one, two} }, UnsafeShare: 0.5,
			Deadline: testpeer.Limit, Pause: time.Millisecond, Seed: 1}.Run(ctx)
		close(done)
	}()
	for i := 1; i <= changes; i++ {
		applyConfig(t, n, configOf(i))
		time.Sleep(5 * time.Millisecond) // serve for a moment between two changes
	}
	stop()
	testpeer.Receive(t, done, "the clients' last responses")
	testpeer.Until(t, "all retired pools to be closed", func() bool { return len(n.Retiring()) == 0 })
	verdict := audit.Check(backends...)
	for i, w := range verdict.Violations {
		if i < 10 {
			t.Error(w)
		}
	}
	if verdict.Requests < 500 || verdict.Served < verdict.Requests/2 {
		t.Errorf("got %d requests and %d served, want at least 500 and half of them served", verdict.Requests, verdict.Served)
	}
	t.Logf("%d changes; %d requests: %d served, %d rejected (%.2f %%), %d failed, %d not accepted", changes, verdict.Requests, verdict.Served, verdict.Refused,
		100*float64(verdict.Refused)/float64(verdict.Requests), verdict.Failed, verdict.NoResponse)
}

// A listener whose protocol changes while its accepts fail is switched at once, without waiting for an accept to succeed.
func TestListenerIsReleasedWhileAcceptsFail(t *testing.T) {
	ln := testpeer.NewFailingListener(t)
	cfg := func(protocol config.Protocol) *config.Config {
		c := configWithPools(staticPool("p", newTestServer(t, "a")))
		c.Listeners[0].Protocol = protocol
		return c
	}
	n := startWithConfig(t, cfg(config.HTTP1), Options{Listen: func(string, string) (net.Listener, error) { return ln, nil }})
	ln.AwaitAccept(t)
	ln.FailAlways(syscall.ENOMEM)
	c := testpeer.Dial(t, n.Addr("main"))
	c.Send("GET", "/view/k", "1", "", "60")
	c.Want(t, 200, "a")
	testpeer.Until(t, "accept failures", func() bool { return ln.Failed() > 3 })
	applyConfig(t, n, cfg(config.FastCGI))
	ln.FailAlways(nil)
	if got := requestFastCGI(t, n.Addr("main"), "GET", "/view/k", "1"); !strings.HasPrefix(got, "Status: 200") {
		t.Errorf("got FastCGI response %q, want status 200", got)
	}
}
