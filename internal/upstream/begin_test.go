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

// An attempt that may no longer start once its connection is open writes no byte of its request, and its result shows that it
// never ran.
func TestAttemptThatMayNotStartWritesNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		action func(*Pool, *engine.Attempt)
		want   balancer.Result
	}{
		{"cancelled", func(_ *Pool, attempt *engine.Attempt) { attempt.Cancel() }, balancer.Cancelled},
		{"client disconnected, started attempts are not cancelled", func(_ *Pool, attempt *engine.Attempt) { attempt.CancelIfNotStarted() }, balancer.Cancelled},
		{"client disconnected, the engine not notified yet", func(pool *Pool, attempt *engine.Attempt) { attempt.Request.Disconnect(pool.clock.Now()) }, balancer.Cancelled},
		{"client disconnected, known only to the kernel", func(_ *Pool, attempt *engine.Attempt) {
			attempt.Request.Message.ClientDisconnected = func() bool { return true }
		}, balancer.Cancelled},
		{"client disconnected, known only to the kernel, body incomplete", func(_ *Pool, attempt *engine.Attempt) {
			attempt.Request.Message.ClientDisconnected, attempt.Request.Message.Rest = func() bool { return true }, strings.NewReader("rest")
		}, balancer.Cancelled},
		{"deadline passed", func(pool *Pool, attempt *engine.Attempt) {
			attempt.Deadline = attempt.SentAt + 1 // Run reads the clock later
		}, balancer.NotStarted},
		{"idempotency window over", func(pool *Pool, attempt *engine.Attempt) { attempt.NotAfter = pool.clock.Now() }, balancer.NotStarted},
		{"server draining", func(pool *Pool, attempt *engine.Attempt) {
			pool.Servers([]discovery.Target{{Server: balancer.Server{ID: attempt.Host.Server, State: balancer.Draining}, Endpoint: attempt.Host.Endpoint}}, false)
		}, balancer.NotStarted},
		{"server missing from a full snapshot", func(pool *Pool, attempt *engine.Attempt) { pool.Servers(nil, true) }, balancer.NotStarted},
		{"server restarted", func(pool *Pool, attempt *engine.Attempt) {
			pool.Servers([]discovery.Target{{Server: balancer.Server{ID: attempt.Host.Server, State: balancer.Ready, Boot: time.Second}, Endpoint: attempt.Host.Endpoint}}, false)
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
					n, _ := conn.Read(make([]byte, 1)) // blocks until the pool closes it
					closed <- n
					conn.Close()
				}
			}()
			pool := newTestPool(10)
			dial := testpeer.NewHeldDialer()
			pool.dial = dial.Dial
			attempt := newTestAttempt(pool, ln.Addr().String())
			outcome := make(chan engine.Outcome, 1)
			go func() { outcome <- pool.Run(attempt) }()
			testpeer.Receive(t, dial.Dialing, "the attempt to dial")
			c.action(pool, attempt)
			close(dial.Release)
			if r := testpeer.Receive(t, outcome, "the outcome of the attempt"); r.Result != c.want || pool.Connections() != 0 {
				t.Errorf("result %d, %d connections; want result %d, no connection", r.Result, pool.Connections(), c.want)
			}
			if n := testpeer.Receive(t, closed, "the close"); n != 0 {
				t.Error("a byte of the request was written")
			}
		})
	}
}

// A settled connection is reused; for one that settles soon the attempt waits rather than opening another.
func TestSettledConnectionIsReused(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	host := listServer(pool, server.Address())
	idle := func() *conn {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return pool.idle[host][0]
	}
	runAttempt(t, pool, newTestAttempt(pool, server.Address()))
	pool.limits.SettleDelay = 20 * time.Millisecond
	testpeer.Until(t, "the connection to settle", func() bool { return pool.clock.Now()-idle().idleSince >= pool.limits.SettleDelay })
	runAttempt(t, pool, newTestAttempt(pool, server.Address()))
	if pool.dialed != 1 {
		t.Fatalf("%d dials, want 1", pool.dialed)
	}
	pool.limits.SettleDelay = 100 * time.Millisecond
	pool.mu.Lock()
	pool.idle[host][0].exchangeTime = testpeer.Limit // as if the exchange had been much longer than the settle delay
	idleSince := pool.idle[host][0].idleSince
	pool.mu.Unlock()
	runAttempt(t, pool, newTestAttempt(pool, server.Address()))
	if c := idle(); pool.dialed != 1 || c.startedAt-idleSince < pool.limits.SettleDelay {
		t.Errorf("%d dials, request started %v after the last reply; want 1, at least %v", pool.dialed, c.startedAt-idleSince, pool.limits.SettleDelay)
	}
}

// An attempt that is delayed between reading the clock and writing sends the deadline that then remains.
func TestDelayedAttemptSendsRemainingDeadline(t *testing.T) {
	const delay = 100 * time.Millisecond
	sent := make(chan time.Duration, 1)
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		remaining, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
		sent <- time.Duration(remaining * float64(time.Second))
		return testpeer.Echo(c, r, body)
	})
	pool := newTestPool(10)
	attempt := newTestAttempt(pool, server.Address())
	checks, remaining := 0, time.Duration(0)
	attempt.Request.Message.ClientDisconnected = func() bool {
		if checks++; checks == 1 {
			time.Sleep(delay)
			remaining = pool.clock.Until(attempt.Deadline)
		}
		return false
	}
	runAttempt(t, pool, attempt)
	if got := testpeer.Receive(t, sent, "the request"); got <= 0 || got > remaining+maxTextAge || checks < 2 {
		t.Errorf("X-Deadline is %v after %d checks, %v remained", got, checks, remaining)
	}
}

// The deadline sent to a server is never longer than the remaining time.
func TestDeadlineHeaderIsNotRoundedUp(t *testing.T) {
	for remaining, want := range map[time.Duration]string{
		480 * time.Millisecond: "0.480000", time.Second - 1: "0.999999", 1999: "0.000001", time.Microsecond: "0.000001",
		3*time.Second + 1500: "3.000001", 90 * time.Second: "90.000000",
	} {
		if got := string(appendDeadline(nil, remaining)); got != want {
			t.Errorf("%v: X-Deadline %s, want %s", remaining, got, want)
		}
	}
}
