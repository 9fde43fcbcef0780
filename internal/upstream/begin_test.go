package upstream

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/testpeer"
)

// An attempt whose connection comes up late does not begin if it may not by then: no byte of it is written, and its end
// says that it never ran.
func TestAttemptThatMayNoLongerBeginWritesNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		cross func(*Pool, *engine.Attempt)
		want  balancer.Result
	}{
		{"called off", func(_ *Pool, a *engine.Attempt) { a.Cancel() }, balancer.Cancelled},
		{"its caller gone, where what has begun is not called off", func(_ *Pool, a *engine.Attempt) { a.CancelIfNotStarted() }, balancer.Cancelled},
		{"its client gone, which its engine has not heard yet", func(pool *Pool, a *engine.Attempt) { a.Request.Disconnect(pool.clock.Now()) }, balancer.Cancelled},
		{"its client gone, as the system alone knows", func(_ *Pool, a *engine.Attempt) {
			a.Request.Message.ClientDisconnected = func() bool { return true }
		}, balancer.Cancelled},
		{"its client gone, as the system alone knows, and its body still to come", func(_ *Pool, a *engine.Attempt) {
			a.Request.Message.ClientDisconnected, a.Request.Message.Rest = func() bool { return true }, strings.NewReader("rest")
		}, balancer.Cancelled},
		{"its time over", func(pool *Pool, a *engine.Attempt) {
			a.Deadline = a.SentAt + 1 // as it was decided on; Run has its own clock
		}, balancer.NotStarted},
		{"its keys' window over", func(pool *Pool, a *engine.Attempt) { a.NotAfter = pool.clock.Now() }, balancer.NotStarted},
		{"its server drained", func(pool *Pool, a *engine.Attempt) {
			pool.Servers([]discovery.Target{{Server: balancer.Server{ID: a.Host.Server, State: balancer.Draining}, Endpoint: a.Host.Endpoint}}, false)
		}, balancer.NotStarted},
		{"its server gone from the whole list", func(pool *Pool, a *engine.Attempt) { pool.Servers(nil, true) }, balancer.NotStarted},
		{"its server started anew", func(pool *Pool, a *engine.Attempt) {
			pool.Servers([]discovery.Target{{Server: balancer.Server{ID: a.Host.Server, State: balancer.Ready, Boot: time.Second}, Endpoint: a.Host.Endpoint}}, false)
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
			pool := newTestPool(10)
			dial := testpeer.NewLateDial()
			pool.dial = dial.Dial
			a := newTestAttempt(pool, ln.Addr().String())
			end := make(chan engine.Outcome, 1)
			go func() { end <- pool.Run(a) }()
			testpeer.Receive(t, dial.Dialing, "the attempt to dial")
			c.cross(pool, a)
			close(dial.Up)
			if r := testpeer.Receive(t, end, "the attempt's end"); r.Result != c.want || pool.Connections() != 0 {
				t.Errorf("result %d, %d open; want %d", r.Result, pool.Connections(), c.want)
			}
			if n := testpeer.Receive(t, closed, "the close"); n != 0 {
				t.Error("a byte of it was written")
			}
		})
	}
}

// A connection that has settled is used again; one that soon will have is waited for rather than another opened.
func TestSettledConnectionIsReused(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	h := listServer(pool, s.Address())
	idle := func() *conn {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return pool.idle[h][0]
	}
	runAttempt(t, pool, newTestAttempt(pool, s.Address()))
	pool.limits.SettleDelay = 20 * time.Millisecond
	testpeer.Until(t, "the connection to settle", func() bool { return pool.clock.Now()-idle().idleSince >= pool.limits.SettleDelay })
	runAttempt(t, pool, newTestAttempt(pool, s.Address()))
	if pool.dialed != 1 {
		t.Fatalf("%d connections made, want 1", pool.dialed)
	}
	pool.limits.SettleDelay = 100 * time.Millisecond
	pool.mu.Lock()
	pool.idle[h][0].exchangeTime = testpeer.Limit // as if the exchange had been long against that
	rested := pool.idle[h][0].idleSince
	pool.mu.Unlock()
	runAttempt(t, pool, newTestAttempt(pool, s.Address()))
	if c := idle(); pool.dialed != 1 || c.startedAt-rested < pool.limits.SettleDelay {
		t.Errorf("%d connections made, begun %v behind the answer before; want 1, %v", pool.dialed, c.startedAt-rested, pool.limits.SettleDelay)
	}
}

// A process that is held up between reading its clock and writing tells its server what is left by then.
func TestDelayedAttemptSendsRemainingDeadline(t *testing.T) {
	const held = 100 * time.Millisecond
	told := make(chan time.Duration, 1)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		left, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
		told <- time.Duration(left * float64(time.Second))
		return testpeer.Echo(c, r, body)
	})
	pool := newTestPool(10)
	a := newTestAttempt(pool, s.Address())
	looks, left := 0, time.Duration(0)
	a.Request.Message.ClientDisconnected = func() bool {
		if looks++; looks == 1 {
			time.Sleep(held)
			left = pool.clock.Until(a.Deadline)
		}
		return false
	}
	runAttempt(t, pool, a)
	if got := testpeer.Receive(t, told, "the request"); got <= 0 || got > left+maxTextAge || looks < 2 {
		t.Errorf("told %v after %d looks, %v were left", got, looks, left)
	}
}

// What is told of the time that is left is never more than that.
func TestDeadlineHeaderIsNotRoundedUp(t *testing.T) {
	for left, want := range map[time.Duration]string{
		480 * time.Millisecond: "0.480000", time.Second - 1: "0.999999", 1999: "0.000001", time.Microsecond: "0.000001",
		3*time.Second + 1500: "3.000001", 90 * time.Second: "90.000000",
	} {
		if got := string(appendDeadline(nil, left)); got != want {
			t.Errorf("%v: told %s, want %s", left, got, want)
		}
	}
}
