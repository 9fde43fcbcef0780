package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/upstream"
)

// testNodeConfig is the configuration, known list and options of a test node.
type testNodeConfig struct {
	*config.Config
	Known   string
	Options Options
}

// registry returns the registry address of the only pool.
func (n testNodeConfig) registry() *string { return &n.Pools[0].Registry.Address }

func testConfig(known string) testNodeConfig {
	return testNodeConfig{Known: strings.Replace(known, "%d", "1", 1), Config: testpeer.Config()}
}

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// startNode runs a node until the test ends, or until the returned function is called.
func startNode(t *testing.T, cfg testNodeConfig, change func(*Node)) (n *Node, stop func() error) {
	t.Helper()
	n, err := NewPlatform(cfg.Config, config.InitialState{Seed: 1, EndpointList: []byte(cfg.Known)}, discardLog(), cfg.Options)
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- n.Run(ctx) }()
	var once sync.Once
	stop = func() (err error) {
		once.Do(func() { cancel(); err = testpeer.Receive(t, end, "the node to stop") })
		return err
	}
	t.Cleanup(func() { stop() })
	return n, stop
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	a, b := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, testpeer.Echo)
	agent := testpeer.NewAgent(t)
	list := testpeer.FullSnapshot(testpeer.Entry("s1", a.Address(), "in_service"), testpeer.Entry("s2", b.Address(), "in_service"))
	agent.Tell(false, list)
	cfg := testConfig(list)
	*cfg.registry() = agent.Address()
	n, _ := startNode(t, cfg, nil)
	if got := n.limitsOf(cfg.Config, cfg.Pools[0]).SettleDelay; got != upstream.DefaultSettleDelay {
		t.Errorf("got settle time %v", got)
	}
	c := testpeer.Dial(t, n.Addr("main"))
	i := 0
	send := func() {
		i++
		c.Get(fmt.Sprint("r", i))
		c.Want(t, 200, fmt.Sprint("for r", i))
	}
	awaitPoll := func() {
		for revision := agent.Rev(); !strings.Contains(testpeer.Receive(t, agent.Queries, "the next watch"), fmt.Sprint("from=", revision)); {
		}
	}
	awaitPoll()
	for a.RequestCount() == 0 || b.RequestCount() == 0 {
		send()
	}
	for _, state := range []string{"terminating", "terminated"} {
		agent.Tell(false, `{"rev":%d,"all":false,"targets":[`+testpeer.Entry("s1", a.Address(), state)+`]}`)
		awaitPoll()
		testpeer.Until(t, "the idle connections to be closed", func() bool { return a.OpenConnections() == 0 })
		before := a.RequestCount()
		for range 30 {
			send()
		}
		if a.RequestCount() != before {
			t.Errorf("%s: got %d requests at the server, want 0", state, a.RequestCount()-before)
		}
	}
}

// An agent that was silent may never answer the pending request, so the node has to send a new one.
func TestSilentDiscoveryIsPolledAgain(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	agent := testpeer.NewAgent(t)
	agent.Tell(true, "")
	cfg := testConfig(testpeer.FullSnapshot())
	*cfg.registry() = agent.Address()
	cfg.Options.configureWatch = func(w *discovery.Watch) { w.LongPollTimeout, w.Grace = 20*time.Millisecond, 20*time.Millisecond }
	n, _ := startNode(t, cfg, nil)
	for range 3 {
		if q := testpeer.Receive(t, agent.Queries, "a watch"); q != "" { // requests the full list, whatever list is known
			t.Fatalf("got query %q", q)
		}
	}
	c := testpeer.Dial(t, n.Addr("main"))
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Want(t, 503, "")
	agent.Tell(false, testpeer.FullSnapshot(testpeer.Entry("s1", s.Address(), "in_service")))
	testpeer.Until(t, "readiness", func() bool {
		fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		r, _ := c.ReadResponse(t)
		return r.StatusCode == 200
	})
	c.Get("late")
	c.Want(t, 200, "for late")
}

// After a reload the node polls the new registry address at once, even if a request to the old address is pending. It does
// not use the old registry's revision there.
func TestReloadChangesRegistryAddress(t *testing.T) {
	a, b := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, testpeer.Echo)
	old, next := testpeer.NewAgent(t), testpeer.NewAgent(t)
	old.SetRev(1000)
	old.Tell(false, testpeer.FullSnapshot(testpeer.Entry("s1", a.Address(), "in_service")))
	next.Tell(false, testpeer.FullSnapshot(testpeer.Entry("s2", b.Address(), "in_service")))
	cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", a.Address(), "in_service")))
	*cfg.registry() = old.Address()
	cfg.Options.configureWatch = func(w *discovery.Watch) { w.LongPollTimeout = testpeer.Limit }
	n, _ := startNode(t, cfg, nil)
	for !strings.Contains(testpeer.Receive(t, old.Queries, "the watch"), "from=1001&") {
	}
	c := testpeer.Dial(t, n.Addr("main"))
	c.Get("before")
	c.Want(t, 200, "for before")
	n.Reload(cfg.Config) // same address: no effect
	moved := testConfig("")
	*moved.registry() = next.Address()
	n.Reload(moved.Config)
	if q := testpeer.Receive(t, next.Queries, "the full snapshot"); q != "" {
		t.Errorf("got query %q at the new address, want the full snapshot", q)
	}
	if q := testpeer.Receive(t, next.Queries, "the watch"); !strings.HasPrefix(q, fmt.Sprintf("from=%d&", next.Rev())) {
		t.Errorf("got query %q", q)
	}
	if len(old.Queries) > 0 {
		t.Errorf("got query %q at the old address after the reload", <-old.Queries)
	}
	before := a.RequestCount()
	for i := range 20 { // on the same connection
		c.Get(fmt.Sprint("after-", i))
		c.Want(t, 200, fmt.Sprint("for after-", i))
	}
	if a.RequestCount() != before || b.RequestCount() != 20 {
		t.Errorf("got %d requests at the old server and %d at the new one, want 0 and 20", a.RequestCount()-before, b.RequestCount())
	}
}

func TestShutdownAnswersAllAcceptedRequests(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	s := testpeer.NewServer(t, testpeer.HoldRequest(hold, got))
	n, stop := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", s.Address(), "in_service"))), func(n *Node) {
		n.options.schedule = &shutdownSchedule{stopAccepting: time.Second, closeConnections: 2 * time.Second, answerAll: testpeer.Limit, finish: 2 * testpeer.Limit}
	})
	idle, held, mute := testpeer.Dial(t, n.Addr("main")), testpeer.Dial(t, n.Addr("main")), testpeer.Dial(t, n.Addr("main"))
	idle.Get("before")
	idle.Want(t, 200, "for before")
	held.Get("held")
	testpeer.Receive(t, got, "the attempt")
	end := make(chan error, 1)
	go func() { end <- stop() }()
	testpeer.Until(t, "health checks to fail", func() bool {
		probe := testpeer.Dial(t, n.Addr("main"))
		defer probe.Close()
		fmt.Fprint(probe, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		r, _ := probe.ReadResponse(t)
		return r.StatusCode == http.StatusServiceUnavailable && r.Close
	})
	idle.Get("during") // open connections are still served for a while
	idle.Want(t, 200, "for during")
	late := testpeer.Dial(t, n.Addr("main")) // new connections are still accepted for a while
	late.Get("late")
	r, body := late.ReadResponse(t)
	if r.StatusCode != 200 || body != "for late" {
		t.Errorf("late request: got %d %q", r.StatusCode, body)
	}
	idle.WantClosed(t, "an idle connection in the shutdown")
	close(hold)
	if r, body := held.ReadResponse(t); r.StatusCode != 200 || body != "for held" || !r.Close {
		t.Errorf("held request: got %d %q, close %v; want 200, close true", r.StatusCode, body, r.Close)
	}
	mute.WantClosed(t, "a connection that never sent a request")
	if err := testpeer.Receive(t, end, "the node to stop"); err != nil {
		t.Error(err)
	}
}

// Requests that no server answers before the node would be killed still get a final response.
func TestShutdownAnswersInFlightRequests(t *testing.T) {
	got := make(chan struct{}, 1)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		io.Copy(io.Discard, c) // never answers
		return false
	})
	n, stop := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", s.Address(), "in_service"))), func(n *Node) {
		n.options.schedule = &shutdownSchedule{answerAll: 500 * time.Millisecond, finish: testpeer.Limit}
	})
	c := testpeer.Dial(t, n.Addr("main"))
	c.Send("POST", "/note/k", "held", "x", "60")
	testpeer.Receive(t, got, "the attempt")
	end := make(chan error, 1)
	go func() { end <- stop() }()
	c.Want(t, http.StatusBadGateway, "")
	if err := testpeer.Receive(t, end, "the node to stop"); err != nil {
		t.Error(err)
	}
}

// A client that does not close its connection after its last response does not delay the shutdown, nor does one that never
// completes its request: no response is owed to them.
func TestIdleClientsDoNotDelayShutdown(t *testing.T) {
	for name, text := range map[string]string{
		"open after the response":       "",
		"half a head":                   "GET /view/k HTTP/1.1\r\nX-Req",
		"half a body":                   "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\nContent-Length: 9\r\n\r\nhal",
		"half a head after the request": "and half a request",
	} {
		t.Run(name, func(t *testing.T) {
			hold, got := make(chan struct{}), make(chan struct{}, 1)
			defer close(hold)
			s := testpeer.NewServer(t, testpeer.HoldRequest(hold, got))
			agent := testpeer.NewAgent(t)
			agent.Tell(false, testpeer.FullSnapshot(testpeer.Entry("s1", s.Address(), "in_service")))
			cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", s.Address(), "in_service")))
			*cfg.registry() = agent.Address()
			cfg.Options.schedule = &shutdownSchedule{stopAccepting: time.Millisecond, closeConnections: time.Millisecond, answerAll: 500 * time.Millisecond, finish: 800 * time.Millisecond}
			n, stop := startNode(t, cfg, nil)
			c, half := testpeer.Dial(t, n.Addr("main")), testpeer.Dial(t, n.Addr("main"))
			c.Get("held")
			testpeer.Receive(t, got, "the attempt")
			if name == "half a head after the request" {
				io.WriteString(c, "GET /vi")
			} else {
				io.WriteString(half, text)
			}
			end := make(chan error, 1)
			go func() { end <- stop() }()
			if r, _ := c.ReadResponse(t); r.StatusCode != 502 {
				t.Errorf("got status %d, want 502", r.StatusCode)
			}
			if err := testpeer.Receive(t, end, "the node to stop"); err != nil {
				t.Error(err)
			}
		})
	}
}

// A malformed list is dropped completely, and the full list is requested again.
func TestMalformedListKeepsPreviousOne(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	agent := testpeer.NewAgent(t)
	cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", s.Address(), "in_service")))
	*cfg.registry() = agent.Address()
	n, _ := startNode(t, cfg, nil)
	testpeer.Receive(t, agent.Queries, "the first watch")
	agent.Tell(false, `{"rev":%d,"all":true,"targets":[`+testpeer.Entry("s1", s.Address(), "terminated")+`,{"uid":""}]}`)
	if q := testpeer.Receive(t, agent.Queries, "the request after the malformed list"); q != "" {
		t.Errorf("got query %q, want the full snapshot", q)
	}
	c := testpeer.Dial(t, n.Addr("main"))
	c.Get("r")
	c.Want(t, 200, "for r")
}
