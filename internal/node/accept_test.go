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

// readyControl is a control that is always ready.
type readyControl struct{ mgmt.Control }

func (readyControl) Health() error           { return nil }
func (readyControl) Metrics() metrics.Report { return metrics.Report{} }

// emptyAdmin is an admin control whose Show is empty.
type emptyAdmin struct{ admin.Control }

func (emptyAdmin) Show() admin.ShowResponse { return admin.ShowResponse{} }

// listenerKind is a kind of listener that the process opens.
type listenerKind struct {
	name    string
	serve   func(t *testing.T, ln net.Listener, log *slog.Logger) (stop func())
	request func(t *testing.T, address string, i int) // sends a request on a new connection and checks the response
}

// listenerKinds returns all kinds of listeners of the process.
func listenerKinds(server *testpeer.Server) []listenerKind {
	return []listenerKind{
		{"HTTP", serveNode(server, config.HTTP1), func(t *testing.T, address string, i int) {
			c := testpeer.Dial(t, address)
			defer c.Close()
			c.Send("GET", "/view/k", fmt.Sprint("http-", i), "", "60")
			c.Want(t, 200, "a")
		}},
		{"FastCGI", serveNode(server, config.FastCGI), func(t *testing.T, address string, i int) {
			if got := node.RequestFastCGI(t, address, "GET", "/view/k", fmt.Sprint("fastcgi-", i)); !strings.HasPrefix(got, "Status: 200") {
				t.Errorf("FastCGI: got response %q", got)
			}
		}},
		{"management", func(t *testing.T, ln net.Listener, log *slog.Logger) func() {
			return mgmt.Serve(ln, readyControl{}, log).Close
		}, func(t *testing.T, address string, _ int) {
			if got := node.RequestManagement(t, address, "health"); got != "+OK ready\n" {
				t.Errorf("management: got response %q", got)
			}
		}},
		{"admin", func(t *testing.T, ln net.Listener, log *slog.Logger) func() {
			return admin.NewServer(ln, emptyAdmin{}, log).Close
		}, requestShow},
		{"peering", func(t *testing.T, ln net.Listener, log *slog.Logger) func() {
			return peering.Serve(ln, gatewayOptions("b", log)).Close
		}, openLink},
	}
}

// serveNode runs a node that serves a protocol on a listener.
func serveNode(server *testpeer.Server, protocol config.Protocol) func(*testing.T, net.Listener, *slog.Logger) func() {
	return func(t *testing.T, ln net.Listener, log *slog.Logger) func() {
		cfg := node.ConfigWithPools(node.StaticPool("p", server))
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
				t.Errorf("node stopped with error: %v", err)
			}
		}
	}
}

func gatewayOptions(name string, log *slog.Logger) peering.Options {
	return peering.Options{Self: peering.Peer{Partner: "p", Name: name, Incarnation: 1}, Log: log, Listen: "127.0.0.1:0",
		Key: func(string) []byte { return []byte("key") }, HeartbeatTimeout: testpeer.Limit}
}

func requestShow(t *testing.T, address string, _ int) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testpeer.Limit}
	response, err := client.Get("http://" + address + "/v1/show")
	if err != nil {
		t.Errorf("admin: %v", err)
		return
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("admin: got status %s", response.Status)
	}
}

// openLink opens a link from another gateway.
func openLink(t *testing.T, address string, i int) {
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

// On every listener of the process, connections are served before, between and after accept errors of any kind. The log
// reports the errors at most once a second. A shutdown during persistent accept errors leaves no goroutines or sockets
// behind.
func TestListenersSurviveAcceptErrors(t *testing.T) {
	server := node.NewTestServer(t, "a")
	for _, kind := range listenerKinds(server) {
		t.Run(kind.name, func(t *testing.T) {
			goroutines := goleak.IgnoreCurrent()
			log := &testpeer.LogBuffer{}
			ln := testpeer.NewFailingListener(t)
			begin := time.Now()
			stop := kind.serve(t, ln, slog.New(slog.NewTextHandler(log, nil)))
			address, failures := ln.Addr().String(), testpeer.AcceptErrors()
			for i, failure := range failures {
				ln.AwaitAccept(t)
				ln.FailNext(failure, failure)
				kind.request(t, address, i)
			}
			kind.request(t, address, len(failures))
			ln.AwaitAccept(t)
			if got := ln.Failed(); got != 2*len(failures) {
				t.Errorf("got %d failed accepts, want %d", got, 2*len(failures))
			}
			ln.FailAlways(syscall.ENOBUFS)
			kind.request(t, address, len(failures)+1) // accepted by the pending accept call
			testpeer.Until(t, "failures", func() bool { return ln.Failed() > 2*len(failures)+3 })
			stop()
			lines, maxLines := log.Count("accept failed; retrying"), int(time.Since(begin)/time.Second)+1
			if lines < 1 || lines > maxLines {
				t.Errorf("got %d log lines, want 1 to %d", lines, maxLines)
			}
			if _, err := ln.TCPListener.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("listener is not closed: %v", err)
			}
			testpeer.Until(t, "goroutines to end", func() bool { return goleak.Find(goroutines) == nil })
		})
	}
}
