package downstream

import (
	"io"
	"net"
	"testing"

	"damsontrestle/internal/testpeer"
)

// What the system knows of a connection's end is seen at once, also behind bytes that nobody has read.
func TestTheStateOfAConnectionIsTheSystems(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, c := range []struct {
		name  string
		cross func(*net.TCPConn)
		want  State
	}{
		{"quiet", func(*net.TCPConn) {}, Quiet},
		{"unread", func(c *net.TCPConn) { io.WriteString(c, "more") }, Unread},
		{"closed", func(c *net.TCPConn) { c.Close() }, Ended},
		{"half closed", func(c *net.TCPConn) { c.CloseWrite() }, Ended},
		{"closed behind bytes", func(c *net.TCPConn) { io.WriteString(c, "more"); c.Close() }, Ended},
		{"half closed behind bytes", func(c *net.TCPConn) { io.WriteString(c, "more"); c.CloseWrite() }, Ended},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, Ended},
	} {
		theirs, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer theirs.Close()
		ours, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.cross(theirs.(*net.TCPConn))
		testpeer.Until(t, c.name+" to be seen", func() bool { return StateOf(ours) == c.want })
		ours.Close()
		if StateOf(ours) != Ended {
			t.Errorf("%s: not ended once we have closed it", c.name)
		}
	}
}
