package node_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/config"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/mgmt"
	"damsontrestle/internal/node"
	"damsontrestle/internal/peering"
	"damsontrestle/internal/testpeer"
)

// operators is a control that is always ready.
type operators struct{ mgmt.Control }

func (operators) Health() error           { return nil }
func (operators) Metrics() metrics.Report { return metrics.Report{} }

// daemon is a control that shows nothing.
type daemon struct{ admin.Control }

func (daemon) Show() admin.ShowResponse { return admin.ShowResponse{} }

// accepting is one kind of listener of the process.
type accepting struct {
	name  string
	serve func(t *testing.T, ln net.Listener, log *slog.Logger) (stop func())
	ask   func(t *testing.T, address string, i int) // a request on a connection of its own; it must be answered
}

// acceptingKinds are all that there are.
func acceptingKinds(server *testpeer.Server) []accepting {
	return []accepting{
		{"HTTP", serveFront(server, config.HTTP1), func(t *testing.T, address string, i int) {
			c := testpeer.Dial(t, address)
			defer c.Close()
			c.Send("GET", "/view/k", fmt.Sprint("http-", i), "", "60")
			c.Want(t, 200, "a")
		}},
		{"FastCGI", serveFront(server, config.FastCGI), func(t *testing.T, address string, i int) {
			if got := node.AskFastCGI(t, address, "GET", "/view/k", fmt.Sprint("fastcgi-", i)); !strings.HasPrefix(got, "Status: 200") {
				t.Errorf("FastCGI: %q", got)
			}
		}},
		{"management", func(t *testing.T, ln net.Listener, log *slog.Logger) func() {
			return mgmt.Serve(ln, operators{}, log).Close
		}, func(t *testing.T, address string, _ int) {
			if got := node.AskLine(t, address, "health"); got != "+OK ready\n" {
				t.Errorf("management: %q", got)
			}
		}},
		{"admin", func(t *testing.T, ln net.Listener, log *slog.Logger) func() {
			return admin.NewServer(ln, daemon{}, log).Close
		}, askShow},
		{"peering", func(t *testing.T, ln net.Listener, log *slog.Logger) func() {
			return peering.Serve(ln, gatewayOptions("b", log)).Close
		}, askLink},
	}
}

// serveFront has a node serve a protocol at a listener.
func serveFront(server *testpeer.Server, protocol config.Protocol) func(*testing.T, net.Listener, *slog.Logger) func() {
	return func(t *testing.T, ln net.Listener, log *slog.Logger) func() {
		cfg := node.OwnConfig(node.Pooled("p", server))
		cfg.Listeners[0].Protocol = protocol
		n, err := node.New(cfg, log, node.WithShortShutdown(node.Options{Listen: func(string, string) (net.Listener, error) { return ln, nil }}))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan error, 1)
		go func() { end <- n.Run(ctx) }()
		return func() {
			cancel()
			if err := testpeer.Receive(t, end, "the node's end"); err != nil {
				t.Errorf("the node's end: %v", err)
			}
		}
	}
}

func gatewayOptions(name string, log *slog.Logger) peering.Options {
	return peering.Options{Self: peering.Peer{Partner: "p", Name: name, Incarnation: 1}, Log: log, Listen: "127.0.0.1:0",
		Key: func(string) []byte { return []byte("key") }, HeartbeatTimeout: testpeer.Limit}
}

func askShow(t *testing.T, address string, _ int) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testpeer.Limit}
	answer, err := client.Get("http://" + address + "/v1/show")
	if err != nil {
		t.Errorf("admin: %v", err)
		return
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		t.Errorf("admin: %s", answer.Status)
	}
}

// askLink has another gateway open a link.
func askLink(t *testing.T, address string, i int) {
	t.Helper()
	up := make(chan *peering.Link, 1)
	o := gatewayOptions(fmt.Sprint("a", i), node.DiscardLog())
	o.OnLinkUp = func(l *peering.Link) { up <- l }
	other, err := peering.Open(o)
	if err != nil {
		t.Error(err)
		return
	}
	defer other.Close()
	other.Connect(address, "p")
	testpeer.Receive(t, up, "a link")
}

// Whatever accept fails with, on any of the process's listeners, what comes before it, between two failures and
// behind them is served, the log is told of it once a second at most, and the end, in the midst of failures that go
// on, leaves nothing behind.
func TestListenersSurviveAcceptErrors(t *testing.T) {
	server := node.NewTestServer(t, "a")
	for _, kind := range acceptingKinds(server) {
		t.Run(kind.name, func(t *testing.T) {
			known := goleak.IgnoreCurrent()
			log := &testpeer.LogBuffer{}
			ln := testpeer.NewFailingListener(t)
			begin := time.Now()
			stop := kind.serve(t, ln, slog.New(slog.NewTextHandler(log, nil)))
			address, failures := ln.Addr().String(), testpeer.AcceptErrors()
			for i, failure := range failures {
				ln.AwaitAccept(t)
				ln.FailNext(failure, failure)
				kind.ask(t, address, i)
			}
			kind.ask(t, address, len(failures))
			ln.AwaitAccept(t)
			if got := ln.Failed(); got != 2*len(failures) {
				t.Errorf("%d accepts failed, want %d", got, 2*len(failures))
			}
			ln.FailAlways(syscall.ENOBUFS)
			kind.ask(t, address, len(failures)+1) // the accept that waits takes it
			testpeer.Until(t, "failures", func() bool { return ln.Failed() > 2*len(failures)+3 })
			stop()
			lines, most := log.Count("accept failed; retrying"), int(time.Since(begin)/time.Second)+1
			if lines < 1 || lines > most {
				t.Errorf("%d lines, want 1 to %d", lines, most)
			}
			if _, err := ln.TCPListener.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("the listener is not closed: %v", err)
			}
			testpeer.Until(t, "goroutines to end", func() bool { return goleak.Find(known) == nil })
		})
	}
}
