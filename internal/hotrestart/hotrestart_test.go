package hotrestart

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"damsontrestle/internal/testpeer"
)

// countingListener accepts connections and counts them.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func listenAndCount(t *testing.T, address string) *countingListener {
	t.Helper()
	ln, err := Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	counting := &countingListener{Listener: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			counting.accepted.Add(1)
			c.Close()
		}
	}()
	return counting
}

// dialAll opens count connections to the address that the listeners share and waits until all are accepted.
func dialAll(t *testing.T, count int, listeners ...*countingListener) {
	t.Helper()
	sum := func() (n int64) {
		for _, l := range listeners {
			n += l.accepted.Load()
		}
		return n
	}
	before := sum()
	for range count {
		c, err := net.Dial("tcp", listeners[0].Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	testpeer.Until(t, "all connections to be accepted", func() bool { return sum() == before+int64(count) })
}

// Of two sockets at one address, both get connections until the older directs them to its successor; then only the newer
// does. If that one is closed, the older gets connections again, and a third socket later does not inherit the program that
// selects the successor.
func TestNewConnectionsGoToSuccessor(t *testing.T) {
	old := listenAndCount(t, "127.0.0.1:0")
	next := listenAndCount(t, old.Addr().String())
	dialAll(t, 100, old, next)
	if old.accepted.Load() == 0 || next.accepted.Load() == 0 {
		t.Fatalf("sockets got %d and %d of 100 connections, want some each", old.accepted.Load(), next.accepted.Load())
	}
	if err := DirectToSuccessor(old.Listener); err != nil {
		t.Fatal(err)
	}
	oldBefore := old.accepted.Load()
	dialAll(t, 100, old, next)
	if old.accepted.Load() != oldBefore {
		t.Errorf("%d connections went to the older socket, want 0", old.accepted.Load()-oldBefore)
	}
	next.Close()
	dialAll(t, 20, old)
	third := listenAndCount(t, old.Addr().String())
	thirdBefore := third.accepted.Load()
	dialAll(t, 100, old, third)
	if n := third.accepted.Load() - thirdBefore; n == 0 || n == 100 {
		t.Errorf("%d of 100 connections went to the third socket before any were directed to it, want some but not all", n)
	}
	if err := DirectToSuccessor(old.Listener); err != nil {
		t.Fatal(err)
	}
	old.Close()
	dialAll(t, 20, third)
}

// A system without reuseport programs does not prevent a node from starting. Multipath TCP sockets do not support them.
func TestUnsupportedSocketProgramDoesNotPreventListening(t *testing.T) {
	lc := net.ListenConfig{}
	lc.SetMultipathTCP(true)
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if err := directToSocket(ln, anySocket); err != nil && !isUnsupported(err) {
		t.Errorf("%v is not recognized as unsupported, so a node would not start", err)
	}
	if isUnsupported(net.ErrClosed) {
		t.Error("a closed socket is taken for a system without reuseport programs")
	}
}

// Listen fails at an address whose socket was opened without SO_REUSEPORT.
func TestListenFailsOnExclusiveAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if second, err := Listen("tcp", ln.Addr().String()); err == nil {
		second.Close()
		t.Error("Listen shares the address")
	}
}

func join(t *testing.T, folder string) *Processes {
	t.Helper()
	processes, err := Join(folder, "n")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(processes.Close)
	return processes
}

func TestProcessesDetectOneAnother(t *testing.T) {
	folder := t.TempDir()
	old := join(t, folder)
	if !old.TakePrimary() || old.HasSuccessor() {
		t.Fatalf("one process: primary %v, has a successor %v", old.TakePrimary(), old.HasSuccessor())
	}
	next := join(t, folder)
	if next.TakePrimary() || !old.HasSuccessor() {
		t.Errorf("two processes: the second is primary %v, the first has a successor %v", next.TakePrimary(), old.HasSuccessor())
	}
	if third, err := Join(folder, "n"); err == nil {
		third.Close()
		t.Error("a third process joined")
	}
	join(t, t.TempDir()) // of another node
	old.Close()
	if !next.TakePrimary() {
		t.Error("the second process did not become the primary after the first one closed")
	}
	if _, err := Join(folder+"/none", "n"); err == nil {
		t.Error("joined in a folder that does not exist")
	}
}

// Watch reports to the older process that a newer one joined or was killed, and to the newer one that the older ended.
func TestWatchReportsOtherProcess(t *testing.T) {
	folder := t.TempDir()
	watch := func(processes *Processes) <-chan bool {
		notifications := make(chan bool, 100)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); processes.Watch(ctx, func(two bool) { notifications <- two }) }()
		t.Cleanup(func() { cancel(); <-done })
		return notifications
	}
	wantTwo := func(notifications <-chan bool, two bool, who string) {
		t.Helper()
		if got := testpeer.Receive(t, notifications, who); got != two {
			t.Errorf("%s process: two is %v, want %v", who, got, two)
		}
	}
	old := join(t, folder)
	first := watch(old)
	wantTwo(first, false, "the first")
	killed := join(t, folder)
	wantTwo(first, true, "the first")
	killed.Close()
	wantTwo(first, false, "the first")
	second := watch(join(t, folder))
	wantTwo(second, true, "the second")
	wantTwo(first, true, "the first")
	old.primary.Close() // as a kill would
	wantTwo(second, false, "the second")
}
