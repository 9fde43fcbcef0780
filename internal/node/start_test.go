package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"damsontrestle/internal/config"
	"damsontrestle/internal/testpeer"
)

// occupyPort opens a loopback port for both TCP and UDP.
func occupyPort(t *testing.T) (*net.TCPListener, *net.UDPConn) {
	t.Helper()
	for range 100 {
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: tcp.Addr().(*net.TCPAddr).Port})
		if err == nil {
			return tcp, udp
		}
		tcp.Close()
	}
	t.Fatal("found no port that is free for both TCP and UDP")
	return nil, nil
}

// configWithPorts returns a configuration with every socket that a starting node opens.
func configWithPorts(t *testing.T, front, management, gossipPort net.Addr) *config.Config {
	t.Helper()
	key := t.TempDir() + "/key"
	if err := os.WriteFile(key, []byte("a key of sixteen bytes or more"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := configWithPools(staticPool("p", newTestServer(t, "a")))
	cfg.Listeners[0].Address = front.String()
	cfg.Node.Management = management.String()
	cfg.Node.Peers = config.Peers{Listen: gossipPort.String(), KeyFile: key, ProbeInterval: config.Duration(time.Second)}
	cfg.Federation = &config.Federation{Partner: "us", Replicas: 1, Memory: 1 << 20, ResponseRetention: config.Duration(time.Minute), LinkTimeout: config.Duration(time.Second)}
	return cfg
}

// A starting node retries each of its sockets in turn until the processes that use their ports close them.
func TestStartRetriesBinding(t *testing.T) {
	front, unused := occupyPort(t)
	unused.Close()
	management, unused := occupyPort(t)
	unused.Close()
	links, gossipPort := occupyPort(t)
	log := &testpeer.LogBuffer{}
	cfg := configWithPorts(t, front.Addr(), management.Addr(), gossipPort.LocalAddr())
	type started struct {
		node *Node
		err  error
	}
	done := make(chan started, 1)
	go func() {
		n, err := New(cfg, slog.New(slog.NewTextHandler(log, nil)), Options{})
		done <- started{n, err}
	}()
	for i, held := range []io.Closer{front, management, gossipPort, links} {
		testpeer.Until(t, "the next socket to be retried", func() bool { return log.Count("opening a socket failed; retrying") > i })
		held.Close()
	}
	got := testpeer.Receive(t, done, "the start")
	if got.err != nil {
		t.Fatal(got.err)
	}
	got.node.Close()
	if lines := log.Count("\n"); lines != 4 {
		t.Errorf("got %d log lines, want 4, one for each socket", lines)
	}
}

// A start that is cancelled stops waiting for its sockets, reports which one it could not open, and leaks nothing.
func TestStartIsCancelledWhileBinding(t *testing.T) {
	front, unused := occupyPort(t)
	defer front.Close()
	unused.Close()
	management, gossipPort := occupyPort(t)
	management.Close()
	gossipPort.Close()
	cfg, goroutines, log := configWithPorts(t, front.Addr(), management.Addr(), gossipPort.LocalAddr()), goleak.IgnoreCurrent(), &testpeer.LogBuffer{}
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := New(cfg, slog.New(slog.NewTextHandler(log, nil)), Options{StartContext: ctx})
		failed <- err
	}()
	testpeer.Until(t, "an attempt", func() bool { return log.Count("opening a socket failed; retrying") > 0 })
	cancel()
	err := testpeer.Receive(t, failed, "the start to return")
	if !errors.Is(err, syscall.EADDRINUSE) || !strings.Contains(err.Error(), `listener "main": `+front.Addr().String()) {
		t.Errorf("got error %v, want address in use for listener main", err)
	}
	testpeer.Until(t, "goroutines to end", func() bool { return goleak.Find(goroutines) == nil })
}
