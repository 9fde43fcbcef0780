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

func TestRequestIsForwardedUnchanged(t *testing.T) {
	type receivedRequest struct {
		r    *http.Request
		body string
	}
	got := make(chan receivedRequest, 10)
	responseBody := strings.Repeat("\x00\xff binary \r\n", 5000)
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		got <- receivedRequest{r, body}
		return testpeer.Reply200(conn, responseBody)
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	longBody := strings.Repeat("b\r\n\x00", validation.MaxBufferedBody/4)
	for i, target := range []string{"/keyed/a%2fB?q=%20%41&&x", `/keyed/"odd"|{};,`, "/keyed/", "/keyed//x/../y?"} {
		id := fmt.Sprint("id-", i)
		fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: h\r\nx-request-id: %s\r\nIdempotency-Key: K+/=%d\r\n"+
			"X-Deadline: 20.5\r\nContent-Length: %d\r\n\r\n%s", target, id, i, len(longBody), longBody)
		client.Want(t, 200, responseBody)
		forwarded := testpeer.Receive(t, got, "the request")
		if forwarded.r.Method != "POST" || forwarded.r.RequestURI != target || forwarded.body != longBody ||
			forwarded.r.Header.Get("X-Request-Id") != id || forwarded.r.Header.Get("Idempotency-Key") != fmt.Sprint("K+/=", i) {
			t.Errorf("forwarded as %s %s %v", forwarded.r.Method, forwarded.r.RequestURI, forwarded.r.Header)
		}
		var left float64
		if fmt.Sscan(forwarded.r.Header.Get("X-Deadline"), &left); !(left > 0 && left <= 20.5) {
			t.Errorf("forwarded with X-Deadline %q, want at most 20.5", forwarded.r.Header.Get("X-Deadline"))
		}
	}
	client.Get("get")
	client.Want(t, 200, responseBody)
	if forwarded := testpeer.Receive(t, got, "the request"); forwarded.r.Method != "GET" || forwarded.body != "" || forwarded.r.Header["Idempotency-Key"] != nil ||
		forwarded.r.ContentLength != 0 {
		t.Errorf("forwarded as %s %v", forwarded.r.Method, forwarded.r.Header)
	}
	if server.AcceptedConnections() != 1 {
		t.Errorf("%d connections for sequential requests, want 1", server.AcceptedConnections())
	}
}

// A request on a kept-alive connection that breaks may have reached the server: neither the node nor a library that it uses
// may send it again, whatever its method or headers.
func TestUnsafeRequestIsNotRetriedAfterReset(t *testing.T) {
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "break") {
			conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		return testpeer.Reply200(conn, "")
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	for i := range 2 {
		client.Send("POST", "/note/k", fmt.Sprint("first-", i), "x", "60")
		client.Want(t, 200, "")
		id := fmt.Sprint("break-", i)
		client.Send("POST", "/note/k", id, "x", "60")
		client.Want(t, http.StatusBadGateway, "")
		if server.RequestCount() != 2*(i+1) {
			t.Fatalf("%d requests reached the server, want %d", server.RequestCount(), 2*(i+1))
		}
	}
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	closing := make(chan struct{}, 100)
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		testpeer.Reply200(conn, "ok") // without "Connection: close", so the node expects keep-alive
		conn.Close()
		closing <- struct{}{}
		return false
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	for i := range 50 {
		client.Send("POST", "/note/k", fmt.Sprint("n", i), "x", "60")
		client.Want(t, 200, "ok")
		testpeer.Receive(t, closing, "the close")
	}
	if server.RequestCount() != 50 || server.AcceptedConnections() != 50 {
		t.Errorf("%d requests on %d connections, want 50 on 50", server.RequestCount(), server.AcceptedConnections())
	}
}

func TestDisconnectCancelsAttempt(t *testing.T) {
	received, attemptClosed := make(chan struct{}), make(chan struct{})
	var first sync.Once
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		replies := true
		first.Do(func() {
			close(received)
			conn.Read(make([]byte, 1)) // returns when the node closes the connection
			close(attemptClosed)
			replies = false
		})
		return replies && testpeer.Echo(conn, r, body)
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	client.Send("POST", "/note/k", "leaving", "x", "60")
	testpeer.Receive(t, received, "the attempt")
	client.Close()
	testpeer.Receive(t, attemptClosed, "the end of the attempt")
	again := testpeer.Dial(t, node.Addr())
	testpeer.Until(t, "the request to end", func() bool { return node.engine.Status().Open == 0 })
	again.Send("POST", "/note/k", "leaving", "x", "60") // it may have run
	again.Want(t, http.StatusConflict, "")
	again.Send("POST", "/note/k", "another", "x", "60")
	again.Want(t, http.StatusOK, "")
	if n := server.RequestCount(); n != 2 {
		t.Errorf("the server received %d requests, want 2", n)
	}
}

func TestSilentServerTimesOut(t *testing.T) {
	closedAt := make(chan struct{}, 2)
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		conn.Read(make([]byte, 1)) // sends nothing until the node closes the connection
		closedAt <- struct{}{}
		return false
	})
	cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service")))
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = config.Duration(300 * time.Millisecond)
	}
	node := startNode(t, cfg, nil)
	client := testpeer.Dial(t, node.Addr())
	client.Send("POST", "/note/k", "unsafe", "x", "20")
	client.Want(t, http.StatusBadGateway, "") // the request may have run, so it is not rejected with 503
	testpeer.Receive(t, closedAt, "the close")
	client.Get("safe")
	r, _ := client.ReadResponse(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want 503 with Retry-After", r.StatusCode, r.Header.Get("Retry-After"))
	}
	testpeer.Receive(t, closedAt, "the close")
	if server.RequestCount() != 2 {
		t.Errorf("%d requests reached the server, want 2", server.RequestCount())
	}
}

// A request that the balancer gives up is rejected at once with Retry-After, though its deadline is far away.
func TestUnreachableServerIsRejectedAtOnceWithRetryAfter(t *testing.T) {
	cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", testpeer.ClosedPort(t), "in_service")))
	node := startNode(t, cfg, nil)
	client := testpeer.Dial(t, node.Addr())
	begin := time.Now()
	client.Send("POST", "/note/k", "x", "x", "60")
	r, _ := client.ReadResponse(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || time.Since(begin) > testpeer.Limit {
		t.Errorf("status %d, Retry-After %q after %v; want 503 with Retry-After", r.StatusCode, r.Header.Get("Retry-After"), time.Since(begin))
	}
}

// A new server at the address of a removed one does not inherit the connections of its predecessor, and neither does a
// restarted server: whatever still arrives on them belongs to the old one.
func TestConnectionsBelongToOneServerIncarnation(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	server := testpeer.NewServer(t, testpeer.HoldRequest(hold, got))
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	held, client := testpeer.Dial(t, node.Addr()), testpeer.Dial(t, node.Addr())
	held.Get("held")
	testpeer.Receive(t, got, "the attempt")
	client.Get("one")
	client.Want(t, 200, "for one")
	for i, next := range []string{testpeer.Entry("s2", server.Address(), "in_service"),
		strings.Replace(testpeer.Entry("s2", server.Address(), "in_service"), `"boot_ms":0`, `"boot_ms":5`, 1)} {
		list, err := discovery.Parse([]byte(strings.Replace(testpeer.FullSnapshot(next), "%d", "9", 1)))
		if err != nil {
			t.Fatal(err)
		}
		node.engine.UpdateList(list)
		before := server.AcceptedConnections()
		testpeer.Until(t, "the list to be applied", func() bool {
			got, _ := node.backend.server("s2")
			want := list.Targets[0]
			starts := (got.Boot != 0) == (want.Boot != 0) // the value is by the node's clock, so only its presence is compared
			got.Boot = want.Boot
			return got == want && starts
		})
		if i == 0 { // a connection that was in use when the server was removed
			close(hold)
			held.Want(t, 200, "for held")
		}
		client.Get(fmt.Sprint("next-", i))
		client.Want(t, 200, fmt.Sprint("for next-", i))
		if server.AcceptedConnections() != before+1 {
			t.Errorf("incarnation %d: %d connections after %d, want one more", i, server.AcceptedConnections(), before)
		}
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		select {
		case got <- struct{}{}:
		default:
		}
		<-hold
		return testpeer.Echo(c, r, body)
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.front.server.ReadHeaderTimeout, node.front.bodyGrace = 300*time.Millisecond, 300*time.Millisecond
	})
	first := testpeer.Dial(t, node.Addr())
	first.Get("used")
	testpeer.Receive(t, got, "the attempt")
	const validHeaders = "Host: h\r\nX-Request-Id: new\r\nX-Deadline: 60\r\n"
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"no id", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Deadline: 60\r\n\r\n", 400},
		{"two ids", "GET /view/k HTTP/1.1\r\nX-Request-Id: b\r\n" + validHeaders + "\r\n", 400},
		{"an id in use", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: used\r\nX-Deadline: 60\r\n\r\n", 409},
		{"no deadline", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\n\r\n", 400},
		{"a deadline that is not a number", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: NaN\r\n\r\n", 400},
		{"a deadline in the past", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: -1\r\n\r\n", 400},
		{"an infinite deadline", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 1e300\r\n\r\n", 400},
		{"a deadline in hexadecimal", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 0x1p4\r\n\r\n", 400},
		{"a deadline with an underscore", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 1_0\r\n\r\n", 400},
		{"a deadline too long for the class", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 121\r\n\r\n", 400},
		{"two deadlines", "GET /view/k HTTP/1.1\r\nX-Deadline: 5\r\n" + validHeaders + "\r\n", 400},
		{"no class", "GET / HTTP/1.1\r\n" + validHeaders + "\r\n", 404},
		{"a class that does not exist", "POST /notes/k HTTP/1.1\r\n" + validHeaders + "Content-Length: 2\r\n\r\nok", 404},
		{"a target that is not a path", "GET ftp://h/view/k HTTP/1.1\r\n" + validHeaders + "\r\n", 404},
		{"POST for a safe class", "POST /view/k HTTP/1.1\r\n" + validHeaders + "Content-Length: 0\r\n\r\n", 405},
		{"GET for an unsafe class", "GET /note/k HTTP/1.1\r\n" + validHeaders + "\r\n", 405},
		{"a key for an unsafe class", "POST /note/k HTTP/1.1\r\nIdempotency-Key: k\r\n" + validHeaders + "Content-Length: 0\r\n\r\n", 400},
		{"no key", "POST /keyed/k HTTP/1.1\r\n" + validHeaders + "Content-Length: 0\r\n\r\n", 400},
		{"two keys", "POST /keyed/k HTTP/1.1\r\nIdempotency-Key: k\r\nIdempotency-Key: k\r\n" + validHeaders + "Content-Length: 0\r\n\r\n", 400},
		{"GET with a body", "GET /view/k HTTP/1.1\r\n" + validHeaders + "Content-Length: 2\r\n\r\nok", 400},
		{"OPTIONS *", "OPTIONS * HTTP/1.1\r\n" + validHeaders + "\r\n", 405},
		{"POST for the health check", "POST /health/ready HTTP/1.1\r\n" + validHeaders + "Content-Length: 0\r\n\r\n", 405},
		{"a negative length", "POST /note/k HTTP/1.1\r\n" + validHeaders + "Content-Length: -1\r\n\r\n", 400},
		{"half a body", "POST /note/k HTTP/1.1\r\n" + validHeaders + "Content-Length: 10\r\n\r\nhalf", 400},
		{"another method", "DELETE /view/k HTTP/1.1\r\n" + validHeaders + "\r\n", 405},
		{"half a long body", "POST /note/k HTTP/1.1\r\n" + validHeaders + "Content-Length: 65537\r\n\r\nhalf", 400},
		{"a body that is too long", "POST /note/k HTTP/1.1\r\n" + validHeaders + fmt.Sprintf("Content-Length: %d\r\n\r\n", validation.MaxStreamedBody+1), 413},
		{"chunks without a last chunk", "POST /note/k HTTP/1.1\r\n" + validHeaders + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", 400},
		{"malformed chunks", "POST /note/k HTTP/1.1\r\n" + validHeaders + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n", 400},
		{"GET with a body in chunks", "GET /view/k HTTP/1.1\r\n" + validHeaders + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 400},
		{"request smuggling", "POST /note/k HTTP/1.1\r\n" + validHeaders + "Content-Length: 5\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /view/k HTTP/1.1\r\nHost: h\r\n" +
			"X-Request-Id: hidden\r\nX-Deadline: 60\r\n\r\n", 400},
		{"request smuggling in HTTP/1.0", "POST /note/k HTTP/1.0\r\n" + validHeaders + "Connection: keep-alive\r\nContent-Length: 4\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n5a\r\nGET /view/k HTTP/1.1\r\nHost: h\r\n" +
			"X-Request-Id: hidden\r\nX-Deadline: 60\r\n\r\n\r\n0\r\n\r\n", 400},
		{"a transfer coding in HTTP/1.0", "POST /note/k HTTP/1.0\r\n" + validHeaders + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 400},
		{"not HTTP", "hello\r\n\r\n", 400},
		{"a long header", "GET /view/k HTTP/1.1\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n" + validHeaders + "\r\n", 431},
		{"half-sent headers", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Req", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := testpeer.Dial(t, node.Addr())
			go io.WriteString(conn, c.text)
			if c.status == 0 { // an error response or none, and the connection closes
				received, err := io.ReadAll(conn)
				if err != nil || len(received) > 0 && !strings.HasPrefix(string(received), "HTTP/1.1 4") {
					t.Errorf("received %q, %v; want an error response or none, and a close", received, err)
				}
				return
			}
			conn.Want(t, c.status, "")
			conn.WantClosed(t, "a connection after an invalid request")
		})
	}
	halfClosed := testpeer.Dial(t, node.Addr())
	io.WriteString(halfClosed, "POST /note/k HTTP/1.1\r\n"+validHeaders+"Content-Length: 10\r\n\r\nhalf")
	halfClosed.Conn.(*net.TCPConn).CloseWrite()
	io.Copy(io.Discard, halfClosed.Reader) // a response or none, and the connection closes
	if server.RequestCount() != 1 {
		t.Errorf("%d requests reached the server, want only the valid one", server.RequestCount())
	}
	close(hold)
	first.Want(t, 200, "for used")
}

// A client gives its last attempt all its remaining time, more than attempts usually get. That must not make the first
// attempts of other clients look like retries whose latency objective has passed, which are rejected at once.
func TestLongLastAttemptDoesNotAffectFirstAttempts(t *testing.T) {
	server, hold, got := startHoldingServer(t)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	getView := func(id, deadline string) {
		t.Helper()
		client.Send("GET", "/view/k", id, "", deadline)
		client.Want(t, 200, "for "+id)
	}
	for i := range 5 {
		getView(fmt.Sprint("first-", i), "25")
	}
	getView("last", "59.9")
	var busy []*testpeer.ClientConn // with these in flight there is capacity for a first attempt, but none for a retry
	for i := range 9 {
		busy = append(busy, testpeer.Dial(t, node.Addr()))
		busy[i].Send("POST", "/note/k", fmt.Sprint("held-", i), "x", "60")
		testpeer.Receive(t, got, "an attempt")
	}
	for i := range 5 {
		getView(fmt.Sprint("another-", i), "25")
	}
	client.Send("GET", "/view/k", "repeat", "", "20") // the class's deadline of 60 s began 40 s ago
	if r, _ := client.ReadResponse(t); r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("a retry past its latency objective: status %d, Retry-After %q; want 503 with Retry-After", r.StatusCode, r.Header.Get("Retry-After"))
	}
	close(hold)
	for i, b := range busy {
		b.Want(t, 200, fmt.Sprint("for held-", i))
	}
}

// The listener's setting determines how a path is forwarded. A path that a server could take for one of another class is
// rejected.
func TestPathHandlingByListenerSetting(t *testing.T) {
	got := make(chan string, 1)
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		got <- r.RequestURI
		return testpeer.Reply200(conn, "")
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
		{config.NormalizePaths, "GET", "/view/../note/k", 405, ""}, // its class is note, which requires POST
		{config.NormalizePaths, "POST", "/view/../note/k", 200, "/note/k"},
		{config.NormalizePaths, "GET", "/%76iew/k", 200, "/view/k"},
		{config.NormalizePaths, "GET", "/view/..%2fnote/k", 400, ""},
		{config.AsSentPaths, "GET", "/view//x/../y%2f?", 200, "/view//x/../y%2f?"},
		{config.AsSentPaths, "GET", "/view/../note/k", 400, ""},
		{config.AsSentPaths, "GET", "/view/..%2fnote/k", 400, ""},
		{config.AsSentPaths, "GET", `/view/..\note`, 400, ""},
	} {
		cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service")))
		cfg.Listeners[0].Paths = c.paths
		node := startNode(t, cfg, nil)
		client := testpeer.Dial(t, node.Addr())
		client.Send(c.method, c.target, "id", "", "60")
		r, body := client.ReadResponse(t)
		sent := ""
		if r.StatusCode == 200 {
			sent = testpeer.Receive(t, got, "the request")
		}
		if r.StatusCode != c.status || sent != c.sent || len(got) > 0 {
			t.Errorf("%s: %s %s: status %d, body %q, forwarded %q; want %d, %q", c.paths, c.method, c.target, r.StatusCode, body, sent, c.status, c.sent)
		}
	}
}

// A request whose head was read under one configuration and whose body arrived under another is checked again: it is handled
// as the new configuration defines it, or rejected.
func TestRequestIsCheckedAgainUnderNewConfiguration(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	for _, c := range []struct {
		name   string
		change func(*config.Config)
		status int
	}{
		{"unrelated change", func(c *config.Config) { c.Classes[1].PriorityWeight = 7 }, 200},
		{"class removed", func(c *config.Config) { c.Classes = c.Classes[:1] }, 404},
		{"class becomes safe", func(c *config.Config) { c.Classes[1].Effect = config.Safe }, 405},
		{"class becomes keyed", func(c *config.Config) { c.Classes[1].Effect = config.Keyed }, 400},
		{"deadline of the class shortened", func(c *config.Config) { c.Classes[1].Deadline = config.Duration(time.Second) }, 400},
		{"listener removed", func(c *config.Config) { c.Listeners[0].Name = "other" }, 503},
		{"no matching route", func(c *config.Config) {
			c.Routes[0] = route.Route{Name: "r", Classes: []string{"view", "keyed"}, To: c.Routes[0].To}
			c.Routes = append(c.Routes, route.Route{Name: "n", Classes: []string{"note"}, Hosts: []string{"x"}, To: c.Routes[0].To})
		}, 404},
		{"path rejected by strict paths", func(c *config.Config) { c.Listeners[0].Paths = config.StrictPaths }, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
			client := testpeer.Dial(t, node.Addr())
			fmt.Fprint(client, "POST /note//k HTTP/1.1\r\nHost: h\r\nX-Request-Id: id\r\nX-Deadline: 60\r\nContent-Length: 2\r\n\r\no")
			testpeer.Until(t, "the request's head to be read", func() bool { return node.clients.CountPhase(downstream.PhaseReading) > 0 })
			before := server.RequestCount()
			next := testpeer.Config()
			c.change(next)
			node.dispatcher.Swap(node.snapshot(t, next), func() {})
			io.WriteString(client, "k")
			r, body := client.ReadResponse(t)
			if r.StatusCode != c.status || (server.RequestCount() > before) != (c.status == 200) {
				t.Errorf("status %d, body %q, %d requests reached the server; want status %d", r.StatusCode, body, server.RequestCount()-before, c.status)
			}
			if c.status == 503 && (r.Header.Get("Retry-After") == "" || !r.Close) {
				t.Errorf("Retry-After %q, close %v; want a Retry-After and a close", r.Header.Get("Retry-After"), r.Close)
			}
		})
	}
}
