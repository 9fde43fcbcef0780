package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// runCounter is a server's count of the requests that it has run, by id.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// handle counts a request and answers it after a time in which its client can leave.
func (r *runCounter) handle(c net.Conn, request *http.Request, _ string) bool {
	r.mu.Lock()
	r.runs[request.Header.Get("X-Request-Id")]++
	r.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	return testpeer.Reply200(c, "ok")
}

// count returns how often a request was run.
func (r *runCounter) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// sendUnsafe sends an unsafe request on a connection of its own.
func sendUnsafe(t *testing.T, address, id string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 2.5\r\nContent-Length: 1\r\n\r\nx", id)
	return c
}

// awaitRun waits until a server has run a request.
func awaitRun(t *testing.T, counter *runCounter, id string) {
	t.Helper()
	testpeer.Until(t, "the server to run "+id, func() bool { return counter.count(id) > 0 })
}

// Guards against an unsafe request that runs twice: its client leaves after it was forwarded, and comes again with the same id, at this
// process or at the other one of an upgrade.
func TestRequestThatComesAgainWithItsIDRunsOnce(t *testing.T) {
	t.Parallel()
	counter := &runCounter{runs: map[string]int{}}
	server := testpeer.NewServer(t, counter.handle)
	agent := testpeer.NewAgent(t)
	list := testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))
	agent.Tell(false, list)
	folder := t.TempDir()
	start := func(name string) string {
		config := agentConfig(agent, list, slowPeerSettings, usualMemoryMB, usualSockets)
		cmd, address, _ := startNode(t, filepath.Join(t.TempDir(), name), config, "TMPDIR="+folder)
		t.Cleanup(func() { cmd.Process.Signal(syscall.SIGKILL) })
		return address
	}
	first := start("first.json")
	second := start("second.json")
	for name, again := range map[string]string{"at the same process": first, "at the other process": second} {
		for _, pause := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " after ", pause), func(t *testing.T) {
				id := fmt.Sprint(t.Name(), pause)
				id = strings.NewReplacer("/", "-", " ", "-", "_", "-").Replace(id)
				gone := sendUnsafe(t, first, id)
				awaitRun(t, counter, id)
				gone.Close()
				time.Sleep(pause)
				repeated := sendUnsafe(t, again, id)
				defer repeated.Close()
				response, _ := io.ReadAll(io.LimitReader(repeated, 12))
				if counter.count(id) != 1 || !strings.HasPrefix(string(response), "HTTP/1.1 409") {
					t.Errorf("run %d times, %q to the second one; want once and 409", counter.count(id), response)
				}
			})
		}
	}
}

// Guards against requests that are forwarded after their client has closed its connection: they were written ahead and stand unread.
func TestRequestsOfClosedConnectionAreNotForwarded(t *testing.T) {
	t.Parallel()
	const (
		ahead      = 60
		grace      = 250 * time.Millisecond // 0.1 s, and 0.15 s for which the node may be held up
		afterClose = 500 * time.Millisecond
	)
	counter := &runCounter{runs: map[string]int{}}
	address := startNodeWithServer(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			counter.handle(c, request, "")
		}
	})
	total := func() int {
		counter.mu.Lock()
		defer counter.mu.Unlock()
		return len(counter.runs)
	}
	for _, reset := range []bool{false, true} {
		for _, bodyLength := range []int{1, 3000} {
			t.Run(fmt.Sprintf("reset %v, bodies of %d bytes", reset, bodyLength), func(t *testing.T) {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				before := total()
				for i := range ahead {
					fmt.Fprintf(c, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: ahead-%v-%d-%d\r\nX-Deadline: 2.5\r\nContent-Length: %d\r\n\r\n%s",
						reset, bodyLength, i, bodyLength, strings.Repeat("x", bodyLength))
				}
				testpeer.Until(t, "some requests to run", func() bool { return total() > before+1 })
				if reset {
					c.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
				time.Sleep(grace)
				ran := total()
				time.Sleep(afterClose)
				if late := total() - ran; late > 0 {
					t.Errorf("%d requests began more than %v after the close", late, grace)
				}
			})
		}
	}
}
