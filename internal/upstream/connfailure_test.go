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

// A write that ends within the request proves that nothing ran, whatever ended it, and is the node's own fault or the server's. Once
// the request is written completely any end of the connection is the same as a reset: it may have run. What passes is gone on with.
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
		s := testpeer.NewServer(t, testpeer.Echo)
		pool := newTestPool(10)
		pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, network, address)
			faulty := &testpeer.FaultyConn{Conn: nc}
			faulty.Fail(c.read, c.write)
			return faulty, err
		}
		r := runAttempt(t, pool, newTestAttempt(pool, s.Address()))
		kept := 0
		if c.want == balancer.Success {
			kept = 1
		}
		if r.Result != c.want || s.Seen() != c.seen || pool.Connections() != kept {
			t.Errorf("read %d, write %d: result %d, %d requests at the server, %d connections; want %d, %d, %d",
				c.read, c.write, r.Result, s.Seen(), pool.Connections(), c.want, c.seen, kept)
		}
		pool.Close()
	}
}

// slowConn returns late from the write that has its connection's last byte: longer than an answer is waited for ahead of that.
type slowConn struct {
	net.Conn
	last     string
	released <-chan struct{}
}

func (c *slowConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *slowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if bytes.HasSuffix(p, []byte(c.last)) {
		<-c.released
	}
	return n, err
}

// A connection that breaks behind the last byte of an upload proves nothing, also where this process was held up for so long that it
// hears of the break before it hears that the byte has left.
func TestBreakAfterCompleteUploadIsConnectionLost(t *testing.T) {
	for length, last := range map[int64]string{-1: "0\r\n\r\n", 7 + 5000: "the end"} {
		s := testpeer.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool { return false })
		released := make(chan struct{})
		pool := newTestPool(10)
		pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, network, address)
			return &slowConn{Conn: nc, last: last, released: released}, err
		}
		rest := io.MultiReader(strings.NewReader(strings.Repeat("x", 5000)), strings.NewReader("the end"))
		call := engine.NewRequest("id", engine.Message{Method: "POST", Target: "/note/k", Rest: rest, Length: length})
		now := pool.clock.Now()
		a := engine.NewAttempt(call, 0, listServer(pool, s.Address()), now, now+testpeer.Limit)
		end := make(chan engine.Outcome, 1)
		go func() { end <- pool.Run(a) }()
		testpeer.Until(t, "the request at the server", func() bool { return s.Seen() == 1 })
		testpeer.Until(t, "the connection's end", func() bool { return pool.Connections() == 0 })
		select {
		case r := <-end:
			t.Errorf("length %d: result %d before the writer has told", length, r.Result)
			close(released)
			continue
		case <-time.After(writeResultGrace + writeResultGrace/4):
		}
		close(released)
		if r := testpeer.Receive(t, end, "the attempt's end"); r.Result != balancer.ConnectionLost || !r.NotReplayable {
			t.Errorf("length %d: result %d, spent %v", length, r.Result, r.NotReplayable)
		}
	}
}
