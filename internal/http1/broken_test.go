package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/testpeer"
)

// faultyConn is a connection on which single reads and writes fail. A read that fails keeps what came for the next one.
type faultyConn struct {
	net.Conn

	mu        sync.Mutex
	failRead  syscall.Errno // of the next read that brings anything; 0: none
	failWrite syscall.Errno // of the next write, in its middle; 0: none
	kept      []byte
}

func (c *faultyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *faultyConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// fail arms the connection.
func (c *faultyConn) fail(read, write syscall.Errno) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failRead, c.failWrite = read, write
}

func (c *faultyConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	n := copy(p, c.kept)
	c.kept = c.kept[n:]
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if errno := c.failRead; n > 0 && errno != 0 {
		c.failRead, c.kept = 0, append([]byte(nil), p[:n]...)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
	}
	return n, err
}

func (c *faultyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	errno := c.failWrite
	c.failWrite = 0
	c.mu.Unlock()
	if errno == 0 {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:len(p)/3])
	if err == nil {
		err = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", errno)}
	}
	return n, err
}

// A write that ends within the request proves that nothing ran, whatever ended it, and is the node's own fault or the server's. Once
// the request is written whole any end of the connection is the same as a reset: it may have run. What passes is gone on with.
func TestEndsOfAConnectionToAServer(t *testing.T) {
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
		b := testBackend(10)
		b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, network, address)
			return &faultyConn{Conn: nc, failRead: c.read, failWrite: c.write}, err
		}
		r := run(t, b, testAttempt(b, s.Address()))
		kept := 0
		if c.want == balancer.Success {
			kept = 1
		}
		if r.Result != c.want || s.Seen() != c.seen || b.Connections() != kept {
			t.Errorf("read %d, write %d: ending %d, %d requests at the server, %d connections; want %d, %d, %d",
				c.read, c.write, r.Result, s.Seen(), b.Connections(), c.want, c.seen, kept)
		}
		b.Close()
	}
}

// faultyListener accepts faultyConns, and hands them to the test too.
type faultyListener struct {
	net.Listener
	accepted chan *faultyConn
}

func (l faultyListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultyConn{Conn: nc}
	l.accepted <- c
	return c, nil
}

// heldRequest has a request at a server that holds it, from a client on a connection that can be made to fail.
func heldRequest(t *testing.T) (n *rig, c *testpeer.Caller, conn *faultyConn, release func(), ended <-chan struct{}) {
	hold, got, gone := make(chan struct{}), make(chan struct{}, 1), make(chan struct{})
	s := testpeer.NewServer(t, func(nc net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		closed := make(chan struct{})
		go func() { defer close(closed); nc.Read(make([]byte, 1)); close(gone) }()
		select {
		case <-hold:
			testpeer.Echo(nc, r, body)
			<-closed
		case <-closed:
		}
		return false
	})
	accepted := make(chan *faultyConn, 10)
	n = start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), func(n *rig) {
		n.ln = faultyListener{n.ln, accepted}
	})
	c = testpeer.Dial(t, n.Addr())
	c.Send("POST", "/note/k", "held", "x", "60")
	conn = testpeer.Receive(t, accepted, "the client's connection")
	testpeer.Receive(t, got, "the attempt")
	return n, c, conn, func() { close(hold) }, gone
}

// A client whose connection ends in any way has gone: its attempt is called off, and its connection leaves nothing behind.
func TestAnyEndOfAClientsConnectionIsItsEnd(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENETDOWN} {
		n, c, conn, _, ended := heldRequest(t)
		conn.fail(errno, 0)
		io.WriteString(c, "G")
		testpeer.Receive(t, ended, "the attempt's end")
		testpeer.Until(t, "the client's connection to be over", func() bool { return n.callers.Open() == 0 })
		testpeer.Until(t, "the request to be over", func() bool { return n.engine.Status().Open == 0 })
		if st := n.engine.Status(); st.Disconnected != 1 || st.Sends != 1 {
			t.Errorf("%v: %+v", errno, st)
		}
	}
}

// An answer that can't be written ends its connection, and nothing else.
func TestAnAnswerThatCannotBeWrittenEndsItsConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENETDOWN} {
		n, c, conn, release, _ := heldRequest(t)
		conn.fail(0, errno)
		release()
		text, _ := io.ReadAll(c)
		if len(text) == 0 || len(text) > 60 {
			t.Errorf("%v: the client got %q", errno, text)
		}
		testpeer.Until(t, "the client's connection to be over", func() bool { return n.callers.Open() == 0 })
		testpeer.Until(t, "the request to be over", func() bool { return n.engine.Status().Open == 0 })
		if st := n.engine.Status(); st.Sends != 1 {
			t.Errorf("%v: %+v", errno, st)
		}
	}
}

// A client's connection on which a request fails in passing is no end: it gets its answer whole.
func TestAClientsConnectionOutlastsWhatPasses(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR} {
		_, c, conn, release, _ := heldRequest(t)
		conn.fail(errno, errno)
		io.WriteString(c, "G")
		testpeer.Until(t, "the read to fail", func() bool {
			conn.mu.Lock()
			defer conn.mu.Unlock()
			return conn.failRead == 0
		})
		release()
		c.Want(t, 200, "for held")
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
func TestABreakBehindAnUploadThatIsWholeProvesNothing(t *testing.T) {
	for length, last := range map[int64]string{-1: "0\r\n\r\n", 7 + 5000: "the end"} {
		s := testpeer.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool { return false })
		released := make(chan struct{})
		b := testBackend(10)
		b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, network, address)
			return &slowConn{Conn: nc, last: last, released: released}, err
		}
		rest := io.MultiReader(strings.NewReader(strings.Repeat("x", 5000)), strings.NewReader("the end"))
		call := engine.NewRequest("id", engine.Message{Method: "POST", Target: "/note/k", Rest: rest, Length: length})
		now := b.clock.Now()
		a := engine.NewAttempt(call, 0, testHost(b, s.Address()), now, now+testpeer.Limit)
		end := make(chan engine.Outcome, 1)
		go func() { end <- b.Run(a) }()
		testpeer.Until(t, "the request at the server", func() bool { return s.Seen() == 1 })
		testpeer.Until(t, "the connection's end", func() bool { return b.Connections() == 0 })
		select {
		case r := <-end:
			t.Errorf("length %d: ending %d before the writer has told", length, r.Result)
			close(released)
			continue
		case <-time.After(lastBytes + lastBytes/4):
		}
		close(released)
		if r := testpeer.Receive(t, end, "the attempt's end"); r.Result != balancer.ConnectionLost || !r.Spent {
			t.Errorf("length %d: ending %d, spent %v", length, r.Result, r.Spent)
		}
	}
}
