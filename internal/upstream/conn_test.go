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

// partialWriteConn closes the connection after writing all but the last byte.
type partialWriteConn struct{ net.Conn }

func (c partialWriteConn) Write(p []byte) (int, error) {
	n, _ := c.Conn.Write(p[:len(p)-1])
	c.Conn.Close()
	return n, errors.New("write: connection broken by the test")
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
		t.Errorf("result %d, %d connections open", r.Result, pool.open)
	}
	if s.RequestCount() != 0 {
		t.Error("the server received the complete request")
	}
}

// Input that arrived before a request was written is no reply to it. It is detected, as is a close, even if the connection's
// reader has not run yet, as on a busy core: another connection is used.
func TestInputOrCloseBeforeRequestIsDetected(t *testing.T) {
	for name, input := range map[string]string{"close": "", "unsolicited reply": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"} {
		t.Run(name, func(t *testing.T) {
			server := testpeer.NewServer(t, testpeer.Echo)
			silent, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer silent.Close()
			nc, err := net.Dial("tcp", silent.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if hasInput(nc) {
				t.Fatal("an open connection without input is reported to have input")
			}
			peer, err := silent.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			pool := newTestPool(10)
			host := listServer(pool, server.Address())
			pool.open = 1
			pool.share.TryAcquire()
			pool.idle[host] = []*conn{{Conn: nc, raw: rawConn(nc), host: host}} // without a reader goroutine
			if input == "" {
				peer.Close()
			} else {
				io.WriteString(peer, input)
			}
			testpeer.Until(t, "the input or close to arrive", func() bool { return hasInput(nc) })
			if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success || string(r.Reply.Body) != "for id" || pool.open != 1 {
				t.Errorf("result %d, body %q, %d connections open", r.Result, r.Reply.Body, pool.open)
			}
		})
	}
}

// A fresh connection on which the server sends bytes or closes before a request does not count: the attempt ends, and does not
// redial endlessly.
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
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	peer.Close()
	testpeer.Until(t, "the close to arrive", func() bool { return hasInput(nc) })
	pool := newTestPool(10)
	waiter := make(chan reply, 1)
	pool.open = 1
	pool.share.TryAcquire()
	c := pool.newConn(nc, listServer(pool, "127.0.0.1:1"), waiter)
	if pool.beginExchange(c, waiter, nil) == nil || pool.open != 0 {
		t.Errorf("beginExchange accepted a closed connection, or it is still counted: %d connections open", pool.open)
	}
}
