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

// takenPort is a port of loopback that the test has, for TCP and for UDP.
func takenPort(t *testing.T) (*net.TCPListener, *net.UDPConn) {
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
	t.Fatal("no port is free for both")
	return nil, nil
}

// needsPorts is a configuration with every socket that a node's start opens.
func needsPorts(t *testing.T, front, management, room net.Addr) *config.Config {
	t.Helper()
	key := t.TempDir() + "/key"
	if err := os.WriteFile(key, []byte("a key of sixteen bytes or more"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := ownConfig(pooled("p", newTestServer(t, "a")))
	cfg.Listeners[0].Address = front.String()
	cfg.Node.Management = management.String()
	cfg.Node.Peers = config.Peers{Listen: room.String(), KeyFile: key, ProbeInterval: config.Duration(time.Second)}
	cfg.Federation = &config.Federation{Partner: "us", Replicas: 1, Memory: 1 << 20, ResponseRetention: config.Duration(time.Minute), LinkTimeout: config.Duration(time.Second)}
	return cfg
}

// A start tries its sockets again, each in turn, until whoever has their ports gives them up.
func TestStartRetriesBinding(t *testing.T) {
	front, unused := takenPort(t)
	unused.Close()
	management, unused := takenPort(t)
	unused.Close()
	links, room := takenPort(t)
	log := &testpeer.LogBuffer{}
	cfg := needsPorts(t, front.Addr(), management.Addr(), room.LocalAddr())
	type started struct {
		node *Node
		err  error
	}
	done := make(chan started, 1)
	go func() {
		n, err := New(cfg, slog.New(slog.NewTextHandler(log, nil)), Options{})
		done <- started{n, err}
	}()
	for i, held := range []io.Closer{front, management, room, links} {
		testpeer.Until(t, "the next socket to be tried", func() bool { return log.Count("opening a socket failed; retrying") > i })
		held.Close()
	}
	got := testpeer.Receive(t, done, "the start")
	if got.err != nil {
		t.Fatal(got.err)
	}
	got.node.Close()
	if lines := log.Count("\n"); lines != 4 {
		t.Errorf("%d lines, want one for each socket", lines)
	}
}

// A start that is told to end waits for no socket any more, says which one it misses, and leaves nothing behind.
func TestStartIsCancelledWhileBinding(t *testing.T) {
	front, unused := takenPort(t)
	defer front.Close()
	unused.Close()
	management, room := takenPort(t)
	management.Close()
	room.Close()
	cfg, known, log := needsPorts(t, front.Addr(), management.Addr(), room.LocalAddr()), goleak.IgnoreCurrent(), &testpeer.LogBuffer{}
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := New(cfg, slog.New(slog.NewTextHandler(log, nil)), Options{Start: ctx})
		failed <- err
	}()
	testpeer.Until(t, "a try", func() bool { return log.Count("opening a socket failed; retrying") > 0 })
	cancel()
	err := testpeer.Receive(t, failed, "the start's end")
	if !errors.Is(err, syscall.EADDRINUSE) || !strings.Contains(err.Error(), `listener "main": `+front.Addr().String()) {
		t.Errorf("%v", err)
	}
	testpeer.Until(t, "goroutines to end", func() bool { return goleak.Find(known) == nil })
}
