package node

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"damsontrestle/internal/config"
	"damsontrestle/internal/route"
	"damsontrestle/internal/testpeer"
)

// openFiles returns the number of open files of the process.
func openFiles(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// A fault at any point before the commit rolls back the complete change: the node serves requests as before, no descriptor
// and no goroutine is left, and the same change succeeds afterwards.
func TestChangeRollsBackOnEveryFault(t *testing.T) {
	a, b := newTestServer(t, "a"), newTestServer(t, "b")
	agent, other := testpeer.NewAgent(t), testpeer.NewAgent(t)
	agent.Tell(false, testpeer.FullSnapshot(testpeer.Entry("a", a.Address(), "in_service")))
	other.Tell(false, testpeer.FullSnapshot(testpeer.Entry("b", b.Address(), "in_service")))
	registered := func(name string, at *testpeer.Agent) config.Pool {
		p := staticPool(name)
		p.Registry = &config.Registry{Address: at.Address(), Mode: config.Pushed}
		return p
	}
	first := func() *config.Config { return configWithPools(staticPool("p1", a), registered("p2", agent)) }
	second := func() *config.Config {
		c := configWithPools(staticPool("p1", b), registered("p2", other), staticPool("p3", b), registered("p4", other))
		c.Listeners = append(c.Listeners, config.Listener{Name: "l2", Address: "127.0.0.1:0", Protocol: config.HTTP1, Paths: config.StrictPaths},
			config.Listener{Name: "l3", Address: "127.0.0.1:0", Protocol: config.HTTP1, Paths: config.StrictPaths})
		c.Routes = append(c.Routes, route.Route{Name: "r2", Paths: []string{"/view/2/*"}, To: []route.Target{{Pool: "p2", Weight: 1}}},
			route.Route{Name: "r3", Paths: []string{"/view/3/*"}, To: []route.Target{{Pool: "p3", Weight: 1}}},
			route.Route{Name: "r4", Paths: []string{"/view/4/*"}, To: []route.Target{{Pool: "p4", Weight: 1}}})
		for i := range c.Listeners {
			c.Listeners[i].Paths = config.StrictPaths
		}
		return c
	}
	var (
		mu     sync.Mutex
		points []string
		failAt int
	)
	injected := errors.New("injected")
	fault := func(point string) error {
		mu.Lock()
		defer mu.Unlock()
		points = append(points, point)
		if failAt > 0 && len(points) == failAt {
			return injected
		}
		return nil
	}
	reset := func(at int) {
		mu.Lock()
		defer mu.Unlock()
		points, failAt = nil, at
	}
	n := startWithConfig(t, func() *config.Config {
		c := first()
		c.Routes = append(c.Routes, route.Route{Name: "r2", Classes: []string{"view"}, Hosts: []string{"two"}, To: []route.Target{{Pool: "p2", Weight: 1}}})
		return c
	}(), Options{Fault: fault})
	if err := second().Check().Err(); err != nil {
		t.Fatal(err)
	}
	wantUnchanged := func(what string) {
		t.Helper()
		wantServed(t, n, "main", "/view/k", "a")
		wantServed(t, n, "main", "/view/4/k", "a")
		wantServed(t, n, "main", "/note/k", "a")
		if n.Addr("l2") != "" || len(n.pools) != 2 || n.Config().Fingerprint() == second().Fingerprint() {
			t.Errorf("%s: change is partly applied", what)
		}
	}
	wantUnchanged("before")
	// Prepare once without a fault and without a commit, to count the fault points.
	reset(0)
	c, err := n.Prepare(t.Context(), second(), testpeer.Limit)
	if err != nil {
		t.Fatal(err)
	}
	wantUnchanged("prepared")
	if _, err := n.Prepare(t.Context(), second(), testpeer.Limit); !errors.Is(err, ErrBusy) {
		t.Errorf("second Prepare during a change: got error %v, want ErrBusy", err)
	}
	c.Undo()
	all := points
	if len(all) < 14 {
		t.Fatalf("got %d fault points, want at least 14: %v", len(all), all)
	}
	wantUnchanged("undone")
	known, files := goleak.IgnoreCurrent(), openFiles(t)
	for i, point := range all {
		reset(i + 1)
		_, err := n.Prepare(t.Context(), second(), testpeer.Limit)
		if !errors.Is(err, injected) {
			t.Fatalf("fault at %q: got error %v", point, err)
		}
		reset(0)
		wantUnchanged(point)
		testpeer.Until(t, "resources of the change that failed at "+point+" to be released", func() bool {
			return openFiles(t) <= files && goleak.Find(known) == nil
		})
	}
	t.Logf("injected a fault at each of %d points: %s", len(all), strings.Join(all, ", "))
	applyConfig(t, n, second())
	wantServed(t, n, "main", "/view/k", "b")
	wantServed(t, n, "l3", "/view/2/k", "b")
	wantServed(t, n, "l2", "/view/4/k", "b")
}

func TestPortInUseIsReportedAndRolledBack(t *testing.T) {
	a := newTestServer(t, "a")
	n := startWithConfig(t, configWithPools(staticPool("p", a)), Options{})
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	free := testpeer.ClosedPort(t)
	next := configWithPools(staticPool("p", a))
	next.Listeners = append(next.Listeners,
		config.Listener{Name: "l2", Address: free, Protocol: config.HTTP1, Paths: config.StrictPaths},
		config.Listener{Name: "l3", Address: taken.Addr().String(), Protocol: config.HTTP1, Paths: config.StrictPaths})
	_, err = n.Prepare(t.Context(), next, testpeer.Limit)
	if err == nil || !strings.Contains(err.Error(), `listener "l3": `+taken.Addr().String()+": address already in use") {
		t.Errorf("got error %v, want address in use", err)
	}
	if status, _ := sendRequest(t, free, "GET", "/view/k"); status != 0 {
		t.Error("the listener that was opened before the failed one is still open")
	}
	wantServed(t, n, "main", "/view/k", "a")
}
