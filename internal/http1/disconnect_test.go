package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/testpeer"
)

// holdingServer never replies. It sends the id of each request to received when it arrives, and to closed when its connection
// ends.
type holdingServer struct {
	*testpeer.Server
	received, closed chan string
}

func newHoldingServer(t *testing.T) *holdingServer {
	server := &holdingServer{received: make(chan string, 100), closed: make(chan string, 100)}
	server.Server = testpeer.NewServer(t, func(conn net.Conn, r *http.Request, _ string) bool {
		id := r.Header.Get("X-Request-Id")
		server.received <- id
		io.Copy(io.Discard, conn)
		server.closed <- id
		return false
	})
	return server
}

func getRequest(id string) string {
	return "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Deadline: 60\r\n\r\n"
}

// The end of a client's connection is detected whatever the client sent behind its request: the attempt is cancelled, and
// neither a retry nor a pipelined request is started.
func TestDisconnectAfterReadAheadBytesIsDetected(t *testing.T) {
	manyRequests := strings.Repeat(getRequest("behind"), 300)
	for _, c := range []struct {
		name, with, behind string // with: sent in the same write as the request
		reset              bool
	}{
		{"nothing", "", "", false},
		{"one byte", "", "G", false},
		{"a request", "", getRequest("behind"), false},
		{"a request in the same write", getRequest("behind"), "", false},
		{"one and a half requests and a reset", getRequest("behind"), "GET /vi", true},
		{"many requests", "", manyRequests, false},
		{"many requests in the same write", manyRequests, "", false},
		{"more than the read-ahead limit", "", strings.Repeat(manyRequests, 40), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			one, two := newHoldingServer(t), newHoldingServer(t)
			node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", one.Address(), "in_service"), testpeer.Entry("s2", two.Address(), "in_service"))), nil)
			client := testpeer.Dial(t, node.Addr())
			io.WriteString(client, getRequest("first")+c.with)
			var holder *holdingServer
			select {
			case <-one.received:
				holder = one
			case <-two.received:
				holder = two
			case <-time.After(testpeer.Limit):
				t.Fatal("no attempt reached a server")
			}
			written := make(chan struct{})
			go func() { // the write may block on full kernel buffers
				defer close(written)
				client.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
				io.WriteString(client, c.behind)
			}()
			<-written
			if c.reset {
				client.Conn.(*net.TCPConn).SetLinger(0)
			}
			client.Close()
			testpeer.Receive(t, holder.closed, "the attempt to be cancelled")
			testpeer.Until(t, "the client's connection to be removed", func() bool { return node.clients.Len() == 0 })
			testpeer.Until(t, "the engine to have no open request", func() bool { return node.engine.Status().Open == 0 })
			if all := append(one.Requests(), two.Requests()...); len(all) != 1 || all[0] != "first" {
				t.Errorf("servers received %q, want only the first request", all)
			}
			if status := node.engine.Status(); status.Requests != 1 || status.Disconnected != 1 {
				t.Errorf("the engine counts %d requests, %d of them disconnected; want 1, 1", status.Requests, status.Disconnected)
			}
		})
	}
}

// A client that has closed only its write side counts as disconnected. If it still reads, it gets a failure, and not an empty
// success that no server sent.
func TestHalfClosedClientGetsBadGateway(t *testing.T) {
	server := newHoldingServer(t)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	client.Get("half")
	testpeer.Receive(t, server.received, "an attempt")
	client.Conn.(*net.TCPConn).CloseWrite()
	testpeer.Receive(t, server.closed, "the attempt to be cancelled")
	r, _ := client.ReadResponse(t)
	if r.StatusCode != http.StatusBadGateway || !r.Close {
		t.Errorf("status %d, close %v; want 502, true", r.StatusCode, r.Close)
	}
}

// A client that pipelines requests gets all responses in order, and none is lost if idle connections are closed between two of
// them: a connection with a read request is not idle.
func TestPipelinedRequestsAreAllAnswered(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.clients.SetGracePeriods(gracesWithIdle(0))
	})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				node.front.CloseIdle()
			}
		}
	}()
	for run := range 50 {
		id := fmt.Sprint("b", run)
		post := "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Deadline: 60\r\nContent-Length: 4\r\n\r\nbody"
		conn, err := net.Dial("tcp", node.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testpeer.Limit))
		io.WriteString(conn, getRequest("a")+post+getRequest("c"))
		reader := bufio.NewReader(conn)
		for i, want := range []string{"for a", "for " + id, "for c"} {
			r, err := http.ReadResponse(reader, nil)
			if err != nil {
				if i > 0 {
					t.Fatalf("no response %q: %v, though the previous one arrived", want, err)
				}
				break // closed before any request was read
			}
			body, err := io.ReadAll(r.Body)
			if err != nil || r.StatusCode != http.StatusOK || string(body) != want {
				t.Fatalf("got %d %q, %v; want %q", r.StatusCode, body, err, want)
			}
		}
		conn.Close()
	}
}

// A connection whose client keeps sending is not reset while a response is in flight, whether the bytes arrive before the
// close or after it has begun.
func TestCloseWithUnreadBytesDoesNotLoseResponse(t *testing.T) {
	response := strings.Repeat("x", 1<<20) // more than the client's buffer holds
	for _, c := range []struct{ early, cut bool }{{true, false}, {false, false}, {true, true}} {
		early := c.early
		conn, peer := connPair(t)
		conn.set.Add(conn, nil)
		if c.cut {
			conn.AbortRead() // at the descriptor limit or at shutdown; the client still gets a response
		}
		if early {
			io.WriteString(peer, "GET /behind")
			testpeer.Until(t, "the bytes to arrive", func() bool { return downstream.PeekSocket(conn.Conn) == downstream.SocketUnread })
		}
		closed := make(chan struct{})
		go func() {
			io.WriteString(conn, response)
			conn.Close()
			close(closed)
		}()
		if !early {
			testpeer.Until(t, "the close to begin", func() bool { return conn.set.CountPhase(downstream.PhaseLingering) == 1 })
			io.WriteString(peer, strings.Repeat("GET /behind", 100))
		}
		peer.SetDeadline(time.Now().Add(testpeer.Limit))
		got, err := io.ReadAll(peer)
		if err != nil || len(got) != len(response) {
			t.Errorf("%+v: %d of %d bytes, %v", c, len(got), len(response), err)
		}
		peer.Close()
		testpeer.Receive(t, closed, "the close")
	}
}

// connPair returns both ends of a client connection: the front end's and the client's.
func connPair(t *testing.T) (conn *clientConn, peer net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if peer, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	set := downstream.New(clock.New(), downstream.Limits{Capacity: 10, Reserve: 10}, func() int { return 0 })
	c, err := clientListener{ln, set, new(atomic.Int64)}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close(); c.(*clientConn).Abort() })
	return c.(*clientConn), peer
}

// Requests that were read together all get a response, even if each response should close its connection.
func TestPipelinedRequestsAreAnsweredBeforeClose(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	node.front.SetClosing(true)
	client := testpeer.Dial(t, node.Addr())
	io.WriteString(client, getRequest("a")+getRequest("b")+getRequest("c"))
	for i, id := range []string{"a", "b", "c"} {
		r, body := client.ReadResponse(t)
		if r.StatusCode != http.StatusOK || body != "for "+id || r.Close != (i == 2) {
			t.Errorf("status %d, body %q, close %v", r.StatusCode, body, r.Close)
		}
	}
	client.WantClosed(t, "the connection after the last response")
}

// A request that arrives while another is served gets a response too, even if each response should close its connection.
func TestRequestReadAheadIsAnsweredBeforeClose(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	server := testpeer.NewServer(t, testpeer.HoldRequest(hold, got))
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	node.front.SetClosing(true)
	client := testpeer.Dial(t, node.Addr())
	client.Get("held")
	testpeer.Receive(t, got, "the attempt")
	client.Get("behind")
	testpeer.Until(t, "the next request to be read", func() bool { return hasReadAhead(node) })
	close(hold)
	for i, id := range []string{"held", "behind"} {
		r, body := client.ReadResponse(t)
		if r.StatusCode != http.StatusOK || body != "for "+id || r.Close != (i == 1) {
			t.Errorf("status %d, body %q, close %v", r.StatusCode, body, r.Close)
		}
	}
}

// hasReadAhead reports whether bytes were read ahead on any connection of the test node.
func hasReadAhead(n *testNode) bool {
	return n.front.totalReadAhead.Load() > 0
}

// Guards against a request that is taken though its client has left: the end of the connection stands behind unread bytes, and was seen by
// the request before.
func TestEndBehindUnreadBytesEndsTheConnection(t *testing.T) {
	local, remote := testpeer.Pair(t)
	conn := newClientConn(local, startNode(t, testConfig(testpeer.FullSnapshot()), nil).clients, new(atomic.Int64))
	io.WriteString(remote, getRequest("behind"))
	remote.Close()
	testpeer.Until(t, "the close to be seen", conn.hasDisconnected)
	if !conn.hasEnded() {
		t.Error("the connection goes on after its client has left")
	}
}
