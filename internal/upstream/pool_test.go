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

func testBackend(most int) *Pool {
	return NewPool(clock.New(), descriptors.NewShare(most), &metrics.Set{}, Limits{Most: most, ConnectTimeout: testpeer.Limit, Idle: time.Minute})
}

// testHost has the backend know a server that is named by its endpoint.
func testHost(b *Pool, endpoint string) discovery.Host {
	t := discovery.Target{Server: balancer.Server{ID: endpoint, State: balancer.Ready}, Endpoint: endpoint}
	b.Servers([]discovery.Target{t}, false)
	return t.Host()
}

// testAttempt is an attempt at an endpoint with all the time in the world.
func testAttempt(b *Pool, endpoint string) *engine.Attempt {
	now := b.clock.Now()
	c := engine.NewRequest("id", engine.Message{Method: "POST", Target: "/note/k", Body: []byte("body")})
	return engine.NewAttempt(c, 0, testHost(b, endpoint), now, now+testpeer.Limit)
}

// run makes an attempt that must end within the testpeer.Limit.
func run(t *testing.T, b *Pool, a *engine.Attempt) engine.Outcome {
	t.Helper()
	end := make(chan engine.Outcome, 1)
	go func() { end <- b.Run(a) }()
	return testpeer.Receive(t, end, "the attempt's end")
}

func TestEndings(t *testing.T) {
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
		{"a head too long", "200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", maxAnswer/10), balancer.ConnectionLost, false},
		{"a line too long", "200 OK\r\nX-Pad: " + strings.Repeat("p", 2*maxAnswer), balancer.ConnectionLost, false},
		{"1xx without end", strings.Repeat("102 Processing\r\n\r\nHTTP/1.1 ", maxAnswer/20), balancer.ConnectionLost, false},
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
			b := testBackend(10)
			h := testHost(b, s.Address())
			r := run(t, b, testAttempt(b, s.Address()))
			if r.Result != c.want || c.want == balancer.Success && string(r.Reply.Body) != "ok" {
				t.Errorf("ending %d, body %q; want %d", r.Result, r.Reply.Body, c.want)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if kept := len(b.idle[h]) == 1; kept != c.keeps || b.open != len(b.idle[h]) {
				t.Errorf("kept %v, %d open; want kept %v", kept, b.open, c.keeps)
			}
		})
	}
}

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	b := testBackend(10)
	if r := run(t, b, testAttempt(b, testpeer.ClosedPort(t))); r.Result != balancer.Unreachable || b.open != 0 {
		t.Errorf("ending %d, %d open", r.Result, b.open)
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
	b := testBackend(10)
	b.limits.ConnectTimeout = 50 * time.Millisecond
	if r := run(t, b, testAttempt(b, addr)); r.Result != balancer.Unreachable || b.open != 0 {
		t.Errorf("ending %d, %d open", r.Result, b.open)
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
	b := testBackend(10)
	b.adopt(halfConn{nc}, testHost(b, s.Address()))
	if r := run(t, b, testAttempt(b, s.Address())); r.Result != balancer.Unreachable || b.open != 0 {
		t.Errorf("ending %d, %d open", r.Result, b.open)
	}
	if s.Seen() != 0 {
		t.Error("the server got the request")
	}
}

// adopt puts a connection among the idle ones.
func (b *Pool) adopt(nc net.Conn, to discovery.Host) {
	waiter := make(chan reply, 1)
	b.open++
	b.share.Take()
	c := b.watch(nc, to, waiter)
	b.mu.Lock()
	defer b.mu.Unlock()
	c.waiter = nil
	b.idle[to] = append(b.idle[to], c)
}

// What came in before a request was written is no answer to it, and a close that the connection's reader
// has not seen yet, as on a busy core, is found all the same: another connection is used.
func TestBytesOrACloseBeforeTheRequestAreSeen(t *testing.T) {
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
			if spoken(nc) {
				t.Fatal("a silent open connection is said to have spoken or closed")
			}
			other, err := early.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
			b := testBackend(10)
			h := testHost(b, s.Address())
			b.open = 1
			b.share.Take()
			b.idle[h] = []*conn{{Conn: nc, to: h}} // with no reader
			if say == "" {
				other.Close()
			} else {
				io.WriteString(other, say)
			}
			testpeer.Until(t, "it to arrive", func() bool { return spoken(nc) })
			if r := run(t, b, testAttempt(b, s.Address())); r.Result != balancer.Success || string(r.Reply.Body) != "for id" || b.open != 1 {
				t.Errorf("ending %d, body %q, %d open", r.Result, r.Reply.Body, b.open)
			}
		})
	}
}

// A fresh connection on which the server speaks or closes before it is asked counts as none: the attempt
// ends, and does not dial without end.
func TestServerThatClosesAtOnceIsUnreachable(t *testing.T) {
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
	testpeer.Until(t, "the close to arrive", func() bool { return spoken(nc) })
	b := testBackend(10)
	waiter := make(chan reply, 1)
	b.open = 1
	b.share.Take()
	c := b.watch(nc, testHost(b, "127.0.0.1:1"), waiter)
	if b.begin(c, waiter) == nil || b.open != 0 {
		t.Errorf("a request is written to a closed connection, or it is still counted: %d open", b.open)
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
		b := testBackend(10)
		a := testAttempt(b, s.Address())
		if want == balancer.TimedOut {
			a.Deadline = a.Sent + 100*time.Millisecond
		} else {
			go func() { <-got; a.Cancel() }()
		}
		if r := run(t, b, a); r.Result != want || b.open != 0 {
			t.Errorf("ending %d, %d open; want %d", r.Result, b.open, want)
		}
		testpeer.Receive(t, gone, "the close")
	}
}

// A node short of descriptors closes idle connections first; its own lack is no server's fault.
func TestConnectionsBeyondTheBudget(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	one, two := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		<-hold
		return testpeer.Echo(c, r, body)
	})
	b := testBackend(1)
	if r := run(t, b, testAttempt(b, one.Address())); r.Result != balancer.Success {
		t.Fatalf("ending %d", r.Result)
	}
	end := make(chan engine.Outcome, 1)
	go func() { end <- b.Run(testAttempt(b, two.Address())) }()
	testpeer.Receive(t, got, "the attempt that took the idle one's place")
	if r := run(t, b, testAttempt(b, one.Address())); r.Result != balancer.NotStarted {
		t.Errorf("with no descriptor left: ending %d, want Void", r.Result)
	}
	close(hold)
	if r := testpeer.Receive(t, end, "the attempt"); r.Result != balancer.Success {
		t.Errorf("ending %d", r.Result)
	}
	if one.Seen() != 1 || b.open != 1 {
		t.Errorf("%d requests at the first server, %d connections open", one.Seen(), b.open)
	}
}

// What was closed takes no attempt any more: the next one opens a connection.
func TestAConnectionThatWasLetGoTakesNoAttempt(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	b := testBackend(10)
	for _, made := range []int{1, 1, 2} {
		if made == 2 {
			b.CloseIdle(testHost(b, s.Address()))
		}
		if r := run(t, b, testAttempt(b, s.Address())); r.Result != balancer.Success || b.made != made || b.open != 1 {
			t.Errorf("ending %d, %d connections made, %d open; want %d and 1", r.Result, b.made, b.open, made)
		}
	}
}

func TestIdleConnectionsCloseBeforeTheServersDo(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	b := testBackend(10)
	b.limits.Idle = 20 * time.Millisecond
	run(t, b, testAttempt(b, s.Address()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.Sweep(ctx)
	testpeer.Until(t, "the close", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.open == 0 && len(b.idle) == 0
	})
	if l := (Limits{Idle: time.Minute}); l.keep() >= time.Minute {
		t.Errorf("kept for %v", l.keep())
	}
}

// Limits change while the back runs: idle connections beyond the new bound are closed, and the share of all
// pools bounds each of them too.
func TestLimitsChange(t *testing.T) {
	one, two := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, testpeer.Echo)
	b := testBackend(2)
	for _, s := range []*testpeer.Server{one, two} {
		if r := run(t, b, testAttempt(b, s.Address())); r.Result != balancer.Success {
			t.Fatalf("ending %d", r.Result)
		}
	}
	b.SetLimits(Limits{Most: 1, ConnectTimeout: testpeer.Limit, Idle: time.Minute})
	if b.Connections() != 1 || b.share.Used() != 1 {
		t.Errorf("%d connections, %d descriptors", b.Connections(), b.share.Used())
	}
	if r := run(t, b, testAttempt(b, two.Address())); r.Result != balancer.Success || two.Opened() != 1 {
		t.Errorf("ending %d on connection %d: the one idle for longest should have gone", r.Result, two.Opened())
	}
	other := NewPool(clock.New(), b.share, b.count, Limits{Most: 10, ConnectTimeout: testpeer.Limit, Idle: time.Minute})
	b.share.Resize(1)
	if r := run(t, other, testAttempt(other, one.Address())); r.Result != balancer.NotStarted {
		t.Errorf("with no descriptor left for servers: ending %d, want Void", r.Result)
	}
	b.Close()
	if b.Connections() != 0 || b.share.Used() != 0 {
		t.Errorf("%d connections, %d descriptors after Close", b.Connections(), b.share.Used())
	}
	if r := run(t, other, testAttempt(other, one.Address())); r.Result != balancer.Success {
		t.Errorf("ending %d", r.Result)
	}
	if r := run(t, b, testAttempt(b, one.Address())); r.Result != balancer.NotStarted { // the other has the only one
		t.Errorf("ending %d", r.Result)
	}
	other.Close()
	if r := run(t, b, testAttempt(b, one.Address())); r.Result != balancer.Success || b.Connections() != 0 {
		t.Errorf("after Close: ending %d, %d connections kept", r.Result, b.Connections())
	}
}

// spoken asks the system what spokenOrClosed does.
func spoken(nc net.Conn) bool {
	is, _ := spokenOrClosed(nc, syscall.Recvfrom)
	return is
}

// Servers and attempts that are ever new leave nothing behind in the pool.
func TestPoolForgetsServersThatAreNoLongerListed(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	b := testBackend(10)
	round := func(i int) {
		target := discovery.Target{Server: balancer.Server{ID: fmt.Sprint("s", i), State: balancer.Ready}, Endpoint: s.Address()}
		b.Servers([]discovery.Target{target}, true)
		request := engine.NewRequest(fmt.Sprint("r-", i), engine.Message{Method: "POST", Target: "/note/k", Body: []byte("body")})
		now := b.clock.Now()
		if r := run(t, b, engine.NewAttempt(request, 0, target.Host(), now, now+testpeer.Limit)); r.Result != balancer.Success {
			t.Fatalf("round %d: ending %d", i, r.Result)
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
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.seen) == 1 && len(b.idle) <= 1 && len(b.borrowers) == 0 && b.open <= 1 && runtime.NumGoroutine() <= before+5
	})
}
