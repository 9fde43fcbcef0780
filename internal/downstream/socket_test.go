package downstream

import (
	"io"
	"net"
	"testing"

	"damsontrestle/internal/testpeer"
)

// A close by the peer is reported at once, also behind unread bytes.
func TestPeekSocketReportsKernelState(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, c := range []struct {
		name   string
		action func(*net.TCPConn)
		want   SocketState
	}{
		{"quiet", func(*net.TCPConn) {}, SocketOpen},
		{"unread", func(c *net.TCPConn) { io.WriteString(c, "more") }, SocketUnread},
		{"closed", func(c *net.TCPConn) { c.Close() }, SocketClosed},
		{"half closed", func(c *net.TCPConn) { c.CloseWrite() }, SocketClosed},
		{"closed behind bytes", func(c *net.TCPConn) { io.WriteString(c, "more"); c.Close() }, SocketClosed},
		{"half closed behind bytes", func(c *net.TCPConn) { io.WriteString(c, "more"); c.CloseWrite() }, SocketClosed},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, SocketClosed},
	} {
		peer, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.action(peer.(*net.TCPConn))
		testpeer.Until(t, c.name+": the state to be reported", func() bool { return PeekSocket(conn) == c.want })
		conn.Close()
		if PeekSocket(conn) != SocketClosed {
			t.Errorf("%s: state is not SocketClosed after a local close", c.name)
		}
	}
}
