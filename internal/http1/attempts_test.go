package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/testpeer"
)

// The retry of a keyed request is scheduled within its window, but the dial outlasts the window: the request fails and is not
// sent again.
func TestIdempotentRetryAfterItsWindowIsNotSent(t *testing.T) {
	closeUnanswered := func(conn net.Conn, _ *http.Request, _ string) bool { return false } // the attempt may have run
	one, two := testpeer.NewServer(t, closeUnanswered), testpeer.NewServer(t, closeUnanswered)
	cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", one.Address(), "in_service"), testpeer.Entry("s2", two.Address(), "in_service")))
	for i := range cfg.Classes {
		if cfg.Classes[i].Effect == config.Keyed {
			cfg.Classes[i].Window = config.Duration(200 * time.Millisecond)
		}
	}
	node := startNode(t, cfg, func(node *testNode) {
		dials := 0
		node.upstream.SetDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials++; dials > 1 {
				time.Sleep(200 * time.Millisecond) // longer than the window, so the retry is late on a machine of any speed
			}
			return net.Dial(network, address)
		})
	})
	client := testpeer.Dial(t, node.Addr())
	testpeer.Until(t, "a retry to be scheduled", func() bool {
		before := one.RequestCount() + two.RequestCount()
		io.WriteString(client, "POST /keyed/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: keyed\r\nX-Deadline: 60\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx")
		r, _ := client.ReadResponse(t)
		if r.StatusCode == http.StatusOK {
			t.Fatalf("status %d, want a failure", r.StatusCode)
		}
		if got := one.RequestCount() + two.RequestCount() - before; got > 1 {
			t.Fatalf("%d attempts reached servers, want at most 1", got)
		}
		return node.engine.Status().Sends > 1
	})
}

// A request whose client disconnects during the dial is sent to no server, even if the pool's settings forbid cancelling
// attempts in flight.
func TestDisconnectDuringDialSendsNothing(t *testing.T) {
	for _, cancels := range []bool{true, false} {
		server := testpeer.NewServer(t, testpeer.Echo)
		cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service")))
		cfg.Pools[0].MayCancel = cancels
		dial := testpeer.NewHeldDialer()
		node := startNode(t, cfg, func(node *testNode) { node.upstream.SetDial(dial.Dial) })
		client := testpeer.Dial(t, node.Addr())
		client.Get("leaving")
		testpeer.Receive(t, dial.Dialing, "the start of the dial")
		client.Close()
		testpeer.Until(t, "the engine to count the disconnect", func() bool { return node.engine.Status().Disconnected == 1 })
		close(dial.Release)
		testpeer.Until(t, "the attempt to end", func() bool { return node.upstream.Connections() == 0 && node.engine.Status().Open == 0 })
		if server.RequestCount() != 0 {
			t.Errorf("cancel %v: the server received the request", cancels)
		}
	}
}

// recordingListener sends each accepted connection to a channel.
type recordingListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c
	}
	return c, err
}

// A request whose client disconnects in the middle of its body, which is not read during the dial, is sent to no server, and
// ends.
func TestDisconnectDuringUploadSendsNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	written := make(chan string, 1)
	go func() {
		if conn, err := ln.Accept(); err == nil {
			text, _ := io.ReadAll(conn)
			written <- string(text)
			conn.Close()
		}
	}()
	dial := testpeer.NewHeldDialer()
	accepted := make(chan net.Conn, 1)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", ln.Addr().String(), "in_service"))), func(node *testNode) {
		node.upstream.SetDial(dial.Dial)
		node.listener = recordingListener{node.listener, accepted}
	})
	client := testpeer.Dial(t, node.Addr())
	io.WriteString(client, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: u\r\nX-Deadline: 60\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100_000))
	testpeer.Receive(t, dial.Dialing, "the start of the dial")
	client.Close()
	clientSide := testpeer.Receive(t, accepted, "the client's connection")
	testpeer.Until(t, "the operating system to report the close", func() bool { return downstream.PeekSocket(clientSide) == downstream.SocketClosed })
	close(dial.Release)
	if text := testpeer.Receive(t, written, "the close of the server's connection"); text != "" {
		t.Errorf("the server received %d bytes: %.40q", len(text), text)
	}
	testpeer.Until(t, "the request to end", func() bool { return node.engine.Status().Open == 0 && node.clients.Len() == 0 })
	if got := node.engine.Status(); got.Disconnected != 1 {
		t.Errorf("%d clients counted as disconnected, want 1", got.Disconnected)
	}
}

// A second reply to the same request, sent late while the next request is in flight, is discarded: the next request uses
// another connection.
func TestLateSecondReplyIsDiscarded(t *testing.T) {
	next := make(chan struct{})
	var late sync.WaitGroup
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		switch r.Header.Get("X-Request-Id") {
		case "first":
			late.Go(func() {
				<-next // the next request is in flight
				testpeer.Reply200(conn, "again for first")
			})
		case "next":
			close(next)
			late.Wait()
		}
		return testpeer.Echo(conn, r, body)
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.setSettle(testpeer.Limit) // long enough for a slow machine
	})
	client := testpeer.Dial(t, node.Addr())
	for _, id := range []string{"first", "next"} {
		client.Get(id)
		client.Want(t, http.StatusOK, "for "+id)
	}
	if server.AcceptedConnections() != 2 {
		t.Errorf("%d connections were opened, want 2", server.AcceptedConnections())
	}
}

// A retry sends the server the time that remains to the client, not the original deadline.
func TestRetrySendsRemainingDeadline(t *testing.T) {
	const wait = 20 * time.Second
	var attempts atomic.Int64
	var elapsed atomic.Int64
	sentDeadline := make(chan time.Duration, 1)
	reply := func(conn net.Conn, r *http.Request, body string) bool {
		if attempts.Add(1) == 1 {
			begin := time.Now()
			time.Sleep(50 * time.Millisecond) // uses up some of the client's time
			elapsed.Store(int64(time.Since(begin)))
			return false
		}
		left, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
		sentDeadline <- time.Duration(left * float64(time.Second))
		return testpeer.Echo(conn, r, body)
	}
	one, two := testpeer.NewServer(t, reply), testpeer.NewServer(t, reply)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", one.Address(), "in_service"), testpeer.Entry("s2", two.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	client.Send("GET", "/view/k", "again", "", "20")
	client.Want(t, http.StatusOK, "for again")
	if left, maxLeft := testpeer.Receive(t, sentDeadline, "the second attempt"), wait-time.Duration(elapsed.Load()); left <= 0 || left > maxLeft {
		t.Errorf("X-Deadline of the retry is %v, at most %v remain", left, maxLeft)
	}
}
