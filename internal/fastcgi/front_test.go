package fastcgi

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/descriptors"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/requestids"
	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/upstream"
)

// testEnv is a Front with one pool of HTTP/1.1 servers.
type testEnv struct {
	front   *Front
	clients *downstream.Set
	engine  *engine.Engine
	backend *upstream.Pool
	ln      net.Listener
}

func startFront(t testing.TB, servers ...string) *testEnv {
	t.Helper()
	return startFrontWithLimits(t, DefaultConnLimits(), servers...)
}

func startFrontWithLimits(t testing.TB, limits ConnLimits, servers ...string) *testEnv {
	t.Helper()
	return startFrontOn(t, func(ln net.Listener) net.Listener { return ln }, limits, servers...)
}

// startFrontOn starts a front that accepts from its listener as wrapped by wrap.
func startFrontOn(t testing.TB, wrap func(net.Listener) net.Listener, limits ConnLimits, servers ...string) *testEnv {
	t.Helper()
	cfg := testpeer.Config()
	cfg.Listeners[0].Protocol = config.FastCGI
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c, counters := clock.New(), &metrics.Recorder{}
	env := &testEnv{backend: upstream.NewPool(c, descriptors.NewShare(488), counters, upstream.Limits{MaxConnections: 488, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute})}
	env.clients = downstream.New(c, downstream.Limits{Capacity: 976, ServerMinimum: 244, Reserve: 24}, env.backend.Connections)
	var err error
	if env.engine, err = engine.New(engine.Options{Settings: cfg.BalancerSettings(cfg.Pools[0]), Seed: 1, Clock: c, Backend: env.backend,
		Subscribe: func() {}, ListsPushed: true, Log: log}); err != nil {
		t.Fatal(err)
	}
	snapshot, err := dispatch.NewSnapshot(cfg, map[string]*engine.Engine{"servers": env.engine})
	if err != nil {
		t.Fatal(err)
	}
	list, err := discovery.Parse([]byte(strings.Replace(testpeer.FullSnapshot(servers...), "%d", "1", 1)))
	if err != nil {
		t.Fatal(err)
	}
	env.engine.RestoreList(list)
	env.front = NewFront("main", c, env.clients, dispatch.New(snapshot, requestids.New()), counters, log)
	env.front.limits = limits
	if env.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	env.ln = wrap(env.ln)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); env.front.Serve(env.ln) }()
	go env.engine.Run(ctx)
	t.Cleanup(func() { env.ln.Close(); <-stopped; cancel(); env.backend.Close() })
	return env
}

// testWebServer is a web server's connection to a front.
type testWebServer struct {
	net.Conn
	*WebServer
	out *Writer
	in  *Reader
}

func connect(t testing.TB, env *testEnv) *testWebServer {
	t.Helper()
	c, err := net.Dial("tcp", env.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * testpeer.Limit))
	out := NewWriter(c)
	w := &testWebServer{c, NewWebServer(out), out, NewReader(bufio.NewReader(c))}
	w.maxRequests = 1000
	return w
}

// requestParams returns the PARAMS of a request for a class of testpeer.Config.
func requestParams(method, target, id string, more ...string) []Param {
	all := []Param{{"REQUEST_METHOD", method}, {"REQUEST_URI", target}, {"SERVER_PROTOCOL", "HTTP/1.1"}, {"HTTP_HOST", "h"},
		{"HTTP_X_REQUEST_ID", id}, {"HTTP_X_DEADLINE", "60"}}
	for i := 0; i < len(more); i += 2 {
		all = append(all, Param{more[i], more[i+1]})
	}
	return all
}

// sendRequest sends a complete request and returns its id.
func (w *testWebServer) sendRequest(t testing.TB, params []Param, body string) uint16 {
	t.Helper()
	id, err := w.Begin(params, true)
	if err = errors.Join(err, w.Send(id, []byte(body)), w.CloseSend(id), w.out.Flush()); err != nil {
		t.Fatal(err)
	}
	return id
}

// testResponse is the outcome of a request.
type testResponse struct {
	text string // head and body
	end  End
}

func (a testResponse) status() string {
	return strings.TrimPrefix(strings.SplitN(a.text, "\r\n", 2)[0], "Status: ")
}
func (a testResponse) body() string { _, body, _ := strings.Cut(a.text, "\r\n\r\n"); return body }

// receive reads until the given number of requests have ended.
func (w *testWebServer) receive(t testing.TB, count int) map[uint16]testResponse {
	t.Helper()
	output, responses := map[uint16]*bytes.Buffer{}, map[uint16]testResponse{}
	for len(responses) < count {
		rec, err := w.in.Next()
		var reply Reply
		if err == nil {
			reply, err = w.HandleRecord(rec)
		}
		if err != nil {
			t.Fatalf("after %d of %d responses: %v", len(responses), count, err)
		}
		if output[reply.ID] == nil {
			output[reply.ID] = &bytes.Buffer{}
		}
		switch reply.Kind {
		case Output:
			output[reply.ID].Write(reply.Data)
		case Ended:
			responses[reply.ID] = testResponse{output[reply.ID].String(), reply.End}
		}
	}
	return responses
}

func (w *testWebServer) expectClosed(t testing.TB, name string) {
	t.Helper()
	if rec, err := w.in.Next(); err == nil {
		t.Errorf("%s: got %v of request %d, want a closed connection", name, rec.Type, rec.ID)
	} else if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
		t.Errorf("%s: connection is still open", name)
	}
}

func TestRequestFromVariables(t *testing.T) {
	type seen struct {
		r    *http.Request
		body string
	}
	got := make(chan seen, 10)
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- seen{r, body}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nX-Other: x\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	env := startFront(t, testpeer.Entry("s1", server.Address(), "in_service"))
	webServer := connect(t, env)
	id := webServer.sendRequest(t, requestParams("POST", "/keyed/a%2fB?q=%20", "the-id", "HTTP_IDEMPOTENCY_KEY", "K+/=", "CONTENT_TYPE", "c/d", "CONTENT_LENGTH", "4",
		"HTTP_PROXY", "evil", "HTTP_CONTENT_LENGTH", "4"), "body")
	resp := webServer.receive(t, 1)[id]
	if want := "Status: 200 OK\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\nok"; resp.text != want || resp.end != (End{}) {
		t.Errorf("got %q, end %+v; want %q", resp.text, resp.end, want)
	}
	received := testpeer.Receive(t, got, "the request")
	if received.r.Method != "POST" || received.r.RequestURI != "/keyed/a%2fB?q=%20" || received.body != "body" || received.r.Header.Get("X-Request-Id") != "the-id" ||
		received.r.Header.Get("Idempotency-Key") != "K+/=" || received.r.Header.Get("Content-Type") != "c/d" || received.r.Header.Get("Proxy") != "" {
		t.Errorf("server got %s %s, header %v, body %q", received.r.Method, received.r.RequestURI, received.r.Header, received.body)
	}
	// Without REQUEST_URI the target is built from the other variables; without CONTENT_LENGTH the body is all of STDIN.
	id = webServer.sendRequest(t, []Param{{"REQUEST_METHOD", "POST"}, {"SCRIPT_NAME", "/note"}, {"PATH_INFO", "/a b"}, {"QUERY_STRING", "x=y"},
		{"HTTP_X_REQUEST_ID", "other"}, {"HTTP_X_DEADLINE", "60"}}, "no length")
	if resp := webServer.receive(t, 1)[id]; resp.body() != "ok" {
		t.Errorf("got %q", resp.text)
	}
	if received := testpeer.Receive(t, got, "the request"); received.r.RequestURI != "/note/a%20b?x=y" || received.body != "no length" {
		t.Errorf("server got %s, body %q", received.r.RequestURI, received.body)
	}
}

func TestInvalidRequestsAreAnswered(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	env := startFront(t, testpeer.Entry("s1", server.Address(), "in_service"))
	webServer := connect(t, env)
	for _, c := range []struct {
		name   string
		params []Param
		body   string
		want   string
	}{
		{"duplicate variable", requestParams("GET", "/view/k", "i", "REQUEST_METHOD", "GET"), "", "400 Bad Request"},
		{"conflicting lengths", requestParams("POST", "/note/k", "i", "CONTENT_LENGTH", "2", "HTTP_CONTENT_LENGTH", "5"), "ok", "400 Bad Request"},
		{"length in a header only", requestParams("POST", "/note/k", "i", "HTTP_CONTENT_LENGTH", "5"), "ok", "400 Bad Request"},
		{"transfer coding", requestParams("POST", "/note/k", "i", "HTTP_TRANSFER_ENCODING", "chunked"), "ok", "400 Bad Request"},
		{"header name with a hyphen", requestParams("GET", "/view/k", "i", "HTTP_X-REQUEST-ID", "j"), "", "400 Bad Request"},
		{"header name in lower case", requestParams("GET", "/view/k", "i", "http_x_request_id", "j"), "", "400 Bad Request"},
		{"line break in a value", requestParams("GET", "/view/k", "i\r\nX-Evil: 1"), "", "400 Bad Request"},
		{"empty request id", requestParams("GET", "/view/k", ""), "", "400 Bad Request"},
		{"path of no class", requestParams("GET", "/none/k", "i"), "", "404 Not Found"},
		{"unsupported method", requestParams("PUT", "/note/k", "i"), "", "405 Method Not Allowed"},
		{"target with a space", requestParams("GET", "/view/k HTTP/1.1", "i"), "", "400 Bad Request"},
		{"empty target", requestParams("GET", "", "i"), "", "400 Bad Request"},
		{"body over the limit", requestParams("POST", "/note/k", "i", "CONTENT_LENGTH", "65537"), "", "413 Request Entity Too Large"},
		{"body over the limit without a length", requestParams("POST", "/note/k", "i"), strings.Repeat("x", 65537), "413 Request Entity Too Large"},
		{"negative length", requestParams("POST", "/note/k", "i", "CONTENT_LENGTH", "-1"), "", "400 Bad Request"},
		{"body shorter than its length", requestParams("POST", "/note/k", "i", "CONTENT_LENGTH", "5"), "four", "400 Bad Request"},
		{"body longer than its length", requestParams("POST", "/note/k", "i", "CONTENT_LENGTH", "3"), "four", "400 Bad Request"},
		{"GET with a body", requestParams("GET", "/view/k", "i", "CONTENT_LENGTH", "2"), "ok", "400 Bad Request"},
		{"GET with a body without a length", requestParams("GET", "/view/k", "i"), "ok", "400 Bad Request"},
	} {
		id := webServer.sendRequest(t, c.params, c.body)
		if resp := webServer.receive(t, 1)[id]; resp.status() != c.want || resp.end != (End{}) {
			t.Errorf("%s: got %q, end %+v; want %s", c.name, resp.text, resp.end, c.want)
		}
	}
	if server.RequestCount() != 0 {
		t.Errorf("%d invalid requests reached the server", server.RequestCount())
	}
	id := webServer.sendRequest(t, requestParams("GET", "/view/k", "good"), "")
	if resp := webServer.receive(t, 1)[id]; resp.body() != "for good" {
		t.Errorf("valid request after the invalid ones: got %q", resp.text)
	}
	for name, requests := range map[string][]writeFunc{
		"id in use":                       {beginRequest(5, Responder), beginRequest(5, Responder)},
		"invalid record":                  {func(w *Writer) error { w.buf = append(w.buf, "\x02what"...); return nil }},
		"PARAMS of 2 GB":                  {beginRequest(5, Responder), streamData(Params, 5, "\xff\xff\xff\xff\x01x")},
		"too many PARAMS":                 {beginRequest(5, Responder), streamData(Params, 5, strings.Repeat("\x00\x00", 200))},
		"END_REQUEST from the web server": {endRequest(5, Complete)},
	} {
		webServer := connect(t, env)
		webServer.Write(encode(t, requests...))
		if name == "invalid record" {
			webServer.Conn.(*net.TCPConn).CloseWrite()
		}
		webServer.expectClosed(t, name)
	}
	testpeer.Until(t, "the connections to be closed", func() bool { return env.clients.Len() == 1 })
}

// With 50 requests on one connection, some aborted while servers handle them, each request ends once, the others are
// served, no unsafe request runs twice, and the ids of aborted requests can be reused at once.
func TestMultiplexedRequestsWithAborts(t *testing.T) {
	hold, got := make(chan struct{}), make(chan string, 100)
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		id := r.Header.Get("X-Request-Id")
		got <- id
		if strings.HasPrefix(id, "held") {
			<-hold
		}
		return testpeer.Echo(c, r, body)
	})
	var servers []string // enough for the engine to admit 50 requests
	for i := range 8 {
		servers = append(servers, testpeer.Entry(fmt.Sprint("s", i), server.Address(), "in_service"))
	}
	env := startFrontWithLimits(t, ConnLimits{Requests: 50, Params: DefaultConnLimits().Params}, servers...)
	webServer := connect(t, env)
	names := map[uint16]string{}
	for i := range 50 {
		name := fmt.Sprint("held-", i)
		names[webServer.sendRequest(t, requestParams("POST", "/note/k", name, "CONTENT_LENGTH", "2"), "ok")] = name
	}
	for range 50 {
		testpeer.Receive(t, got, "an attempt")
	}
	extra := webServer.sendRequest(t, requestParams("GET", "/view/k", "late"), "")
	if resp := webServer.receive(t, 1)[extra]; resp.end.Status != Overloaded {
		t.Errorf("request over the limit: got %+v, want OVERLOADED", resp)
	}
	aborted := map[uint16]bool{}
	for id := range names {
		if id%5 == 0 {
			aborted[id] = true
			webServer.Abort(id)
		}
	}
	webServer.out.Abort(999) // unknown id
	webServer.out.Flush()
	for id, resp := range webServer.receive(t, len(aborted)) {
		if !aborted[id] || resp.text != "" || resp.end != (End{AppStatus: 1}) {
			t.Errorf("end while waiting for aborted requests (aborted: %v): got %+v", aborted[id], resp)
		}
	}
	again := webServer.sendRequest(t, requestParams("GET", "/view/k", "again"), "")
	if !aborted[again] {
		t.Errorf("got id %d, want that of an aborted request", again)
	}
	if resp := webServer.receive(t, 1)[again]; resp.body() != "for again" {
		t.Errorf("request with a reused id: got %q", resp.text)
	}
	close(hold)
	for id, resp := range webServer.receive(t, 50-len(aborted)) {
		if resp.body() != "for "+names[id] || resp.end != (End{}) {
			t.Errorf("request %s: got %+v", names[id], resp)
		}
	}
	runs := map[string]int{}
	for _, id := range server.Requests() {
		if runs[id]++; runs[id] > 1 {
			t.Errorf("request %s ran twice", id)
		}
	}
	testpeer.Until(t, "all requests to end", func() bool { return env.engine.Status().Open == 0 && env.front.counters.Report().OpenRequests == 0 })
}

// When a web server disconnects with open requests, their attempts end and no connection or request is left.
func TestWebServerDisconnectsWithOpenRequests(t *testing.T) {
	got, gone := make(chan struct{}, 10), make(chan struct{}, 10)
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		c.Read(make([]byte, 1)) // returns when the node closes the connection
		gone <- struct{}{}
		return false
	})
	env := startFront(t, testpeer.Entry("s1", server.Address(), "in_service"))
	webServer := connect(t, env)
	for i := range 5 {
		webServer.sendRequest(t, requestParams("POST", "/note/k", fmt.Sprint("out-", i)), "x")
		testpeer.Receive(t, got, "the attempt")
	}
	webServer.Begin(requestParams("POST", "/note/k", "half"), true)
	webServer.out.Flush()
	webServer.Close()
	for range 5 {
		testpeer.Receive(t, gone, "the attempt's end")
	}
	testpeer.Until(t, "all connections and requests to end", func() bool {
		return env.clients.Len() == 0 && env.engine.Status().Open == 0 && env.front.counters.Report().OpenRequests == 0
	})
	if server.RequestCount() != 5 {
		t.Errorf("server got %d requests, want 5", server.RequestCount())
	}
}

// Long responses are streamed; the web server can detect one that is cut off.
func TestLongResponsesAreStreamed(t *testing.T) {
	text := strings.Repeat("0123456789abcdef", 1<<16)
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
		if r.URL.RawQuery == "cut" {
			io.WriteString(c, text[:len(text)/2])
			return false
		}
		io.WriteString(c, text)
		return true
	})
	env := startFront(t, testpeer.Entry("s1", server.Address(), "in_service"))
	webServer := connect(t, env)
	complete, truncated := webServer.sendRequest(t, requestParams("GET", "/view/k", "whole"), ""), webServer.sendRequest(t, requestParams("GET", "/view/k?cut", "cut"), "")
	responses := webServer.receive(t, 2)
	if resp := responses[complete]; resp.body() != text || resp.end != (End{}) {
		t.Errorf("complete response: got %d bytes, end %+v", len(resp.body()), resp.end)
	}
	if resp := responses[truncated]; len(resp.body()) >= len(text) || resp.end.AppStatus == 0 {
		t.Errorf("truncated response: got %d bytes, end %+v", len(resp.body()), resp.end)
	}
	if r := env.front.counters.Report(); r.Fulfilled["view"] != 1 || r.Faulted["view"] != 1 {
		t.Errorf("counters: %+v", r)
	}
}

func TestReadinessAndConnectionClose(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	env := startFront(t, testpeer.Entry("s1", server.Address(), "in_service"))
	webServer := connect(t, env)
	ready := func(want string) {
		t.Helper()
		id := webServer.sendRequest(t, []Param{{"REQUEST_METHOD", "GET"}, {"REQUEST_URI", "/health/ready"}}, "")
		if resp := webServer.receive(t, 1)[id]; resp.status() != want {
			t.Errorf("got %q, want %s", resp.text, want)
		}
	}
	ready("200 OK")
	env.front.SetReady(false)
	ready("503 Service Unavailable")
	env.front.SetReady(true)

	once := connect(t, env)
	id, _ := once.Begin(requestParams("GET", "/view/k", "once"), false)
	once.CloseSend(id)
	once.out.Flush()
	if resp := once.receive(t, 1)[id]; resp.body() != "for once" {
		t.Errorf("got %q", resp.text)
	}
	once.expectClosed(t, "connection without FCGI_KEEP_CONN")

	idle := connect(t, env)
	idle.receive(t, 0)
	testpeer.Until(t, "the idle connection to be accepted", func() bool { return env.clients.Len() == 2 })
	env.front.SetClosing(true)
	id = webServer.sendRequest(t, requestParams("GET", "/view/k", "last"), "")
	if resp := webServer.receive(t, 1)[id]; resp.body() != "for last" {
		t.Errorf("got %q", resp.text)
	}
	webServer.expectClosed(t, "connection after its last response")
	testpeer.Until(t, "idle connections to be closed", func() bool { return env.front.CloseIdle() == 0 })
	idle.expectClosed(t, "idle connection")
}

// A rejected request gets 503 with Retry-After; one that a server may have run gets 502.
func TestRejectedAndFailedResponses(t *testing.T) {
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "full" {
			_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		_, err := io.WriteString(c, "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	env := startFront(t, testpeer.Entry("s1", server.Address(), "in_service"))
	webServer := connect(t, env)
	rejected, failed := webServer.sendRequest(t, requestParams("POST", "/note/k", "full"), ""), webServer.sendRequest(t, requestParams("POST", "/note/k", "fails"), "")
	responses := webServer.receive(t, 2)
	if resp := responses[rejected]; resp.status() != "503 Service Unavailable" || !strings.Contains(resp.text, "\r\nRetry-After: ") {
		t.Errorf("got %q", resp.text)
	}
	if resp := responses[failed]; resp.status() != "502 Bad Gateway" {
		t.Errorf("got %q", resp.text)
	}
}

// BenchmarkIdleConnections measures the heap and stack memory in use by the runtime for each idle connection.
func BenchmarkIdleConnections(b *testing.B) {
	const count = 500
	server := testpeer.NewServer(b, testpeer.Echo)
	env := startFront(b, testpeer.Entry("s1", server.Address(), "in_service"))
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var conns []net.Conn
		for range count {
			c, err := net.Dial("tcp", env.ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			conns = append(conns, c)
		}
		testpeer.Until(b, "all connections to be accepted", func() bool { return env.clients.Len() == count })
		runtime.GC()
		runtime.ReadMemStats(&after)
		// This includes the test's own end of each connection.
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/count/1024, "KiB/conn")
		for _, c := range conns {
			c.Close()
		}
		testpeer.Until(b, "all connections to be closed", func() bool { return env.clients.Len() == 0 })
	}
}

// BenchmarkRequests passes small requests from one FastCGI connection to an HTTP/1.1 server, 1 and 16 at a time.
func BenchmarkRequests(b *testing.B) {
	server := testpeer.NewServer(b, testpeer.Echo)
	env := startFront(b, testpeer.Entry("s1", server.Address(), "in_service"))
	for _, concurrency := range []int{1, 16} {
		b.Run(fmt.Sprint(concurrency, " at once"), func(b *testing.B) {
			webServer := connect(b, env)
			b.ReportAllocs()
			for i := 0; i < b.N; i += concurrency {
				for k := range concurrency {
					webServer.sendRequest(b, requestParams("GET", "/view/k", fmt.Sprint(i, "-", k)), "")
				}
				webServer.receive(b, concurrency)
			}
		})
	}
}

// faultyConn fails the next write with errno, if set, after a third of its bytes.
type faultyConn struct {
	net.Conn
	errno *atomic.Uint32
}

func (c faultyConn) Write(p []byte) (int, error) {
	errno := syscall.Errno(c.errno.Swap(0))
	if errno == 0 {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:len(p)/3])
	return n, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", errno)}
}

type faultyListener struct {
	net.Listener
	errno *atomic.Uint32
}

func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return faultyConn{c, l.errno}, err
}

// A write that fails within a record closes the connection and cancels its requests, as if the web server had
// disconnected: the web server would read later responses as the rest of that record.
func TestFailedWriteClosesConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENOBUFS, syscall.EPIPE} {
		hold, got := make(chan struct{}), make(chan string, 2)
		gone := make(chan struct{})
		server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
			id := r.Header.Get("X-Request-Id")
			got <- id
			if id == "first" {
				<-hold
				return testpeer.Echo(c, r, body)
			}
			c.Read(make([]byte, 1)) // until the attempt is cancelled
			close(gone)
			return false
		})
		var nextErrno atomic.Uint32
		env := startFrontOn(t, func(ln net.Listener) net.Listener { return faultyListener{ln, &nextErrno} }, DefaultConnLimits(),
			testpeer.Entry("s1", server.Address(), "in_service"))
		webServer := connect(t, env)
		webServer.sendRequest(t, requestParams("POST", "/note/k", "first", "CONTENT_LENGTH", "2"), "ok")
		testpeer.Receive(t, got, "the first attempt")
		webServer.sendRequest(t, requestParams("POST", "/note/k", "second", "CONTENT_LENGTH", "2"), "ok")
		testpeer.Receive(t, got, "the second attempt")
		nextErrno.Store(uint32(errno))
		close(hold)
		testpeer.Receive(t, gone, "the second attempt's end")
		webServer.expectClosed(t, errno.Error())
		testpeer.Until(t, "the connection to be closed", func() bool { return env.clients.Len() == 0 })
	}
}

// deadlineConn reports for each write whether a deadline was set since the previous one.
type deadlineConn struct {
	net.Conn
	deadlineSet *atomic.Bool
	writes      chan bool
}

func (c deadlineConn) SetWriteDeadline(t time.Time) error {
	c.deadlineSet.Store(true)
	return c.Conn.SetWriteDeadline(t)
}

func (c deadlineConn) Write(p []byte) (int, error) {
	c.writes <- c.deadlineSet.Swap(false)
	return c.Conn.Write(p)
}

type deadlineListener struct {
	net.Listener
	writes chan bool
}

func (l deadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return deadlineConn{c, new(atomic.Bool), l.writes}, err
}

// Each write of a response has the full write timeout, however long ago the previous write on the connection was.
func TestEachWriteGetsFullTimeout(t *testing.T) {
	long := strings.Repeat("x", maxContent)
	server := testpeer.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool { return testpeer.Reply200(c, long) })
	writes := make(chan bool, 100)
	env := startFrontOn(t, func(ln net.Listener) net.Listener { return deadlineListener{ln, writes} }, DefaultConnLimits(),
		testpeer.Entry("s1", server.Address(), "in_service"))
	webServer := connect(t, env)
	id := webServer.sendRequest(t, requestParams("GET", "/view/k", "long"), "")
	if resp := webServer.receive(t, 1)[id]; resp.body() != long {
		t.Errorf("got %d bytes", len(resp.body()))
	}
	if len(writes) < 2 {
		t.Errorf("the response took %d writes, want several", len(writes))
	}
	for len(writes) > 0 {
		if !<-writes {
			t.Error("a write reused the deadline of the previous one")
		}
	}
}
