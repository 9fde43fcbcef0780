package http1

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"woodpick"
	"woodpick/internal/standin"
)

// failingDial has the first connects fail with an errno, and counts all.
func failingDial(b *Back, errno syscall.Errno, failures int32) (dials *atomic.Int32) {
	dials = new(atomic.Int32)
	b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) <= failures {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	return dials
}

// What the node itself is short of is waited for a moment, and is no evidence against a server. What the network or the server says
// is told at once.
func TestAFailedConnectIsTheServersFaultOrTheNodes(t *testing.T) {
	s := standin.NewServer(t, standin.Echo)
	for _, c := range []struct {
		errno syscall.Errno
		own   bool
	}{
		{syscall.EMFILE, true},
		{syscall.ENFILE, true},
		{syscall.ENOBUFS, true},
		{syscall.ENOMEM, true},
		{syscall.EAGAIN, true},
		{syscall.EADDRNOTAVAIL, true},
		{syscall.EADDRINUSE, true},
		{syscall.EPERM, true},
		{syscall.EACCES, true},
		{syscall.ENETDOWN, true},
		{syscall.EINTR, true},
		{syscall.ECONNREFUSED, false},
		{syscall.ECONNRESET, false},
		{syscall.ETIMEDOUT, false},
		{syscall.EHOSTUNREACH, false},
		{syscall.ENETUNREACH, false},
	} {
		for failures, want := range map[int32]struct {
			ending woodpick.Ending
			dials  int32
		}{1: {woodpick.Success, 2}, 1 << 30: {woodpick.Void, mostDials}} {
			if !c.own {
				want.ending, want.dials = woodpick.Unreachable, 1
			}
			b := testBackend(10)
			dials := failingDial(b, c.errno, failures)
			r := run(t, b, testAttempt(b, s.Address()))
			if r.Ending != want.ending || dials.Load() != want.dials {
				t.Errorf("%v %d times: ending %d after %d dials; want %d after %d", c.errno, failures, r.Ending, dials.Load(), want.ending, want.dials)
			}
			b.Close()
			if b.Connections() != 0 || b.share.Used() != 0 {
				t.Errorf("%v %d times: %d connections, %d descriptors", c.errno, failures, b.Connections(), b.share.Used())
			}
		}
	}
}

// An attempt whose time ends while the node is short has not met its server: nothing is said of that.
func TestAnAttemptThatEndsShortIsVoid(t *testing.T) {
	b := testBackend(10)
	dials := failingDial(b, syscall.ENOMEM, 1<<30)
	a := testAttempt(b, "127.0.0.1:1")
	a.Deadline = a.Sent + dialPause/2
	if r := run(t, b, a); r.Ending != woodpick.Void || dials.Load() != 1 || b.Connections() != 0 {
		t.Errorf("ending %d after %d dials, %d connections", r.Ending, dials.Load(), b.Connections())
	}
}

// An unsafe request goes on though the node was short for longer than one attempt waits: nothing of it ran.
func TestAnUnsafeRequestOutlastsAShortage(t *testing.T) {
	s, other := standin.NewServer(t, standin.Echo), standin.NewServer(t, standin.Echo)
	n := start(t, testConfig(standin.Whole(standin.Entry("s1", s.Address(), "in_service"), standin.Entry("s2", other.Address(), "in_service"))), func(n *rig) {
		failingDial(n.back, syscall.ENOMEM, mostDials+1)
	})
	c := standin.Dial(t, n.Addr())
	c.Send("POST", "/note/k", "once", "x", "60")
	c.Want(t, 200, "for once")
	if seen := s.Seen() + other.Seen(); seen != 1 {
		t.Errorf("the servers got %d requests", seen)
	}
}
