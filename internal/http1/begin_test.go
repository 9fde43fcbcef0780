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

// A repeat of a keyed request is decided on inside its window, and its connection takes until after it: the request fails
// rather than repeats.
func TestIdempotentRetryAfterItsWindowIsNotSent(t *testing.T) {
	breaks := func(c net.Conn, _ *http.Request, _ string) bool { return false } // it may have run
	one, two := testpeer.NewServer(t, breaks), testpeer.NewServer(t, breaks)
	cfg := testConfig(testpeer.Whole(testpeer.Entry("s1", one.Address(), "in_service"), testpeer.Entry("s2", two.Address(), "in_service")))
	for i := range cfg.Classes {
		if cfg.Classes[i].Effect == config.Keyed {
			cfg.Classes[i].Window = config.Duration(200 * time.Millisecond)
		}
	}
	n := start(t, cfg, func(n *testNode) {
		dials := 0
		n.upstream.SetDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials++; dials > 1 {
				time.Sleep(200 * time.Millisecond) // what was decided before is late by then, however fast the machine
			}
			return net.Dial(network, address)
		})
	})
	c := testpeer.Dial(t, n.Addr())
	testpeer.Until(t, "the repeat to be decided on", func() bool {
		before := one.Seen() + two.Seen()
		io.WriteString(c, "POST /keyed/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: keyed\r\nX-Deadline: 60\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx")
		r, _ := c.Answer(t)
		if r.StatusCode == http.StatusOK {
			t.Fatalf("got %d", r.StatusCode)
		}
		if got := one.Seen() + two.Seen() - before; got > 1 {
			t.Fatalf("%d attempts reached servers", got)
		}
		return n.engine.Status().Sends > 1
	})
}

// Whose client leaves while a connection is on its way up is sent nowhere, also where the settings forbid to call off what
// has begun.
func TestDisconnectDuringDialBeginsNothing(t *testing.T) {
	for _, cancels := range []bool{true, false} {
		s := testpeer.NewServer(t, testpeer.Echo)
		cfg := testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service")))
		cfg.Pools[0].MayCancel = cancels
		dial := testpeer.NewLateDial()
		n := start(t, cfg, func(n *testNode) { n.upstream.SetDial(dial.Dial) })
		c := testpeer.Dial(t, n.Addr())
		c.Get("leaving")
		testpeer.Receive(t, dial.Dialing, "the attempt to dial")
		c.Close()
		testpeer.Until(t, "the engine to hear of it", func() bool { return n.engine.Status().Disconnected == 1 })
		close(dial.Up)
		testpeer.Until(t, "the attempt to end", func() bool { return n.upstream.Connections() == 0 && n.engine.Status().Open == 0 })
		if s.Seen() != 0 {
			t.Errorf("cancels %v: the server got the request", cancels)
		}
	}
}

// keptListener keeps what it accepts.
type keptListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l keptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c
	}
	return c, err
}

// Whose client leaves in the middle of its body, which nobody reads while a connection is on its way up, is sent nowhere, and
// its request ends.
func TestDisconnectDuringUploadBeginsNothing(t *testing.T) {
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
	dial := testpeer.NewLateDial()
	accepted := make(chan net.Conn, 1)
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", ln.Addr().String(), "in_service"))), func(n *testNode) {
		n.upstream.SetDial(dial.Dial)
		n.listener = keptListener{n.listener, accepted}
	})
	c := testpeer.Dial(t, n.Addr())
	io.WriteString(c, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: u\r\nX-Deadline: 60\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100_000))
	testpeer.Receive(t, dial.Dialing, "the attempt to dial")
	c.Close()
	ours := testpeer.Receive(t, accepted, "the connection")
	testpeer.Until(t, "the system to know of the close", func() bool { return downstream.PeekSocket(ours) == downstream.SocketClosed })
	close(dial.Up)
	if text := testpeer.Receive(t, written, "the close"); text != "" {
		t.Errorf("%d bytes were written, %.40q", len(text), text)
	}
	testpeer.Until(t, "the request to end", func() bool { return n.engine.Status().Open == 0 && n.clients.Len() == 0 })
	if got := n.engine.Status(); got.Disconnected != 1 {
		t.Errorf("%d have gone, want 1", got.Disconnected)
	}
}

// A second answer that comes late, when the next request is out, is nobody's: that request went over another connection.
func TestLateSecondReplyIsDiscarded(t *testing.T) {
	next := make(chan struct{})
	var late sync.WaitGroup
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		switch r.Header.Get("X-Request-Id") {
		case "first":
			late.Go(func() {
				<-next // the next request is out
				testpeer.Reply200(c, "again for first")
			})
		case "next":
			close(next)
			late.Wait()
		}
		return testpeer.Echo(c, r, body)
	})
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), func(n *testNode) {
		n.setSettle(testpeer.Limit) // however slow the machine
	})
	c := testpeer.Dial(t, n.Addr())
	for _, id := range []string{"first", "next"} {
		c.Get(id)
		c.Want(t, http.StatusOK, "for "+id)
	}
	if s.Opened() != 2 {
		t.Errorf("%d connections were opened, want 2", s.Opened())
	}
}

// A further attempt tells its server what is left to the client, not what was at first.
func TestRetrySendsRemainingDeadline(t *testing.T) {
	const wait = 20 * time.Second
	var attempts atomic.Int64
	var spent atomic.Int64
	told := make(chan time.Duration, 1)
	answer := func(c net.Conn, r *http.Request, body string) bool {
		if attempts.Add(1) == 1 {
			begin := time.Now()
			time.Sleep(50 * time.Millisecond) // of the client's time
			spent.Store(int64(time.Since(begin)))
			return false
		}
		left, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
		told <- time.Duration(left * float64(time.Second))
		return testpeer.Echo(c, r, body)
	}
	one, two := testpeer.NewServer(t, answer), testpeer.NewServer(t, answer)
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", one.Address(), "in_service"), testpeer.Entry("s2", two.Address(), "in_service"))), nil)
	c := testpeer.Dial(t, n.Addr())
	c.Send("GET", "/view/k", "again", "", "20")
	c.Want(t, http.StatusOK, "for again")
	if left, most := testpeer.Receive(t, told, "the second attempt"), wait-time.Duration(spent.Load()); left <= 0 || left > most {
		t.Errorf("told %v, at most %v are left", left, most)
	}
}
