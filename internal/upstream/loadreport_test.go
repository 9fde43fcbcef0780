package upstream

import (
	"fmt"
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

// An answer's report reaches the module only where the pool says what it is called; an error may bring one too.
func TestLoadReportComesWithReply(t *testing.T) {
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		status := "200 OK"
		if r.URL.Path == "/note/bad" {
			status = "500 Internal Server Error"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Load: TEXT inflight=3, queue=1\r\nContent-Length: 2\r\n\r\nok", status)
		return err == nil
	})
	pool := newTestPool(10)
	if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Load != nil {
		t.Errorf("a report was read that nobody asked for: %+v", r.Load)
	}
	l := pool.limits
	l.LoadField = "inflight"
	pool.SetLimits(l)
	if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Load == nil || r.Load.Busy != 3 || r.Load.Service >= 0 {
		t.Errorf("the report is %+v, want 3 calls held", r.Load)
	}
	a := newTestAttempt(pool, s.Address())
	a.Request.Message.Target = "/note/bad"
	if r := runAttempt(t, pool, a); r.Load == nil || r.Load.Busy != 3 {
		t.Errorf("an error's report is %+v, want 3 calls held", r.Load)
	}
}

// withPolls has a backend read reports and ask for them.
func enablePolls(pool *Pool) *Pool {
	l := pool.limits
	l.LoadField, l.PollPath = "inflight", "/stats"
	pool.SetLimits(l)
	return pool
}

// A server that is asked says what it holds; nothing of a request goes there, and its connection serves requests afterwards.
func TestPollReadsLoadReport(t *testing.T) {
	ids := make(chan string, 10)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		ids <- r.URL.Path + " " + r.Header.Get("X-Request-Id")
		body := "ok"
		if r.URL.Path == "/stats" {
			body = "TEXT inflight=5, queue=1\r\n"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	})
	pool := newTestPool(10)
	to := listServer(pool, s.Address())
	if _, ok := pool.Poll(to, testpeer.Limit); ok {
		t.Error("a server was asked though the pool says nothing of it")
	}
	enablePolls(pool)
	for range 3 {
		if busy, ok := pool.Poll(to, testpeer.Limit); !ok || busy != 5 {
			t.Errorf("it says %v, %v; want 5", busy, ok)
		}
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.Success || pool.dialed != 1 || pool.open != 1 {
		t.Errorf("result %d, %d connections made, %d open; want one that serves all", r.Result, pool.dialed, pool.open)
	}
	for _, want := range []string{"/stats ", "/stats ", "/stats ", "/note/k id"} {
		if got := <-ids; got != want {
			t.Errorf("the server got %q, want %q", got, want)
		}
	}
}

// Nobody waits longer than said for a server that does not answer, and an answer that comes late frees its connection.
func TestPollOfSilentServerTimesOut(t *testing.T) {
	let := make(chan bool)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		<-let
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nTEXT inflight=5")
		return err == nil
	})
	pool := enablePolls(newTestPool(10))
	if busy, ok := pool.Poll(listServer(pool, s.Address()), time.Millisecond); ok {
		t.Errorf("it says %v before it has answered", busy)
	}
	close(let)
	testpeer.Until(t, "that the connection is idle again", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.idle) == 1 && pool.open == 1 || pool.open == 0 // or it took longer than it may
	})
	pool.Close()
	dead := enablePolls(newTestPool(10))
	if _, ok := dead.Poll(listServer(dead, "127.0.0.1:1"), testpeer.Limit); ok {
		t.Error("nobody listens there, and it answered")
	}
}

func BenchmarkPoll(b *testing.B) {
	s := testpeer.NewServer(b, func(c net.Conn, r *http.Request, _ string) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nTEXT inflight=5")
		return err == nil
	})
	back := enablePolls(newTestPool(10))
	to := listServer(back, s.Address())
	for b.Loop() {
		if _, ok := back.Poll(to, testpeer.Limit); !ok {
			b.Fatal("no answer")
		}
	}
}
