package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"woodpick"
)

func testBackend(most int) *backend { return newBackend(testConfig(""), newClock(), most) }

// testAttempt is an attempt at an endpoint with all the time in the world.
func testAttempt(b *backend, endpoint string) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	now := b.clock.now()
	return &attempt{ctx: ctx, cancel: cancel, endpoint: endpoint, sent: now, deadline: now + limit,
		call: &call{id: "id", method: "POST", target: "/note/k", body: []byte("body")}}
}

// run makes an attempt that must end within the limit.
func run(t *testing.T, b *backend, a *attempt) result {
	t.Helper()
	end := make(chan result, 1)
	go func() { end <- b.run(a) }()
	return wait(t, end, "the attempt's end")
}

func TestEndings(t *testing.T) {
	for _, c := range []struct {
		name, answer string // "-": the server breaks the connection
		want         woodpick.Ending
		keeps        bool
	}{
		{"served", "200 OK\r\nContent-Length: 2\r\n\r\nok", woodpick.Success, true},
		{"served in chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", woodpick.Success, true},
		{"served and closed", "200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", woodpick.Success, false},
		{"served after 100", "100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", woodpick.Success, true},
		{"error", "500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", woodpick.Failure, true},
		{"turned away", "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", woodpick.Overloaded, true},
		{"turned away as over", "504 Gateway Timeout\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", woodpick.Overloaded, true},
		{"503 that may have run", "503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", woodpick.Failure, true},
		{"504 that may have run", "504 Gateway Timeout\r\nX-Not-Run: 0\r\nContent-Length: 0\r\n\r\n", woodpick.Failure, true},
		{"500 with the mark", "500 Internal Server Error\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", woodpick.Failure, true},
		{"reset", "-", woodpick.Broken, false},
		{"ended in the head", "200 OK\r\nContent-Le", woodpick.Broken, false},
		{"cut body", "200 OK\r\nContent-Length: 9\r\n\r\nok", woodpick.Broken, false},
		{"cut chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", woodpick.Broken, false},
		{"no length", "200 OK\r\n\r\nok", woodpick.Broken, false},
		{"too long", fmt.Sprintf("200 OK\r\nContent-Length: %d\r\n\r\n%s", maxBody+1, strings.Repeat("x", maxBody+1)), woodpick.Broken, false},
		{"no HTTP", "what?\r\n\r\n", woodpick.Broken, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, func(conn net.Conn, r *http.Request, body string) bool {
				if c.answer == "-" {
					conn.(*net.TCPConn).SetLinger(0)
					return false
				}
				io.WriteString(conn, "HTTP/1.1 "+c.answer)
				return c.keeps
			})
			b := testBackend(10)
			r := run(t, b, testAttempt(b, s.addr()))
			if r.ending != c.want || c.want == woodpick.Success && string(r.body) != "ok" {
				t.Errorf("ending %d, body %q; want %d", r.ending, r.body, c.want)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if kept := len(b.idle[s.addr()]) == 1; kept != c.keeps || b.open != len(b.idle[s.addr()]) {
				t.Errorf("kept %v, %d open; want kept %v", kept, b.open, c.keeps)
			}
		})
	}
}

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	b := testBackend(10)
	if r := run(t, b, testAttempt(b, closedPort(t))); r.ending != woodpick.Unreachable || b.open != 0 {
		t.Errorf("ending %d, %d open", r.ending, b.open)
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
	b.dialer.Timeout = 50 * time.Millisecond
	if r := run(t, b, testAttempt(b, addr)); r.ending != woodpick.Unreachable || b.open != 0 {
		t.Errorf("ending %d, %d open", r.ending, b.open)
	}
}

// halfConn breaks in the middle of a write.
type halfConn struct{ net.Conn }

func (c halfConn) Write(p []byte) (int, error) {
	n, _ := c.Conn.Write(p[:len(p)-1])
	c.Conn.Close()
	return n, errors.New("broken")
}

func TestBreakBeforeTheLastByteIsUnreachable(t *testing.T) {
	s := newServer(t, echo)
	nc, err := net.Dial("tcp", s.addr())
	if err != nil {
		t.Fatal(err)
	}
	b := testBackend(10)
	b.adopt(halfConn{nc}, s.addr())
	if r := run(t, b, testAttempt(b, s.addr())); r.ending != woodpick.Unreachable || b.open != 0 {
		t.Errorf("ending %d, %d open", r.ending, b.open)
	}
	if s.seen() != 0 {
		t.Error("the server got the request")
	}
}

// adopt puts a connection among the idle ones.
func (b *backend) adopt(nc net.Conn, endpoint string) {
	waiter := make(chan reply, 1)
	b.open++
	c := b.watch(nc, endpoint, waiter)
	b.mu.Lock()
	defer b.mu.Unlock()
	c.waiter, c.writing = nil, false
	b.idle[endpoint] = append(b.idle[endpoint], c)
}

// A close that the connection's reader has not seen yet, as on a busy core, is found all the same.
func TestCloseIsSeenBeforeTheReaderRuns(t *testing.T) {
	s := newServer(t, echo)
	closing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closing.Close()
	nc, err := net.Dial("tcp", closing.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if closedByPeer(nc) {
		t.Fatal("an open connection is said to be closed")
	}
	other, err := closing.Accept()
	if err != nil {
		t.Fatal(err)
	}
	b := testBackend(10)
	b.open = 1
	b.idle[s.addr()] = []*conn{{Conn: nc, endpoint: s.addr()}} // with no reader
	other.Close()
	until(t, "the close to arrive", func() bool { return closedByPeer(nc) })
	if r := run(t, b, testAttempt(b, s.addr())); r.ending != woodpick.Success || b.open != 1 {
		t.Errorf("ending %d, %d open", r.ending, b.open)
	}
}

func TestTimedOutAndCancelledAttemptsCloseTheirConnection(t *testing.T) {
	for _, want := range []woodpick.Ending{woodpick.TimedOut, woodpick.Withdrawn} {
		got, gone := make(chan struct{}), make(chan struct{})
		s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
			close(got)
			c.Read(make([]byte, 1))
			close(gone)
			return false
		})
		b := testBackend(10)
		a := testAttempt(b, s.addr())
		if want == woodpick.TimedOut {
			a.deadline = a.sent + 100*time.Millisecond
		} else {
			go func() { <-got; a.cancel() }()
		}
		if r := run(t, b, a); r.ending != want || b.open != 0 {
			t.Errorf("ending %d, %d open; want %d", r.ending, b.open, want)
		}
		wait(t, gone, "the close")
	}
}

// A node short of descriptors closes idle connections first; its own lack is no server's fault.
func TestConnectionsBeyondTheBudget(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	one, two := newServer(t, echo), newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		<-hold
		return echo(c, r, body)
	})
	b := testBackend(1)
	if r := run(t, b, testAttempt(b, one.addr())); r.ending != woodpick.Success {
		t.Fatalf("ending %d", r.ending)
	}
	end := make(chan result, 1)
	go func() { end <- b.run(testAttempt(b, two.addr())) }()
	wait(t, got, "the attempt that took the idle one's place")
	if r := run(t, b, testAttempt(b, one.addr())); r.ending != woodpick.Void {
		t.Errorf("with no descriptor left: ending %d, want Void", r.ending)
	}
	close(hold)
	if r := wait(t, end, "the attempt"); r.ending != woodpick.Success {
		t.Errorf("ending %d", r.ending)
	}
	if one.seen() != 1 || b.open != 1 {
		t.Errorf("%d requests at the first server, %d connections open", one.seen(), b.open)
	}
}

func TestIdleConnectionsCloseBeforeTheServersDo(t *testing.T) {
	s := newServer(t, echo)
	b := testBackend(10)
	b.idleFor = 20 * time.Millisecond
	run(t, b, testAttempt(b, s.addr()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.sweep(ctx)
	until(t, "the close", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.open == 0 && len(b.idle) == 0
	})
	if full := testBackend(1); full.idleFor >= testConfig("").ConnIdle {
		t.Errorf("kept for %v", full.idleFor)
	}
}
