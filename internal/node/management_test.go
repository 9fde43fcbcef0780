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

// management sends a request to a node's management endpoint.
func management(t *testing.T, n *Node, request string) string {
	t.Helper()
	return requestManagement(t, n.management.Addr().String(), request)
}

// requestManagement sends a line on a new connection and returns the complete response.
func requestManagement(t *testing.T, address, request string) string {
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

// requestReadiness requests the readiness on a new connection. It returns the status and whether the response closes the
// connection.
func requestReadiness(t *testing.T, address string) (status int, closes bool) {
	t.Helper()
	c := testpeer.Dial(t, address)
	defer c.Close()
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	r, _ := c.ReadResponse(t)
	return r.StatusCode, r.Close
}

// Quiesce makes the node not ready at once. An idle client, one with an open request and a new one are all served, and
// their connections are closed afterwards. Resume makes the node ready and keeps connections open again.
func TestQuiesceAndResume(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	s := testpeer.NewServer(t, testpeer.HoldRequest(hold, got))
	cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", s.Address(), "in_service")))
	cfg.Node.Management = "127.0.0.1:0"
	n, _ := startNode(t, cfg, nil)
	testpeer.Until(t, "the node to be ready", func() bool { return management(t, n, "health") == "+OK ready\n" })
	idle, held := testpeer.Dial(t, n.Addr("main")), testpeer.Dial(t, n.Addr("main"))
	idle.Get("before")
	idle.Want(t, 200, "for before")
	held.Get("held")
	testpeer.Receive(t, got, "the attempt")

	if response := management(t, n, "quiesce"); !strings.HasPrefix(response, "+OK") {
		t.Fatalf("quiesce: got %q", response)
	}
	if status, _ := requestReadiness(t, n.Addr("main")); status != 503 {
		t.Errorf("readiness right after quiesce: got status %d, want 503", status)
	}
	if response := management(t, n, "health"); response != "-ERR clients are sent away\n" {
		t.Errorf("health: got %q", response)
	}
	idle.Get("during")
	idle.Want(t, 200, "for during")
	idle.WantClosed(t, "an idle connection after quiesce")
	late := testpeer.Dial(t, n.Addr("main"))
	late.Get("late")
	if r, body := late.ReadResponse(t); r.StatusCode != 200 || body != "for late" || !r.Close {
		t.Errorf("late request: got %d %q, close %v; want 200, close true", r.StatusCode, body, r.Close)
	}
	close(hold)
	if r, body := held.ReadResponse(t); r.StatusCode != 200 || body != "for held" || !r.Close {
		t.Errorf("held request: got %d %q, close %v; want 200, close true", r.StatusCode, body, r.Close)
	}

	if response := management(t, n, "resume"); !strings.HasPrefix(response, "+OK") {
		t.Fatalf("resume: got %q", response)
	}
	if status, closes := requestReadiness(t, n.Addr("main")); status != 200 || closes {
		t.Errorf("readiness after resume: got status %d, close %v; want 200, close false", status, closes)
	}
	back := testpeer.Dial(t, n.Addr("main"))
	for i := range 3 {
		back.Get(fmt.Sprint("back-", i))
		back.Want(t, 200, fmt.Sprint("for back-", i))
	}
}

// Once all requests are closed, the metrics of the management endpoint match what clients and servers observed.
func TestMetricsMatchObservations(t *testing.T) {
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
	cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", s.Address(), "in_service"), testpeer.Entry("s2", s.Address(), "terminating")))
	cfg.Node.Management = "127.0.0.1:0"
	n, _ := startNode(t, cfg, nil)
	statuses := map[string]map[int]int64{"view": {}, "note": {}}
	c := testpeer.Dial(t, n.Addr("main"))
	for i := range 40 {
		class, method := "view", "GET"
		if i%2 == 0 {
			class, method = "note", "POST"
		}
		c.Send(method, "/"+class+"/k", fmt.Sprint([]string{"ok", "fail", "ok", "full"}[i/2%4], i), "", "60")
		r, _ := c.ReadResponse(t)
		statuses[class][r.StatusCode]++
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
			t.Fatalf("counters: got %q", text)
		}
		return got.Open == 0
	})
	for class, counts := range statuses {
		if got.Fulfilled[class] != counts[200] || got.Throttled[class] != counts[503] || got.Faulted[class] != counts[502] {
			t.Errorf("%s: clients got %v, metrics are %+v", class, counts, got)
		}
	}
	if got.Relayed != int64(s.RequestCount()) || got.Listed != 2 || got.Avoided < 1 || got.Avoided > 2 { // s1 may be avoided because of its failures
		t.Errorf("%d requests reached the servers, metrics are %+v", s.RequestCount(), got)
	}
}

// Two nodes share an address and a folder, as two processes of one node do during a hot restart. The old one shuts down
// under a load of persistent and new connections. No connection is refused or closed without a response, and afterwards
// only the new node serves.
func TestHotRestartUnderLoad(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	folder := t.TempDir()
	process := func(address string) (*Node, func() error) {
		cfg := testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", s.Address(), "in_service")))
		if address != "" {
			cfg.Listeners[0].Address = address
		}
		cfg.Node.Management = "127.0.0.1:0"
		processes, err := hotrestart.Join(folder, "node")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(processes.Close)
		cfg.Options.Listen, cfg.Options.Processes = hotrestart.Listen, processes
		return startNode(t, cfg, func(n *Node) {
			n.options.schedule = &shutdownSchedule{stopAccepting: 200 * time.Millisecond, closeConnections: 400 * time.Millisecond, answerAll: testpeer.Limit, finish: 2 * testpeer.Limit}
		})
	}
	old, stop := process("")
	address := old.Addr("main")

	var served, connections atomic.Int64
	stopLoad := make(chan struct{})
	var load sync.WaitGroup
	for i := range 8 {
		load.Go(func() {
			var c *testpeer.ClientConn
			for k := 0; ; k++ {
				select {
				case <-stopLoad:
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
					c = testpeer.NewClientConn(nc)
					connections.Add(1)
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
				served.Add(1)
				if r.Close || i%2 == 0 {
					c.Close()
					c = nil
				}
			}
		})
	}
	progress := func(what string) {
		before := served.Load()
		testpeer.Until(t, what, func() bool { return served.Load() > before+200 })
	}
	progress("requests with one process")
	successor, _ := process(address)
	testpeer.Until(t, "the successor to be ready", func() bool { return management(t, successor, "health") == "+OK ready\n" })
	sharesLimits := func(n *Node) bool { n.mu.Lock(); defer n.mu.Unlock(); return n.sharesLimits }
	testpeer.Until(t, "both to share the limits", func() bool { return sharesLimits(old) && sharesLimits(successor) })
	progress("requests with two processes")
	if err := stop(); err != nil {
		t.Error(err)
	}
	old.options.Processes.Close() // as the exit of its process does
	testpeer.Until(t, "the successor to have all of the limits", func() bool { return !sharesLimits(successor) })
	progress("requests with the successor alone")
	close(stopLoad)
	load.Wait()
	if got := successor.metrics.Report().Fulfilled["view"]; got == 0 || got == served.Load() {
		t.Errorf("successor served %d of %d requests", got, served.Load())
	}
}
