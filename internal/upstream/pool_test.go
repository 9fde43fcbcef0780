package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/descriptors"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/testpeer"
)

func newTestPool(most int) *Pool {
	return NewPool(clock.New(), descriptors.NewShare(most), &metrics.Set{}, Limits{MaxConnections: most, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute})
}

// listServer has the backend know a server that is named by its endpoint.
func listServer(pool *Pool, endpoint string) discovery.Host {
	t := discovery.Target{Server: balancer.Server{ID: endpoint, State: balancer.Ready}, Endpoint: endpoint}
	pool.Servers([]discovery.Target{t}, false)
	return t.Host()
}

// newTestAttempt is an attempt at an endpoint with all the time in the world.
func newTestAttempt(pool *Pool, endpoint string) *engine.Attempt {
	now := pool.clock.Now()
	c := engine.NewRequest("id", engine.Message{Method: "POST", Target: "/note/k", Body: []byte("body")})
	return engine.NewAttempt(c, 0, listServer(pool, endpoint), now, now+testpeer.Limit)
}

// runAttempt makes an attempt that must end within the testpeer.Limit.
func runAttempt(t *testing.T, pool *Pool, a *engine.Attempt) engine.Outcome {
	t.Helper()
	end := make(chan engine.Outcome, 1)
	go func() { end <- pool.Run(a) }()
	return testpeer.Receive(t, end, "the attempt's end")
}

func TestOutcomeOfReplies(t *testing.T) {
	for _, c := range []struct {
		name, answer string // "-": the server breaks the connection
		want         balancer.Result
		keeps        bool
	}{
		{"served", "200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"served in chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.Success, true},
		{"served and closed", "200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", balancer.Success, false},
		{"served after 100", "100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"error", "500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		{"turned away", "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		{"turned away as over", "504 Gateway Timeout\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		{"503 that may have run", "503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		{"504 that may have run", "504 Gateway Timeout\r\nX-Not-Run: 0\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		{"500 with the mark", "500 Internal Server Error\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		{"reset", "-", balancer.ConnectionLost, false},
		{"cut head", "200 OK\r\nContent-Le", balancer.ConnectionLost, false},
		{"cut body", "200 OK\r\nContent-Length: 9\r\n\r\nok", balancer.ConnectionLost, false},
		{"cut chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", balancer.ConnectionLost, false},
		{"no length, but an end", "200 OK\r\n\r\nok", balancer.Success, false},
		{"no length, and a reset", "200 OK\r\n\r\nok", balancer.ConnectionLost, false},
		{"half a status line", "200", balancer.ConnectionLost, false},
		{"a 1xx, and an end", "102 Processing\r\n\r\n", balancer.ConnectionLost, false},
		{"said to be too long", "200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on", balancer.ConnectionLost, false},
		{"an error said to be too long", "500 Internal Server Error\r\nContent-Length: 3000000000\r\n\r\nand so on", balancer.Failure, false},
		{"a head too long", "200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", maxReplyOverhead/10), balancer.ConnectionLost, false},
		{"a line too long", "200 OK\r\nX-Pad: " + strings.Repeat("p", 2*maxReplyOverhead), balancer.ConnectionLost, false},
		{"1xx without end", strings.Repeat("102 Processing\r\n\r\nHTTP/1.1 ", maxReplyOverhead/20), balancer.ConnectionLost, false},
		{"two lengths", "200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", balancer.ConnectionLost, false},
		{"a negative length", "200 OK\r\nContent-Length: -2\r\n\r\nok", balancer.ConnectionLost, false},
		{"no status", "OK 200\r\nContent-Length: 2\r\n\r\nok", balancer.ConnectionLost, false},
		{"a line with no colon", "200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok", balancer.ConnectionLost, false},
		{"spoilt chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n", balancer.ConnectionLost, false},
		{"served, and noise behind", "200 OK\r\nContent-Length: 2\r\n\r\nok\xff\x00noise\r\n\r\n", balancer.Success, false},
		{"served twice", "200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", balancer.Success, false},
		{"served with a spoilt report", "200 OK\r\nX-Load: %%%\r\nX-Load: =,=\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"served after hints", "103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"no HTTP", "what?\r\n\r\n", balancer.ConnectionLost, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
				if c.answer == "-" {
					conn.(*net.TCPConn).SetLinger(0)
					return false
				}
				io.WriteString(conn, "HTTP/1.1 "+c.answer)
				if strings.Contains(c.name, "a reset") {
					conn.(*net.TCPConn).SetLinger(0)
					return false
				}
				if strings.Contains(c.name, "half a status") || strings.Contains(c.name, "and an end") {
					return false
				}
				if !c.keeps && !strings.Contains(c.name, "cut") && !strings.Contains(c.name, "but an end") {
					io.Copy(io.Discard, conn) // it stays open until the node closes it
				}
				return c.keeps
			})
			pool := newTestPool(10)
			h := listServer(pool, s.Address())
			r := runAttempt(t, pool, newTestAttempt(pool, s.Address()))
			if r.Result != c.want || c.want == balancer.Success && string(r.Reply.Body) != "ok" {
				t.Errorf("result %d, body %q; want %d", r.Result, r.Reply.Body, c.want)
			}
			pool.mu.Lock()
			defer pool.mu.Unlock()
			if kept := len(pool.idle[h]) == 1; kept != c.keeps || pool.open != len(pool.idle[h]) {
				t.Errorf("kept %v, %d open; want kept %v", kept, pool.open, c.keeps)
			}
		})
	}
}

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

// halfConn breaks in the middle of a write.
type halfConn struct{ net.Conn }

func (c halfConn) Write(p []byte) (int, error) {
	n, _ := c.Conn.Write(p[:len(p)-1])
	c.Conn.Close()
	return n, errors.New("broken")
}

func (c halfConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

func TestBreakBeforeTheLastByteIsUnreachable(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	nc, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	pool := newTestPool(10)
	pool.addIdle(halfConn{nc}, listServer(pool, s.Address()))
	if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.Unreachable || pool.open != 0 {
		t.Errorf("result %d, %d open", r.Result, pool.open)
	}
	if s.Seen() != 0 {
		t.Error("the server got the request")
	}
}

// addIdle puts a connection among the idle ones.
func (pool *Pool) addIdle(nc net.Conn, to discovery.Host) {
	waiter := make(chan reply, 1)
	pool.open++
	pool.share.Take()
	c := pool.newConn(nc, to, waiter)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	c.waiter = nil
	pool.idle[to] = append(pool.idle[to], c)
}

// What came in before a request was written is no answer to it, and a close that the connection's reader
// has not seen yet, as on a busy core, is found all the same: another connection is used.
func TestInputOrCloseBeforeRequestIsDetected(t *testing.T) {
	for name, say := range map[string]string{"a close": "", "an answer to nothing": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"} {
		t.Run(name, func(t *testing.T) {
			s := testpeer.NewServer(t, testpeer.Echo)
			early, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer early.Close()
			nc, err := net.Dial("tcp", early.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if hasInput(nc) {
				t.Fatal("a silent open connection is said to have spoken or closed")
			}
			other, err := early.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
			pool := newTestPool(10)
			h := listServer(pool, s.Address())
			pool.open = 1
			pool.share.Take()
			pool.idle[h] = []*conn{{Conn: nc, host: h}} // with no reader
			if say == "" {
				other.Close()
			} else {
				io.WriteString(other, say)
			}
			testpeer.Until(t, "it to arrive", func() bool { return hasInput(nc) })
			if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.Success || string(r.Reply.Body) != "for id" || pool.open != 1 {
				t.Errorf("result %d, body %q, %d open", r.Result, r.Reply.Body, pool.open)
			}
		})
	}
}

// A fresh connection on which the server speaks or closes before it is asked counts as none: the attempt
// ends, and does not dial without end.
func TestServerThatClosesOnAcceptIsUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	other.Close()
	testpeer.Until(t, "the close to arrive", func() bool { return hasInput(nc) })
	pool := newTestPool(10)
	waiter := make(chan reply, 1)
	pool.open = 1
	pool.share.Take()
	c := pool.newConn(nc, listServer(pool, "127.0.0.1:1"), waiter)
	if pool.begin(c, waiter) == nil || pool.open != 0 {
		t.Errorf("a request is written to a closed connection, or it is still counted: %d open", pool.open)
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
			a.Deadline = a.Sent + 100*time.Millisecond
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

// hasInput reports whether a connection has something to read, or has ended.
func hasInput(nc net.Conn) bool {
	return inputOf(nc, syscall.Recvfrom) == inputPending
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
		return len(pool.listed) == 1 && len(pool.idle) <= 1 && len(pool.wanting) == 0 && pool.open <= 1 && runtime.NumGoroutine() <= before+5
	})
}
