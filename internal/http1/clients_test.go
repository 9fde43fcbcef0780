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

// idleFor are the usual graces, but for idle connections.
func idleFor(d time.Duration) downstream.GracePeriods {
	g := downstream.DefaultGracePeriods()
	g.Idle = d
	return g
}

// untilIdle waits for a connection to be idle: a request is over a little after its answer.
func untilIdle(t *testing.T, n *testNode) {
	t.Helper()
	testpeer.Until(t, "a connection to be idle", func() bool { return n.clients.CountPhase(downstream.PhaseIdle) > 0 })
}

// serverThatHolds returns a server that tells got of each request whose id begins with "held", and answers it once hold is
// closed. It answers all others at once.
func serverThatHolds(t *testing.T) (s *testpeer.Server, hold, got chan struct{}) {
	t.Helper()
	hold, got = make(chan struct{}), make(chan struct{}, 100)
	s = testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "held") {
			got <- struct{}{}
			<-hold
		}
		return testpeer.Echo(c, r, body)
	})
	return s, hold, got
}

func TestClientConnectionsBeyondTheirShare(t *testing.T) {
	s, hold, got := serverThatHolds(t)
	const most = 4
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), func(n *testNode) {
		n.clients.Resize(downstream.Limits{Capacity: 2 * most, ServerMinimum: most, Reserve: 24})
		n.clients.SetGracePeriods(idleFor(0))
	})
	idle := testpeer.Dial(t, n.Addr())
	idle.Get("idle")
	idle.Want(t, 200, "for idle")
	untilIdle(t, n)
	var held []*testpeer.Caller
	for i := range most {
		c := testpeer.Dial(t, n.Addr())
		c.Get(fmt.Sprint("held-", i))
		testpeer.Receive(t, got, "an attempt")
		held = append(held, c)
	}
	idle.WantClosed(t, "the idle connection when there are too many")
	over := testpeer.Dial(t, n.Addr()) // read and refused, never left unread
	over.Get("over")
	r, _ := over.Answer(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("got %d, Retry-After %q, close %v", r.StatusCode, r.Header.Get("Retry-After"), r.Close)
	}
	close(hold)
	for i, c := range held {
		c.Want(t, 200, fmt.Sprint("for held-", i))
	}
}

// A connection is closed only while it waits: not with a request read that net/http has not told of
// yet, nor with the first byte of the next one, read early behind an answer.
func TestCloseIdleSparesBegunRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	set := downstream.New(clock.New(), downstream.Limits{Capacity: 2, Reserve: 10}, func() int { return 1 })
	f := &Front{clients: set}
	pair := func() (ours *clientConn, theirs net.Conn) {
		theirs, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { theirs.Close() })
		c, err := clientListener{ln, set, new(atomic.Int64)}.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c.(*clientConn), theirs
	}
	say := func(from, to net.Conn, text string) {
		t.Helper()
		to.SetReadDeadline(time.Now().Add(testpeer.Limit))
		if _, err := io.WriteString(from, text); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(to, make([]byte, len(text))); err != nil {
			t.Fatal(err)
		}
	}
	a, client := pair()
	b, _ := pair()
	request := getText("a")
	say(client, a, request)
	f.track(a, http.StateNew)
	f.track(a, http.StateActive)
	a.takeHead(false) // the front end has it
	say(a, client, "its answer")
	say(client, a, request[:1]) // the next request's first byte
	f.track(a, http.StateIdle)
	f.track(b, http.StateNew) // one too many
	if a.closing || !set.OverLimit() {
		t.Fatal("a connection with a request on it was let go")
	}
	say(client, a, request[1:])
	a.takeHead(false)
	say(a, client, "its answer")
	set.SetGracePeriods(idleFor(testpeer.Limit))
	f.track(a, http.StateIdle)
	if a.closing || !set.OverLimit() {
		t.Fatal("a connection idle for a moment only was let go")
	}
	set.SetGracePeriods(idleFor(0))
	f.track(b, http.StateActive)
	if !a.closing || set.OverLimit() {
		t.Fatal("the idle connection was not let go")
	}
	a.SetReadDeadline(time.Time{}) // net/http does, after it has said that it is idle
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the wait goes on: %v", err)
	}
	f.track(a, http.StateClosed)
	if set.Len() != 1 || set.OverLimit() {
		t.Errorf("%d held, crowded %v", set.Len(), set.OverLimit())
	}
}

// Whatever reaches a server has been read, so its client must get the answer, however often idle
// connections are closed meanwhile.
func TestCloseIdleLosesNoReadRequest(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), func(n *testNode) {
		n.clients.Resize(downstream.Limits{Capacity: 8, ServerMinimum: 4, Reserve: 24})
		n.clients.SetGracePeriods(idleFor(0))
	})
	var mu sync.Mutex
	answered := map[string]bool{}
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c net.Conn
			var br *bufio.Reader
			for j := range 60 {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", n.Addr()); err != nil {
						t.Error(err)
						return
					}
					c.SetDeadline(time.Now().Add(2 * testpeer.Limit))
					br = bufio.NewReader(c)
				}
				id := fmt.Sprintf("c%d-%d", i, j)
				fmt.Fprintf(c, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 60\r\n\r\n", id)
				r, err := http.ReadResponse(br, nil)
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
	for _, id := range s.Requests() {
		if !answered[id] {
			t.Errorf("%s was sent to the server, and its caller got no answer", id)
		}
	}
	if s.Seen() == 0 {
		t.Error("no request reached the server")
	}
}

// countedListener counts the requests of Accept: with the next, all that came before is known.
type countedListener struct {
	net.Listener
	calls atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	l.calls.Add(1)
	return l.Listener.Accept()
}

// Hundreds of connections that say nothing, half a request or too little of a body hold no place that a
// good client needs: they are closed first, before they would time out, and the good one is served.
func TestClientIsServedBesideHundredsOfSilentOnes(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	cfg := testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service")))
	cfg.Capacity = 256 - 48
	var accepting countedListener
	n := start(t, cfg, func(n *testNode) {
		n.front.server.ReadHeaderTimeout, n.front.grace = 2*testpeer.Limit, 2*testpeer.Limit // what is closed is closed for want of room
		n.clients.SetGracePeriods(downstream.GracePeriods{Idle: testpeer.Limit})
		accepting.Listener = n.listener
		n.listener = &accepting
	})
	const body = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\nContent-Length: 9\r\n\r\nhal"
	good := testpeer.Dial(t, n.Addr())
	for i := range 600 {
		bad := testpeer.Dial(t, n.Addr())
		io.WriteString(bad, []string{"", "GET /view/k HT", "GET /view/k HTTP/1.1\r\nX-", body}[i%4])
		if i%20 == 0 {
			// One that comes while the good one's request is read could cost that its place, with no grace at all.
			testpeer.Until(t, "those before to be accepted", func() bool { return int(accepting.calls.Load()) > 2+i+i/20 })
			good.Get(fmt.Sprint("good-", i))
			good.Want(t, http.StatusOK, fmt.Sprint("for good-", i))
			fresh := testpeer.Dial(t, n.Addr())
			fresh.Get(fmt.Sprint("fresh-", i))
			fresh.Want(t, http.StatusOK, fmt.Sprint("for fresh-", i))
			fresh.Close()
		}
	}
	testpeer.Until(t, "the rest to be let go", func() bool { return !n.clients.OverLimit() })
}

// Silent and half-spoken connections end by themselves, and so do those that ask no more.
func TestConnectionsWithoutRequestTimeOut(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), func(n *testNode) {
		n.front.server.ReadTimeout = 300 * time.Millisecond
		n.front.server.IdleTimeout = 300 * time.Millisecond
	})
	for _, text := range []string{"", "GET /view/k HTTP/1.1\r\nHo", "\r\n"} {
		c := testpeer.Dial(t, n.Addr())
		io.WriteString(c, text)
		said, err := io.ReadAll(c)
		if err != nil {
			t.Errorf("%q: %v after %q", text, err, said)
		}
	}
	c := testpeer.Dial(t, n.Addr())
	c.Get("once")
	c.Want(t, http.StatusOK, "for once")
	c.WantClosed(t, "a connection that asks no more")
}

// Clients, requests and servers that are ever new leave nothing behind.
func TestStateStaysBounded(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s0", s.Address(), "in_service"))), nil)
	round := func(i int) {
		l := discovery.List{Full: true, Rev: int64(i), Targets: []discovery.Target{{Endpoint: s.Address()}}}
		l.Targets[0].ID = fmt.Sprint("s", i)
		n.engine.UpdateList(l)
		c := testpeer.Dial(t, n.Addr())
		c.Get(fmt.Sprint("r-", i))
		c.Want(t, http.StatusOK, "")
		c.Close()
	}
	for i := range 50 {
		round(i)
	}
	before := runtime.NumGoroutine()
	for i := range 300 {
		round(50 + i)
	}
	testpeer.Until(t, "all that has gone to be forgotten", func() bool {
		return n.clients.Len() == 0 && n.backend.count() == 1 && n.upstream.Connections() <= 1 && runtime.NumGoroutine() <= before+5
	})
}
