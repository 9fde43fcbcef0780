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

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/testpeer"
)

// lateDial has connections come up only when the test lets them, whatever became of the attempt meanwhile: as one does
// that is accepted in the moment in which it is given up.
type lateDial struct {
	dialing chan struct{}
	up      chan struct{}
}

func newLateDial(b *Back) *lateDial {
	d := &lateDial{dialing: make(chan struct{}, 10), up: make(chan struct{})}
	b.dial = func(_ context.Context, network, address string) (net.Conn, error) {
		d.dialing <- struct{}{}
		<-d.up
		return net.Dial(network, address)
	}
	return d
}

// An attempt whose connection comes up late does not begin if it may not by then: no byte of it is written, and its end
// says that it never ran.
func TestAnAttemptThatMayNoLongerBeginWritesNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		cross func(*Back, *engine.Attempt)
		want  balancer.Result
	}{
		{"called off", func(_ *Back, a *engine.Attempt) { a.Cancel() }, balancer.Cancelled},
		{"its caller gone, where what has begun is not called off", func(_ *Back, a *engine.Attempt) { a.CancelUnbegun() }, balancer.Cancelled},
		{"its client gone, which its engine has not heard yet", func(b *Back, a *engine.Attempt) { a.Request.Disconnect(b.clock.Now()) }, balancer.Cancelled},
		{"its client gone, as the system alone knows", func(_ *Back, a *engine.Attempt) {
			a.Request.Message.Gone = func() bool { return true }
		}, balancer.Cancelled},
		{"its client gone, as the system alone knows, and its body still to come", func(_ *Back, a *engine.Attempt) {
			a.Request.Message.Gone, a.Request.Message.Rest = func() bool { return true }, strings.NewReader("rest")
		}, balancer.Cancelled},
		{"its time over", func(b *Back, a *engine.Attempt) {
			a.Deadline = a.Sent + 1 // as it was decided on; Run has its own clock
		}, balancer.NotStarted},
		{"its keys' window over", func(b *Back, a *engine.Attempt) { a.NotAfter = b.clock.Now() }, balancer.NotStarted},
		{"its server drained", func(b *Back, a *engine.Attempt) {
			b.Servers([]discovery.Target{{Server: balancer.Server{ID: a.To.Server, State: balancer.Draining}, Endpoint: a.To.Endpoint}}, false)
		}, balancer.NotStarted},
		{"its server gone from the whole list", func(b *Back, a *engine.Attempt) { b.Servers(nil, true) }, balancer.NotStarted},
		{"its server started anew", func(b *Back, a *engine.Attempt) {
			b.Servers([]discovery.Target{{Server: balancer.Server{ID: a.To.Server, State: balancer.Ready, Boot: time.Second}, Endpoint: a.To.Endpoint}}, false)
		}, balancer.NotStarted},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan int, 1)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				if conn, err := ln.Accept(); err == nil {
					n, _ := conn.Read(make([]byte, 1)) // until the node closes it
					closed <- n
					conn.Close()
				}
			}()
			b := testBackend(10)
			dial := newLateDial(b)
			a := testAttempt(b, ln.Addr().String())
			end := make(chan engine.Outcome, 1)
			go func() { end <- b.Run(a) }()
			testpeer.Receive(t, dial.dialing, "the attempt to dial")
			c.cross(b, a)
			close(dial.up)
			if r := testpeer.Receive(t, end, "the attempt's end"); r.Result != c.want || b.Connections() != 0 {
				t.Errorf("ending %d, %d open; want %d", r.Result, b.Connections(), c.want)
			}
			if n := testpeer.Receive(t, closed, "the close"); n != 0 {
				t.Error("a byte of it was written")
			}
		})
	}
}

// A repeat of a keyed request is decided on inside its window, and its connection takes until after it: the request fails
// rather than repeats.
func TestAKeyedRepeatWhoseConnectionComesUpLateIsNotSent(t *testing.T) {
	breaks := func(c net.Conn, _ *http.Request, _ string) bool { return false } // it may have run
	one, two := testpeer.NewServer(t, breaks), testpeer.NewServer(t, breaks)
	cfg := testConfig(testpeer.Whole(testpeer.Entry("s1", one.Address(), "in_service"), testpeer.Entry("s2", two.Address(), "in_service")))
	for i := range cfg.Classes {
		if cfg.Classes[i].Effect == config.Keyed {
			cfg.Classes[i].Window = config.Duration(200 * time.Millisecond)
		}
	}
	n := start(t, cfg, func(n *rig) {
		dials := 0
		n.back.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials++; dials > 1 {
				time.Sleep(200 * time.Millisecond) // what was decided before is late by then, however fast the machine
			}
			return net.Dial(network, address)
		}
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
func TestNothingBeginsForAClientThatLeftWhileItsConnectionCameUp(t *testing.T) {
	for _, cancels := range []bool{true, false} {
		s := testpeer.NewServer(t, testpeer.Echo)
		cfg := testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service")))
		cfg.Pools[0].Cancel = cancels
		var dial *lateDial
		n := start(t, cfg, func(n *rig) { dial = newLateDial(n.back) })
		c := testpeer.Dial(t, n.Addr())
		c.Get("leaving")
		testpeer.Receive(t, dial.dialing, "the attempt to dial")
		c.Close()
		testpeer.Until(t, "the engine to hear of it", func() bool { return n.engine.Status().Disconnected == 1 })
		close(dial.up)
		testpeer.Until(t, "the attempt to end", func() bool { return n.back.Connections() == 0 && n.engine.Status().Open == 0 })
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
func TestNothingBeginsForAnUploadWhoseClientLeft(t *testing.T) {
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
	var dial *lateDial
	accepted := make(chan net.Conn, 1)
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", ln.Addr().String(), "in_service"))), func(n *rig) {
		dial = newLateDial(n.back)
		n.ln = keptListener{n.ln, accepted}
	})
	c := testpeer.Dial(t, n.Addr())
	io.WriteString(c, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: u\r\nX-Deadline: 60\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100_000))
	testpeer.Receive(t, dial.dialing, "the attempt to dial")
	c.Close()
	ours := testpeer.Receive(t, accepted, "the connection")
	testpeer.Until(t, "the system to know of the close", func() bool { return downstream.StateOf(ours) == downstream.Ended })
	close(dial.up)
	if text := testpeer.Receive(t, written, "the close"); text != "" {
		t.Errorf("%d bytes were written, %.40q", len(text), text)
	}
	testpeer.Until(t, "the request to end", func() bool { return n.engine.Status().Open == 0 && n.callers.Open() == 0 })
	if got := n.engine.Status(); got.Disconnected != 1 {
		t.Errorf("%d have gone, want 1", got.Disconnected)
	}
}

// A second answer that comes late, when the next request is out, is nobody's: that request went over another connection.
func TestASecondAnswerThatComesLateIsNobodys(t *testing.T) {
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
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), func(n *rig) {
		n.back.limits.Settle = testpeer.Limit // however slow the machine
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

// A connection that has settled is used again; one that soon will have is waited for rather than another opened.
func TestAConnectionThatSettlesIsUsedAgain(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	b := testBackend(10)
	h := testHost(b, s.Address())
	idle := func() *conn {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.idle[h][0]
	}
	run(t, b, testAttempt(b, s.Address()))
	b.limits.Settle = 20 * time.Millisecond
	testpeer.Until(t, "the connection to settle", func() bool { return b.clock.Now()-idle().since >= b.limits.Settle })
	run(t, b, testAttempt(b, s.Address()))
	if b.made != 1 {
		t.Fatalf("%d connections made, want 1", b.made)
	}
	b.limits.Settle = 100 * time.Millisecond
	b.mu.Lock()
	b.idle[h][0].took = testpeer.Limit // as if the exchange had been long against that
	rested := b.idle[h][0].since
	b.mu.Unlock()
	run(t, b, testAttempt(b, s.Address()))
	if c := idle(); b.made != 1 || c.begun-rested < b.limits.Settle {
		t.Errorf("%d connections made, begun %v behind the answer before; want 1, %v", b.made, c.begun-rested, b.limits.Settle)
	}
}

// A further attempt tells its server what is left to the client, not what was at first.
func TestAFurtherAttemptTellsWhatIsLeft(t *testing.T) {
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

// A process that is held up between reading its clock and writing tells its server what is left by then.
func TestAnAttemptThatIsHeldUpTellsWhatIsLeft(t *testing.T) {
	const held = 100 * time.Millisecond
	told := make(chan time.Duration, 1)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		left, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
		told <- time.Duration(left * float64(time.Second))
		return testpeer.Echo(c, r, body)
	})
	b := testBackend(10)
	a := testAttempt(b, s.Address())
	looks, left := 0, time.Duration(0)
	a.Request.Message.Gone = func() bool {
		if looks++; looks == 1 {
			time.Sleep(held)
			left = b.clock.Until(a.Deadline)
		}
		return false
	}
	run(t, b, a)
	if got := testpeer.Receive(t, told, "the request"); got <= 0 || got > left+freshFor || looks < 2 {
		t.Errorf("told %v after %d looks, %v were left", got, looks, left)
	}
}

// What is told of the time that is left is never more than that.
func TestTheTimeToldIsNotRoundedUp(t *testing.T) {
	for left, want := range map[time.Duration]string{
		480 * time.Millisecond: "0.480000", time.Second - 1: "0.999999", 1999: "0.000001", time.Microsecond: "0.000001",
		3*time.Second + 1500: "3.000001", 90 * time.Second: "90.000000",
	} {
		if got := string(appendDeadline(nil, left)); got != want {
			t.Errorf("%v: told %s, want %s", left, got, want)
		}
	}
}
