package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// platformConfig returns the platform's configuration file of one node.
func platformConfig(discovery string, sockets int, known, settings string) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":64,"sockets":%d},"known":%s,"settings":%s}`, discovery, sockets, known, settings)
}

// dialNode connects to a node, with testTimeout as the connection's deadline.
func dialNode(t *testing.T, address string) *testpeer.Caller {
	t.Helper()
	c := testpeer.Dial(t, address)
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// SIGTERM and SIGHUP during the shutdown do not disturb it: the admitted request is answered, and the node exits with 0.
func TestSignalsDuringShutdown(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	server := testpeer.NewServer(t, testpeer.Held(hold, got))
	agent := testpeer.NewAgent(t)
	list := strings.Replace(testpeer.Whole(testpeer.Entry("s1", server.Address(), "in_service")), "%d", "1", 1)
	agent.Tell(false, testpeer.Whole(testpeer.Entry("s1", server.Address(), "in_service")))
	config := platformConfig(agent.Address(), 256, list, platformSettings)
	cmd, address, log := startNode(t, path, config)
	client := dialNode(t, address)
	client.Send("GET", "/view/k", "held", "", "40")
	testpeer.Receive(t, got, "the request at the server")
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGTERM)
	awaitLog(t, log, "msg=draining")
	signal(syscall.SIGTERM)
	for text, wantLog := range map[string]string{config[:40]: "configuration reload failed", config: "configuration reloaded"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		signal(syscall.SIGHUP)
		awaitLog(t, log, wantLog)
	}
	close(hold)
	client.Want(t, http.StatusOK, "for held")
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
}

// A node that gets SIGTERM before it knows any server rejects the admitted request, and exits with 0.
func TestSIGTERMBeforeReady(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	agent := testpeer.NewAgent(t)
	agent.Tell(true, "")
	short := strings.Replace(platformSettings, `"deadline-ms":40000`, `"deadline-ms":20000`, 1)
	cmd, address, log := startNode(t, path, platformConfig(agent.Address(), 256, `{"rev":0,"all":true,"targets":[]}`, short))
	unready := dialNode(t, address)
	io.WriteString(unready, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	unready.Want(t, http.StatusServiceUnavailable, "not ready\n")
	client := dialNode(t, address)
	client.Send("GET", "/view/k", "waiting", "", "40")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	awaitLog(t, log, "msg=draining")
	if r, _ := client.Answer(t); r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("response: status %d, Retry-After %q, close %v", r.StatusCode, r.Header.Get("Retry-After"), r.Close)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
}

// Idle clients that use up the process's descriptors while discovery is down must not prevent the node from polling
// discovery after it recovers, from connecting to servers, or from shutting down.
func TestIdleClientsAtDescriptorLimitDuringDiscoveryOutage(t *testing.T) {
	const sockets = 128
	path := filepath.Join(t.TempDir(), "config.json")
	server := testpeer.NewServer(t, testpeer.Echo)
	discovery := testpeer.ClosedPort(t)
	cmd, address, log := startNodeWith(t, fmt.Sprintf("ulimit -n %d; %s", sockets, build(t).run), path,
		platformConfig(discovery, sockets, `{"rev":0,"all":true,"targets":[]}`, platformSettings))
	for i := range 3 * sockets {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 { // half of them are idle after a response, the others never send a request
			io.WriteString(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
			c.SetReadDeadline(time.Now().Add(testTimeout))
			http.ReadResponse(bufio.NewReader(c), nil) // fails if the connection was rejected
		}
	}
	ln, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	list := strings.Replace(testpeer.Whole(testpeer.Entry("s1", server.Address(), "in_service")), "%d", "1", 1)
	registry := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "1" {
			<-r.Context().Done() // no update
			return
		}
		io.WriteString(w, list)
	})}
	go registry.Serve(ln)
	defer registry.Close()
	testpeer.Until(t, "a request to be served", func() bool {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(c, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline: 1\r\n\r\n")
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && r.StatusCode == http.StatusOK
	})
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	awaitLog(t, log, "msg=draining")
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
}

// A node whose port is in use retries, and serves once the port is free. SIGTERM ends the retries at once with exit code 0,
// since no request was admitted.
func TestStartRetriesPortInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(platformConfig(testpeer.NewAgent(t).Address(), 256, `{"rev":1,"all":true,"targets":[]}`, platformSettings), "127.0.0.1:0", taken.Addr().String(), 1)
	for _, free := range []bool{false, true} {
		cmd, log := launchNode(t, build(t).run, path, text)
		awaitLog(t, log, "opening a socket failed; retrying")
		if free {
			taken.Close()
			awaitLog(t, log, "msg=serving")
		}
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if !free {
			awaitLog(t, log, "shutdown requested before the node was listening")
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("port free: %v; exit after SIGTERM: %v", free, err)
		}
	}
}

// shutdownClient sends requests to a node one at a time until it can't connect any more. It records the ids of the answered
// requests.
type shutdownClient struct {
	name, address, deadline string
	pause                   time.Duration // in the middle of each request's head
	answered                map[string]bool
}

func (c *shutdownClient) run(first chan<- struct{}) {
	for {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		for reader := bufio.NewReader(conn); c.sendRequest(conn, reader); {
			select {
			case first <- struct{}{}:
			default:
			}
		}
		conn.Close()
	}
}

// sendRequest sends a request and reports whether the connection can be reused.
func (c *shutdownClient) sendRequest(conn net.Conn, reader *bufio.Reader) bool {
	id := fmt.Sprint(c.name, len(c.answered))
	io.WriteString(conn, "GET /view/k HT")
	time.Sleep(c.pause)
	fmt.Fprintf(conn, "TP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: %s\r\n\r\n", id, c.deadline)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	c.answered[id] = err == nil
	return err == nil && !resp.Close
}

// The program exits with 0 before the platform would kill it, with all requests answered, while clients keep sending and no
// server replies.
func TestShutdownFinishesBeforeKill(t *testing.T) {
	for _, deadline := range []time.Duration{200 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			if took, kill := measureShutdown(t, deadline, nil), deadline+700*time.Millisecond; took >= kill {
				t.Errorf("exited after %v, want less than %v", took, kill)
			}
		})
	}
}

// measureShutdown returns how long the program takes to exit after SIGTERM. during, unless nil, is called after SIGTERM is sent.
func measureShutdown(t *testing.T, deadline time.Duration, during func(*os.Process)) (took time.Duration) {
	var serverHangs atomic.Bool
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if serverHangs.Load() {
			io.Copy(io.Discard, c)
			return false
		}
		return testpeer.Echo(c, r, body)
	})
	agent := testpeer.NewAgent(t)
	agent.Tell(false, testpeer.Whole(testpeer.Entry("s1", server.Address(), "in_service")))
	list := strings.Replace(testpeer.Whole(testpeer.Entry("s1", server.Address(), "in_service")), "%d", "1", 1)
	shortSettings := strings.NewReplacer("40000", fmt.Sprint(deadline.Milliseconds()), `"target-ms":20000`, fmt.Sprintf(`"target-ms":%d`, deadline.Milliseconds()/2)).Replace(platformSettings)
	cmd, address, _ := startNode(t, filepath.Join(t.TempDir(), "config.json"), platformConfig(agent.Address(), 256, list, shortSettings))
	first := make(chan struct{}, 1)
	var clients sync.WaitGroup
	answered := map[string]map[string]bool{}
	for i := range 6 {
		c := &shutdownClient{name: fmt.Sprintf("c%d-", i), address: address, deadline: fmt.Sprint(deadline.Seconds()), answered: map[string]bool{}}
		if i > 3 {
			c.pause = 30 * time.Millisecond
		}
		answered[c.name] = c.answered
		clients.Go(func() { c.run(first) })
	}
	testpeer.Receive(t, first, "a response")
	serverHangs.Store(true)
	begin := time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if during != nil {
		during(cmd.Process)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
	took = time.Since(begin)
	clients.Wait()
	for _, id := range server.Requests() {
		if name, _, _ := strings.Cut(id, "-"); !answered[name+"-"][id] {
			t.Errorf("request %s reached a server and got no response", id)
		}
	}
	return took
}
