package upstream

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/testpeer"
)

// halfConn breaks in the middle of a write.
type partialWriteConn struct{ net.Conn }

func (c partialWriteConn) Write(p []byte) (int, error) {
	n, _ := c.Conn.Write(p[:len(p)-1])
	c.Conn.Close()
	return n, errors.New("broken")
}

func (c partialWriteConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func TestBreakBeforeTheLastByteIsUnreachable(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	nc, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	pool := newTestPool(10)
	pool.addIdle(partialWriteConn{nc}, listServer(pool, s.Address()))
	if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.Unreachable || pool.open != 0 {
		t.Errorf("result %d, %d open", r.Result, pool.open)
	}
	if s.Seen() != 0 {
		t.Error("the server got the request")
	}
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
			pool.share.TryAcquire()
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
	pool.share.TryAcquire()
	c := pool.newConn(nc, listServer(pool, "127.0.0.1:1"), waiter)
	if pool.beginExchange(c, waiter) == nil || pool.open != 0 {
		t.Errorf("a request is written to a closed connection, or it is still counted: %d open", pool.open)
	}
}
