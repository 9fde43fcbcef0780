package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/testpeer"
)

// gracesWithIdle returns the default graces with another one for idle connections.
func gracesWithIdle(d time.Duration) downstream.GracePeriods {
	g := downstream.DefaultGracePeriods()
	g.Idle = d
	return g
}

// waitUntilIdle waits for a connection to become idle, which happens shortly after a request's response.
func waitUntilIdle(t *testing.T, n *testNode) {
	t.Helper()
	testpeer.Until(t, "a connection to be idle", func() bool { return n.clients.CountPhase(downstream.PhaseIdle) > 0 })
}

// startHoldingServer returns a server that signals on got each request whose id begins with "held", and replies to it once hold
// is closed. It replies to all others at once.
func startHoldingServer(t *testing.T) (server *testpeer.Server, hold, got chan struct{}) {
	t.Helper()
	hold, got = make(chan struct{}), make(chan struct{}, 100)
	server = testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "held") {
			got <- struct{}{}
			<-hold
		}
		return testpeer.Echo(conn, r, body)
	})
	return server, hold, got
}

func TestConnectionLimitClosesIdleAndRejectsNew(t *testing.T) {
	server, hold, got := startHoldingServer(t)
	const capacity = 4
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.clients.Resize(downstream.Limits{Capacity: 2 * capacity, ServerMinimum: capacity, Reserve: 24})
		node.clients.SetGracePeriods(gracesWithIdle(0))
	})
	idle := testpeer.Dial(t, node.Addr())
	idle.Get("idle")
	idle.Want(t, 200, "for idle")
	waitUntilIdle(t, node)
	var held []*testpeer.ClientConn
	for i := range capacity {
		client := testpeer.Dial(t, node.Addr())
		client.Get(fmt.Sprint("held-", i))
		testpeer.Receive(t, got, "an attempt")
		held = append(held, client)
	}
	idle.WantClosed(t, "the idle connection above the limit")
	excess := testpeer.Dial(t, node.Addr()) // read and rejected, never left unread
	excess.Get("over")
	r, _ := excess.ReadResponse(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("status %d, Retry-After %q, close %v; want 503 with Retry-After and close", r.StatusCode, r.Header.Get("Retry-After"), r.Close)
	}
	close(hold)
	for i, client := range held {
		client.Want(t, 200, fmt.Sprint("for held-", i))
	}
}

// A connection is closed only while it waits for a request: not after a request was read that net/http has not reported yet,
// nor after the first byte of the next one was read early, behind a response.
func TestCloseIdleKeepsConnectionWithStartedRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	set := downstream.New(clock.New(), downstream.Limits{Capacity: 2, Reserve: 10}, func() int { return 1 })
	front := &Front{clients: set}
	pair := func() (conn *clientConn, peer net.Conn) {
		peer, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { peer.Close() })
		c, err := clientListener{ln, set, new(atomic.Int64)}.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c.(*clientConn), peer
	}
	send := func(from, to net.Conn, text string) {
		t.Helper()
		to.SetReadDeadline(time.Now().Add(testpeer.Limit))
		if _, err := io.WriteString(from, text); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(to, make([]byte, len(text))); err != nil {
			t.Fatal(err)
		}
	}
	first, client := pair()
	second, _ := pair()
	request := getRequest("a")
	send(client, first, request)
	front.trackConnState(first, http.StateNew)
	front.trackConnState(first, http.StateActive)
	first.consumeHead(false) // the front end has received the request
	send(first, client, "its answer")
	send(client, first, request[:1]) // the next request's first byte
	front.trackConnState(first, http.StateIdle)
	front.trackConnState(second, http.StateNew) // exceeds the limit by one
	if first.closing || !set.OverLimit() {
		t.Fatal("a connection with a started request was closed")
	}
	send(client, first, request[1:])
	first.consumeHead(false)
	send(first, client, "its answer")
	set.SetGracePeriods(gracesWithIdle(testpeer.Limit))
	front.trackConnState(first, http.StateIdle)
	if first.closing || !set.OverLimit() {
		t.Fatal("a connection was closed within its idle grace")
	}
	set.SetGracePeriods(gracesWithIdle(0))
	front.trackConnState(second, http.StateActive)
	if !first.closing || set.OverLimit() {
		t.Fatal("the idle connection was not closed")
	}
	first.SetReadDeadline(time.Time{}) // net/http does this after it has reported StateIdle
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after the close returned %v, want a timeout", err)
	}
	front.trackConnState(first, http.StateClosed)
	if set.Len() != 1 || set.OverLimit() {
		t.Errorf("%d connections open, near the limit %v; want 1, false", set.Len(), set.OverLimit())
	}
}

// A request that reached a server was read, so its client must get the response, however often idle connections are closed
// in the meantime.
func TestCloseIdleLosesNoReadRequest(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.clients.Resize(downstream.Limits{Capacity: 8, ServerMinimum: 4, Reserve: 24})
		node.clients.SetGracePeriods(gracesWithIdle(0))
	})
	var mu sync.Mutex
	answered := map[string]bool{}
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c net.Conn
			var reader *bufio.Reader
			for j := range 60 {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", node.Addr()); err != nil {
						t.Error(err)
						return
					}
					c.SetDeadline(time.Now().Add(2 * testpeer.Limit))
					reader = bufio.NewReader(c)
				}
				id := fmt.Sprintf("c%d-%d", i, j)
				fmt.Fprintf(c, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 60\r\n\r\n", id)
				r, err := http.ReadResponse(reader, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, r.Body)
				}
				if err == nil {
					mu.Lock()
					answered[id] = true
					mu.Unlock()
				}
				if err != nil || r.Close {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		}()
	}
	clients.Wait()
	for _, id := range server.Requests() {
		if !answered[id] {
			t.Errorf("%s was sent to the server, but its client got no response", id)
		}
	}
	if server.RequestCount() == 0 {
		t.Error("no request reached the server")
	}
}

// countingListener counts the calls of Accept. A call means that all connections accepted before are registered.
type countingListener struct {
	net.Listener
	calls atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	l.calls.Add(1)
	return l.Listener.Accept()
}

// Hundreds of connections that send nothing, half a request or part of a body don't block a well-behaved client: they are
// closed first, before they would time out, and the client is served.
func TestClientIsServedDespiteHundredsOfSilentConnections(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service")))
	cfg.Capacity = 256 - 48
	var accepting countingListener
	node := startNode(t, cfg, func(node *testNode) {
		// These timeouts are too long to be reached, so connections are closed only because of the limit.
		node.front.server.ReadHeaderTimeout, node.front.bodyGrace = 2*testpeer.Limit, 2*testpeer.Limit
		node.clients.SetGracePeriods(downstream.GracePeriods{Idle: testpeer.Limit})
		accepting.Listener = node.listener
		node.listener = &accepting
	})
	const body = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\nContent-Length: 9\r\n\r\nhal"
	good := testpeer.Dial(t, node.Addr())
	for i := range 600 {
		silent := testpeer.Dial(t, node.Addr())
		io.WriteString(silent, []string{"", "GET /view/k HT", "GET /view/k HTTP/1.1\r\nX-", body}[i%4])
		if i%20 == 0 {
			// A connection accepted while the good client's request is read could evict it, since that has no grace.
			testpeer.Until(t, "the earlier connections to be accepted", func() bool { return int(accepting.calls.Load()) > 2+i+i/20 })
			good.Get(fmt.Sprint("good-", i))
			good.Want(t, http.StatusOK, fmt.Sprint("for good-", i))
			fresh := testpeer.Dial(t, node.Addr())
			fresh.Get(fmt.Sprint("fresh-", i))
			fresh.Want(t, http.StatusOK, fmt.Sprint("for fresh-", i))
			fresh.Close()
		}
	}
	testpeer.Until(t, "the silent connections to be closed", func() bool { return !node.clients.OverLimit() })
}

// Connections without a request, with an incomplete head, or idle after a response are closed by timeouts.
func TestConnectionsWithoutRequestTimeOut(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.front.server.ReadTimeout = 300 * time.Millisecond
		node.front.server.IdleTimeout = 300 * time.Millisecond
	})
	for _, text := range []string{"", "GET /view/k HTTP/1.1\r\nHo", "\r\n"} {
		client := testpeer.Dial(t, node.Addr())
		io.WriteString(client, text)
		received, err := io.ReadAll(client)
		if err != nil {
			t.Errorf("%q: not closed: %v after %q", text, err, received)
		}
	}
	client := testpeer.Dial(t, node.Addr())
	client.Get("once")
	client.Want(t, http.StatusOK, "for once")
	client.WantClosed(t, "an idle connection")
}

// Ever new clients, requests and servers leave no state behind.
func TestStateStaysBounded(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s0", server.Address(), "in_service"))), nil)
	round := func(i int) {
		l := discovery.List{Full: true, Rev: int64(i), Targets: []discovery.Target{{Endpoint: server.Address()}}}
		l.Targets[0].ID = fmt.Sprint("s", i)
		node.engine.UpdateList(l)
		client := testpeer.Dial(t, node.Addr())
		client.Get(fmt.Sprint("r-", i))
		client.Want(t, http.StatusOK, "")
		client.Close()
	}
	for i := range 50 {
		round(i)
	}
	before := runtime.NumGoroutine()
	for i := range 300 {
		round(50 + i)
	}
	testpeer.Until(t, "the state of former clients and servers to be released", func() bool {
		return node.clients.Len() == 0 && node.backend.count() == 1 && node.upstream.Connections() <= 1 && runtime.NumGoroutine() <= before+5
	})
}
