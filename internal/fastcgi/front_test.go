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
	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/upstream"
)

// rig is a FastCGI front over one pool of HTTP/1.1 servers.
type rig struct {
	front   *Front
	callers *downstream.Set
	engine  *engine.Engine
	back    *upstream.Pool
	ln      net.Listener
}

func startRig(t testing.TB, servers ...string) *rig {
	t.Helper()
	return startBounded(t, DefaultBounds(), servers...)
}

func startBounded(t testing.TB, bounds Bounds, servers ...string) *rig {
	t.Helper()
	return startRigOn(t, func(ln net.Listener) net.Listener { return ln }, bounds, servers...)
}

// startRigOn has the front end listen on what wrap makes of its listener.
func startRigOn(t testing.TB, wrap func(net.Listener) net.Listener, bounds Bounds, servers ...string) *rig {
	t.Helper()
	cfg := testpeer.Config()
	cfg.Listeners[0].Protocol = config.FastCGI
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c, count := clock.New(), &metrics.Recorder{}
	n := &rig{back: upstream.NewPool(c, descriptors.NewShare(488), count, upstream.Limits{MaxConnections: 488, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute})}
	n.callers = downstream.New(c, downstream.Limits{Capacity: 976, ServerMinimum: 244, Reserve: 24}, n.back.Connections)
	var err error
	if n.engine, err = engine.New(engine.Options{Settings: cfg.BalancerSettings(cfg.Pools[0]), Seed: 1, Clock: c, Backend: n.back,
		Subscribe: func() {}, ListsPushed: true, Log: log}); err != nil {
		t.Fatal(err)
	}
	view, err := dispatch.NewSnapshot(cfg, map[string]*engine.Engine{"servers": n.engine})
	if err != nil {
		t.Fatal(err)
	}
	list, err := discovery.Parse([]byte(strings.Replace(testpeer.Whole(servers...), "%d", "1", 1)))
	if err != nil {
		t.Fatal(err)
	}
	n.engine.RestoreList(list)
	n.front = NewFront("main", c, n.callers, dispatch.New(view), count, log)
	n.front.bounds = bounds
	if n.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	n.ln = wrap(n.ln)
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { defer close(over); n.front.Serve(n.ln) }()
	go n.engine.Run(ctx)
	t.Cleanup(func() { n.ln.Close(); <-over; cancel(); n.back.Close() })
	return n
}

// webServer is a web server that a test drives.
type webServer struct {
	net.Conn
	*WebServer
	out *Writer
	in  *Reader
}

func connect(t testing.TB, n *rig) *webServer {
	t.Helper()
	c, err := net.Dial("tcp", n.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * testpeer.Limit))
	out := NewWriter(c)
	w := &webServer{c, NewWebServer(out), out, NewReader(bufio.NewReader(c))}
	w.most = 1000
	return w
}

// variables are those of a request of one of the classes of testpeer.Config.
func variables(method, target, id string, more ...string) []Param {
	all := []Param{{"REQUEST_METHOD", method}, {"REQUEST_URI", target}, {"SERVER_PROTOCOL", "HTTP/1.1"}, {"HTTP_HOST", "h"},
		{"HTTP_X_REQUEST_ID", id}, {"HTTP_X_DEADLINE", "60"}}
	for i := 0; i < len(more); i += 2 {
		all = append(all, Param{more[i], more[i+1]})
	}
	return all
}

// ask begins a request and sends its body whole.
func (w *webServer) ask(t testing.TB, params []Param, body string) uint16 {
	t.Helper()
	id, err := w.Begin(params, true)
	if err = errors.Join(err, w.Send(id, []byte(body)), w.CloseSend(id), w.out.Flush()); err != nil {
		t.Fatal(err)
	}
	return id
}

// answer is what a request came to.
type answer struct {
	text string // head and body
	end  End
}

func (a answer) status() string {
	return strings.TrimPrefix(strings.SplitN(a.text, "\r\n", 2)[0], "Status: ")
}
func (a answer) body() string { _, body, _ := strings.Cut(a.text, "\r\n\r\n"); return body }

// hear reads until so many requests have ended.
func (w *webServer) hear(t testing.TB, ends int) map[uint16]answer {
	t.Helper()
	said, over := map[uint16]*bytes.Buffer{}, map[uint16]answer{}
	for len(over) < ends {
		rec, err := w.in.Next()
		var e Reply
		if err == nil {
			e, err = w.Take(rec)
		}
		if err != nil {
			t.Fatalf("after %d ends of %d: %v", len(over), ends, err)
		}
		if said[e.ID] == nil {
			said[e.ID] = &bytes.Buffer{}
		}
		switch e.Kind {
		case Output:
			said[e.ID].Write(e.Data)
		case Ended:
			over[e.ID] = answer{said[e.ID].String(), e.End}
		}
	}
	return over
}

func (w *webServer) wantClosed(t testing.TB, what string) {
	t.Helper()
	if rec, err := w.in.Next(); err == nil {
		t.Errorf("%s: %v of request %d", what, rec.Type, rec.ID)
	} else if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
		t.Errorf("%s: still open", what)
	}
}

func TestVariablesBecomeARequest(t *testing.T) {
	type seen struct {
		r    *http.Request
		body string
	}
	got := make(chan seen, 10)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- seen{r, body}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nX-Other: x\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	n := startRig(t, testpeer.Entry("s1", s.Address(), "in_service"))
	w := connect(t, n)
	id := w.ask(t, variables("POST", "/keyed/a%2fB?q=%20", "the-id", "HTTP_IDEMPOTENCY_KEY", "K+/=", "CONTENT_TYPE", "c/d", "CONTENT_LENGTH", "4",
		"HTTP_PROXY", "evil", "HTTP_CONTENT_LENGTH", "4"), "body")
	a := w.hear(t, 1)[id]
	if want := "Status: 200 OK\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\nok"; a.text != want || a.end != (End{}) {
		t.Errorf("%q, %+v; want %q", a.text, a.end, want)
	}
	g := testpeer.Receive(t, got, "the request")
	if g.r.Method != "POST" || g.r.RequestURI != "/keyed/a%2fB?q=%20" || g.body != "body" || g.r.Header.Get("X-Request-Id") != "the-id" ||
		g.r.Header.Get("Idempotency-Key") != "K+/=" || g.r.Header.Get("Content-Type") != "c/d" || g.r.Header.Get("Proxy") != "" {
		t.Errorf("%s %s %v %q", g.r.Method, g.r.RequestURI, g.r.Header, g.body)
	}
	// Without a REQUEST_URI, and without a length: what came is the body.
	id = w.ask(t, []Param{{"REQUEST_METHOD", "POST"}, {"SCRIPT_NAME", "/note"}, {"PATH_INFO", "/a b"}, {"QUERY_STRING", "x=y"},
		{"HTTP_X_REQUEST_ID", "other"}, {"HTTP_X_DEADLINE", "60"}}, "no length")
	if a := w.hear(t, 1)[id]; a.body() != "ok" {
		t.Errorf("%q", a.text)
	}
	if g := testpeer.Receive(t, got, "the request"); g.r.RequestURI != "/note/a%20b?x=y" || g.body != "no length" {
		t.Errorf("%s %q", g.r.RequestURI, g.body)
	}
}

func TestWhatCantBeUsedIsAnswered(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	n := startRig(t, testpeer.Entry("s1", s.Address(), "in_service"))
	w := connect(t, n)
	for _, c := range []struct {
		name   string
		params []Param
		body   string
		want   string
	}{
		{"a variable twice", variables("GET", "/view/k", "i", "REQUEST_METHOD", "GET"), "", "400 Bad Request"},
		{"two lengths", variables("POST", "/note/k", "i", "CONTENT_LENGTH", "2", "HTTP_CONTENT_LENGTH", "5"), "ok", "400 Bad Request"},
		{"a header's length alone", variables("POST", "/note/k", "i", "HTTP_CONTENT_LENGTH", "5"), "ok", "400 Bad Request"},
		{"a coding", variables("POST", "/note/k", "i", "HTTP_TRANSFER_ENCODING", "chunked"), "ok", "400 Bad Request"},
		{"names that fall together", variables("GET", "/view/k", "i", "HTTP_X-REQUEST-ID", "j"), "", "400 Bad Request"},
		{"a small name", variables("GET", "/view/k", "i", "http_x_request_id", "j"), "", "400 Bad Request"},
		{"a line's end", variables("GET", "/view/k", "i\r\nX-Evil: 1"), "", "400 Bad Request"},
		{"no id", variables("GET", "/view/k", ""), "", "400 Bad Request"},
		{"no class", variables("GET", "/none/k", "i"), "", "404 Not Found"},
		{"another method", variables("PUT", "/note/k", "i"), "", "405 Method Not Allowed"},
		{"a target with a space", variables("GET", "/view/k HTTP/1.1", "i"), "", "400 Bad Request"},
		{"no target", variables("GET", "", "i"), "", "400 Bad Request"},
		{"a body too long", variables("POST", "/note/k", "i", "CONTENT_LENGTH", "65537"), "", "413 Request Entity Too Large"},
		{"a body too long without a length", variables("POST", "/note/k", "i"), strings.Repeat("x", 65537), "413 Request Entity Too Large"},
		{"a length that is none", variables("POST", "/note/k", "i", "CONTENT_LENGTH", "-1"), "", "400 Bad Request"},
		{"a body short of its length", variables("POST", "/note/k", "i", "CONTENT_LENGTH", "5"), "four", "400 Bad Request"},
		{"a body beyond its length", variables("POST", "/note/k", "i", "CONTENT_LENGTH", "3"), "four", "400 Bad Request"},
		{"GET with a body", variables("GET", "/view/k", "i", "CONTENT_LENGTH", "2"), "ok", "400 Bad Request"},
		{"GET with a body that is not told", variables("GET", "/view/k", "i"), "ok", "400 Bad Request"},
	} {
		id := w.ask(t, c.params, c.body)
		if a := w.hear(t, 1)[id]; a.status() != c.want || a.end != (End{}) {
			t.Errorf("%s: %q, %+v; want %s", c.name, a.text, a.end, c.want)
		}
	}
	if s.Seen() != 0 {
		t.Errorf("%d requests reached the server", s.Seen())
	}
	id := w.ask(t, variables("GET", "/view/k", "good"), "")
	if a := w.hear(t, 1)[id]; a.body() != "for good" {
		t.Errorf("the connection after all that: %q", a.text)
	}
	for name, requests := range map[string][]step{
		"an id in use":      {begin(5, Responder), begin(5, Responder)},
		"a broken record":   {func(w *Writer) error { w.buf = append(w.buf, "\x02what"...); return nil }},
		"PARAMS of 2 GB":    {begin(5, Responder), stream(Params, 5, "\xff\xff\xff\xff\x01x")},
		"too many PARAMS":   {begin(5, Responder), stream(Params, 5, strings.Repeat("\x00\x00", 200))},
		"an answer to none": {ended(5, Complete)},
	} {
		w := connect(t, n)
		w.Write(written(t, requests...))
		if name == "a broken record" {
			w.Conn.(*net.TCPConn).CloseWrite()
		}
		w.wantClosed(t, name)
	}
	testpeer.Until(t, "the connections to be forgotten", func() bool { return n.callers.Len() == 1 })
}

// Fifty requests on one connection, of which some are aborted while servers have them: each ends once, the others are
// served, nothing unsafe runs twice, and the aborted ones' ids may be used again at once.
func TestFiftyRequestsSomeAborted(t *testing.T) {
	hold, got := make(chan struct{}), make(chan string, 100)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		id := r.Header.Get("X-Request-Id")
		got <- id
		if strings.HasPrefix(id, "held") {
			<-hold
		}
		return testpeer.Echo(c, r, body)
	})
	var servers []string // enough of them for the module to admit fifty requests
	for i := range 8 {
		servers = append(servers, testpeer.Entry(fmt.Sprint("s", i), s.Address(), "in_service"))
	}
	n := startBounded(t, Bounds{Requests: 50, Params: DefaultBounds().Params}, servers...)
	w := connect(t, n)
	asked := map[uint16]string{}
	for i := range 50 {
		name := fmt.Sprint("held-", i)
		asked[w.ask(t, variables("POST", "/note/k", name, "CONTENT_LENGTH", "2"), "ok")] = name
	}
	for range 50 {
		testpeer.Receive(t, got, "an attempt")
	}
	late := w.ask(t, variables("GET", "/view/k", "late"), "")
	if a := w.hear(t, 1)[late]; a.end.Status != Overloaded {
		t.Errorf("one too many: %+v", a)
	}
	aborted := map[uint16]bool{}
	for id := range asked {
		if id%5 == 0 {
			aborted[id] = true
			w.Abort(id)
		}
	}
	w.out.Abort(999) // never begun
	w.out.Flush()
	for id, a := range w.hear(t, len(aborted)) {
		if !aborted[id] || a.text != "" || a.end != (End{App: 1}) {
			t.Errorf("aborted %v: %+v", aborted[id], a)
		}
	}
	again := w.ask(t, variables("GET", "/view/k", "again"), "")
	if !aborted[again] {
		t.Errorf("id %d", again)
	}
	if a := w.hear(t, 1)[again]; a.body() != "for again" {
		t.Errorf("an id used again: %q", a.text)
	}
	close(hold)
	for id, a := range w.hear(t, 50-len(aborted)) {
		if a.body() != "for "+asked[id] || a.end != (End{}) {
			t.Errorf("%s: %+v", asked[id], a)
		}
	}
	runs := map[string]int{}
	for _, id := range s.Requests() {
		if runs[id]++; runs[id] > 1 {
			t.Errorf("%s ran twice", id)
		}
	}
	testpeer.Until(t, "nothing to be open", func() bool { return n.engine.Status().Open == 0 && n.front.figures.Report().OpenRequests == 0 })
}

// A web server that goes with requests out: their attempts end, and nothing is left.
func TestAWebServerThatGoes(t *testing.T) {
	got, gone := make(chan struct{}, 10), make(chan struct{}, 10)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		c.Read(make([]byte, 1)) // returns when the node closes
		gone <- struct{}{}
		return false
	})
	n := startRig(t, testpeer.Entry("s1", s.Address(), "in_service"))
	w := connect(t, n)
	for i := range 5 {
		w.ask(t, variables("POST", "/note/k", fmt.Sprint("out-", i)), "x")
		testpeer.Receive(t, got, "the attempt")
	}
	w.Begin(variables("POST", "/note/k", "half"), true)
	w.out.Flush()
	w.Close()
	for range 5 {
		testpeer.Receive(t, gone, "the attempt's end")
	}
	testpeer.Until(t, "nothing to be left", func() bool {
		return n.callers.Len() == 0 && n.engine.Status().Open == 0 && n.front.figures.Report().OpenRequests == 0
	})
	if s.Seen() != 5 {
		t.Errorf("%d requests", s.Seen())
	}
}

// Long answers pass through, whole or so that the web server can tell.
func TestLongAnswersThroughFastCGI(t *testing.T) {
	text := strings.Repeat("0123456789abcdef", 1<<16)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
		if r.URL.RawQuery == "cut" {
			io.WriteString(c, text[:len(text)/2])
			return false
		}
		io.WriteString(c, text)
		return true
	})
	n := startRig(t, testpeer.Entry("s1", s.Address(), "in_service"))
	w := connect(t, n)
	complete, cut := w.ask(t, variables("GET", "/view/k", "whole"), ""), w.ask(t, variables("GET", "/view/k?cut", "cut"), "")
	heard := w.hear(t, 2)
	if a := heard[complete]; a.body() != text || a.end != (End{}) {
		t.Errorf("%d bytes, %+v", len(a.body()), a.end)
	}
	if a := heard[cut]; len(a.body()) >= len(text) || a.end.App == 0 {
		t.Errorf("cut: %d bytes, %+v", len(a.body()), a.end)
	}
	if r := n.front.figures.Report(); r.Fulfilled["view"] != 1 || r.Faulted["view"] != 1 {
		t.Errorf("%+v", r)
	}
}

func TestReadyAndEnd(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	n := startRig(t, testpeer.Entry("s1", s.Address(), "in_service"))
	w := connect(t, n)
	ready := func(want string) {
		t.Helper()
		id := w.ask(t, []Param{{"REQUEST_METHOD", "GET"}, {"REQUEST_URI", "/health/ready"}}, "")
		if a := w.hear(t, 1)[id]; a.status() != want {
			t.Errorf("%q, want %s", a.text, want)
		}
	}
	ready("200 OK")
	n.front.SetReady(false)
	ready("503 Service Unavailable")
	n.front.SetReady(true)

	once := connect(t, n)
	id, _ := once.Begin(variables("GET", "/view/k", "once"), false)
	once.CloseSend(id)
	once.out.Flush()
	if a := once.hear(t, 1)[id]; a.body() != "for once" {
		t.Errorf("%q", a.text)
	}
	once.wantClosed(t, "a connection that was not to be kept")

	idle := connect(t, n)
	idle.hear(t, 0)
	testpeer.Until(t, "the idle one to be there", func() bool { return n.callers.Len() == 2 })
	n.front.SetClosing(true)
	id = w.ask(t, variables("GET", "/view/k", "last"), "")
	if a := w.hear(t, 1)[id]; a.body() != "for last" {
		t.Errorf("%q", a.text)
	}
	w.wantClosed(t, "a connection behind its last answer")
	testpeer.Until(t, "quiet ones to be let go", func() bool { return n.front.CloseIdle() == 0 })
	idle.wantClosed(t, "a quiet connection")
}

// Refused, with a time to come back; failed where a server may have run it.
func TestAnswersThatNoServerMade(t *testing.T) {
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "full" {
			_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		_, err := io.WriteString(c, "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	n := startRig(t, testpeer.Entry("s1", s.Address(), "in_service"))
	w := connect(t, n)
	full, fails := w.ask(t, variables("POST", "/note/k", "full"), ""), w.ask(t, variables("POST", "/note/k", "fails"), "")
	heard := w.hear(t, 2)
	if a := heard[full]; a.status() != "503 Service Unavailable" || !strings.Contains(a.text, "\r\nRetry-After: ") {
		t.Errorf("%q", a.text)
	}
	if a := heard[fails]; a.status() != "502 Bad Gateway" {
		t.Errorf("%q", a.text)
	}
}

// BenchmarkIdleConnections tells what a quiet connection costs the process: heap, stacks and what the runtime keeps.
func BenchmarkIdleConnections(b *testing.B) {
	const held = 500
	s := testpeer.NewServer(b, testpeer.Echo)
	n := startRig(b, testpeer.Entry("s1", s.Address(), "in_service"))
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var quiet []net.Conn
		for range held {
			c, err := net.Dial("tcp", n.ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			quiet = append(quiet, c)
		}
		testpeer.Until(b, "all to be there", func() bool { return n.callers.Len() == held })
		runtime.GC()
		runtime.ReadMemStats(&after)
		// The test's own side of each connection is among it.
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/held/1024, "KiB/conn")
		for _, c := range quiet {
			c.Close()
		}
		testpeer.Until(b, "all to be gone", func() bool { return n.callers.Len() == 0 })
	}
}

// BenchmarkCalls passes small requests from one FastCGI connection to an HTTP/1.1 server, one after another and 16 at once.
func BenchmarkCalls(b *testing.B) {
	s := testpeer.NewServer(b, testpeer.Echo)
	n := startRig(b, testpeer.Entry("s1", s.Address(), "in_service"))
	for _, at := range []int{1, 16} {
		b.Run(fmt.Sprint(at, " at once"), func(b *testing.B) {
			w := connect(b, n)
			b.ReportAllocs()
			for i := 0; i < b.N; i += at {
				for k := range at {
					w.ask(b, variables("GET", "/view/k", fmt.Sprint(i, "-", k)), "")
				}
				w.hear(b, at)
			}
		})
	}
}

// faultyConn has its next write fail in its middle, with an errno.
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

// A write that ends within a record ends its connection, and the requests on it as their web server's going does: the answers that
// would follow would be read as the rest of that record.
func TestAWriteThatFailsEndsItsConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENOBUFS, syscall.EPIPE} {
		hold, got := make(chan struct{}), make(chan string, 2)
		gone := make(chan struct{})
		s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
			id := r.Header.Get("X-Request-Id")
			got <- id
			if id == "first" {
				<-hold
				return testpeer.Echo(c, r, body)
			}
			c.Read(make([]byte, 1)) // until its attempt is called off
			close(gone)
			return false
		})
		var fails atomic.Uint32
		n := startRigOn(t, func(ln net.Listener) net.Listener { return faultyListener{ln, &fails} }, DefaultBounds(),
			testpeer.Entry("s1", s.Address(), "in_service"))
		w := connect(t, n)
		w.ask(t, variables("POST", "/note/k", "first", "CONTENT_LENGTH", "2"), "ok")
		testpeer.Receive(t, got, "the first attempt")
		w.ask(t, variables("POST", "/note/k", "second", "CONTENT_LENGTH", "2"), "ok")
		testpeer.Receive(t, got, "the second attempt")
		fails.Store(uint32(errno))
		close(hold)
		testpeer.Receive(t, gone, "the other attempt's end")
		w.wantClosed(t, errno.Error())
		testpeer.Until(t, "the connection to be forgotten", func() bool { return n.callers.Len() == 0 })
	}
}

// timedConn tells of each write whether a deadline was set since the one before.
type timedConn struct {
	net.Conn
	timed  *atomic.Bool
	writes chan bool
}

func (c timedConn) SetWriteDeadline(t time.Time) error {
	c.timed.Store(true)
	return c.Conn.SetWriteDeadline(t)
}

func (c timedConn) Write(p []byte) (int, error) {
	c.writes <- c.timed.Swap(false)
	return c.Conn.Write(p)
}

type timedListener struct {
	net.Listener
	writes chan bool
}

func (l timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return timedConn{c, new(atomic.Bool), l.writes}, err
}

// An answer that takes two writes has its time for each of them, however long ago the last one on its connection was.
func TestEachWriteOfAnAnswerHasItsTime(t *testing.T) {
	long := strings.Repeat("x", maxContent)
	s := testpeer.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool { return testpeer.Reply200(c, long) })
	writes := make(chan bool, 100)
	n := startRigOn(t, func(ln net.Listener) net.Listener { return timedListener{ln, writes} }, DefaultBounds(),
		testpeer.Entry("s1", s.Address(), "in_service"))
	w := connect(t, n)
	id := w.ask(t, variables("GET", "/view/k", "long"), "")
	if a := w.hear(t, 1)[id]; a.body() != long {
		t.Errorf("%d bytes came", len(a.body()))
	}
	if len(writes) < 2 {
		t.Errorf("the answer took %d writes", len(writes))
	}
	for len(writes) > 0 {
		if !<-writes {
			t.Error("a write had the deadline of one before it")
		}
	}
}
