package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/testpeer"
)

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	pool := newTestPool(10)
	if r := runAttempt(t, pool, newTestAttempt(pool, testpeer.ClosedPort(t))); r.Result != balancer.Unreachable || pool.open != 0 {
		t.Errorf("result %d, %d connections open", r.Result, pool.open)
	}
}

// A host that is down does not answer: connects to it time out.
func TestConnectionThatNeverComesUpIsUnreachable(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for { // until the accept queue is full
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	pool := newTestPool(10)
	pool.limits.ConnectTimeout = 50 * time.Millisecond
	if r := runAttempt(t, pool, newTestAttempt(pool, addr)); r.Result != balancer.Unreachable || pool.open != 0 {
		t.Errorf("result %d, %d connections open", r.Result, pool.open)
	}
}

func TestTimedOutAndCancelledAttemptsCloseTheirConnection(t *testing.T) {
	for _, want := range []balancer.Result{balancer.TimedOut, balancer.Cancelled} {
		received, closed := make(chan struct{}), make(chan struct{})
		server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
			close(received)
			c.Read(make([]byte, 1))
			close(closed)
			return false
		})
		pool := newTestPool(10)
		attempt := newTestAttempt(pool, server.Address())
		if want == balancer.TimedOut {
			attempt.Deadline = attempt.SentAt + 100*time.Millisecond
		} else {
			go func() { <-received; attempt.Cancel() }()
		}
		if r := runAttempt(t, pool, attempt); r.Result != want || pool.open != 0 {
			t.Errorf("result %d, %d connections open; want result %d, no connection", r.Result, pool.open, want)
		}
		testpeer.Receive(t, closed, "the connection to be closed")
	}
}

// A node short of descriptors closes idle connections first; a lack of descriptors counts against no server.
func TestConnectionLimit(t *testing.T) {
	hold, received := make(chan struct{}), make(chan struct{}, 1)
	first, second := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		received <- struct{}{}
		<-hold
		return testpeer.Echo(c, r, body)
	})
	pool := newTestPool(1)
	if r := runAttempt(t, pool, newTestAttempt(pool, first.Address())); r.Result != balancer.Success {
		t.Fatalf("result %d", r.Result)
	}
	outcome := make(chan engine.Outcome, 1)
	go func() { outcome <- pool.Run(newTestAttempt(pool, second.Address())) }()
	testpeer.Receive(t, received, "the attempt that replaced the idle connection")
	if r := runAttempt(t, pool, newTestAttempt(pool, first.Address())); r.Result != balancer.NotStarted {
		t.Errorf("without a free descriptor: result %d, want NotStarted", r.Result)
	}
	close(hold)
	if r := testpeer.Receive(t, outcome, "the outcome of the attempt"); r.Result != balancer.Success {
		t.Errorf("result %d", r.Result)
	}
	if first.RequestCount() != 1 || pool.open != 1 {
		t.Errorf("%d requests at the first server, %d connections open; want 1 each", first.RequestCount(), pool.open)
	}
}

// After CloseIdle the next attempt opens a new connection.
func TestCloseIdleConnectionTakesNoAttempt(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	for _, dialed := range []int{1, 1, 2} {
		if dialed == 2 {
			pool.CloseIdle(listServer(pool, server.Address()))
		}
		if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success || pool.dialed != dialed || pool.open != 1 {
			t.Errorf("result %d, %d dials, %d connections open; want %d and 1", r.Result, pool.dialed, pool.open, dialed)
		}
	}
}

func TestIdleConnectionsCloseBeforeServerTimeout(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	pool.limits.IdleTimeout = 20 * time.Millisecond
	runAttempt(t, pool, newTestAttempt(pool, server.Address()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go pool.Sweep(ctx)
	testpeer.Until(t, "the connection to be closed", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return pool.open == 0 && len(pool.idle) == 0
	})
	if l := (Limits{IdleTimeout: time.Minute}); l.maxIdle() >= time.Minute {
		t.Errorf("maxIdle is %v, want less than the server's timeout", l.maxIdle())
	}
}

// Limits change while the pool is in use: idle connections beyond the new limit are closed, and the share of all pools bounds
// each of them too.
func TestSetLimits(t *testing.T) {
	first, second := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(2)
	for _, s := range []*testpeer.Server{first, second} {
		if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.Success {
			t.Fatalf("result %d", r.Result)
		}
	}
	pool.SetLimits(Limits{MaxConnections: 1, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute})
	if pool.Connections() != 1 || pool.share.Used() != 1 {
		t.Errorf("%d connections, %d descriptors", pool.Connections(), pool.share.Used())
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, second.Address())); r.Result != balancer.Success || second.AcceptedConnections() != 1 {
		t.Errorf("result %d on connection %d: the connection idle for longest was not closed", r.Result, second.AcceptedConnections())
	}
	other := NewPool(clock.New(), pool.share, pool.counters, Limits{MaxConnections: 10, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute})
	pool.share.Resize(1)
	if r := runAttempt(t, other, newTestAttempt(other, first.Address())); r.Result != balancer.NotStarted {
		t.Errorf("without a free descriptor for servers: result %d, want NotStarted", r.Result)
	}
	pool.Close()
	if pool.Connections() != 0 || pool.share.Used() != 0 {
		t.Errorf("%d connections, %d descriptors after Close", pool.Connections(), pool.share.Used())
	}
	if r := runAttempt(t, other, newTestAttempt(other, first.Address())); r.Result != balancer.Success {
		t.Errorf("result %d", r.Result)
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, first.Address())); r.Result != balancer.NotStarted { // the other pool has the only descriptor
		t.Errorf("result %d", r.Result)
	}
	other.Close()
	if r := runAttempt(t, pool, newTestAttempt(pool, first.Address())); r.Result != balancer.Success || pool.Connections() != 0 {
		t.Errorf("after Close: result %d, %d connections kept", r.Result, pool.Connections())
	}
}

// The pool keeps no state of servers that left the list or of attempts that ended.
func TestPoolForgetsServersThatAreNoLongerListed(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	round := func(i int) {
		target := discovery.Target{Server: balancer.Server{ID: fmt.Sprint("s", i), State: balancer.Ready}, Endpoint: server.Address()}
		pool.Servers([]discovery.Target{target}, true)
		request := engine.NewRequest(fmt.Sprint("r-", i), engine.Message{Method: "POST", Target: "/note/k", Body: []byte("body")})
		now := pool.clock.Now()
		if r := runAttempt(t, pool, engine.NewAttempt(request, 0, target.Host(), now, now+testpeer.Limit)); r.Result != balancer.Success {
			t.Fatalf("round %d: result %d", i, r.Result)
		}
	}
	for i := range 50 {
		round(i)
	}
	before := runtime.NumGoroutine()
	for i := range 300 {
		round(50 + i)
	}
	testpeer.Until(t, "removed servers to be forgotten", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.listed) == 1 && len(pool.idle) <= 1 && len(pool.wantConns) == 0 && pool.open <= 1 && runtime.NumGoroutine() <= before+5
	})
}
