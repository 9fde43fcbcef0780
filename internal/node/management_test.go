package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/hotrestart"
	"damsontrestle/internal/testpeer"
)

// management asks a node's management endpoint.
func management(t *testing.T, n *Node, request string) string {
	t.Helper()
	return askLine(t, n.management.Addr().String(), request)
}

// askLine sends a line on a connection of its own and returns all of the answer.
func askLine(t *testing.T, address, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testpeer.Limit))
	fmt.Fprintln(c, request)
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(got)
}

// askReady asks on a connection of its own whether clients may come, and whether that connection stays.
func askReady(t *testing.T, address string) (status int, closes bool) {
	t.Helper()
	c := testpeer.Dial(t, address)
	defer c.Close()
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	r, _ := c.Answer(t)
	return r.StatusCode, r.Close
}

// Given an idle client, one that is being served and one that comes late, quiesce has the node say no at once,
// serves all three, and parts with them; the node goes on, and takes clients again when told.
func TestQuiesceAndResume(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	s := testpeer.NewServer(t, testpeer.Held(hold, got))
	cfg := testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service")))
	cfg.Node.Management = "127.0.0.1:0"
	n, _ := startNode(t, cfg, nil)
	testpeer.Until(t, "the node to be ready", func() bool { return management(t, n, "health") == "+OK ready\n" })
	idle, held := testpeer.Dial(t, n.Addr("main")), testpeer.Dial(t, n.Addr("main"))
	idle.Get("before")
	idle.Want(t, 200, "for before")
	held.Get("held")
	testpeer.Receive(t, got, "the attempt")

	if said := management(t, n, "quiesce"); !strings.HasPrefix(said, "+OK") {
		t.Fatalf("quiesce: %q", said)
	}
	if status, _ := askReady(t, n.Addr("main")); status != 503 {
		t.Errorf("health right after quiesce: %d, want 503", status)
	}
	if said := management(t, n, "health"); said != "-ERR clients are sent away\n" {
		t.Errorf("the management endpoint's health: %q", said)
	}
	idle.Get("during")
	idle.Want(t, 200, "for during")
	idle.WantClosed(t, "an idle connection after quiesce")
	late := testpeer.Dial(t, n.Addr("main"))
	late.Get("late")
	if r, body := late.Answer(t); r.StatusCode != 200 || body != "for late" || !r.Close {
		t.Errorf("late: %d %q, close %v; want it served and closed", r.StatusCode, body, r.Close)
	}
	close(hold)
	if r, body := held.Answer(t); r.StatusCode != 200 || body != "for held" || !r.Close {
		t.Errorf("held: %d %q, close %v", r.StatusCode, body, r.Close)
	}

	if said := management(t, n, "resume"); !strings.HasPrefix(said, "+OK") {
		t.Fatalf("resume: %q", said)
	}
	if status, closes := askReady(t, n.Addr("main")); status != 200 || closes {
		t.Errorf("health after resume: %d, close %v", status, closes)
	}
	back := testpeer.Dial(t, n.Addr("main"))
	for i := range 3 {
		back.Get(fmt.Sprint("back-", i))
		back.Want(t, 200, fmt.Sprint("for back-", i))
	}
}

// What the management endpoint counts is what clients heard and servers got, once all is over.
func TestPeerMetricsMatchObservations(t *testing.T) {
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		id := r.Header.Get("X-Request-Id")
		switch {
		case strings.HasPrefix(id, "fail"):
			_, err := io.WriteString(c, "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		case strings.HasPrefix(id, "full"):
			_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		return testpeer.Echo(c, r, body)
	})
	cfg := testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"), testpeer.Entry("s2", s.Address(), "terminating")))
	cfg.Node.Management = "127.0.0.1:0"
	n, _ := startNode(t, cfg, nil)
	heard := map[string]map[int]int64{"view": {}, "note": {}}
	c := testpeer.Dial(t, n.Addr("main"))
	for i := range 40 {
		class, method := "view", "GET"
		if i%2 == 0 {
			class, method = "note", "POST"
		}
		c.Send(method, "/"+class+"/k", fmt.Sprint([]string{"ok", "fail", "ok", "full"}[i/2%4], i), "", "60")
		r, _ := c.Answer(t)
		heard[class][r.StatusCode]++
	}
	var got struct {
		Fulfilled, Throttled, Faulted map[string]int64
		Relayed                       int64
		Open                          int64 `json:"open_requests"`
		Listed                        int   `json:"registry_entries"`
		Avoided                       int   `json:"out_of_rotation"`
	}
	testpeer.Until(t, "the metrics to settle", func() bool {
		text, ended := strings.CutSuffix(management(t, n, "counters"), "\n.\n")
		if !ended || json.Unmarshal([]byte(text), &got) != nil {
			t.Fatalf("counters: %q", text)
		}
		return got.Open == 0
	})
	for class, h := range heard {
		if got.Fulfilled[class] != h[200] || got.Throttled[class] != h[503] || got.Faulted[class] != h[502] {
			t.Errorf("%s: clients got %v; the metrics are %+v", class, h, got)
		}
	}
	if got.Relayed != int64(s.Seen()) || got.Listed != 2 || got.Avoided < 1 || got.Avoided > 2 { // s1 may be out for its failures
		t.Errorf("%d requests reached the servers; the metrics are %+v", s.Seen(), got)
	}
}

// Two nodes share an address and a folder, as the processes of one do while the one takes over. Under a load of
// clients that keep their connections and of ones that do not, the old one ends: no connection is refused or
// closed unheard, and in the end only the new one is there.
func TestHotRestartUnderLoad(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	folder := t.TempDir()
	process := func(address string) (*Node, func() error) {
		cfg := testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service")))
		if address != "" {
			cfg.Listeners[0].Address = address
		}
		cfg.Node.Management = "127.0.0.1:0"
		line, err := hotrestart.Join(folder, "node")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(line.Close)
		cfg.Options.Listen, cfg.Options.Processes = hotrestart.Listen, line
		return startNode(t, cfg, func(n *Node) {
			n.options.schedule = &shutdownSchedule{stopAccepting: 200 * time.Millisecond, closeConnections: 400 * time.Millisecond, answerAll: testpeer.Limit, finish: 2 * testpeer.Limit}
		})
	}
	old, stop := process("")
	address := old.Addr("main")

	var asked, fresh atomic.Int64
	over := make(chan struct{})
	var load sync.WaitGroup
	for i := range 8 {
		load.Go(func() {
			var c *testpeer.Caller
			for k := 0; ; k++ {
				select {
				case <-over:
					return
				default:
				}
				if c == nil || i%2 == 0 {
					nc, err := net.Dial("tcp", address)
					if err != nil {
						t.Errorf("connect: %v", err)
						return
					}
					nc.SetDeadline(time.Now().Add(testpeer.Limit))
					c = testpeer.On(nc)
					fresh.Add(1)
				}
				id := fmt.Sprint(i, "-", k)
				c.Get(id)
				r, err := http.ReadResponse(c.Reader, nil)
				if err != nil {
					t.Errorf("%s: %v", id, err)
					return
				}
				body, _ := io.ReadAll(r.Body)
				if r.StatusCode != 200 || string(body) != "for "+id {
					t.Errorf("%s: %d %q", id, r.StatusCode, body)
				}
				asked.Add(1)
				if r.Close || i%2 == 0 {
					c.Close()
					c = nil
				}
			}
		})
	}
	progress := func(what string) {
		was := asked.Load()
		testpeer.Until(t, what, func() bool { return asked.Load() > was+200 })
	}
	progress("calls with one")
	next, _ := process(address)
	testpeer.Until(t, "the next to be ready", func() bool { return management(t, next, "health") == "+OK ready\n" })
	halved := func(n *Node) bool { n.mu.Lock(); defer n.mu.Unlock(); return n.hasSuccessor }
	testpeer.Until(t, "both to share the limits", func() bool { return halved(old) && halved(next) })
	progress("calls with two")
	if err := stop(); err != nil {
		t.Error(err)
	}
	old.options.Processes.Close() // as the end of its process does
	testpeer.Until(t, "the limits to be whole again", func() bool { return !halved(next) })
	progress("calls with the next alone")
	close(over)
	load.Wait()
	if got := next.metrics.Report().Fulfilled["view"]; got == 0 || got == asked.Load() {
		t.Errorf("the next served %d of %d", got, asked.Load())
	}
}
