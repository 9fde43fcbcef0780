package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/netio"
	"damsontrestle/internal/testpeer"
)

// reuseConnection runs an attempt, so that the next one uses its connection.
func reuseConnection(t *testing.T, pool *Pool, server *testpeer.Server) {
	t.Helper()
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success {
		t.Fatalf("result %d", r.Result)
	}
	testpeer.Until(t, "the connection to be idle", func() bool { return pool.idleCount() == 1 })
}

// holdLook replaces the pool's recvfrom. Once armed, hold is called within the n-th look that finds no input, after it has found none.
func holdLook(pool *Pool, n int32, hold func(fd int)) (armed *atomic.Bool) {
	armed = new(atomic.Bool)
	var looks atomic.Int32
	pool.recvfrom = func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
		read, from, err := syscall.Recvfrom(fd, p, flags)
		if errors.Is(err, syscall.EAGAIN) && armed.Load() && looks.Add(1) == n {
			hold(fd)
		}
		return read, from, err
	}
	return armed
}

// awaitInputOf waits until a descriptor has input, and until the kernel's clock has moved on after that.
func awaitInputOf(t *testing.T, fd int) {
	testpeer.Until(t, "the input to arrive", func() bool {
		n, _, _ := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n == 1
	})
	time.Sleep(3 * netio.TickLength)
}

// Guards against serving a late second reply that arrives while the process is held up between its last look at the connection and
// the write of the next request.
func TestSecondReplyBetweenLookAndWriteIsRefused(t *testing.T) {
	server, release := sendSecondReplies(t)
	pool := newTestPool(10)
	const lastLook = 2 // the first is that of beginExchange
	armed := holdLook(pool, lastLook, func(fd int) {
		release()
		awaitInputOf(t, fd)
	})
	reuseConnection(t, pool, server)
	time.Sleep(10 * time.Millisecond) // the connection's reader has looked, and waits
	armed.Store(true)
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.ConnectionLost {
		t.Errorf("result %d, body %q; want ConnectionLost", r.Result, r.Reply.Body)
	}
	if got := unattributedInput(pool, server.Address(), inputDuringWrite); got != 1 || pool.Connections() != 0 {
		t.Errorf("input was counted %d times as during the write, %d connections are open; want 1 and 0", got, pool.Connections())
	}
}

// Guards against writing a request on a connection with a second reply, if that arrives after the connection was chosen: the
// attempt never ran.
func TestSecondReplyBeforeLastLookIsRefused(t *testing.T) {
	server, release := sendSecondReplies(t)
	pool := newTestPool(10)
	reuseConnection(t, pool, server)
	host := listServer(pool, server.Address())
	pool.mu.Lock()
	c := pool.idle[host][0]
	pool.mu.Unlock()
	attempt := newTestAttempt(pool, server.Address())
	attempt.Request.Message.ClientDisconnected = func() bool { // asked between the choice and the last look
		release()
		testpeer.Until(t, "the second reply to arrive", func() bool { return hasInput(c.Conn) })
		return false
	}
	if r := runAttempt(t, pool, attempt); r.Result != balancer.NotStarted || server.RequestCount() != 1 {
		t.Errorf("result %d, %d requests at the server; want NotStarted and 1", r.Result, server.RequestCount())
	}
}

// Guards against serving a second reply that arrives before the server's system has received the next request.
func TestReplyBeforeRequestIsAcknowledgedIsRefused(t *testing.T) {
	proceed := make(chan struct{})
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		testpeer.Echo(c, r, body)
		<-proceed
		io.WriteString(c, secondReply)
		<-proceed // reads nothing
		return false
	})
	defer close(proceed)
	pool := newTestPool(10)
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err == nil {
			c.(*net.TCPConn).SetWriteBuffer(1 << 20)
		}
		return c, err
	}
	reuseConnection(t, pool, server)
	attempt := newTestAttempt(pool, server.Address())
	attempt.Request.Message.Body = make([]byte, 160<<10) // more than the server's system takes, less than this one buffers
	outcome := make(chan engine.Outcome, 1)
	go func() { outcome <- pool.Run(attempt) }()
	testpeer.Until(t, "the request to be written", func() bool { return pool.counters.Report().Relayed == 2 })
	proceed <- struct{}{}
	if r := testpeer.Receive(t, outcome, "the outcome"); r.Result != balancer.ConnectionLost {
		t.Errorf("result %d, body %q; want ConnectionLost", r.Result, r.Reply.Body)
	}
	if got := unattributedInput(pool, server.Address(), inputUnacknowledged); got != 1 {
		t.Errorf("counted %d times, want 1", got)
	}
}

// Guards against serving a second reply that comes sooner after the request than any reply of that server can.
func TestReplyWithinHalfTheShortestConnectIsRefused(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	host := listServer(pool, server.Address())
	pool.mu.Lock()
	*pool.record(host) = serverRecord{minConnect: testpeer.Limit, connects: minConnects}
	pool.mu.Unlock()
	beforeDial := pool.dialed
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		return net.Dial(network, address)
	}
	reuseConnection(t, pool, server)
	pool.mu.Lock()
	pool.record(host).minConnect = testpeer.Limit
	pool.mu.Unlock()
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.ConnectionLost || pool.dialed != beforeDial+1 {
		t.Errorf("result %d after %d dials; want ConnectionLost on the reused connection", r.Result, pool.dialed)
	}
	if got := unattributedInput(pool, server.Address(), inputTooEarly); got != 1 {
		t.Errorf("counted %d times, want 1", got)
	}
}

// Guards against taking a second reply to an earlier request for the reply to an upload during which it came: neither its body nor
// its statement that the request never ran belongs to the upload.
func TestSecondReplyDuringUploadIsRefused(t *testing.T) {
	for name, second := range map[string]string{
		"success":   secondReply,
		"rejection": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{}, 1)
			server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
				if len(body) > len("body") {
					time.Sleep(testpeer.Limit / 100)
					return testpeer.Echo(c, r, body)
				}
				testpeer.Echo(c, r, body)
				<-proceed
				_, err := io.WriteString(c, second)
				return err == nil
			})
			pool := newTestPool(10)
			reuseConnection(t, pool, server)
			attempt := newTestAttempt(pool, server.Address())
			rest := &heldBody{held: make(chan struct{}), release: make(chan struct{}), text: strings.NewReader("the rest")}
			attempt.Request.Message.Rest = rest
			attempt.Request.Message.Length = int64(len("body") + len("the rest"))
			outcome := make(chan engine.Outcome, 1)
			go func() { outcome <- pool.Run(attempt) }()
			testpeer.Receive(t, rest.held, "the upload to wait for its body")
			proceed <- struct{}{}
			time.Sleep(earlyReplyGrace / 4)
			close(rest.release)
			if r := testpeer.Receive(t, outcome, "the outcome"); r.Result != balancer.ConnectionLost {
				t.Errorf("result %d, body %q; want ConnectionLost", r.Result, r.Reply.Body)
			}
		})
	}
}

// heldBody is a body whose first read blocks until release is closed.
type heldBody struct {
	held, release chan struct{}
	text          io.Reader
	read          bool
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	if !b.read {
		b.read = true
		close(b.held)
		<-b.release
	}
	return b.text.Read(p)
}

// Guards against requests that wait for connections to settle although the node has no place for further ones.
func TestUnsettledConnectionIsReplacedAtTheLimit(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(1)
	pool.limits.SettleDelay = time.Hour
	for range 3 {
		if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success {
			t.Fatalf("result %d", r.Result)
		}
	}
	if pool.dialed != 3 || pool.Connections() != 1 {
		t.Errorf("%d dials, %d connections; want 3 and 1", pool.dialed, pool.Connections())
	}
}
