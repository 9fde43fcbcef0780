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

// seedsVariable names how many seeds of overlapping failures are played; without it fewSeeds are.
const (
	seedsVariable = "FAILURE_SEEDS"
	fewSeeds      = 24
)

// waits is how long each request's client waits, by its deadline, and answerSlack how much longer a busy machine may take.
const (
	waits       = 3 * time.Second
	answerSlack = 2 * time.Second
)

// Requests fail at each step of a request's and of a list's way, several at once: each request gets one final answer in time unless its own
// connection was ended by a failure; nothing unsafe runs twice, and nothing that was refused has run; the node serves on, ends in order
// and leaves nothing behind.
func TestFailedRequests(t *testing.T) {
	seeds := fewSeeds
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
			for op, n := range playFailures(t, uint64(seed)) {
				failed[op] += n
			}
		})
		testpeer.Until(t, fmt.Sprintf("goroutines and descriptors to be back after seed %d", seed), func() bool {
			return runtime.NumGoroutine() <= goroutines && openDescriptors(t) <= descriptors
		})
	}
	for _, op := range []string{"dial", "read", "write"} {
		if failed[op] < seeds {
			t.Errorf("only %d calls of %s failed in %d seeds", failed[op], op, seeds)
		}
	}
}

// openDescriptors counts those of this process.
func openDescriptors(t testing.TB) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// long is a body, of a request or of an answer, that passes through and is never buffered completely.
var long = strings.Repeat("x", 2*validation.MaxBufferedBody)

// answerTo is what a server answers to a request: some answers pass through.
func answerTo(id string) string {
	if strings.HasSuffix(id, "3") {
		return "for " + id + long
	}
	return "for " + id
}

// asked is a request of a client, and what came of it.
type asked struct {
	id, class string
	body      string // that it sends
	status    int    // 0: no answer
	answer    string
	cut       bool // the answer has begun and is not complete
	took      time.Duration
	from      string // the client's address
	err       error  // why there is no answer
}

// playFailures runs one node, and returns how many requests of each kind failed.
func playFailures(t *testing.T, seed uint64) map[string]int {
	t.Helper()
	const clients, requests, servers = 6, 5, 3
	var backends []*testpeer.Server
	var entries []string
	for i := range servers {
		s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
			return testpeer.Reply200(c, answerTo(r.Header.Get("X-Request-Id")))
		})
		backends = append(backends, s)
		entries = append(entries, testpeer.Entry(fmt.Sprint("s", i), s.Address(), "in_service"))
	}
	agent := testpeer.NewAgent(t)
	agent.Tell(false, testpeer.Whole(entries...))
	faults := testpeer.NewCallFaults(seed, 0.25, 0.05)
	cfg := testConfig(testpeer.Whole(entries...))
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
	cfg.Options.watch = func(w *discovery.Watch) { w.SetDialer(faults.Dial) }
	cfg.Options.back = func(b *upstream.Pool) { b.SetDial(faults.Dial) }
	n, stop := startNode(t, cfg, nil)

	results := make(chan asked, clients*requests)
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() { playClient(n.Addr("main"), c, requests, results) })
	}
	agent.Tell(false, testpeer.Whole(entries[1:]...)) // while requests fail
	all.Wait()
	close(results)
	for a := range results {
		checkAsked(t, a, faults, backends)
	}

	faults.Stop()
	testpeer.Until(t, "the list's change to be followed", func() bool { return n.Status().Pools["servers"].Requests.Ready == servers-1 })
	testpeer.Until(t, "the node to serve as before", func() bool {
		last := make(chan asked, 1)
		playClient(n.Addr("main"), clients, 1, last)
		return (<-last).status == http.StatusOK
	})
	if err := stop(); err != nil {
		t.Errorf("the node's end: %v", err)
	}
	return faults.Counts()
}

// playClient sends requests one after the other, each on the connection of the one before if that is still open.
func playClient(address string, client, requests int, results chan<- asked) {
	var nc net.Conn
	var reader *bufio.Reader
	defer func() {
		if nc != nil {
			nc.Close()
		}
	}()
	for i := range requests {
		a := asked{id: fmt.Sprintf("%d-%d", client, i), class: []string{"view", "note", "keyed"}[(client+i)%3], body: "body"}
		if i == 2 {
			a.body = long
		}
		for nc == nil {
			var err error
			nc, err = net.Dial("tcp", address)
			if err != nil && !errors.Is(err, syscall.ECONNRESET) { // a failure may end it before it is up here
				a.err = err
				results <- a
				return
			}
			reader = bufio.NewReader(nc)
		}
		a.from = nc.LocalAddr().String()
		begin := time.Now()
		nc.SetDeadline(begin.Add(testpeer.Limit))
		text := fmt.Sprintf("GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: %v\r\n\r\n", a.id, waits.Seconds())
		if a.class != "view" {
			key := ""
			if a.class == "keyed" {
				key = "Idempotency-Key: key-" + a.id + "\r\n"
			}
			text = fmt.Sprintf("POST /%s/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n%sX-Deadline: %v\r\nContent-Length: %d\r\n\r\n%s",
				a.class, a.id, key, waits.Seconds(), len(a.body), a.body)
		}
		sent := make(chan struct{})
		go func() { io.WriteString(nc, text); close(sent) }() // an answer may come before all of a body is sent
		again := a.read(reader)
		if a.took = time.Since(begin); !again {
			nc.Close()
		}
		<-sent
		if !again {
			nc = nil
		}
		results <- a
	}
}

// read reads a request's answer, and tells whether the connection is of further use.
func (a *asked) read(from *bufio.Reader) (again bool) {
	r, err := http.ReadResponse(from, nil)
	if err != nil {
		a.err = err
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		a.err, a.cut = err, true
		return false
	}
	a.status, a.answer = r.StatusCode, strings.TrimSpace(string(body))
	return !r.Close
}

// checkAsked checks what came of a request.
func checkAsked(t *testing.T, a asked, faults *testpeer.CallFaults, backends []*testpeer.Server) {
	t.Helper()
	ran := 0
	for _, s := range backends {
		for _, id := range s.Requests() {
			if id == a.id {
				ran++
			}
		}
	}
	switch {
	case a.cut && ran > 0 && len(answerTo(a.id)) > validation.MaxBufferedBody: // its server's connection has ended in its middle
	case a.status == 0 && !faults.Ended(a.from):
		t.Errorf("%s %s: no answer on a connection that no failure has ended: %v, ran %d times", a.class, a.id, a.err, ran)
	case a.status == http.StatusOK && (a.answer != answerTo(a.id) || ran == 0):
		t.Errorf("%s %s: served with %.20q (%d bytes), ran %d times", a.class, a.id, a.answer, len(a.answer), ran)
	case a.status == http.StatusServiceUnavailable && a.class == "note" && ran != 0:
		t.Errorf("%s %s: refused, and has run", a.class, a.id)
	case a.status != 0 && a.status != 200 && a.status != 502 && a.status != 503 && a.status != 504:
		t.Errorf("%s %s: status %d", a.class, a.id, a.status)
	}
	if a.class == "note" && ran > 1 {
		t.Errorf("%s %s: ran %d times", a.class, a.id, ran)
	}
	if a.took > waits+answerSlack {
		t.Errorf("%s %s: answered after %v", a.class, a.id, a.took)
	}
}
