package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/route"
	"damsontrestle/internal/testpeer"
)

// newTestServer starts a server that responds with its name.
func newTestServer(t *testing.T, name string) *testpeer.Server {
	return testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool { return testpeer.Reply200(c, name) })
}

// staticPool returns a pool whose endpoint list is in the configuration.
func staticPool(name string, servers ...*testpeer.Server) config.Pool {
	p := testpeer.Config().Pools[0]
	p.Name, p.Registry, p.Connections.Max = name, nil, 40
	for i, s := range servers {
		p.Servers = append(p.Servers, config.Server{Name: fmt.Sprint("s", i), Address: s.Address(), Size: 1, State: config.Ready})
	}
	return p
}

// configWithPools returns a configuration with one listener and these pools. All requests are routed to the first pool.
func configWithPools(pools ...config.Pool) *config.Config {
	cfg := testpeer.Config()
	cfg.Node.Limits.Descriptors = 512
	cfg.Pools = pools
	cfg.Routes = []route.Route{defaultTo(pools[0].Name)}
	return cfg
}

func defaultTo(pool string) route.Route {
	return route.Route{Name: "default", Default: true, To: []route.Target{{Pool: pool, Weight: 1}}}
}

// startWithConfig runs a node with a configuration until the test ends.
func startWithConfig(t *testing.T, cfg *config.Config, o Options) *Node {
	var noSettle time.Duration // so that tests can count connections
	o.settle = &noSettle
	t.Helper()
	if err := cfg.Check().Err(); err != nil {
		t.Fatal(err)
	}
	if o.schedule == nil {
		o.schedule = &shutdownSchedule{answerAll: 100 * time.Millisecond, finish: testpeer.Limit}
	}
	n, err := New(cfg, discardLog(), o)
	if err != nil {
		t.Fatal(err)
	}
	runUntilEnd(t, n)
	return n
}

// runUntilEnd runs a node until the test ends.
func runUntilEnd(t testing.TB, n *Node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := testpeer.Receive(t, end, "the node's end"); err != nil {
			t.Error(err)
		}
	})
}

// applyConfig replaces the node's configuration.
func applyConfig(t *testing.T, n *Node, cfg *config.Config) {
	t.Helper()
	if err := cfg.Check().Err(); err != nil {
		t.Fatal(err)
	}
	c, err := n.Prepare(t.Context(), cfg, testpeer.Limit)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Commit(); err != nil {
		t.Fatal(err)
	}
}

// sendRequest sends a request on a new connection and returns the response. The status is 0 if the connection fails.
func sendRequest(t *testing.T, address, method, target string) (status int, body string) {
	t.Helper()
	probe, err := net.Dial("tcp", address)
	if err != nil {
		return 0, ""
	}
	probe.Close()
	client := testpeer.Dial(t, address)
	defer client.Close()
	client.Send(method, target, fmt.Sprint("ask-", rand.Uint64()), "x", "60")
	response, body := client.ReadResponse(t)
	return response.StatusCode, body
}

func wantServed(t *testing.T, n *Node, listener, target, server string) {
	t.Helper()
	method := "GET"
	if strings.HasPrefix(target, "/note") {
		method = "POST"
	}
	if status, body := sendRequest(t, n.Addr(listener), method, target); status != 200 || body != server {
		t.Errorf("%s at listener %s: got %d %q, want 200 from server %q", target, listener, status, body, server)
	}
}
