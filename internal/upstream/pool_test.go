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
		t.Errorf("result %d, %d open", r.Result, pool.open)
	}
}

// A machine that is gone says nothing: its connections never come up.
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
	for { // until the queue of those that nobody accepts is full
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	pool := newTestPool(10)
	pool.limits.ConnectTimeout = 50 * time.Millisecond
	if r := runAttempt(t, pool, newTestAttempt(pool, addr)); r.Result != balancer.Unreachable || pool.open != 0 {
		t.Errorf("result %d, %d open", r.Result, pool.open)
	}
}

func TestTimedOutAndCancelledAttemptsCloseTheirConnection(t *testing.T) {
	for _, want := range []balancer.Result{balancer.TimedOut, balancer.Cancelled} {
		got, gone := make(chan struct{}), make(chan struct{})
		s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
			close(got)
			c.Read(make([]byte, 1))
			close(gone)
			return false
		})
		pool := newTestPool(10)
		a := newTestAttempt(pool, s.Address())
		if want == balancer.TimedOut {
			a.Deadline = a.SentAt + 100*time.Millisecond
		} else {
			go func() { <-got; a.Cancel() }()
		}
		if r := runAttempt(t, pool, a); r.Result != want || pool.open != 0 {
			t.Errorf("result %d, %d open; want %d", r.Result, pool.open, want)
		}
		testpeer.Receive(t, gone, "the close")
	}
}

// A node short of descriptors closes idle connections first; its own lack is no server's fault.
func TestConnectionLimit(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	one, two := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		<-hold
		return testpeer.Echo(c, r, body)
	})
	pool := newTestPool(1)
	if r := runAttempt(t, pool, newTestAttempt(pool, one.Address())); r.Result != balancer.Success {
		t.Fatalf("result %d", r.Result)
	}
	end := make(chan engine.Outcome, 1)
	go func() { end <- pool.Run(newTestAttempt(pool, two.Address())) }()
	testpeer.Receive(t, got, "the attempt that took the idle one's place")
	if r := runAttempt(t, pool, newTestAttempt(pool, one.Address())); r.Result != balancer.NotStarted {
		t.Errorf("with no descriptor left: result %d, want NotStarted", r.Result)
	}
	close(hold)
	if r := testpeer.Receive(t, end, "the attempt"); r.Result != balancer.Success {
		t.Errorf("result %d", r.Result)
	}
	if one.Seen() != 1 || pool.open != 1 {
		t.Errorf("%d requests at the first server, %d connections open", one.Seen(), pool.open)
	}
}

// What was closed takes no attempt any more: the next one opens a connection.
func TestCloseIdleConnectionTakesNoAttempt(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	for _, made := range []int{1, 1, 2} {
		if made == 2 {
			pool.CloseIdle(listServer(pool, s.Address()))
		}
		if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.Success || pool.dialed != made || pool.open != 1 {
			t.Errorf("result %d, %d connections made, %d open; want %d and 1", r.Result, pool.dialed, pool.open, made)
		}
	}
}

func TestIdleConnectionsCloseBeforeServerTimeout(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	pool.limits.IdleTimeout = 20 * time.Millisecond
	runAttempt(t, pool, newTestAttempt(pool, s.Address()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go pool.Sweep(ctx)
	testpeer.Until(t, "the close", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return pool.open == 0 && len(pool.idle) == 0
	})
	if l := (Limits{IdleTimeout: time.Minute}); l.maxIdle() >= time.Minute {
		t.Errorf("kept for %v", l.maxIdle())
	}
}

// Limits change while the back runs: idle connections beyond the new bound are closed, and the share of all
// pools bounds each of them too.
func TestSetLimits(t *testing.T) {
	one, two := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(2)
	for _, s := range []*testpeer.Server{one, two} {
		if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.Success {
			t.Fatalf("result %d", r.Result)
		}
	}
	pool.SetLimits(Limits{MaxConnections: 1, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute})
	if pool.Connections() != 1 || pool.share.Used() != 1 {
		t.Errorf("%d connections, %d descriptors", pool.Connections(), pool.share.Used())
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, two.Address())); r.Result != balancer.Success || two.Opened() != 1 {
		t.Errorf("result %d on connection %d: the one idle for longest should have gone", r.Result, two.Opened())
	}
	other := NewPool(clock.New(), pool.share, pool.counters, Limits{MaxConnections: 10, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute})
	pool.share.Resize(1)
	if r := runAttempt(t, other, newTestAttempt(other, one.Address())); r.Result != balancer.NotStarted {
		t.Errorf("with no descriptor left for servers: result %d, want NotStarted", r.Result)
	}
	pool.Close()
	if pool.Connections() != 0 || pool.share.Used() != 0 {
		t.Errorf("%d connections, %d descriptors after Close", pool.Connections(), pool.share.Used())
	}
	if r := runAttempt(t, other, newTestAttempt(other, one.Address())); r.Result != balancer.Success {
		t.Errorf("result %d", r.Result)
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, one.Address())); r.Result != balancer.NotStarted { // the other has the only one
		t.Errorf("result %d", r.Result)
	}
	other.Close()
	if r := runAttempt(t, pool, newTestAttempt(pool, one.Address())); r.Result != balancer.Success || pool.Connections() != 0 {
		t.Errorf("after Close: result %d, %d connections kept", r.Result, pool.Connections())
	}
}

// Servers and attempts that are ever new leave nothing behind in the pool.
func TestPoolForgetsServersThatAreNoLongerListed(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	round := func(i int) {
		target := discovery.Target{Server: balancer.Server{ID: fmt.Sprint("s", i), State: balancer.Ready}, Endpoint: s.Address()}
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
	testpeer.Until(t, "all that has gone to be forgotten", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.listed) == 1 && len(pool.idle) <= 1 && len(pool.wantConns) == 0 && pool.open <= 1 && runtime.NumGoroutine() <= before+5
	})
}
