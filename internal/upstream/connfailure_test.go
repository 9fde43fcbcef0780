package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/testpeer"
)

// A write that fails before the last byte proves that nothing ran, whatever the error; the error tells whether the node or the
// server is at fault. Once the request is written completely, every error counts like a reset: the request may have run.
// Transient errors are retried.
func TestOutcomeOfConnectionFailures(t *testing.T) {
	for _, c := range []struct {
		read, write syscall.Errno
		want        balancer.Result
		seen        int
	}{
		{write: syscall.EPIPE, want: balancer.Unreachable},
		{write: syscall.ECONNRESET, want: balancer.Unreachable},
		{write: syscall.ETIMEDOUT, want: balancer.Unreachable},
		{write: syscall.EHOSTUNREACH, want: balancer.Unreachable},
		{write: syscall.ENETUNREACH, want: balancer.Unreachable},
		{write: syscall.ENETDOWN, want: balancer.NotStarted},
		{write: syscall.EPERM, want: balancer.NotStarted},
		{write: syscall.ENOBUFS, want: balancer.Success, seen: 1},
		{write: syscall.ENOMEM, want: balancer.Success, seen: 1},
		{write: syscall.EINTR, want: balancer.Success, seen: 1},
		{read: syscall.EPIPE, want: balancer.ConnectionLost, seen: 1},
		{read: syscall.ECONNRESET, want: balancer.ConnectionLost, seen: 1},
		{read: syscall.ETIMEDOUT, want: balancer.ConnectionLost, seen: 1},
		{read: syscall.EHOSTUNREACH, want: balancer.ConnectionLost, seen: 1},
		{read: syscall.ENETUNREACH, want: balancer.ConnectionLost, seen: 1},
		{read: syscall.ENETDOWN, want: balancer.ConnectionLost, seen: 1},
		{read: syscall.ENOBUFS, want: balancer.Success, seen: 1},
		{read: syscall.ENOMEM, want: balancer.Success, seen: 1},
		{read: syscall.EINTR, want: balancer.Success, seen: 1},
	} {
		server := testpeer.NewServer(t, testpeer.Echo)
		pool := newTestPool(10)
		pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, network, address)
			faulty := &testpeer.FaultyConn{Conn: nc}
			faulty.Fail(c.read, c.write)
			return faulty, err
		}
		r := runAttempt(t, pool, newTestAttempt(pool, server.Address()))
		open := 0
		if c.want == balancer.Success {
			open = 1
		}
		if r.Result != c.want || server.RequestCount() != c.seen || pool.Connections() != open {
			t.Errorf("read errno %d, write errno %d: result %d, %d requests at the server, %d connections; want %d, %d, %d",
				c.read, c.write, r.Result, server.RequestCount(), pool.Connections(), c.want, c.seen, open)
		}
		pool.Close()
	}
}

// delayedWriteConn delays the return of the write that has the last byte, by longer than an early reply waits for it.
type delayedWriteConn struct {
	net.Conn
	last     string
	released <-chan struct{}
}

func (c *delayedWriteConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *delayedWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if bytes.HasSuffix(p, []byte(c.last)) {
		<-c.released
	}
	return n, err
}

// A connection that fails after the last byte of an upload proves nothing, even if the process is delayed and learns of the
// failure before the write returns.
func TestBreakAfterCompleteUploadIsConnectionLost(t *testing.T) {
	for length, last := range map[int64]string{-1: "0\r\n\r\n", 7 + 5000: "the end"} {
		server := testpeer.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool { return false })
		released := make(chan struct{})
		pool := newTestPool(10)
		pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, network, address)
			return &delayedWriteConn{Conn: nc, last: last, released: released}, err
		}
		rest := io.MultiReader(strings.NewReader(strings.Repeat("x", 5000)), strings.NewReader("the end"))
		request := engine.NewRequest("id", engine.Message{Method: "POST", Target: "/note/k", Rest: rest, Length: length})
		now := pool.clock.Now()
		attempt := engine.NewAttempt(request, 0, listServer(pool, server.Address()), now, now+testpeer.Limit)
		outcome := make(chan engine.Outcome, 1)
		go func() { outcome <- pool.Run(attempt) }()
		testpeer.Until(t, "the request at the server", func() bool { return server.RequestCount() == 1 })
		testpeer.Until(t, "the connection to be closed", func() bool { return pool.Connections() == 0 })
		select {
		case r := <-outcome:
			t.Errorf("length %d: result %d before the write has returned", length, r.Result)
			close(released)
			continue
		case <-time.After(writeResultGrace + writeResultGrace/4):
		}
		close(released)
		if r := testpeer.Receive(t, outcome, "the outcome of the attempt"); r.Result != balancer.ConnectionLost || !r.NotReplayable {
			t.Errorf("length %d: result %d, not replayable %v", length, r.Result, r.NotReplayable)
		}
	}
}
