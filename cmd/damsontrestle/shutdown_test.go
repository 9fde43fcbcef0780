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

// platformConfig is a file of the platform's for one node.
func platformConfig(discovery string, sockets int, known, settings string) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":64,"sockets":%d},"known":%s,"settings":%s}`, discovery, sockets, known, settings)
}

// caller connects to a node for as long as a test may take.
func caller(t *testing.T, address string) *testpeer.Caller {
	t.Helper()
	c := testpeer.Dial(t, address)
	c.SetDeadline(time.Now().Add(limit))
	return c
}

// Signals that come while the node ends change nothing of its end: what was taken is answered, and it exits with 0.
func TestSignalsDuringShutdown(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	server := testpeer.NewServer(t, testpeer.Held(hold, got))
	agent := testpeer.NewAgent(t)
	list := strings.Replace(testpeer.Whole(testpeer.Entry("s1", server.Address(), "in_service")), "%d", "1", 1)
	agent.Tell(false, testpeer.Whole(testpeer.Entry("s1", server.Address(), "in_service")))
	config := platformConfig(agent.Address(), 256, list, settings)
	cmd, address, log := start(t, path, config)
	c := caller(t, address)
	c.Send("GET", "/view/k", "held", "", "40")
	testpeer.Receive(t, got, "the request at the server")
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGTERM)
	await(t, log, "msg=draining")
	signal(syscall.SIGTERM)
	for text, says := range map[string]string{config[:40]: "the new configuration is bad", config: "configuration reloaded"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		signal(syscall.SIGHUP)
		await(t, log, says)
	}
	close(hold)
	c.Want(t, http.StatusOK, "for held")
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// A node that is told to end before it has heard of any server refuses what it has taken, and exits with 0.
func TestSIGTERMBeforeReady(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	agent := testpeer.NewAgent(t)
	agent.Tell(true, "")
	short := strings.Replace(settings, `"deadline-ms":40000`, `"deadline-ms":20000`, 1)
	cmd, address, log := start(t, path, platformConfig(agent.Address(), 256, `{"rev":0,"all":true,"targets":[]}`, short))
	unready := caller(t, address)
	io.WriteString(unready, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	unready.Want(t, http.StatusServiceUnavailable, "not ready\n")
	c := caller(t, address)
	c.Send("GET", "/view/k", "waiting", "", "40")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, log, "msg=draining")
	if r, _ := c.Answer(t); r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("got %d, Retry-After %q, close %v", r.StatusCode, r.Header.Get("Retry-After"), r.Close)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Idle clients that fill the process's descriptors while discovery is down keep the node neither from discovery once it is
// back, nor from servers, nor from its end.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 128
	path := filepath.Join(t.TempDir(), "config.json")
	server := testpeer.NewServer(t, testpeer.Echo)
	discovery := testpeer.ClosedPort(t)
	cmd, address, log := startBy(t, fmt.Sprintf("ulimit -n %d; %s", sockets, build(t).run), path,
		platformConfig(discovery, sockets, `{"rev":0,"all":true,"targets":[]}`, settings))
	for i := range 3 * sockets {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 { // half of them idle behind an answer, the others silent
			io.WriteString(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
			c.SetReadDeadline(time.Now().Add(limit))
			http.ReadResponse(bufio.NewReader(c), nil) // or it was rejected
		}
	}
	ln, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	list := strings.Replace(testpeer.Whole(testpeer.Entry("s1", server.Address(), "in_service")), "%d", "1", 1)
	registry := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "1" {
			<-r.Context().Done() // nothing new
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
		c.SetDeadline(time.Now().Add(limit))
		fmt.Fprint(c, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline: 1\r\n\r\n")
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && r.StatusCode == http.StatusOK
	})
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, log, "msg=draining")
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// A node whose port another has tries again, and serves once it is free. SIGTERM ends the tries at once, with exit code 0:
// nothing was taken.
func TestStartRetriesItsPort(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(platformConfig(testpeer.NewAgent(t).Address(), 256, `{"rev":1,"all":true,"targets":[]}`, settings), "127.0.0.1:0", taken.Addr().String(), 1)
	for _, free := range []bool{false, true} {
		cmd, log := launch(t, build(t).run, path, text)
		await(t, log, "opening a socket failed; retrying")
		if free {
			taken.Close()
			await(t, log, "msg=serving")
		}
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if !free {
			await(t, log, "told to end before it listened")
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("port free: %v; exit: %v", free, err)
		}
	}
}

// endClient sends one request after the other on connections to a node until it connects to nobody any more. It
// keeps the ids of those that were answered.
type endClient struct {
	name, address, deadline string
	pause                   time.Duration // in the middle of each request's head
	answered                map[string]bool
}

func (c *endClient) run(first chan<- struct{}) {
	for {
		nc, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		nc.SetDeadline(time.Now().Add(limit))
		for in := bufio.NewReader(nc); c.ask(nc, in); {
			select {
			case first <- struct{}{}:
			default:
			}
		}
		nc.Close()
	}
}

// ask says whether the connection is of further use.
func (c *endClient) ask(nc net.Conn, in *bufio.Reader) bool {
	id := fmt.Sprint(c.name, len(c.answered))
	io.WriteString(nc, "GET /view/k HT")
	time.Sleep(c.pause)
	fmt.Fprintf(nc, "TP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: %s\r\n\r\n", id, c.deadline)
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	c.answered[id] = err == nil
	return err == nil && !r.Close
}

// The program is over before it would be killed, with 0 and all answered, while clients send on and no server answers any more.
func TestShutdownFinishesBeforeKill(t *testing.T) {
	for _, deadline := range []time.Duration{200 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			if took, kill := endOfProgram(t, deadline, nil), deadline+700*time.Millisecond; took >= kill {
				t.Errorf("over after %v of %v", took, kill)
			}
		})
	}
}

// endOfProgram tells how long the program takes to end. during is called when SIGTERM was sent; nil: nothing is.
func endOfProgram(t *testing.T, deadline time.Duration, during func(*os.Process)) (took time.Duration) {
	var hangs atomic.Bool
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if hangs.Load() {
			io.Copy(io.Discard, c)
			return false
		}
		return testpeer.Echo(c, r, body)
	})
	agent := testpeer.NewAgent(t)
	agent.Tell(false, testpeer.Whole(testpeer.Entry("s1", server.Address(), "in_service")))
	list := strings.Replace(testpeer.Whole(testpeer.Entry("s1", server.Address(), "in_service")), "%d", "1", 1)
	short := strings.NewReplacer("40000", fmt.Sprint(deadline.Milliseconds()), `"target-ms":20000`, fmt.Sprintf(`"target-ms":%d`, deadline.Milliseconds()/2)).Replace(settings)
	cmd, address, _ := start(t, filepath.Join(t.TempDir(), "config.json"), platformConfig(agent.Address(), 256, list, short))
	first := make(chan struct{}, 1)
	var clients sync.WaitGroup
	answered := map[string]map[string]bool{}
	for i := range 6 {
		c := &endClient{name: fmt.Sprintf("c%d-", i), address: address, deadline: fmt.Sprint(deadline.Seconds()), answered: map[string]bool{}}
		if i > 3 {
			c.pause = 30 * time.Millisecond
		}
		answered[c.name] = c.answered
		clients.Go(func() { c.run(first) })
	}
	testpeer.Receive(t, first, "an answer")
	hangs.Store(true)
	begin := time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if during != nil {
		during(cmd.Process)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	took = time.Since(begin)
	clients.Wait()
	for _, id := range server.Requests() {
		if name, _, _ := strings.Cut(id, "-"); !answered[name+"-"][id] {
			t.Errorf("%s reached a server and has no answer", id)
		}
	}
	return took
}
