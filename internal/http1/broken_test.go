package http1

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"damsontrestle/internal/testpeer"
)

// faultyListener accepts faultyConns, and hands them to the test too.
type faultyListener struct {
	net.Listener
	accepted chan *testpeer.FaultyConn
}

func (l faultyListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &testpeer.FaultyConn{Conn: nc}
	l.accepted <- c
	return c, nil
}

// heldRequest has a request at a server that holds it, from a client on a connection that can be made to fail.
func heldRequest(t *testing.T) (n *testNode, c *testpeer.Caller, conn *testpeer.FaultyConn, release func(), ended <-chan struct{}) {
	hold, got, gone := make(chan struct{}), make(chan struct{}, 1), make(chan struct{})
	s := testpeer.NewServer(t, func(nc net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		closed := make(chan struct{})
		go func() { defer close(closed); nc.Read(make([]byte, 1)); close(gone) }()
		select {
		case <-hold:
			testpeer.Echo(nc, r, body)
			<-closed
		case <-closed:
		}
		return false
	})
	accepted := make(chan *testpeer.FaultyConn, 10)
	n = start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), func(n *testNode) {
		n.listener = faultyListener{n.listener, accepted}
	})
	c = testpeer.Dial(t, n.Addr())
	c.Send("POST", "/note/k", "held", "x", "60")
	conn = testpeer.Receive(t, accepted, "the client's connection")
	testpeer.Receive(t, got, "the attempt")
	return n, c, conn, func() { close(hold) }, gone
}

// A client whose connection ends in any way has gone: its attempt is called off, and its connection leaves nothing behind.
func TestAnyConnectionErrorDisconnectsClient(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENETDOWN} {
		n, c, conn, _, ended := heldRequest(t)
		conn.Fail(errno, 0)
		io.WriteString(c, "G")
		testpeer.Receive(t, ended, "the attempt's end")
		testpeer.Until(t, "the client's connection to be over", func() bool { return n.clients.Len() == 0 })
		testpeer.Until(t, "the request to be over", func() bool { return n.engine.Status().Open == 0 })
		if st := n.engine.Status(); st.Disconnected != 1 || st.Sends != 1 {
			t.Errorf("%v: %+v", errno, st)
		}
	}
}

// An answer that can't be written ends its connection, and nothing else.
func TestFailedResponseWriteClosesConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENETDOWN} {
		n, c, conn, release, _ := heldRequest(t)
		conn.Fail(0, errno)
		release()
		text, _ := io.ReadAll(c)
		if len(text) == 0 || len(text) > 60 {
			t.Errorf("%v: the client got %q", errno, text)
		}
		testpeer.Until(t, "the client's connection to be over", func() bool { return n.clients.Len() == 0 })
		testpeer.Until(t, "the request to be over", func() bool { return n.engine.Status().Open == 0 })
		if st := n.engine.Status(); st.Sends != 1 {
			t.Errorf("%v: %+v", errno, st)
		}
	}
}

// A client's connection on which a request fails in passing is no end: it gets its answer whole.
func TestClientConnectionOutlastsTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR} {
		_, c, conn, release, _ := heldRequest(t)
		conn.Fail(errno, errno)
		io.WriteString(c, "G")
		testpeer.Until(t, "the read to fail", func() bool {
			return !conn.ReadPending()
		})
		release()
		c.Want(t, 200, "for held")
	}
}
