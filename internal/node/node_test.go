package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"woodpick"
)

// limit is how long a test waits for what must come; only a failing one waits so long.
const limit = 30 * time.Second

func wait[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(limit):
		t.Fatalf("%s: nothing came", what)
	}
	return v
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// fakeServer is a server whose connections a test scripts by hand: after each request that is read
// whole, then is called; it returns false to close the connection.
type fakeServer struct {
	net.Listener
	mu       sync.Mutex
	requests []string // ids
	conns    int
}

func newServer(t *testing.T, then func(c net.Conn, r *http.Request, body string) bool) *fakeServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &fakeServer{Listener: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					s.mu.Lock()
					s.requests = append(s.requests, r.Header.Get("X-Request-Id"))
					s.mu.Unlock()
					if !then(c, r, string(body)) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func (s *fakeServer) addr() string { return s.Addr().String() }

func (s *fakeServer) seen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *fakeServer) opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// reply200 answers 200 with a body.
func reply200(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// echo serves everything with a body that names the request.
func echo(c net.Conn, r *http.Request, body string) bool {
	return reply200(c, "for "+r.Header.Get("X-Request-Id"))
}

// agent is discovery's agent: it answers watches with what it was given last, or is silent.
type agent struct {
	net.Listener
	mu     sync.Mutex
	rev    int
	text   string
	silent bool
	news   chan struct{} // closed at each change
	asked  chan string   // the query of each call, as far as there is room
}

func newAgent(t *testing.T) *agent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{Listener: ln, rev: 1, news: make(chan struct{}), asked: make(chan string, 1000)}
	srv := &http.Server{Handler: a}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return a
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case a.asked <- r.URL.RawQuery:
	default:
	}
	a.mu.Lock()
	text, silent, news := a.text, a.silent, a.news
	current := r.URL.Query().Get("from") == fmt.Sprint(a.rev)
	a.mu.Unlock()
	if silent { // also once it is back, as a call that was lost
		<-r.Context().Done()
		return
	}
	if current {
		select {
		case <-news:
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
		text, silent = a.text, a.silent
		a.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
	}
	io.WriteString(w, text)
}

// tell sets what the agent has; text may hold %d for its rev.
func (a *agent) tell(silent bool, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	if text != "" {
		a.rev++
		a.text = strings.Replace(text, "%d", fmt.Sprint(a.rev), 1)
	}
	close(a.news)
	a.news = make(chan struct{})
}

func entry(uid, endpoint, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":0,"state":%q,`+
		`"capacity_hint":1,"boot_ms":0}`, uid, endpoint, state)
}

func whole(entries ...string) string {
	return `{"rev":%d,"all":true,"targets":[` + strings.Join(entries, ",") + `]}`
}

// testConfig is a deployment with a class of each kind and long limits.
func testConfig(known string) Config {
	class := func(name string, e woodpick.Effect) woodpick.Class {
		return woodpick.Class{Name: name, Effect: e, Scope: woodpick.ScopeAll, Window: limit,
			Aim: limit, Deadline: 2 * limit, Worth: 1}
	}
	return Config{Name: "n", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Seed: 1, MemoryMB: 192,
		Sockets: 1024, ConnIdle: time.Minute, ConnectTimeout: limit,
		Known: []byte(strings.Replace(known, "%d", "1", 1)),
		Settings: woodpick.Settings{Balancers: 1, MaxAttempts: 4, MayCancel: true,
			Tick: time.Millisecond, MaxRetryAfter: 2 * time.Second, ColdFrom: 1, WholeWeight: 1,
			Classes: []woodpick.Class{class("view", woodpick.Safe), class("note", woodpick.Unsafe),
				class("keyed", woodpick.Keyed)}}}
}

// startNode runs a node until the test ends, or until the returned function is called.
func startNode(t *testing.T, cfg Config, change func(*Node)) (n *Node, stop func() error) {
	t.Helper()
	n, err := New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- n.Run(ctx) }()
	var once sync.Once
	stop = func() (err error) {
		once.Do(func() { cancel(); err = wait(t, end, "the node's end") })
		return err
	}
	t.Cleanup(func() { stop() })
	return n, stop
}

// caller is one caller's connection to a node.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func dial(t *testing.T, n *Node) *caller {
	t.Helper()
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * limit))
	return &caller{c, bufio.NewReader(c)}
}

// get writes a GET for the class view.
func (c *caller) get(id string) { c.send("GET", "/view/k", id, "", "60") }

func (c *caller) send(method, target, id, body, deadline string) {
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %s\r\n%s\r\n%s",
		method, target, id, deadline, length, body)
}

// answer reads one answer.
func (c *caller) answer(t *testing.T) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(c.br, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatalf("no whole answer: %v", err)
	}
	return r, string(body)
}

func (c *caller) want(t *testing.T, status int, body string) {
	t.Helper()
	r, got := c.answer(t)
	if r.StatusCode != status || body != "" && got != body {
		t.Fatalf("got %d %q, want %d %q", r.StatusCode, got, status, body)
	}
}

// closed waits for the other side to close a connection with nothing more said.
func closed(t *testing.T, r io.Reader, what string) {
	t.Helper()
	if n, err := r.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatalf("%s: still open", what)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Fatalf("%s: %v", what, err)
	}
}

func TestPassesARequestThroughUnchanged(t *testing.T) {
	type seen struct {
		r    *http.Request
		body string
	}
	got := make(chan seen, 10)
	answerBody := strings.Repeat("\x00\xff binary \r\n", 5000)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- seen{r, body}
		return reply200(c, answerBody)
	})
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), nil)
	c := dial(t, n)
	long := strings.Repeat("b\r\n\x00", maxBody/4)
	for i, target := range []string{"/keyed/a%2fB?q=%20%41&&x", `/keyed/"odd"|{};,`, "/keyed/", "/keyed//x/../y?"} {
		id := fmt.Sprint("id-", i)
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nx-request-id: %s\r\nIdempotency-Key: K+/=%d\r\n"+
			"X-Deadline: 20.5\r\nContent-Length: %d\r\n\r\n%s", target, id, i, len(long), long)
		c.want(t, 200, answerBody)
		g := wait(t, got, "the request")
		if g.r.Method != "POST" || g.r.RequestURI != target || g.body != long ||
			g.r.Header.Get("X-Request-Id") != id || g.r.Header.Get("Idempotency-Key") != fmt.Sprint("K+/=", i) {
			t.Errorf("got %s %s %v", g.r.Method, g.r.RequestURI, g.r.Header)
		}
		var left float64
		if fmt.Sscan(g.r.Header.Get("X-Deadline"), &left); !(left > 0 && left <= 20.5) {
			t.Errorf("X-Deadline %q", g.r.Header.Get("X-Deadline"))
		}
	}
	c.get("get")
	c.want(t, 200, answerBody)
	if g := wait(t, got, "the request"); g.r.Method != "GET" || g.body != "" || g.r.Header["Idempotency-Key"] != nil ||
		g.r.ContentLength != 0 {
		t.Errorf("got %s %v", g.r.Method, g.r.Header)
	}
	if s.opened() != 1 {
		t.Errorf("%d connections for requests one after another, want 1", s.opened())
	}
}

// A kept connection that breaks under a request may have carried it: neither the node nor a library
// below it may send it again, whatever its method or headers.
func TestNothingUnsafeIsSentAgainAfterAReset(t *testing.T) {
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "break") {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		return reply200(c, "")
	})
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), nil)
	c := dial(t, n)
	for i := range 2 {
		c.send("POST", "/note/k", fmt.Sprint("first-", i), "x", "60")
		c.want(t, 200, "")
		id := fmt.Sprint("break-", i)
		c.send("POST", "/note/k", id, "x", "60")
		c.want(t, http.StatusBadGateway, "")
		if s.seen() != 2*(i+1) {
			t.Fatalf("%d requests reached the server, want %d", s.seen(), 2*(i+1))
		}
	}
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	closing := make(chan struct{}, 100)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		reply200(c, "ok") // keeps alive, as far as the node can tell
		c.Close()
		closing <- struct{}{}
		return false
	})
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), nil)
	c := dial(t, n)
	for i := range 50 {
		c.send("POST", "/note/k", fmt.Sprint("n", i), "x", "60")
		c.want(t, 200, "ok")
		wait(t, closing, "the close")
	}
	if s.seen() != 50 || s.opened() != 50 {
		t.Errorf("%d requests on %d connections, want 50 on 50", s.seen(), s.opened())
	}
}

func TestCallerGoneCancelsTheAttempt(t *testing.T) {
	got, gone := make(chan struct{}), make(chan struct{})
	var first sync.Once
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		answers := true
		first.Do(func() {
			close(got)
			c.Read(make([]byte, 1)) // returns when the node closes
			close(gone)
			answers = false
		})
		return answers && echo(c, r, body)
	})
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), nil)
	c := dial(t, n)
	c.send("POST", "/note/k", "leaving", "x", "60")
	wait(t, got, "the attempt")
	c.Close()
	wait(t, gone, "the end of the attempt")
	again := dial(t, n)
	until(t, "the id to be free again", func() bool {
		again.send("POST", "/note/k", "leaving", "x", "60")
		r, _ := again.answer(t)
		return r.StatusCode == 200
	})
}

func TestSilentServerIsGivenUpInTime(t *testing.T) {
	closedAt := make(chan struct{}, 2)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		c.Read(make([]byte, 1)) // says nothing until the node closes
		closedAt <- struct{}{}
		return false
	})
	cfg := testConfig(whole(entry("s1", s.addr(), "in_service")))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Aim = 300 * time.Millisecond
	}
	n, _ := startNode(t, cfg, nil)
	c := dial(t, n)
	c.send("POST", "/note/k", "unsafe", "x", "20")
	c.want(t, http.StatusBadGateway, "") // it may have run: no refusal
	wait(t, closedAt, "the close")
	c.get("safe")
	r, _ := c.answer(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q", r.StatusCode, r.Header.Get("Retry-After"))
	}
	wait(t, closedAt, "the close")
	if s.seen() != 2 {
		t.Errorf("%d requests were sent, want 2", s.seen())
	}
}

// A request that the module gives up is refused at once, with advice, though its deadline is far off.
func TestRefusalComesAtOnceAndSaysWhenToComeBack(t *testing.T) {
	cfg := testConfig(whole(entry("s1", closedPort(t), "in_service")))
	n, _ := startNode(t, cfg, nil)
	c := dial(t, n)
	begin := time.Now()
	c.send("POST", "/note/k", "x", "x", "60")
	r, _ := c.answer(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || time.Since(begin) > limit {
		t.Errorf("got %d, Retry-After %q after %v", r.StatusCode, r.Header.Get("Retry-After"), time.Since(begin))
	}
}

// closedPort is an address where nobody listens.
func closedPort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

func TestDrainingServerGetsNothingNew(t *testing.T) {
	a, b := newServer(t, echo), newServer(t, echo)
	ag := newAgent(t)
	cfg := testConfig(whole(entry("s1", a.addr(), "in_service"), entry("s2", b.addr(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, nil)
	c := dial(t, n)
	i := 0
	ask := func() {
		i++
		c.get(fmt.Sprint("r", i))
		c.want(t, 200, fmt.Sprint("for r", i))
	}
	for a.seen() == 0 || b.seen() == 0 {
		ask()
	}
	for _, state := range []string{"terminating", "terminated"} {
		ag.tell(false, `{"rev":%d,"all":false,"targets":[`+entry("s1", a.addr(), state)+`]}`)
		for told := ag.rev; !strings.Contains(wait(t, ag.asked, "the next watch"), fmt.Sprint("from=", told)); {
		}
		until(t, "the idle connections to be closed", func() bool {
			n.backend.mu.Lock()
			defer n.backend.mu.Unlock()
			for h, idle := range n.backend.idle {
				if h.endpoint == a.addr() && len(idle) > 0 {
					return false
				}
			}
			return true
		})
		before := a.seen()
		for range 30 {
			ask()
		}
		if a.seen() != before {
			t.Errorf("%s: %d requests reached the server", state, a.seen()-before)
		}
	}
}

// A new server at the address of one that has gone does not get its predecessor's connections, nor does
// one that started anew: whatever is still to come on them belongs to the old one.
func TestConnectionsBelongToOneLifeOfAServer(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "held" {
			got <- struct{}{}
			<-hold
		}
		return echo(c, r, body)
	})
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), nil)
	held, c := dial(t, n), dial(t, n)
	held.get("held")
	wait(t, got, "the attempt")
	c.get("one")
	c.want(t, 200, "for one")
	for i, next := range []string{entry("s2", s.addr(), "in_service"),
		strings.Replace(entry("s2", s.addr(), "in_service"), `"boot_ms":0`, `"boot_ms":5`, 1)} {
		l, err := parseList([]byte(strings.Replace(whole(next), "%d", "9", 1)))
		if err != nil {
			t.Fatal(err)
		}
		n.loop.post(listNews{l})
		before := s.opened()
		until(t, "the list to be taken", func() bool {
			n.backend.mu.Lock()
			defer n.backend.mu.Unlock()
			return n.backend.seen["s2"] == l.targets[0]
		})
		if i == 0 { // a connection that was busy when the server went
			close(hold)
			held.want(t, 200, "for held")
		}
		c.get(fmt.Sprint("next-", i))
		c.want(t, 200, fmt.Sprint("for next-", i))
		if s.opened() != before+1 {
			t.Errorf("life %d: %d connections after %d, want one more", i, s.opened(), before)
		}
	}
}

// An agent that was silent may never answer the call that it was silent on: it must be asked anew.
func TestSilentDiscoveryIsAskedAgain(t *testing.T) {
	s := newServer(t, echo)
	ag := newAgent(t)
	ag.tell(true, "")
	cfg := testConfig(whole())
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) {
		n.discovery.hold, n.discovery.grace = 20*time.Millisecond, 20*time.Millisecond
	})
	for range 3 {
		if q := wait(t, ag.asked, "a watch"); q != "from=1&hold_ms=20" {
			t.Fatalf("asked %q", q)
		}
	}
	c := dial(t, n)
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	c.want(t, 503, "")
	ag.tell(false, whole(entry("s1", s.addr(), "in_service")))
	until(t, "readiness", func() bool {
		fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		r, _ := c.answer(t)
		return r.StatusCode == 200
	})
	c.get("late")
	c.want(t, 200, "for late")
}

func TestMalformedListIsDroppedWhole(t *testing.T) {
	for _, bad := range []string{"", "{", "[]", `{"rev":2,"targets":[]}`, `{"all":true,"targets":[]}`,
		`{"rev":2,"all":true,"targets":[` + entry("s1", "127.0.0.1:1", "in_service") + `,` + entry("s2", "name:80", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[` + entry("s1", "127.0.0.1:1", "asleep") + `]}`,
		`{"rev":2,"all":true,"targets":[` + entry("", "127.0.0.1:1", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[` + entry("s1", "127.0.0.1:1", "in_service") + `,` + entry("s1", "127.0.0.1:2", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[{"uid":"s1","endpoint":"127.0.0.1:1","state":"in_service","boot_ms":-1}]}`,
	} {
		if l, err := parseList([]byte(bad)); err == nil || l.targets != nil {
			t.Errorf("%q: %v, %v", bad, l, err)
		}
	}
	s := newServer(t, echo)
	ag := newAgent(t)
	cfg := testConfig(whole(entry("s1", s.addr(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, nil)
	wait(t, ag.asked, "the first watch")
	ag.tell(false, `{"rev":%d,"all":true,"targets":[`+entry("s1", s.addr(), "terminated")+`,{"uid":""}]}`)
	if q := wait(t, ag.asked, "the call after the bad list"); q != "" {
		t.Errorf("asked %q, want the whole list", q)
	}
	c := dial(t, n)
	c.get("r")
	c.want(t, 200, "for r")
}

// A watch that ends without news is no news: the module would take it for a change.
func TestWatchWithoutNewsTellsNothing(t *testing.T) {
	ag := newAgent(t)
	events := make(chan event, 10)
	cfg := testConfig("")
	cfg.Discovery = ag.Addr().String()
	d := newDiscovery(cfg, 1, func(e event) { events <- e }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i, c := range []struct {
		text string
		want int
	}{{`{"rev":%d,"all":false,"targets":[]}`, 0}, {whole(), 1},
		{`{"rev":%d,"all":false,"targets":[` + entry("s1", "127.0.0.1:1", "in_service") + `]}`, 2}} {
		ag.tell(false, c.text)
		if err := d.watch(t.Context(), d.place()); err != nil {
			t.Fatal(err)
		}
		if len(events) != c.want || d.place().rev != int64(ag.rev) {
			t.Errorf("call %d: %d events at rev %d, want %d at %d", i, len(events), d.place().rev, c.want, ag.rev)
		}
	}
}

// A whole list that names what is held already is no news to the module: it would cut its pool anew and
// open connections for nothing.
func TestWholeListWithoutNewsChangesNothing(t *testing.T) {
	s := newServer(t, echo)
	n, err := New(testConfig(whole(entry("s1", s.addr(), "in_service"))), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer n.listener.Close()
	told := 0
	n.loop.servers = func([]target, bool) { told++ }
	for i, c := range []struct {
		text string
		want int
	}{{whole(entry("s1", s.addr(), "in_service")), 0}, {whole(entry("s1", s.addr(), "terminating")), 1},
		{whole(entry("s1", "127.0.0.1:1", "in_service")), 2}, {whole(), 3}} {
		l, err := parseList([]byte(strings.Replace(c.text, "%d", "9", 1)))
		if err != nil {
			t.Fatal(err)
		}
		if n.loop.take(listNews{l}); told != c.want {
			t.Errorf("list %d: told %d times, want %d", i, told, c.want)
		}
	}
}

// The watch moves at once, though a call to the old address waits, and versions there count anew.
func TestReloadMovesTheWatch(t *testing.T) {
	a, b := newServer(t, echo), newServer(t, echo)
	old, next := newAgent(t), newAgent(t)
	old.rev = 1000
	old.tell(false, whole(entry("s1", a.addr(), "in_service")))
	next.tell(false, whole(entry("s2", b.addr(), "in_service")))
	cfg := testConfig(whole(entry("s1", a.addr(), "in_service")))
	cfg.Discovery = old.Addr().String()
	n, _ := startNode(t, cfg, func(n *Node) { n.discovery.hold = limit })
	for !strings.Contains(wait(t, old.asked, "the watch"), "from=1001&") {
	}
	c := dial(t, n)
	c.get("before")
	c.want(t, 200, "for before")
	n.Reload(cfg) // the same address: nothing moves
	cfg.Discovery = next.Addr().String()
	n.Reload(cfg)
	if q := wait(t, next.asked, "the whole list"); q != "" {
		t.Errorf("asked %q of the new address, want the whole list", q)
	}
	if q := wait(t, next.asked, "the watch"); !strings.HasPrefix(q, fmt.Sprintf("from=%d&", next.rev)) {
		t.Errorf("asked %q", q)
	}
	if len(old.asked) > 0 {
		t.Errorf("the old address was asked %q after the move", <-old.asked)
	}
	before := a.seen()
	for i := range 20 { // on the connection of before
		c.get(fmt.Sprint("after-", i))
		c.want(t, 200, fmt.Sprint("for after-", i))
	}
	if a.seen() != before || b.seen() != 20 {
		t.Errorf("%d requests came to the server that has gone, %d of 20 to the new one", a.seen()-before, b.seen())
	}
}

// Where discovery is asked, a watch follows only a Subscribe, and its failure is told.
func TestAskedDiscoveryFollowsSubscribe(t *testing.T) {
	ag := newAgent(t)
	events := make(chan event, 10)
	cfg := testConfig("")
	cfg.Discovery = ag.Addr().String()
	d := newDiscovery(cfg, 7, func(e event) { events <- e }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ag.tell(false, whole(entry("s1", "127.0.0.1:1", "in_service")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.ask(ctx)
	d.subscribe()
	if q := wait(t, ag.asked, "a watch"); !strings.HasPrefix(q, "from=7&") {
		t.Errorf("asked %q", q)
	}
	if e, ok := wait(t, events, "the list").(listNews); !ok || len(e.list.targets) != 1 {
		t.Errorf("got %v", e)
	}
	wait(t, ag.asked, "the watch to go on")
	ag.tell(false, "{bad %d")
	if e, ok := wait(t, events, "the failure").(listFailed); !ok {
		t.Errorf("got %v", e)
	}
	select {
	case q := <-ag.asked:
		t.Errorf("asked %q without a Subscribe", q)
	default:
	}
}

func TestEndOfNodeAnswersAllThatWasTaken(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "held" {
			got <- struct{}{}
			<-hold
		}
		return echo(c, r, body)
	})
	n, stop := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), func(n *Node) {
		n.ending, n.drainMost = ending{accept: time.Second, serve: 2 * time.Second, last: limit}, 2*limit
	})
	idle, held, mute := dial(t, n), dial(t, n), dial(t, n)
	idle.get("before")
	idle.want(t, 200, "for before")
	untilIdle(t, n)
	held.get("held")
	wait(t, got, "the attempt")
	end := make(chan error, 1)
	go func() { end <- stop() }()
	until(t, "it to be told", n.frontend.draining.Load)
	idle.get("during") // whoever has a connection is served on it for a while
	idle.want(t, 200, "for during")
	probe := dial(t, n)
	fmt.Fprint(probe, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	probe.want(t, 503, "")
	late := dial(t, n) // new connections still come for a while
	late.get("late")
	r, body := late.answer(t)
	if r.StatusCode != 200 || body != "for late" {
		t.Errorf("late: %d %q", r.StatusCode, body)
	}
	closed(t, idle.br, "an idle connection at the end")
	close(hold)
	if r, body := held.answer(t); r.StatusCode != 200 || body != "for held" || !r.Close {
		t.Errorf("held: %d %q, close %v", r.StatusCode, body, r.Close)
	}
	closed(t, mute.br, "a connection that never sent a request")
	if err := wait(t, end, "the node's end"); err != nil {
		t.Error(err)
	}
}

// What no server answers before the node would be killed gets a final answer all the same.
func TestEndOfNodeAnswersWhatIsStillOut(t *testing.T) {
	got := make(chan struct{}, 1)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		io.Copy(io.Discard, c) // never answers
		return false
	})
	n, stop := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), func(n *Node) {
		n.ending, n.drainMost = ending{last: 500 * time.Millisecond}, limit
	})
	c := dial(t, n)
	c.send("POST", "/note/k", "held", "x", "60")
	wait(t, got, "the attempt")
	end := make(chan error, 1)
	go func() { end <- stop() }()
	c.want(t, http.StatusBadGateway, "")
	if err := wait(t, end, "the node's end"); err != nil {
		t.Error(err)
	}
}

// untilIdle waits for a connection to be idle: a request is over a little after its answer.
func untilIdle(t *testing.T, n *Node) {
	t.Helper()
	until(t, "a connection to be idle", func() bool {
		n.frontend.callers.mu.Lock()
		defer n.frontend.callers.mu.Unlock()
		for c := range n.frontend.callers.conns {
			if c.phase == idle {
				return true
			}
		}
		return false
	})
}

func TestCallersBeyondTheBudget(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 100)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "held") {
			got <- struct{}{}
			<-hold
		}
		return echo(c, r, body)
	})
	const most = 4
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), func(n *Node) {
		n.frontend.callers.room, n.frontend.callers.least = 2*most, most
		n.frontend.callers.grace.idle = 0
	})
	idle := dial(t, n)
	idle.get("idle")
	idle.want(t, 200, "for idle")
	untilIdle(t, n)
	var held []*caller
	for i := range most {
		c := dial(t, n)
		c.get(fmt.Sprint("held-", i))
		wait(t, got, "an attempt")
		held = append(held, c)
	}
	closed(t, idle.br, "the idle connection when there are too many")
	over := dial(t, n) // read and refused, never left unread
	over.get("over")
	r, _ := over.answer(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("got %d, Retry-After %q, close %v", r.StatusCode, r.Header.Get("Retry-After"), r.Close)
	}
	close(hold)
	for i, c := range held {
		c.want(t, 200, fmt.Sprint("for held-", i))
	}
}

// A connection is let go only while it waits: not with a request read that net/http has not told of
// yet, nor with the first byte of the next one, read early behind an answer.
func TestLettingGoSparesARequestBegun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	f := newCallers(newClock(), 2, 10, func() int { return 1 })
	pair := func() (ours *callerConn, theirs net.Conn) {
		theirs, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { theirs.Close() })
		c, err := callerListener{ln, f}.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c.(*callerConn), theirs
	}
	say := func(from, to net.Conn) {
		t.Helper()
		to.SetReadDeadline(time.Now().Add(limit))
		if _, err := from.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := to.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	a, caller := pair()
	b, _ := pair()
	say(caller, a) // a request
	f.track(a, http.StateNew)
	f.track(a, http.StateActive)
	say(a, caller) // its answer
	say(caller, a) // the next request's first byte
	f.track(a, http.StateIdle)
	f.track(b, http.StateNew) // one too many
	if a.going || !f.crowded() {
		t.Fatal("a connection with a request on it was let go")
	}
	say(caller, a)
	say(a, caller)
	f.grace.idle = limit
	f.track(a, http.StateIdle)
	if a.going || !f.crowded() {
		t.Fatal("a connection idle for a moment only was let go")
	}
	f.grace.idle = 0
	f.track(b, http.StateActive)
	if !a.going || f.crowded() {
		t.Fatal("the idle connection was not let go")
	}
	a.SetReadDeadline(time.Time{}) // net/http does, after it has said that it is idle
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the wait goes on: %v", err)
	}
	f.track(a, http.StateClosed)
	if f.leaving != 0 || len(f.conns) != 1 {
		t.Errorf("%d leaving of %d", f.leaving, len(f.conns))
	}
}

// Whatever reaches a server has been read, so its caller must get the answer, however often idle
// connections are let go meanwhile.
func TestNothingReadIsLostWhileIdleConnectionsAreLetGo(t *testing.T) {
	s := newServer(t, echo)
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), func(n *Node) {
		n.frontend.callers.room, n.frontend.callers.least = 8, 4
		n.frontend.callers.grace.idle = 0
	})
	var mu sync.Mutex
	answered := map[string]bool{}
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			var c net.Conn
			var br *bufio.Reader
			for j := range 60 {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", n.Addr()); err != nil {
						t.Error(err)
						return
					}
					c.SetDeadline(time.Now().Add(2 * limit))
					br = bufio.NewReader(c)
				}
				id := fmt.Sprintf("c%d-%d", i, j)
				fmt.Fprintf(c, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 60\r\n\r\n", id)
				r, err := http.ReadResponse(br, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, r.Body)
				}
				if err == nil {
					mu.Lock()
					answered[id] = true
					mu.Unlock()
				}
				if err != nil || r.Close {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		}()
	}
	callers.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.requests {
		if !answered[id] {
			t.Errorf("%s was sent to the server, and its caller got no answer", id)
		}
	}
	if len(s.requests) == 0 {
		t.Error("no request reached the server")
	}
}

func TestBadRequests(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		select {
		case got <- struct{}{}:
		default:
		}
		<-hold
		return echo(c, r, body)
	})
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), func(n *Node) {
		n.frontend.server.ReadTimeout = 300 * time.Millisecond
	})
	first := dial(t, n)
	first.get("used")
	wait(t, got, "the attempt")
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
		{"a target that is no path", "GET http://h/view/k HTTP/1.1\r\n" + ok + "\r\n", 404},
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
		{"a long body", "POST /note/k HTTP/1.1\r\n" + ok + "Content-Length: 65537\r\n\r\n", 413},
		{"a body in chunks", "POST /note/k HTTP/1.1\r\n" + ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 411},
		{"a request hidden in another", "POST /note/k HTTP/1.1\r\n" + ok + "Content-Length: 5\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /view/k HTTP/1.1\r\nHost: h\r\n" +
			"X-Request-Id: hidden\r\nX-Deadline: 60\r\n\r\n", 411},
		{"no HTTP", "hello\r\n\r\n", 400},
		{"a long header", "GET /view/k HTTP/1.1\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n" + ok + "\r\n", 431},
		{"half-sent headers", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Req", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := dial(t, n)
			go io.WriteString(conn, c.text)
			if c.status == 0 { // a plain answer or none, but the end
				said, err := io.ReadAll(conn)
				if err != nil || len(said) > 0 && !strings.HasPrefix(string(said), "HTTP/1.1 4") {
					t.Errorf("%q, %v", said, err)
				}
				return
			}
			conn.want(t, c.status, "")
			closed(t, conn.br, "a connection that said what can't be used")
		})
	}
	cut := dial(t, n)
	io.WriteString(cut, "POST /note/k HTTP/1.1\r\n"+ok+"Content-Length: 10\r\n\r\nhalf")
	cut.Conn.(*net.TCPConn).CloseWrite()
	io.Copy(io.Discard, cut.br) // an answer or none, but the end
	if s.seen() != 1 {
		t.Errorf("%d requests reached the server, want only the good one", s.seen())
	}
	close(hold)
	first.want(t, 200, "for used")
}

// A caller gives its last try all the time that it has left, more than tries are usually given. That must
// not make every other caller's first try look like a repeat whose aim is over, to be refused at once.
func TestALongLastTryLeavesFirstTriesAsTheyAre(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 100)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "held") {
			got <- struct{}{}
			<-hold
		}
		return echo(c, r, body)
	})
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), nil)
	c := dial(t, n)
	view := func(id, deadline string) {
		t.Helper()
		c.send("GET", "/view/k", id, "", deadline)
		c.want(t, 200, "for "+id)
	}
	for i := range 5 {
		view(fmt.Sprint("first-", i), "25")
	}
	view("last", "59.9")
	var busy []*caller // with these out there is room for a first try, and none for a repeat
	for i := range 9 {
		busy = append(busy, dial(t, n))
		busy[i].send("POST", "/note/k", fmt.Sprint("held-", i), "x", "60")
		wait(t, got, "an attempt")
	}
	for i := range 5 {
		view(fmt.Sprint("another-", i), "25")
	}
	c.send("GET", "/view/k", "repeat", "", "20") // the class's deadline of 60 s began 40 s ago
	if r, _ := c.answer(t); r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("a repeat past its aim: got %d, Retry-After %q", r.StatusCode, r.Header.Get("Retry-After"))
	}
	close(hold)
	for i, b := range busy {
		b.want(t, 200, fmt.Sprint("for held-", i))
	}
}
