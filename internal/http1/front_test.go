package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/route"
	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/validation"
)

func TestPassesARequestThroughUnchanged(t *testing.T) {
	type seen struct {
		r    *http.Request
		body string
	}
	got := make(chan seen, 10)
	answerBody := strings.Repeat("\x00\xff binary \r\n", 5000)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- seen{r, body}
		return testpeer.Reply200(c, answerBody)
	})
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	c := testpeer.Dial(t, n.Addr())
	long := strings.Repeat("b\r\n\x00", validation.MaxBody/4)
	for i, target := range []string{"/keyed/a%2fB?q=%20%41&&x", `/keyed/"odd"|{};,`, "/keyed/", "/keyed//x/../y?"} {
		id := fmt.Sprint("id-", i)
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nx-request-id: %s\r\nIdempotency-Key: K+/=%d\r\n"+
			"X-Deadline: 20.5\r\nContent-Length: %d\r\n\r\n%s", target, id, i, len(long), long)
		c.Want(t, 200, answerBody)
		g := testpeer.Receive(t, got, "the request")
		if g.r.Method != "POST" || g.r.RequestURI != target || g.body != long ||
			g.r.Header.Get("X-Request-Id") != id || g.r.Header.Get("Idempotency-Key") != fmt.Sprint("K+/=", i) {
			t.Errorf("got %s %s %v", g.r.Method, g.r.RequestURI, g.r.Header)
		}
		var left float64
		if fmt.Sscan(g.r.Header.Get("X-Deadline"), &left); !(left > 0 && left <= 20.5) {
			t.Errorf("X-Deadline %q", g.r.Header.Get("X-Deadline"))
		}
	}
	c.Get("get")
	c.Want(t, 200, answerBody)
	if g := testpeer.Receive(t, got, "the request"); g.r.Method != "GET" || g.body != "" || g.r.Header["Idempotency-Key"] != nil ||
		g.r.ContentLength != 0 {
		t.Errorf("got %s %v", g.r.Method, g.r.Header)
	}
	if s.Opened() != 1 {
		t.Errorf("%d connections for requests one after another, want 1", s.Opened())
	}
}

// A kept connection that breaks under a request may have carried it: neither the node nor a library
// below it may send it again, whatever its method or headers.
func TestUnsafeRequestIsNotRetriedAfterReset(t *testing.T) {
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "break") {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		return testpeer.Reply200(c, "")
	})
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	c := testpeer.Dial(t, n.Addr())
	for i := range 2 {
		c.Send("POST", "/note/k", fmt.Sprint("first-", i), "x", "60")
		c.Want(t, 200, "")
		id := fmt.Sprint("break-", i)
		c.Send("POST", "/note/k", id, "x", "60")
		c.Want(t, http.StatusBadGateway, "")
		if s.Seen() != 2*(i+1) {
			t.Fatalf("%d requests reached the server, want %d", s.Seen(), 2*(i+1))
		}
	}
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	closing := make(chan struct{}, 100)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		testpeer.Reply200(c, "ok") // keeps alive, as far as the node can tell
		c.Close()
		closing <- struct{}{}
		return false
	})
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	c := testpeer.Dial(t, n.Addr())
	for i := range 50 {
		c.Send("POST", "/note/k", fmt.Sprint("n", i), "x", "60")
		c.Want(t, 200, "ok")
		testpeer.Receive(t, closing, "the close")
	}
	if s.Seen() != 50 || s.Opened() != 50 {
		t.Errorf("%d requests on %d connections, want 50 on 50", s.Seen(), s.Opened())
	}
}

func TestDisconnectCancelsAttempt(t *testing.T) {
	got, gone := make(chan struct{}), make(chan struct{})
	var first sync.Once
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		answers := true
		first.Do(func() {
			close(got)
			c.Read(make([]byte, 1)) // returns when the node closes
			close(gone)
			answers = false
		})
		return answers && testpeer.Echo(c, r, body)
	})
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	c := testpeer.Dial(t, n.Addr())
	c.Send("POST", "/note/k", "leaving", "x", "60")
	testpeer.Receive(t, got, "the attempt")
	c.Close()
	testpeer.Receive(t, gone, "the end of the attempt")
	again := testpeer.Dial(t, n.Addr())
	testpeer.Until(t, "the id to be free again", func() bool {
		again.Send("POST", "/note/k", "leaving", "x", "60")
		r, _ := again.Answer(t)
		return r.StatusCode == 200
	})
}

func TestSilentServerTimesOut(t *testing.T) {
	closedAt := make(chan struct{}, 2)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		c.Read(make([]byte, 1)) // says nothing until the node closes
		closedAt <- struct{}{}
		return false
	})
	cfg := testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service")))
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = config.Duration(300 * time.Millisecond)
	}
	n := start(t, cfg, nil)
	c := testpeer.Dial(t, n.Addr())
	c.Send("POST", "/note/k", "unsafe", "x", "20")
	c.Want(t, http.StatusBadGateway, "") // it may have run: no refusal
	testpeer.Receive(t, closedAt, "the close")
	c.Get("safe")
	r, _ := c.Answer(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q", r.StatusCode, r.Header.Get("Retry-After"))
	}
	testpeer.Receive(t, closedAt, "the close")
	if s.Seen() != 2 {
		t.Errorf("%d requests were sent, want 2", s.Seen())
	}
}

// A request that the module gives up is refused at once, with advice, though its deadline is far off.
func TestRejectionIsImmediateWithRetryAfter(t *testing.T) {
	cfg := testConfig(testpeer.Whole(testpeer.Entry("s1", testpeer.ClosedPort(t), "in_service")))
	n := start(t, cfg, nil)
	c := testpeer.Dial(t, n.Addr())
	begin := time.Now()
	c.Send("POST", "/note/k", "x", "x", "60")
	r, _ := c.Answer(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || time.Since(begin) > testpeer.Limit {
		t.Errorf("got %d, Retry-After %q after %v", r.StatusCode, r.Header.Get("Retry-After"), time.Since(begin))
	}
}

// A new server at the address of one that has gone does not get its predecessor's connections, nor does
// one that started anew: whatever is still to come on them belongs to the old one.
func TestConnectionsBelongToOneServerIncarnation(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	s := testpeer.NewServer(t, testpeer.Held(hold, got))
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	held, c := testpeer.Dial(t, n.Addr()), testpeer.Dial(t, n.Addr())
	held.Get("held")
	testpeer.Receive(t, got, "the attempt")
	c.Get("one")
	c.Want(t, 200, "for one")
	for i, next := range []string{testpeer.Entry("s2", s.Address(), "in_service"),
		strings.Replace(testpeer.Entry("s2", s.Address(), "in_service"), `"boot_ms":0`, `"boot_ms":5`, 1)} {
		l, err := discovery.Parse([]byte(strings.Replace(testpeer.Whole(next), "%d", "9", 1)))
		if err != nil {
			t.Fatal(err)
		}
		n.engine.UpdateList(l)
		before := s.Opened()
		testpeer.Until(t, "the list to be taken", func() bool {
			got, _ := n.backend.server("s2")
			want := l.Targets[0]
			starts := (got.Boot != 0) == (want.Boot != 0) // by the node's clock, so that only whether it has a start compares
			got.Boot = want.Boot
			return got == want && starts
		})
		if i == 0 { // a connection that was busy when the server went
			close(hold)
			held.Want(t, 200, "for held")
		}
		c.Get(fmt.Sprint("next-", i))
		c.Want(t, 200, fmt.Sprint("for next-", i))
		if s.Opened() != before+1 {
			t.Errorf("life %d: %d connections after %d, want one more", i, s.Opened(), before)
		}
	}
}

func TestBadRequests(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		select {
		case got <- struct{}{}:
		default:
		}
		<-hold
		return testpeer.Echo(c, r, body)
	})
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), func(n *testNode) {
		n.front.server.ReadHeaderTimeout, n.front.grace = 300*time.Millisecond, 300*time.Millisecond
	})
	first := testpeer.Dial(t, n.Addr())
	first.Get("used")
	testpeer.Receive(t, got, "the attempt")
	const ok = "Host: h\r\nX-Request-Id: new\r\nX-Deadline: 60\r\n"
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"no id", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Deadline: 60\r\n\r\n", 400},
		{"two ids", "GET /view/k HTTP/1.1\r\nX-Request-Id: b\r\n" + ok + "\r\n", 400},
		{"an id in use", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: used\r\nX-Deadline: 60\r\n\r\n", 409},
		{"no deadline", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\n\r\n", 400},
		{"a deadline that is no number", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: NaN\r\n\r\n", 400},
		{"a deadline in the past", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: -1\r\n\r\n", 400},
		{"a deadline without end", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 1e300\r\n\r\n", 400},
		{"a deadline in hexadecimal", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 0x1p4\r\n\r\n", 400},
		{"a deadline with an underscore", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 1_0\r\n\r\n", 400},
		{"a deadline far beyond the class's", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 121\r\n\r\n", 400},
		{"two deadlines", "GET /view/k HTTP/1.1\r\nX-Deadline: 5\r\n" + ok + "\r\n", 400},
		{"no class", "GET / HTTP/1.1\r\n" + ok + "\r\n", 404},
		{"a class that does not exist", "POST /notes/k HTTP/1.1\r\n" + ok + "Content-Length: 2\r\n\r\nok", 404},
		{"a target that is no path", "GET ftp://h/view/k HTTP/1.1\r\n" + ok + "\r\n", 404},
		{"POST for a safe class", "POST /view/k HTTP/1.1\r\n" + ok + "Content-Length: 0\r\n\r\n", 405},
		{"GET for an unsafe class", "GET /note/k HTTP/1.1\r\n" + ok + "\r\n", 405},
		{"a key for an unsafe class", "POST /note/k HTTP/1.1\r\nIdempotency-Key: k\r\n" + ok + "Content-Length: 0\r\n\r\n", 400},
		{"no key", "POST /keyed/k HTTP/1.1\r\n" + ok + "Content-Length: 0\r\n\r\n", 400},
		{"two keys", "POST /keyed/k HTTP/1.1\r\nIdempotency-Key: k\r\nIdempotency-Key: k\r\n" + ok + "Content-Length: 0\r\n\r\n", 400},
		{"GET with a body", "GET /view/k HTTP/1.1\r\n" + ok + "Content-Length: 2\r\n\r\nok", 400},
		{"OPTIONS *", "OPTIONS * HTTP/1.1\r\n" + ok + "\r\n", 405},
		{"POST for the health", "POST /health/ready HTTP/1.1\r\n" + ok + "Content-Length: 0\r\n\r\n", 405},
		{"a negative length", "POST /note/k HTTP/1.1\r\n" + ok + "Content-Length: -1\r\n\r\n", 400},
		{"half a body", "POST /note/k HTTP/1.1\r\n" + ok + "Content-Length: 10\r\n\r\nhalf", 400},
		{"another method", "DELETE /view/k HTTP/1.1\r\n" + ok + "\r\n", 405},
		{"half a long body", "POST /note/k HTTP/1.1\r\n" + ok + "Content-Length: 65537\r\n\r\nhalf", 400},
		{"too long a body", "POST /note/k HTTP/1.1\r\n" + ok + fmt.Sprintf("Content-Length: %d\r\n\r\n", validation.MaxLength+1), 413},
		{"chunks without end", "POST /note/k HTTP/1.1\r\n" + ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", 400},
		{"spoilt chunks", "POST /note/k HTTP/1.1\r\n" + ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n", 400},
		{"GET with a body in chunks", "GET /view/k HTTP/1.1\r\n" + ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 400},
		{"a request hidden in another", "POST /note/k HTTP/1.1\r\n" + ok + "Content-Length: 5\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /view/k HTTP/1.1\r\nHost: h\r\n" +
			"X-Request-Id: hidden\r\nX-Deadline: 60\r\n\r\n", 400},
		{"no HTTP", "hello\r\n\r\n", 400},
		{"a long header", "GET /view/k HTTP/1.1\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n" + ok + "\r\n", 431},
		{"half-sent headers", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Req", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := testpeer.Dial(t, n.Addr())
			go io.WriteString(conn, c.text)
			if c.status == 0 { // a plain answer or none, but the end
				said, err := io.ReadAll(conn)
				if err != nil || len(said) > 0 && !strings.HasPrefix(string(said), "HTTP/1.1 4") {
					t.Errorf("%q, %v", said, err)
				}
				return
			}
			conn.Want(t, c.status, "")
			conn.WantClosed(t, "a connection that said what can't be used")
		})
	}
	cut := testpeer.Dial(t, n.Addr())
	io.WriteString(cut, "POST /note/k HTTP/1.1\r\n"+ok+"Content-Length: 10\r\n\r\nhalf")
	cut.Conn.(*net.TCPConn).CloseWrite()
	io.Copy(io.Discard, cut.Reader) // an answer or none, but the end
	if s.Seen() != 1 {
		t.Errorf("%d requests reached the server, want only the good one", s.Seen())
	}
	close(hold)
	first.Want(t, 200, "for used")
}

// A client gives its last attempt all the time that it has left, more than tries are usually given. That must
// not make every other client's first attempt look like a repeat whose latency objective is over, to be refused at once.
func TestLongLastAttemptLeavesFirstAttemptsAsTheyAre(t *testing.T) {
	s, hold, got := serverThatHolds(t)
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	c := testpeer.Dial(t, n.Addr())
	view := func(id, deadline string) {
		t.Helper()
		c.Send("GET", "/view/k", id, "", deadline)
		c.Want(t, 200, "for "+id)
	}
	for i := range 5 {
		view(fmt.Sprint("first-", i), "25")
	}
	view("last", "59.9")
	var busy []*testpeer.Caller // with these out there is room for a first attempt, and none for a repeat
	for i := range 9 {
		busy = append(busy, testpeer.Dial(t, n.Addr()))
		busy[i].Send("POST", "/note/k", fmt.Sprint("held-", i), "x", "60")
		testpeer.Receive(t, got, "an attempt")
	}
	for i := range 5 {
		view(fmt.Sprint("another-", i), "25")
	}
	c.Send("GET", "/view/k", "repeat", "", "20") // the class's deadline of 60 s began 40 s ago
	if r, _ := c.Answer(t); r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("a repeat past its aim: got %d, Retry-After %q", r.StatusCode, r.Header.Get("Retry-After"))
	}
	close(hold)
	for i, b := range busy {
		b.Want(t, 200, fmt.Sprint("for held-", i))
	}
}

// How a path reaches servers follows from its listener's setting, and no path carries a request of one class to
// where a server could take it for another's.
func TestPaths(t *testing.T) {
	got := make(chan string, 1)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- r.RequestURI
		return testpeer.Reply200(c, "")
	})
	for _, c := range []struct {
		paths          config.PathPolicy
		method, target string
		status         int
		sent           string
	}{
		{config.StrictPaths, "GET", "/view/k?a=/../b", 200, "/view/k?a=/../b"},
		{config.StrictPaths, "GET", "/view/%c3%a9?x", 200, "/view/%C3%A9?x"},
		{config.StrictPaths, "GET", "/view/../note/k", 400, ""},
		{config.StrictPaths, "GET", "/view/a//b", 400, ""},
		{config.StrictPaths, "GET", "/view/a%2fb", 400, ""},
		{config.StrictPaths, "GET", "/view/..;/note/k", 400, ""},
		{config.NormalizePaths, "GET", "/view/a/../b//c?d", 200, "/view/b/c?d"},
		{config.NormalizePaths, "GET", "/view/../note/k", 405, ""}, // it is a note, and those are posted
		{config.NormalizePaths, "POST", "/view/../note/k", 200, "/note/k"},
		{config.NormalizePaths, "GET", "/%76iew/k", 200, "/view/k"},
		{config.NormalizePaths, "GET", "/view/..%2fnote/k", 400, ""},
		{config.AsSentPaths, "GET", "/view//x/../y%2f?", 200, "/view//x/../y%2f?"},
		{config.AsSentPaths, "GET", "/view/../note/k", 400, ""},
		{config.AsSentPaths, "GET", "/view/..%2fnote/k", 400, ""},
		{config.AsSentPaths, "GET", `/view/..\note`, 400, ""},
	} {
		cfg := testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service")))
		cfg.Listeners[0].Paths = c.paths
		n := start(t, cfg, nil)
		client := testpeer.Dial(t, n.Addr())
		client.Send(c.method, c.target, "id", "", "60")
		r, body := client.Answer(t)
		sent := ""
		if r.StatusCode == 200 {
			sent = testpeer.Receive(t, got, "the request")
		}
		if r.StatusCode != c.status || sent != c.sent || len(got) > 0 {
			t.Errorf("%s: %s %s: %d %q, sent %q; want %d, %q", c.paths, c.method, c.target, r.StatusCode, body, sent, c.status, c.sent)
		}
	}
}

// A request whose head was read under one configuration and whose body came under another is taken under the
// new one: as what it is there, or not at all.
func TestRequestIsReadUnderCurrentConfiguration(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	for _, c := range []struct {
		name   string
		change func(*config.Config)
		status int
	}{
		{"nothing of it changes", func(c *config.Config) { c.Classes[1].PriorityWeight = 7 }, 200},
		{"its class is gone", func(c *config.Config) { c.Classes = c.Classes[:1] }, 404},
		{"its class turns safe", func(c *config.Config) { c.Classes[1].Effect = config.Safe }, 405},
		{"its class turns keyed", func(c *config.Config) { c.Classes[1].Effect = config.Keyed }, 400},
		{"its deadline is too long now", func(c *config.Config) { c.Classes[1].Deadline = config.Duration(time.Second) }, 400},
		{"its listener is gone", func(c *config.Config) { c.Listeners[0].Name = "other" }, 503},
		{"no route takes it", func(c *config.Config) {
			c.Routes[0] = route.Route{Name: "r", Classes: []string{"view", "keyed"}, To: c.Routes[0].To}
			c.Routes = append(c.Routes, route.Route{Name: "n", Classes: []string{"note"}, Hosts: []string{"x"}, To: c.Routes[0].To})
		}, 404},
		{"its path is not strict", func(c *config.Config) { c.Listeners[0].Paths = config.StrictPaths }, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
			client := testpeer.Dial(t, n.Addr())
			fmt.Fprint(client, "POST /note//k HTTP/1.1\r\nHost: h\r\nX-Request-Id: id\r\nX-Deadline: 60\r\nContent-Length: 2\r\n\r\no")
			testpeer.Until(t, "its head to be read", func() bool { return n.clients.CountPhase(downstream.PhaseReading) > 0 })
			before := s.Seen()
			next := testpeer.Config()
			c.change(next)
			n.dispatcher.Swap(n.snapshot(t, next), func() {})
			io.WriteString(client, "k")
			r, body := client.Answer(t)
			if r.StatusCode != c.status || (s.Seen() > before) != (c.status == 200) {
				t.Errorf("%d %q, %d reached the server; want %d", r.StatusCode, body, s.Seen()-before, c.status)
			}
			if c.status == 503 && (r.Header.Get("Retry-After") == "" || !r.Close) {
				t.Errorf("Retry-After %q, close %v", r.Header.Get("Retry-After"), r.Close)
			}
		})
	}
}
