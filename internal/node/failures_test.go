package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/discovery"
	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/upstream"
	"damsontrestle/internal/validation"
)

// seedsVariable is the environment variable with the number of seeds to run; the default is defaultSeeds.
const (
	seedsVariable = "FAILURE_SEEDS"
	defaultSeeds  = 24
)

// requestDeadline is the deadline of each request and the time that its client waits. responseSlack is the delay allowed
// beyond it on a busy machine.
const (
	requestDeadline = 3 * time.Second
	responseSlack   = 2 * time.Second
)

// Network calls fail at every step of requests and endpoint lists, several at once. Each request gets one final response in
// time unless a failure closed its own connection. No unsafe request runs twice, and no rejected one runs. The node keeps
// serving, shuts down without an error and leaks no goroutines or descriptors.
func TestRequestsUnderInjectedFailures(t *testing.T) {
	seeds := defaultSeeds
	if text := os.Getenv(seedsVariable); text != "" {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatalf("%s: %v", seedsVariable, err)
		}
	}
	goroutines, descriptors := runtime.NumGoroutine(), openDescriptors(t)
	failed := map[string]int{}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			for op, n := range runWithFailures(t, uint64(seed)) {
				failed[op] += n
			}
		})
		testpeer.Until(t, fmt.Sprintf("goroutines and descriptors to be released after seed %d", seed), func() bool {
			return runtime.NumGoroutine() <= goroutines && openDescriptors(t) <= descriptors
		})
	}
	for _, op := range []string{"dial", "read", "write"} {
		if failed[op] < seeds {
			t.Errorf("got %d failed calls of %s in %d seeds, want one per seed", failed[op], op, seeds)
		}
	}
}

// openDescriptors returns the number of open descriptors of this process.
func openDescriptors(t testing.TB) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// longBody is a request or response body that is streamed, because it is too long to be buffered completely.
var longBody = strings.Repeat("x", 2*validation.MaxBufferedBody)

// responseTo returns the body of a server's response to a request. Some responses are long enough to be streamed.
func responseTo(id string) string {
	if strings.HasSuffix(id, "3") {
		return "for " + id + longBody
	}
	return "for " + id
}

// clientResult is a request of a client and its result.
type clientResult struct {
	id, class string
	body      string // of the request
	status    int    // 0: no response
	response  string
	cut       bool // the response began but is incomplete
	took      time.Duration
	from      string // address of the client
	err       error  // why there is no response
}

// runWithFailures runs one node with injected failures and returns the number of failed calls by operation.
func runWithFailures(t *testing.T, seed uint64) map[string]int {
	t.Helper()
	const clients, requests, servers = 6, 5, 3
	var backends []*testpeer.Server
	var entries []string
	for i := range servers {
		s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
			return testpeer.Reply200(c, responseTo(r.Header.Get("X-Request-Id")))
		})
		backends = append(backends, s)
		entries = append(entries, testpeer.Entry(fmt.Sprint("s", i), s.Address(), "in_service"))
	}
	agent := testpeer.NewAgent(t)
	agent.Tell(false, testpeer.FullSnapshot(entries...))
	faults := testpeer.NewSyscallFaults(seed, 0.25, 0.05)
	cfg := testConfig(testpeer.FullSnapshot(entries...))
	*cfg.registry() = agent.Address()
	settle := time.Millisecond
	cfg.Options.settle = &settle
	cfg.Options.schedule = &shutdownSchedule{answerAll: time.Second, finish: testpeer.Limit}
	cfg.Options.Listen = func(network, address string) (net.Listener, error) {
		ln, err := net.Listen(network, address)
		if err != nil {
			return nil, err
		}
		return faults.Listener(ln), nil
	}
	cfg.Options.configureWatch = func(w *discovery.Watch) { w.SetDialer(faults.Dial) }
	cfg.Options.configureBackend = func(b *upstream.Pool) { b.SetDial(faults.Dial) }
	node, stop := startNode(t, cfg, nil)

	results := make(chan clientResult, clients*requests)
	var clientGroup sync.WaitGroup
	for c := range clients {
		clientGroup.Go(func() { runClient(node.Addr("main"), c, requests, results) })
	}
	agent.Tell(false, testpeer.FullSnapshot(entries[1:]...)) // during the failures
	clientGroup.Wait()
	close(results)
	for result := range results {
		checkResult(t, result, faults, backends)
	}

	faults.Stop()
	testpeer.Until(t, "the list change to be applied", func() bool { return node.Status().Pools["servers"].Requests.Ready == servers-1 })
	testpeer.Until(t, "the node to serve again", func() bool {
		last := make(chan clientResult, 1)
		runClient(node.Addr("main"), clients, 1, last)
		return (<-last).status == http.StatusOK
	})
	if err := stop(); err != nil {
		t.Errorf("node stopped with error: %v", err)
	}
	return faults.Counts()
}

// runClient sends requests one after the other. It reuses the connection of the previous request if that is still open.
func runClient(address string, client, requests int, results chan<- clientResult) {
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for i := range requests {
		result := clientResult{id: fmt.Sprintf("%d-%d", client, i), class: []string{"view", "note", "keyed"}[(client+i)%3], body: "body"}
		if i == 2 {
			result.body = longBody
		}
		for conn == nil {
			var err error
			conn, err = net.Dial("tcp", address)
			if err != nil && !errors.Is(err, syscall.ECONNRESET) { // an injected failure may reset the connection before Dial returns
				result.err = err
				results <- result
				return
			}
			reader = bufio.NewReader(conn)
		}
		result.from = conn.LocalAddr().String()
		begin := time.Now()
		conn.SetDeadline(begin.Add(testpeer.Limit))
		text := fmt.Sprintf("GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: %v\r\n\r\n", result.id, requestDeadline.Seconds())
		if result.class != "view" {
			key := ""
			if result.class == "keyed" {
				key = "Idempotency-Key: key-" + result.id + "\r\n"
			}
			text = fmt.Sprintf("POST /%s/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n%sX-Deadline: %v\r\nContent-Length: %d\r\n\r\n%s",
				result.class, result.id, key, requestDeadline.Seconds(), len(result.body), result.body)
		}
		sent := make(chan struct{})
		go func() { io.WriteString(conn, text); close(sent) }() // a response may arrive before the body is fully sent
		reusable := result.read(reader)
		if result.took = time.Since(begin); !reusable {
			conn.Close()
		}
		<-sent
		if !reusable {
			conn = nil
		}
		results <- result
	}
}

// read reads the response and reports whether the connection can be reused.
func (a *clientResult) read(reader *bufio.Reader) (reusable bool) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.err = err
		return false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.err, a.cut = err, true
		return false
	}
	a.status, a.response = response.StatusCode, strings.TrimSpace(string(body))
	return !response.Close
}

// checkResult checks the result of a request.
func checkResult(t *testing.T, result clientResult, faults *testpeer.SyscallFaults, backends []*testpeer.Server) {
	t.Helper()
	ran := 0
	for _, s := range backends {
		for _, id := range s.Requests() {
			if id == result.id {
				ran++
			}
		}
	}
	switch {
	case result.cut && ran > 0 && len(responseTo(result.id)) > validation.MaxBufferedBody: // the server's connection closed during the response
	case result.status == 0 && !faults.Ended(result.from):
		t.Errorf("%s %s: no response on a connection that no failure closed: %v, ran %d times", result.class, result.id, result.err, ran)
	case result.status == http.StatusOK && (result.response != responseTo(result.id) || ran == 0):
		t.Errorf("%s %s: got status 200 and body %.20q (%d bytes), ran %d times", result.class, result.id, result.response, len(result.response), ran)
	case result.status == http.StatusServiceUnavailable && result.class == "note" && ran != 0:
		t.Errorf("%s %s: rejected, but has run", result.class, result.id)
	case result.status != 0 && result.status != 200 && result.status != 502 && result.status != 503 && result.status != 504:
		t.Errorf("%s %s: got status %d", result.class, result.id, result.status)
	}
	if result.class == "note" && ran > 1 {
		t.Errorf("%s %s: ran %d times, want at most once", result.class, result.id, ran)
	}
	if result.took > requestDeadline+responseSlack {
		t.Errorf("%s %s: response after %v", result.class, result.id, result.took)
	}
}
