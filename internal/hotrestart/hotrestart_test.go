package hotrestart

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"damsontrestle/internal/testpeer"
)

// taker accepts at an address and counts.
type taker struct {
	net.Listener
	got atomic.Int64
}

func take(t *testing.T, address string) *taker {
	t.Helper()
	ln, err := Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	k := &taker{Listener: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			k.got.Add(1)
			c.Close()
		}
	}()
	return k
}

// call connects so often and waits until all connections are accepted by somebody.
func call(t *testing.T, times int, takers ...*taker) {
	t.Helper()
	sum := func() (n int64) {
		for _, k := range takers {
			n += k.got.Load()
		}
		return n
	}
	before := sum()
	for range times {
		c, err := net.Dial("tcp", takers[0].Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	testpeer.Until(t, "all to be accepted", func() bool { return sum() == before+int64(times) })
}

// Given two that listen at one address, both are called; once the older yields, only the younger is; if that one
// goes the older is called again; and a third one later does not inherit the rule.
func TestNewConnectionsGoToSuccessor(t *testing.T) {
	old := take(t, "127.0.0.1:0")
	next := take(t, old.Addr().String())
	call(t, 100, old, next)
	if old.got.Load() == 0 || next.got.Load() == 0 {
		t.Fatalf("%d and %d of 100 before, want some each", old.got.Load(), next.got.Load())
	}
	if err := Yield(old.Listener); err != nil {
		t.Fatal(err)
	}
	was := old.got.Load()
	call(t, 100, old, next)
	if old.got.Load() != was {
		t.Errorf("%d came to the one that yielded", old.got.Load()-was)
	}
	next.Close()
	call(t, 20, old)
	third := take(t, old.Addr().String())
	wasThird := third.got.Load()
	call(t, 100, old, third)
	if n := third.got.Load() - wasThird; n == 0 || n == 100 {
		t.Errorf("%d of 100 came to a third that nobody yields to yet, want a part", n)
	}
	if err := Yield(old.Listener); err != nil {
		t.Fatal(err)
	}
	old.Close()
	call(t, 20, third)
}

// Where the system has no rules for shared addresses, a node starts all the same. Multipath TCP is such a place.
func TestUnsupportedSystem(t *testing.T) {
	lc := net.ListenConfig{}
	lc.SetMultipathTCP(true)
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if err := directTo(ln, anySocket); err != nil && !unsupported(err) {
		t.Errorf("%v would keep a node from starting", err)
	}
	if unsupported(net.ErrClosed) {
		t.Error("a closed socket passes for a system without rules")
	}
}

// An address that somebody holds alone is not shared.
func TestExclusiveAddressIsAnError(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if second, err := Listen("tcp", ln.Addr().String()); err == nil {
		second.Close()
		t.Error("it is shared")
	}
}

func enter(t *testing.T, folder string) *Processes {
	t.Helper()
	l, err := Enter(folder, "n")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func TestProcessesDetectOneAnother(t *testing.T) {
	folder := t.TempDir()
	old := enter(t, folder)
	if !old.TakePrimary() || old.HasSuccessor() {
		t.Fatalf("alone: primary %v, has a successor %v", old.TakePrimary(), old.HasSuccessor())
	}
	next := enter(t, folder)
	if next.TakePrimary() || !old.HasSuccessor() {
		t.Errorf("two: the second is primary %v, the first has a successor %v", next.TakePrimary(), old.HasSuccessor())
	}
	if third, err := Enter(folder, "n"); err == nil {
		third.Close()
		t.Error("a third one waits too")
	}
	enter(t, t.TempDir()) // another node's
	old.Close()
	if !next.TakePrimary() {
		t.Error("there is no primary, and the second process does not become it")
	}
	if _, err := Enter(folder+"/none", "n"); err == nil {
		t.Error("a folder that is not there will do")
	}
}

// The older hears that it is followed, and again when the younger was killed; the younger hears that it is alone.
func TestWatchReportsOtherProcess(t *testing.T) {
	folder := t.TempDir()
	watch := func(l *Processes) <-chan bool {
		told := make(chan bool, 100)
		ctx, cancel := context.WithCancel(t.Context())
		over := make(chan struct{})
		go func() { defer close(over); l.Watch(ctx, func(two bool) { told <- two }) }()
		t.Cleanup(func() { cancel(); <-over })
		return told
	}
	want := func(told <-chan bool, two bool, who string) {
		t.Helper()
		if got := testpeer.Receive(t, told, who); got != two {
			t.Errorf("%s hears two %v, want %v", who, got, two)
		}
	}
	old := enter(t, folder)
	first := watch(old)
	want(first, false, "the first")
	killed := enter(t, folder)
	want(first, true, "the first")
	killed.Close()
	want(first, false, "the first")
	second := watch(enter(t, folder))
	want(second, true, "the second")
	want(first, true, "the first")
	old.primary.Close() // as a kill would
	want(second, false, "the second")
}
