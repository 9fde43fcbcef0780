package http1

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"damsontrestle/internal/testpeer"
)

// faultyConnListener accepts connections that can be made to fail, and sends them to the test.
type faultyConnListener struct {
	net.Listener
	accepted chan *testpeer.FaultyConn
}

func (l faultyConnListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &testpeer.FaultyConn{Conn: nc}
	l.accepted <- c
	return c, nil
}

// startHeldRequest sends a request to a server that holds it, from a client whose connection can be made to fail.
func startHeldRequest(t *testing.T) (node *testNode, client *testpeer.ClientConn, conn *testpeer.FaultyConn, release func(), ended <-chan struct{}) {
	released, received, attemptEnded := make(chan struct{}), make(chan struct{}, 1), make(chan struct{})
	server := testpeer.NewServer(t, func(serverSide net.Conn, r *http.Request, body string) bool {
		received <- struct{}{}
		closed := make(chan struct{})
		go func() { defer close(closed); serverSide.Read(make([]byte, 1)); close(attemptEnded) }()
		select {
		case <-released:
			testpeer.Echo(serverSide, r, body)
			<-closed
		case <-closed:
		}
		return false
	})
	accepted := make(chan *testpeer.FaultyConn, 10)
	node = startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.listener = faultyConnListener{node.listener, accepted}
	})
	client = testpeer.Dial(t, node.Addr())
	client.Send("POST", "/note/k", "held", "x", "60")
	conn = testpeer.Receive(t, accepted, "the client's connection")
	testpeer.Receive(t, received, "the attempt")
	return node, client, conn, func() { close(released) }, attemptEnded
}

// Any error that ends a client's connection counts as a disconnect: the attempt is cancelled, and no state of the connection
// is left.
func TestAnyConnectionErrorDisconnectsClient(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENETDOWN} {
		n, c, conn, _, ended := startHeldRequest(t)
		conn.Fail(errno, 0)
		io.WriteString(c, "G")
		testpeer.Receive(t, ended, "the end of the attempt")
		testpeer.Until(t, "the client's connection to be over", func() bool { return n.clients.Len() == 0 })
		testpeer.Until(t, "the request to be over", func() bool { return n.engine.Status().Open == 0 })
		if st := n.engine.Status(); st.Disconnected != 1 || st.Sends != 1 {
			t.Errorf("%v: %+v", errno, st)
		}
	}
}

// A response that can't be written closes its connection and has no other effect: the request is not sent again.
func TestFailedResponseWriteClosesConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENETDOWN} {
		n, c, conn, release, _ := startHeldRequest(t)
		conn.Fail(0, errno)
		release()
		text, _ := io.ReadAll(c)
		if len(text) == 0 || len(text) > 60 {
			t.Errorf("%v: the client received %q, want part of a response", errno, text)
		}
		testpeer.Until(t, "the client's connection to be over", func() bool { return n.clients.Len() == 0 })
		testpeer.Until(t, "the request to be over", func() bool { return n.engine.Status().Open == 0 })
		if st := n.engine.Status(); st.Sends != 1 {
			t.Errorf("%v: %+v", errno, st)
		}
	}
}

// Transient errors of reads and writes don't end a client's connection: the client gets its complete response.
func TestClientConnectionOutlastsTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR} {
		_, c, conn, release, _ := startHeldRequest(t)
		conn.Fail(errno, errno)
		io.WriteString(c, "G")
		testpeer.Until(t, "the read to fail", func() bool {
			return !conn.ReadPending()
		})
		release()
		c.Want(t, 200, "for held")
	}
}
