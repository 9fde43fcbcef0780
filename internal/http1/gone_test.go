package http1

import (
	"bufio"
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

// holdingServer holds every request until the test ends, and tells of each one's arrival and of the end of its connection.
type holdingServer struct {
	*testpeer.Server
	got, gone chan string
}

func newHoldingServer(t *testing.T) *holdingServer {
	s := &holdingServer{got: make(chan string, 100), gone: make(chan string, 100)}
	s.Server = testpeer.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		id := r.Header.Get("X-Request-Id")
		s.got <- id
		io.Copy(io.Discard, c)
		s.gone <- id
		return false
	})
	return s
}

func getText(id string) string {
	return "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Deadline: 60\r\n\r\n"
}

// A client is gone once its connection has ended, whatever it had sent behind its request: the attempt is called off, and
// neither a further one nor what it had asked behind is begun.
func TestDisconnectBehindReadAheadBytesIsNoticed(t *testing.T) {
	much := strings.Repeat(getText("behind"), 300)
	for _, c := range []struct {
		name, with, behind string // with: in the same write as the request
		reset              bool
	}{
		{"nothing more", "", "", false},
		{"a byte", "", "G", false},
		{"a request", "", getText("behind"), false},
		{"a request in the same write", getText("behind"), "", false},
		{"a request and a half, reset", getText("behind"), "GET /vi", true},
		{"much", "", much, false},
		{"much in the same write", much, "", false},
		{"more than is read ahead", "", strings.Repeat(much, 40), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			one, two := newHoldingServer(t), newHoldingServer(t)
			n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", one.Address(), "in_service"), testpeer.Entry("s2", two.Address(), "in_service"))), nil)
			client := testpeer.Dial(t, n.Addr())
			io.WriteString(client, getText("first")+c.with)
			var at *holdingServer
			select {
			case <-one.got:
				at = one
			case <-two.got:
				at = two
			case <-time.After(testpeer.Limit):
				t.Fatal("no attempt")
			}
			written := make(chan struct{})
			go func() { // which may fill the kernel's buffers
				defer close(written)
				client.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
				io.WriteString(client, c.behind)
			}()
			<-written
			if c.reset {
				client.Conn.(*net.TCPConn).SetLinger(0)
			}
			client.Close()
			testpeer.Receive(t, at.gone, "the attempt to be called off")
			testpeer.Until(t, "the connection to be forgotten", func() bool { return n.clients.Len() == 0 })
			testpeer.Until(t, "the engine to be rid of it", func() bool { return n.engine.Status().Open == 0 })
			if all := append(one.Requests(), two.Requests()...); len(all) != 1 || all[0] != "first" {
				t.Errorf("servers got %q", all)
			}
			if s := n.engine.Status(); s.Requests != 1 || s.Disconnected != 1 {
				t.Errorf("the engine was given %d requests, %d of them left", s.Requests, s.Disconnected)
			}
		})
	}
}

// Who has ended its own sending is gone like one that has closed. Should it still read, it hears no answer that no
// server made.
func TestHalfClosedClientGetsNoInventedResponse(t *testing.T) {
	s := newHoldingServer(t)
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, n.Addr())
	client.Get("half")
	testpeer.Receive(t, s.got, "an attempt")
	client.Conn.(*net.TCPConn).CloseWrite()
	testpeer.Receive(t, s.gone, "the attempt to be called off")
	r, _ := client.Answer(t)
	if r.StatusCode != http.StatusBadGateway || !r.Close {
		t.Errorf("got %d, close %v", r.StatusCode, r.Close)
	}
}

// A client that sends its requests in one go hears all the answers in their order, and none of them is lost where idle
// connections are closed between two of them: what was read is no idle connection.
func TestPipelinedRequestsAreAllAnswered(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), func(n *testNode) {
		n.clients.SetGracePeriods(idleFor(0))
	})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				n.front.CloseIdle()
			}
		}
	}()
	const post = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\nX-Deadline: 60\r\nContent-Length: 4\r\n\r\nbody"
	for range 50 {
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testpeer.Limit))
		io.WriteString(c, getText("a")+post+getText("c"))
		in := bufio.NewReader(c)
		for i, want := range []string{"for a", "for b", "for c"} {
			r, err := http.ReadResponse(in, nil)
			if err != nil {
				if i > 0 {
					t.Fatalf("answer %q: %v, though the one before came", want, err)
				}
				break // let go before anything was read
			}
			body, err := io.ReadAll(r.Body)
			if err != nil || r.StatusCode != http.StatusOK || string(body) != want {
				t.Fatalf("got %d %q, %v; want %q", r.StatusCode, body, err, want)
			}
		}
		c.Close()
	}
}

// A connection whose other side sends on is not reset under an answer that has not arrived, whether those bytes come
// before the close or after it has begun.
func TestResponseOutlivesCloseOverUnreadBytes(t *testing.T) {
	answer := strings.Repeat("x", 1<<20) // more than the client's buffer takes
	for _, c := range []struct{ early, cut bool }{{true, false}, {false, false}, {true, true}} {
		early := c.early
		ours, theirs := connPair(t)
		ours.set.Add(ours, nil)
		if c.cut {
			ours.AbortRead() // for want of descriptors, or at the node's end: its client is told
		}
		if early {
			io.WriteString(theirs, "GET /behind")
			testpeer.Until(t, "the bytes to arrive", func() bool { return downstream.PeekSocket(ours.Conn) == downstream.SocketUnread })
		}
		closed := make(chan struct{})
		go func() {
			io.WriteString(ours, answer)
			ours.Close()
			close(closed)
		}()
		if !early {
			testpeer.Until(t, "the close to begin", func() bool { return ours.set.CountPhase(downstream.PhaseLingering) == 1 })
			io.WriteString(theirs, strings.Repeat("GET /behind", 100))
		}
		theirs.SetDeadline(time.Now().Add(testpeer.Limit))
		got, err := io.ReadAll(theirs)
		if err != nil || len(got) != len(answer) {
			t.Errorf("%+v: %d of %d bytes, %v", c, len(got), len(answer), err)
		}
		theirs.Close()
		testpeer.Receive(t, closed, "the close")
	}
}

// connPair is a client's connection and what the front end has of it.
func connPair(t *testing.T) (ours *clientConn, theirs net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if theirs, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	set := downstream.New(clock.New(), downstream.Limits{Capacity: 10, Reserve: 10}, func() int { return 0 })
	c, err := clientListener{ln, set, new(atomic.Int64)}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { theirs.Close(); c.(*clientConn).Abort() })
	return c.(*clientConn), theirs
}

// Requests that were read together are all answered, also where each answer would end its connection by then.
func TestPipelinedRequestsAreAnsweredBeforeClose(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	n.front.SetClosing(true)
	c := testpeer.Dial(t, n.Addr())
	io.WriteString(c, getText("a")+getText("b")+getText("c"))
	for i, id := range []string{"a", "b", "c"} {
		r, body := c.Answer(t)
		if r.StatusCode != http.StatusOK || body != "for "+id || r.Close != (i == 2) {
			t.Errorf("got %d %q, close %v", r.StatusCode, body, r.Close)
		}
	}
	c.WantClosed(t, "the connection behind the last answer")
}

// What a client sends while its request is served is answered as well, though each answer ends its connection by then.
func TestRequestReadAheadIsAnsweredBeforeClose(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	s := testpeer.NewServer(t, testpeer.Held(hold, got))
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	n.front.SetClosing(true)
	c := testpeer.Dial(t, n.Addr())
	c.Get("held")
	testpeer.Receive(t, got, "the attempt")
	c.Get("behind")
	testpeer.Until(t, "the next request to be read", func() bool { return hasReadAhead(n) })
	close(hold)
	for i, id := range []string{"held", "behind"} {
		r, body := c.Answer(t)
		if r.StatusCode != http.StatusOK || body != "for "+id || r.Close != (i == 1) {
			t.Errorf("got %d %q, close %v", r.StatusCode, body, r.Close)
		}
	}
}

// hasReadAhead says that a request was read behind the one that is served on the fault bench's only connection.
func hasReadAhead(n *testNode) bool {
	return n.front.totalAhead.Load() > 0
}
