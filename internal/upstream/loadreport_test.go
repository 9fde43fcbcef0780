package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/testpeer"
)

func TestParseLoad(t *testing.T) {
	for report, want := range map[string]float64{
		"TEXT inflight=7, queue=2, util=0.61": 7,
		"TEXT queue=2,inflight=7.5":           7.5,
		"TEXT inflight=0":                     0,
		"TEXT inflight=-1":                    -1,
		"TEXT inflight=NaN":                   -1,
		"TEXT inflight=1e9":                   -1,
		"TEXT inflight=":                      -1,
		"TEXT xinflight=7":                    -1,
		"JSON {\"inflight\":7}":               -1,
		"":                                    -1,
	} {
		got, ok := parseLoad(report, "inflight")
		if !ok {
			got = -1
		}
		if got != want {
			t.Errorf("%q: %v, want %v", report, got, want)
		}
	}
}

func FuzzParseLoad(f *testing.F) {
	for _, s := range []string{"TEXT inflight=7, queue=2, util=0.61", "TEXT inflight=1e400", "TEXT ,,=,inflight", "TEXT inflight=0x1p3"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if v, ok := parseLoad(s, "inflight"); ok && !(v >= 0 && v <= maxLoad) {
			t.Errorf("%q: %v", s, v)
		}
	})
}

// The load report of a reply is read only if the pool configures its field; the reply to a failed request may have one too.
func TestLoadReportComesWithReply(t *testing.T) {
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		status := "200 OK"
		if r.URL.Path == "/note/bad" {
			status = "500 Internal Server Error"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Load: TEXT inflight=3, queue=1\r\nContent-Length: 2\r\n\r\nok", status)
		return err == nil
	})
	pool := newTestPool(10)
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Load != nil {
		t.Errorf("a report was read without a configured field: %+v", r.Load)
	}
	limits := pool.limits
	limits.LoadField = "inflight"
	pool.SetLimits(limits)
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Load == nil || r.Load.Busy != 3 || r.Load.Service >= 0 {
		t.Errorf("the load report is %+v, want 3 requests in flight", r.Load)
	}
	attempt := newTestAttempt(pool, server.Address())
	attempt.Request.Message.Target = "/note/bad"
	if r := runAttempt(t, pool, attempt); r.Load == nil || r.Load.Busy != 3 {
		t.Errorf("the load report of an error is %+v, want 3 requests in flight", r.Load)
	}
}

// enablePolls configures the field of load reports and the path of polls.
func enablePolls(pool *Pool) *Pool {
	limits := pool.limits
	limits.LoadField, limits.PollPath = "inflight", "/stats"
	pool.SetLimits(limits)
	return pool
}

// A poll returns the server's load. It carries no request id, and its connection serves requests afterwards.
func TestPollReadsLoadReport(t *testing.T) {
	requests := make(chan string, 10)
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		requests <- r.URL.Path + " " + r.Header.Get("X-Request-Id")
		body := "ok"
		if r.URL.Path == "/stats" {
			body = "TEXT inflight=5, queue=1\r\n"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	})
	pool := newTestPool(10)
	host := listServer(pool, server.Address())
	if _, ok := pool.Poll(host, testpeer.Limit); ok {
		t.Error("a server was polled without a configured path")
	}
	enablePolls(pool)
	for range 3 {
		if busy, ok := pool.Poll(host, testpeer.Limit); !ok || busy != 5 {
			t.Errorf("Poll returned %v, %v; want 5", busy, ok)
		}
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success || pool.dialed != 1 || pool.open != 1 {
		t.Errorf("result %d, %d dials, %d connections open; want one connection for all", r.Result, pool.dialed, pool.open)
	}
	for _, want := range []string{"/stats ", "/stats ", "/stats ", "/note/k id"} {
		if got := <-requests; got != want {
			t.Errorf("the server received %q, want %q", got, want)
		}
	}
}

// A poll of a server that does not reply ends after its timeout, and a late reply makes its connection idle.
func TestPollOfSilentServerTimesOut(t *testing.T) {
	release := make(chan bool)
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		<-release
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nTEXT inflight=5")
		return err == nil
	})
	pool := enablePolls(newTestPool(10))
	if busy, ok := pool.Poll(listServer(pool, server.Address()), time.Millisecond); ok {
		t.Errorf("Poll returned %v before the server replied", busy)
	}
	close(release)
	testpeer.Until(t, "the connection to be idle again", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.idle) == 1 && pool.open == 1 || pool.open == 0 // or the poll was longer than pollGrace late
	})
	pool.Close()
	unreachable := enablePolls(newTestPool(10))
	if _, ok := unreachable.Poll(listServer(unreachable, "127.0.0.1:1"), testpeer.Limit); ok {
		t.Error("Poll of a closed port succeeded")
	}
}

func BenchmarkPoll(b *testing.B) {
	server := testpeer.NewServer(b, func(c net.Conn, r *http.Request, _ string) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nTEXT inflight=5")
		return err == nil
	})
	pool := enablePolls(newTestPool(10))
	host := listServer(pool, server.Address())
	for b.Loop() {
		if _, ok := pool.Poll(host, testpeer.Limit); !ok {
			b.Fatal("the poll failed")
		}
	}
}

// Guards against serving the second reply to a load poll to the next request on its connection.
func TestSecondReplyToPollIsNotServed(t *testing.T) {
	const report = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nTEXT inflight=3"
	proceed := make(chan struct{}, 1)
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.URL.Path != "/stats" {
			return testpeer.Echo(c, r, body)
		}
		io.WriteString(c, report)
		<-proceed
		_, err := io.WriteString(c, report)
		return err == nil
	})
	pool := newTestPool(10)
	pool.limits.LoadField, pool.limits.PollPath = "inflight", "/stats"
	host := listServer(pool, server.Address())
	if busy, ok := pool.Poll(host, testpeer.Limit); !ok || busy != 3 {
		t.Fatalf("polled %v, %v", busy, ok)
	}
	testpeer.Until(t, "the connection to be idle", func() bool { return pool.idleCount() == 1 })
	pool.mu.Lock()
	c := pool.idle[host][0]
	pool.mu.Unlock()
	proceed <- struct{}{}
	testpeer.Until(t, "the second reply to arrive", func() bool { return hasInput(c.Conn) || pool.Connections() == 0 })
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success || string(r.Reply.Body) != "for id" {
		t.Errorf("result %d, body %q", r.Result, r.Reply.Body)
	}
	if got := unattributedInput(pool, server.Address(), inputWhileIdle); got != 1 {
		t.Errorf("counted %d times, want 1", got)
	}
}
