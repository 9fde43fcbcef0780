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

// failFirstDials makes the first dials fail with an errno, and counts all.
func failFirstDials(pool *Pool, errno syscall.Errno, failCount int32) (dials *atomic.Int32) {
	dials = new(atomic.Int32)
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) <= failCount {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	return dials
}

// A connect that fails for lack of local resources is retried after a pause, and is no evidence against a server. A failure of
// the network or the server ends the attempt at once.
func TestOutcomeOfFailedConnect(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	for _, c := range []struct {
		errno syscall.Errno
		local bool
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
			result balancer.Result
			dials  int32
		}{1: {balancer.Success, 2}, 1 << 30: {balancer.NotStarted, MaxDials}} {
			if !c.local {
				want.result, want.dials = balancer.Unreachable, 1
			}
			pool := newTestPool(10)
			dials := failFirstDials(pool, c.errno, failures)
			r := runAttempt(t, pool, newTestAttempt(pool, server.Address()))
			if r.Result != want.result || dials.Load() != want.dials {
				t.Errorf("%v %d times: result %d after %d dials; want %d after %d", c.errno, failures, r.Result, dials.Load(), want.result, want.dials)
			}
			pool.Close()
			if pool.Connections() != 0 || pool.share.Used() != 0 {
				t.Errorf("%v %d times: %d connections, %d descriptors", c.errno, failures, pool.Connections(), pool.share.Used())
			}
		}
	}
}

// An attempt whose deadline passes while the node lacks resources has not reached its server, and counts as not started.
func TestAttemptThatEndsDuringShortageIsNotStarted(t *testing.T) {
	pool := newTestPool(10)
	dials := failFirstDials(pool, syscall.ENOMEM, 1<<30)
	attempt := newTestAttempt(pool, "127.0.0.1:1")
	attempt.Deadline = attempt.SentAt + dialBackoff/2
	if r := runAttempt(t, pool, attempt); r.Result != balancer.NotStarted || dials.Load() != 1 || pool.Connections() != 0 {
		t.Errorf("result %d after %d dials, %d connections", r.Result, dials.Load(), pool.Connections())
	}
}

// failingRecvfrom returns a recvfrom that fails with each of errnos in turn and then calls the kernel.
func failingRecvfrom(errnos ...syscall.Errno) (receive recvfromFunc, calls *atomic.Int32) {
	calls = new(atomic.Int32)
	return func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
		if n := int(calls.Add(1)); n <= len(errnos) {
			return -1, nil, errnos[n-1]
		}
		return syscall.Recvfrom(fd, p, flags)
	}, calls
}

// An interrupted peek is retried. A peek that fails for lack of memory shows neither that there is no input nor that there is
// input or a close.
func TestFailedPeekIsNoInput(t *testing.T) {
	local, remote := testpeer.Pair(t)
	peek := func(errnos ...syscall.Errno) inputState {
		receive, _ := failingRecvfrom(errnos...)
		return inputStateOf(rawConn(local), receive)
	}
	if got := peek(syscall.EINTR); got != inputNone {
		t.Errorf("no input, interrupted: input state %v, want none", got)
	}
	io.WriteString(remote, "x")
	testpeer.Until(t, "the byte to arrive", func() bool { return hasInput(local) })
	if got := peek(syscall.EINTR, syscall.EINTR); got != inputPending {
		t.Errorf("a byte, interrupted twice: input state %v, want pending", got)
	}
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS} {
		if got := peek(errno); got != inputUnknown {
			t.Errorf("%v: input state %v, want unknown", errno, got)
		}
	}
	for _, errno := range []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPIPE} {
		if got := peek(errno); got != inputEnded {
			t.Errorf("%v: input state %v, want ended", errno, got)
		}
	}
}

// awaitInput keeps waiting after interrupted calls and a lack of memory, also if the bytes arrived before.
func TestAwaitInputOutlastsFailedPeeks(t *testing.T) {
	for _, early := range []bool{true, false} {
		local, remote := testpeer.Pair(t)
		if early {
			io.WriteString(remote, "x")
			testpeer.Until(t, "the byte to arrive", func() bool { return hasInput(local) })
		}
		receive, calls := failingRecvfrom(syscall.ENOMEM, syscall.EINTR, syscall.ENOBUFS)
		ready := make(chan struct{})
		go func() { awaitInput(rawConn(local), receive); close(ready) }()
		if !early {
			testpeer.Until(t, "the failed peeks and a successful one", func() bool { return calls.Load() == 4 })
			select {
			case <-ready:
				t.Fatal("awaitInput returned without input")
			default:
			}
			io.WriteString(remote, "x")
		}
		testpeer.Receive(t, ready, "awaitInput to return")
		if calls.Load() < 4 {
			t.Errorf("awaitInput returned after %d calls, want at least 4", calls.Load())
		}
	}
}

// A fresh connection carries no request if it cannot be checked for input, and this counts against no server. An idle connection
// is replaced.
func TestConnectionThatCannotBePeekedIsNotUsed(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	var outOfMemory atomic.Bool
	pool.recvfrom = func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
		if outOfMemory.Load() {
			return -1, nil, syscall.ENOMEM
		}
		return syscall.Recvfrom(fd, p, flags)
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success {
		t.Fatalf("result %d", r.Result)
	}
	outOfMemory.Store(true)
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.NotStarted || pool.Connections() != 0 || server.RequestCount() != 1 {
		t.Errorf("result %d, %d connections, %d requests at the server; want NotStarted, 0, 1", r.Result, pool.Connections(), server.RequestCount())
	}
	outOfMemory.Store(false)
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success {
		t.Errorf("after the shortage: result %d", r.Result)
	}
}
