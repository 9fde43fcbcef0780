package upstream

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/testpeer"
)

// failingDial has the first connects fail with an errno, and counts all.
func failingDial(pool *Pool, errno syscall.Errno, failures int32) (dials *atomic.Int32) {
	dials = new(atomic.Int32)
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) <= failures {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	return dials
}

// What the node itself is short of is waited for a moment, and is no evidence against a server. What the network or the server says
// is told at once.
func TestOutcomeOfFailedConnect(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
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
			ending balancer.Result
			dials  int32
		}{1: {balancer.Success, 2}, 1 << 30: {balancer.NotStarted, MaxDials}} {
			if !c.own {
				want.ending, want.dials = balancer.Unreachable, 1
			}
			pool := newTestPool(10)
			dials := failingDial(pool, c.errno, failures)
			r := runAttempt(t, pool, newTestAttempt(pool, s.Address()))
			if r.Result != want.ending || dials.Load() != want.dials {
				t.Errorf("%v %d times: result %d after %d dials; want %d after %d", c.errno, failures, r.Result, dials.Load(), want.ending, want.dials)
			}
			pool.Close()
			if pool.Connections() != 0 || pool.share.Used() != 0 {
				t.Errorf("%v %d times: %d connections, %d descriptors", c.errno, failures, pool.Connections(), pool.share.Used())
			}
		}
	}
}

// An attempt whose time ends while the node is short has not met its server: nothing is said of that.
func TestAttemptThatEndsDuringShortageIsNotStarted(t *testing.T) {
	pool := newTestPool(10)
	dials := failingDial(pool, syscall.ENOMEM, 1<<30)
	a := newTestAttempt(pool, "127.0.0.1:1")
	a.Deadline = a.SentAt + dialBackoff/2
	if r := runAttempt(t, pool, a); r.Result != balancer.NotStarted || dials.Load() != 1 || pool.Connections() != 0 {
		t.Errorf("result %d after %d dials, %d connections", r.Result, dials.Load(), pool.Connections())
	}
}

// failingReceiver has the next looks into a kernel's buffer fail with errnos, one after the other, and the later ones look.
func failingReceiver(errnos ...syscall.Errno) (receive recvfromFunc, requests *atomic.Int32) {
	requests = new(atomic.Int32)
	return func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
		if n := int(requests.Add(1)); n <= len(errnos) {
			return -1, nil, errnos[n-1]
		}
		return syscall.Recvfrom(fd, p, flags)
	}, requests
}

// A look into a connection that is interrupted is made again; one that the system has no memory for says neither that the other side
// is silent nor that it has spoken or closed.
func TestFailedPeekIsNoInput(t *testing.T) {
	ours, theirs := testpeer.Pair(t)
	peek := func(errnos ...syscall.Errno) inputState {
		receive, _ := failingReceiver(errnos...)
		return inputStateOf(ours, receive)
	}
	if got := peek(syscall.EINTR); got != inputNone {
		t.Errorf("silent, interrupted: input %v, want none", got)
	}
	io.WriteString(theirs, "x")
	testpeer.Until(t, "the byte to arrive", func() bool { return hasInput(ours) })
	if got := peek(syscall.EINTR, syscall.EINTR); got != inputPending {
		t.Errorf("a byte, interrupted twice: input %v, want pending", got)
	}
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS} {
		if got := peek(errno); got != inputUnknown {
			t.Errorf("%v: input %v, want unknown", errno, got)
		}
	}
	for _, errno := range []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPIPE} {
		if got := peek(errno); got != inputPending {
			t.Errorf("%v: input %v, want pending", errno, got)
		}
	}
}

// Who waits for bytes waits on through interruptions and want of memory, also where the bytes came before.
func TestAwaitInputOutlastsFailedPeeks(t *testing.T) {
	for _, before := range []bool{true, false} {
		ours, theirs := testpeer.Pair(t)
		if before {
			io.WriteString(theirs, "x")
			testpeer.Until(t, "the byte to arrive", func() bool { return hasInput(ours) })
		}
		receive, requests := failingReceiver(syscall.ENOMEM, syscall.EINTR, syscall.ENOBUFS)
		ready := make(chan struct{})
		go func() { awaitInput(ours, receive); close(ready) }()
		if !before {
			testpeer.Until(t, "the looks that fail, and one that does not", func() bool { return requests.Load() == 4 })
			select {
			case <-ready:
				t.Fatal("the wait ended without a byte")
			default:
			}
			io.WriteString(theirs, "x")
		}
		testpeer.Receive(t, ready, "the wait's end")
		if requests.Load() < 4 {
			t.Errorf("it ended after %d looks", requests.Load())
		}
	}
}

// A fresh connection of which the system can't tell whether its server has spoken carries no request, which is no fault of the
// server's. One that was idle is replaced.
func TestConnectionThatCannotBePeekedIsNotUsed(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	var short atomic.Bool
	pool.recvfrom = func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
		if short.Load() {
			return -1, nil, syscall.ENOMEM
		}
		return syscall.Recvfrom(fd, p, flags)
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.Success {
		t.Fatalf("result %d", r.Result)
	}
	short.Store(true)
	if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.NotStarted || pool.Connections() != 0 || s.Seen() != 1 {
		t.Errorf("result %d, %d connections, %d requests at the server; want NotStarted, none, 1", r.Result, pool.Connections(), s.Seen())
	}
	short.Store(false)
	if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.Success {
		t.Errorf("after the shortage: result %d", r.Result)
	}
}
