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

// newTestServer starts a server that answers with a name.
func newTestServer(t *testing.T, name string) *testpeer.Server {
	return testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool { return testpeer.Reply200(c, name) })
}

// pooled is a pool whose list the configuration holds.
func pooled(name string, servers ...*testpeer.Server) config.Pool {
	p := testpeer.Config().Pools[0]
	p.Name, p.Registry, p.Connections.Max = name, nil, 40
	for i, s := range servers {
		p.Servers = append(p.Servers, config.Server{Name: fmt.Sprint("s", i), Address: s.Address(), Size: 1, State: config.Ready})
	}
	return p
}

// ownConfig has one listener and these pools; all requests go to the first.
func ownConfig(pools ...config.Pool) *config.Config {
	cfg := testpeer.Config()
	cfg.Node.Limits.Descriptors = 512
	cfg.Pools = pools
	cfg.Routes = []route.Route{defaultTo(pools[0].Name)}
	return cfg
}

func defaultTo(pool string) route.Route {
	return route.Route{Name: "default", Default: true, To: []route.Target{{Pool: pool, Weight: 1}}}
}

// startOwn runs a node with a configuration of our own until the test ends.
func startOwn(t *testing.T, cfg *config.Config, o Options) *Node {
	var atOnce time.Duration // so that connections can be counted
	o.settle = &atOnce
	t.Helper()
	if err := cfg.Check().Err(); err != nil {
		t.Fatal(err)
	}
	if o.schedule == nil {
		o.schedule = &shutdownSchedule{answerAll: 100 * time.Millisecond, finish: testpeer.Limit}
	}
	n, err := New(cfg, quiet(), o)
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

// change puts another configuration in place.
func change(t *testing.T, n *Node, cfg *config.Config) {
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

// ask sends a request on a connection of its own and returns its answer, or "" if none comes up.
func ask(t *testing.T, address, method, target string) (status int, body string) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return 0, ""
	}
	nc.Close()
	c := testpeer.Dial(t, address)
	defer c.Close()
	c.Send(method, target, fmt.Sprint("ask-", rand.Uint64()), "x", "60")
	r, body := c.Answer(t)
	return r.StatusCode, body
}

func wantServed(t *testing.T, n *Node, listener, target, by string) {
	t.Helper()
	method := "GET"
	if strings.HasPrefix(target, "/note") {
		method = "POST"
	}
	if status, body := ask(t, n.Addr(listener), method, target); status != 200 || body != by {
		t.Errorf("%s at %s: %d %q, want it served by %s", target, listener, status, body, by)
	}
}
