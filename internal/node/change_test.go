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
	first := ownConfig(pooled("pa", a))
	n := startOwn(t, first, Options{})
	wantServed(t, n, "main", "/view/k", "a")

	second := ownConfig(pooled("pa", a), pooled("pb", b))
	second.Listeners = append(second.Listeners, config.Listener{Name: "side", Address: "127.0.0.1:0", Protocol: config.HTTP1, Paths: config.StrictPaths})
	second.Listeners[0].Paths = config.StrictPaths
	second.Routes = append(second.Routes, route.Route{Name: "side", Listeners: []string{"side"}, To: []route.Target{{Pool: "pb", Weight: 1}}},
		route.Route{Name: "notes", Paths: []string{"/note/b/*"}, To: []route.Target{{Pool: "pb", Weight: 1}}})
	main := n.Addr("main")
	kept := testpeer.Dial(t, main)
	kept.Get("kept")
	kept.Want(t, 200, "a")
	opened := a.Opened()
	change(t, n, second)
	if n.Addr("main") != main {
		t.Errorf("the listener moved from %s to %s", main, n.Addr("main"))
	}
	wantServed(t, n, "main", "/view/k", "a")
	wantServed(t, n, "main", "/note/b/k", "b")
	wantServed(t, n, "side", "/view/k", "b")
	kept.Get("kept again") // a client's connection stays with its listener
	kept.Want(t, 200, "a")
	if a.Opened() != opened {
		t.Errorf("%d more connections to a server of a pool that stayed", a.Opened()-opened)
	}

	side := n.Addr("side")
	change(t, n, ownConfig(pooled("pb", b)))
	wantServed(t, n, "main", "/view/k", "b")
	testpeer.Until(t, "the removed listener to close", func() bool {
		nc, err := net.Dial("tcp", side)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	testpeer.Until(t, "the removed pool to go", func() bool { return len(n.StillDraining()) == 0 })
}

// A pool that stays keeps its Balancer, which goes on from what it learned; what is new in its list is taken
// as fresh, what stays is not.
func TestUnchangedPoolKeepsItsBalancer(t *testing.T) {
	a, b := newTestServer(t, "a"), newTestServer(t, "b")
	n := startOwn(t, ownConfig(pooled("p", a)), Options{})
	wantServed(t, n, "main", "/view/k", "a")
	was := n.pools["p"]
	next := ownConfig(pooled("p", a, b))
	next.Pools[0].MaxAttempts, next.Pools[0].SlowStart = 2, config.SlowStart{Minimum: 0.2, Window: config.Duration(time.Hour)}
	change(t, n, next)
	if n.pools["p"] != was || was.engine.Status().Requests != 1 {
		t.Error("the pool was made anew")
	}
	if s0, s1 := was.static["s0"], was.static["s1"]; s0.Boot != 0 || s1.Boot == 0 {
		t.Errorf("started at %v and %v", s0.Boot, s1.Boot)
	}
	fresh := was.static["s1"].Boot
	next = ownConfig(pooled("p", a, b))
	next.Pools[0].Servers[0].Address, next.Pools[0].Servers[1].Address = b.Address(), a.Address()
	change(t, n, next)
	if s0, s1 := was.static["s0"], was.static["s1"]; s0.Boot == 0 || s1.Boot <= fresh {
		t.Errorf("after another address: started at %v and %v", s0.Boot, s1.Boot)
	}
}

// What a removed pool has out is answered once, by what sent it; an unsafe request is never sent to the new one.
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
	n := startOwn(t, ownConfig(pooled("p1", old)), Options{})
	served, broken := testpeer.Dial(t, n.Addr("main")), testpeer.Dial(t, n.Addr("main"))
	served.Send("POST", "/note/k", "serve", "x", "60")
	broken.Send("POST", "/note/k", "break", "x", "60")
	testpeer.Receive(t, got, "an attempt")
	testpeer.Receive(t, got, "an attempt")
	change(t, n, ownConfig(pooled("p2", next)))
	wantServed(t, n, "main", "/note/k", "new")
	if d := n.StillDraining(); len(d) != 1 || d[0] != "pool p1" {
		t.Errorf("still draining: %v", d)
	}
	close(hold)
	served.Want(t, 200, "old")
	broken.Want(t, http.StatusBadGateway, "")
	testpeer.Until(t, "the old pool to go", func() bool { return len(n.StillDraining()) == 0 })
	if next.Seen() != 1 || old.Seen() != 2 {
		t.Errorf("%d calls at the new server, %d at the old", next.Seen(), old.Seen())
	}
}

// A class that turns unsafe while its requests are out: none is sent again, be its pool one that stays or goes.
func TestClassBecomesUnsafe(t *testing.T) {
	for _, pool := range []string{"p", "another"} {
		hold, got := make(chan struct{}), make(chan struct{}, 10)
		s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
			got <- struct{}{}
			<-hold
			return false
		})
		other := newTestServer(t, "other")
		n := startOwn(t, ownConfig(pooled("p", s)), Options{})
		c := testpeer.Dial(t, n.Addr("main"))
		c.Get("view")
		testpeer.Receive(t, got, "the attempt")
		next := ownConfig(pooled(pool, s, other))
		next.Classes[0].Effect = config.Unsafe
		change(t, n, next)
		close(hold)
		c.Want(t, http.StatusBadGateway, "")
		if s.Seen() != 1 || other.Seen() != 0 {
			t.Errorf("pool %s: %d and %d attempts, want one", pool, s.Seen(), other.Seen())
		}
	}
}

// An address can pass from one listener to another, or two can change places, and no client is rejected.
func TestListenersExchangeAddresses(t *testing.T) {
	a, b := newTestServer(t, "a"), newTestServer(t, "b")
	free := func() string { return testpeer.ClosedPort(t) }
	one, two := free(), free()
	cfg := func(first, second string) *config.Config {
		c := ownConfig(pooled("pa", a), pooled("pb", b))
		c.Listeners = []config.Listener{{Name: first, Address: one, Protocol: config.HTTP1, Paths: config.StrictPaths},
			{Name: second, Address: two, Protocol: config.HTTP1, Paths: config.StrictPaths}}
		c.Routes = append(c.Routes, route.Route{Name: "y", Listeners: []string{"y"}, To: []route.Target{{Pool: "pb", Weight: 1}}})
		return c
	}
	n := startOwn(t, cfg("x", "y"), Options{})
	at := func(address, by string) {
		t.Helper()
		if status, body := ask(t, address, "GET", "/view/k"); status != 200 || body != by {
			t.Errorf("%s: %d %q, want it served by %s", address, status, body, by)
		}
	}
	at(one, "a")
	at(two, "b")
	onX := testpeer.Dial(t, one)
	onX.Get("before")
	onX.Want(t, 200, "a")
	change(t, n, cfg("y", "x"))
	at(one, "b")
	at(two, "a")
	onX.Get("after") // it is x's client still
	onX.Want(t, 200, "a")
	change(t, n, cfg("z", "y"))
	at(one, "a")
	at(two, "b")
	onX.WantClosed(t, "an idle connection of a listener that has gone")
}

// A registry that never answers, or lists nobody, fails the change within its time; one that answers is
// waited for.
func TestChangeWaitsForEndpointLists(t *testing.T) {
	a := newTestServer(t, "a")
	n := startOwn(t, ownConfig(pooled("p", a)), Options{})
	silent, empty, late := testpeer.NewAgent(t), testpeer.NewAgent(t), testpeer.NewAgent(t)
	silent.Tell(true, "")
	empty.Tell(false, testpeer.Whole(testpeer.Entry("a", a.Address(), "terminating")))
	late.Tell(true, "")
	with := func(name string, at *testpeer.Agent) *config.Config {
		p := pooled(name)
		p.Registry = &config.Registry{Address: at.Address(), Mode: config.Pushed}
		return ownConfig(p)
	}
	for _, name := range []string{"p", "new"} {
		for _, c := range []struct {
			at   *testpeer.Agent
			want string
		}{{silent, "has not answered with a list within"}, {empty, "lists no server in service"}} {
			if _, err := n.Prepare(t.Context(), with(name, c.at), 200*time.Millisecond); err == nil ||
				!strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), fmt.Sprintf("pool %q", name)) {
				t.Errorf("%v, want %q", err, c.want)
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
	testpeer.Until(t, "the change to be under way", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.change != nil
	})
	cancel()
	if err := testpeer.Receive(t, stopped, "its end"); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	done := make(chan error, 1)
	go func() {
		c, err := n.Prepare(t.Context(), with("p", late), testpeer.Limit)
		if err == nil {
			err = c.Commit()
		}
		done <- err
	}()
	testpeer.Receive(t, late.Asked, "a call")
	late.Tell(false, testpeer.Whole(testpeer.Entry("a", a.Address(), "in_service")))
	if err := testpeer.Receive(t, done, "the change"); err != nil {
		t.Error(err)
	}
	wantServed(t, n, "main", "/view/k", "a")
}

// A registry that is asked and refuses the first request of a change, as one that is crowded does, is asked again: also where
// the change does not wait for its list, and no engine has heard of the failure.
func TestRegistryIsRetriedAfterRejectedSubscription(t *testing.T) {
	a, b := newTestServer(t, "a"), newTestServer(t, "b")
	for _, wait := range []time.Duration{testpeer.Limit, 0} {
		var requests atomic.Int64
		refused := make(chan struct{})
		registry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch requests.Add(1) {
			case 1:
				w.WriteHeader(http.StatusServiceUnavailable)
				close(refused)
			case 2:
				fmt.Fprintf(w, testpeer.Whole(testpeer.Entry("b", b.Address(), "in_service")), 1)
			default:
				<-r.Context().Done()
			}
		}))
		t.Cleanup(registry.Close)
		n := startOwn(t, ownConfig(pooled("p", a)), Options{})
		p := pooled("p")
		p.Registry = &config.Registry{Address: registry.Listener.Addr().String(), Mode: config.Polled, PollInterval: config.Duration(10 * time.Second)}
		c, err := n.Prepare(t.Context(), ownConfig(p), wait)
		if err != nil {
			t.Errorf("waiting for the list %v: %v", wait, err)
			continue
		}
		testpeer.Receive(t, refused, "the refusal")
		watch := c.updates[0].source.relay
		if err := c.Commit(); err != nil {
			t.Fatal(err)
		}
		testpeer.Receive(t, watch.listed, "the list")
		testpeer.Until(t, "the new server to be used", func() bool {
			_, body := ask(t, n.Addr("main"), "GET", "/view/k")
			return body == "b"
		})
	}
}

// What a change needs is held against the limits, with what retiring pools still have open.
func TestDescriptorsOfRetiringPoolsCount(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 10)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		<-hold
		return testpeer.Reply200(c, "held")
	})
	b := newTestServer(t, "b")
	tight := func(name string, s *testpeer.Server) *config.Config {
		c := ownConfig(pooled(name, s))
		c.Pools[0].Connections.Max = (512 - config.ReservedDescriptors) / 2
		return c
	}
	n := startOwn(t, tight("p1", s), Options{})
	c := testpeer.Dial(t, n.Addr("main"))
	c.Get("held")
	testpeer.Receive(t, got, "the attempt")
	change(t, n, tight("p2", b))
	_, err := n.Prepare(t.Context(), tight("p3", b), testpeer.Limit)
	if err == nil || !strings.Contains(err.Error(), "513 descriptors are needed, 1 of them until pools that are being retired") {
		t.Errorf("%v", err)
	}
	close(hold)
	c.Want(t, 200, "held")
	testpeer.Until(t, "the old pool to go", func() bool { return len(n.StillDraining()) == 0 })
	change(t, n, tight("p3", b))
	wantServed(t, n, "main", "/view/k", "b")
	over := tight("p4", b)
	over.Pools[0].Connections.Max++
	if _, err := n.Prepare(t.Context(), over, 0); err == nil || !strings.Contains(err.Error(), "514 descriptors are needed") {
		t.Errorf("%v", err)
	}
	over = tight("p4", b)
	over.Node.Limits.Memory = 16 << 20
	if _, err := n.Prepare(t.Context(), over, 0); err == nil || !strings.Contains(err.Error(), "of memory are needed; node.limits.memory is 16MiB") {
		t.Errorf("%v", err)
	}
}

// A node that ends takes no change any more, and one that is being prepared is undone.
func TestShutdownDuringChange(t *testing.T) {
	a := newTestServer(t, "a")
	silent := testpeer.NewAgent(t)
	silent.Tell(true, "")
	n, err := New(ownConfig(pooled("p", a)), quiet(), Options{schedule: &shutdownSchedule{stopAccepting: 300 * time.Millisecond, answerAll: time.Second, finish: testpeer.Limit}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- n.Run(ctx) }()
	wantServed(t, n, "main", "/view/k", "a")
	waiting := pooled("p")
	waiting.Registry = &config.Registry{Address: silent.Address(), Mode: config.Pushed}
	prepared := make(chan error, 1)
	go func() {
		_, err := n.Prepare(t.Context(), ownConfig(waiting), testpeer.Limit)
		prepared <- err
	}()
	testpeer.Receive(t, silent.Asked, "the watch that is tried")
	cancel()
	if err := testpeer.Receive(t, prepared, "the change"); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("%v", err)
	}
	if _, err := n.Prepare(t.Context(), ownConfig(pooled("q", a)), 0); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("%v", err)
	}
	if err := testpeer.Receive(t, end, "the node's end"); err != nil {
		t.Error(err)
	}
}

// A change that was prepared before the end began is undone, not committed, after it.
func TestCommitAfterShutdownChangesNothing(t *testing.T) {
	a, b := newTestServer(t, "a"), newTestServer(t, "b")
	n, err := New(ownConfig(pooled("p", a)), quiet(), Options{schedule: &shutdownSchedule{answerAll: time.Second, finish: testpeer.Limit}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- n.Run(ctx) }()
	c, err := n.Prepare(t.Context(), ownConfig(pooled("q", b)), 0)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	testpeer.Until(t, "the end to begin", func() bool {
		select {
		case <-n.draining:
			return true
		default:
			return false
		}
	})
	if err := c.Commit(); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("%v", err)
	}
	if err := testpeer.Receive(t, end, "the node's end"); err != nil {
		t.Error(err)
	}
}

// Under a load of views and notes, listeners, pools and routes come and go: every request is answered once, no
// note runs twice, none is lost.
func TestChangesUnderLoad(t *testing.T) {
	changes := 100
	if testing.Short() {
		changes = 30
	}
	var boxes []*testpeer.Box
	var servers []*testpeer.Server
	for i := range 4 {
		b := testpeer.NewBox(testpeer.BoxOptions{Name: fmt.Sprint("b", i), Service: 2 * time.Millisecond, Seed: uint64(i),
			Faults: testpeer.Faults{Fail: 0.01, Refuse: 0.02, Reset: 0.01, Cut: 0.005}})
		boxes = append(boxes, b)
		servers = append(servers, testpeer.NewServer(t, b.Serve))
	}
	one, two := testpeer.ClosedPort(t), testpeer.ClosedPort(t)
	configOf := func(i int) *config.Config {
		p := []config.Pool{pooled("stays", servers[0], servers[1+i%3]), pooled(fmt.Sprint("p", i/3), servers[2], servers[3])}
		p[0].MaxAttempts = 2 + i%3
		c := ownConfig(p...)
		c.Listeners = []config.Listener{{Name: "main", Address: one, Protocol: config.HTTP1, Paths: config.StrictPaths}}
		if i%40 < 20 {
			c.Listeners = append(c.Listeners, config.Listener{Name: fmt.Sprint("side", i%5), Address: two, Protocol: config.HTTP1, Paths: config.StrictPaths})
		}
		c.Routes = append(c.Routes, route.Route{Name: fmt.Sprint("r", i%2), Classes: []string{[]string{"view", "note"}[i%2]},
			To: []route.Target{{Pool: p[1].Name, Weight: 1 + i%3}, {Pool: "stays", Weight: 1}}})
		return c
	}
	n := startOwn(t, configOf(0), Options{})
	audit := testpeer.NewAudit()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		testpeer.Load{Audit: audit, Callers: 16, Addresses: func() []string { return []string{one, one, two} }, Notes: 0.5,
			Deadline: testpeer.Limit, Pause: time.Millisecond, Seed: 1}.Run(ctx)
		close(done)
	}()
	for i := 1; i <= changes; i++ {
		change(t, n, configOf(i))
		time.Sleep(5 * time.Millisecond) // a moment of service between two changes
	}
	stop()
	testpeer.Receive(t, done, "the clients' last responses")
	testpeer.Until(t, "all retired pools to go", func() bool { return len(n.StillDraining()) == 0 })
	v := audit.Judge(boxes...)
	for i, w := range v.Wrong {
		if i < 10 {
			t.Error(w)
		}
	}
	if v.Calls < 500 || v.Served < v.Calls/2 {
		t.Errorf("only %d calls, %d served", v.Calls, v.Served)
	}
	t.Logf("%d changes; %d calls: %d served, %d refused (%.2f %%), %d failed, %d not taken", changes, v.Calls, v.Served, v.Refused,
		100*float64(v.Refused)/float64(v.Calls), v.Failed, v.NotTaken)
}

// A listener that gets another protocol while its accepts fail goes over to it, without a wait for better times.
func TestListenerIsReleasedWhileAcceptsFail(t *testing.T) {
	ln := testpeer.NewFailingListener(t)
	cfg := func(protocol config.Protocol) *config.Config {
		c := ownConfig(pooled("p", newTestServer(t, "a")))
		c.Listeners[0].Protocol = protocol
		return c
	}
	n := startOwn(t, cfg(config.HTTP1), Options{Listen: func(string, string) (net.Listener, error) { return ln, nil }})
	ln.AwaitAccept(t)
	ln.FailAlways(syscall.ENOMEM)
	c := testpeer.Dial(t, n.Addr("main"))
	c.Send("GET", "/view/k", "1", "", "60")
	c.Want(t, 200, "a")
	testpeer.Until(t, "failures", func() bool { return ln.Failed() > 3 })
	change(t, n, cfg(config.FastCGI))
	ln.FailAlways(nil)
	if got := askFastCGI(t, n.Addr("main"), "GET", "/view/k", "1"); !strings.HasPrefix(got, "Status: 200") {
		t.Errorf("%q", got)
	}
}
