package http1

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"damsontrestle/internal/downstream"
	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/testpeer/heap"
)

// floodLength is how many bytes a client sends behind a request, and maxKeptPerConn how many the node may keep of them: the
// buffer for reading ahead while it is copied to a larger one, and as much again.
const (
	floodLength    = 9 << 20
	maxKeptPerConn = 4 * maxConnReadAhead
)

// Guards against a client that takes the node over its memory limit with input that can't be read, sent behind a request that
// is being served: each empty line was kept as a head of 64 bytes.
func TestInputBehindRequestTakesNoMoreMemoryThanItsLimit(t *testing.T) {
	for name, unit := range map[string]string{
		"empty lines":           "\n",
		"empty lines with CR":   "\r\n",
		"tiny heads":            "x\n\n",
		"tiny requests":         "GET / HTTP/1.1\n\n",
		"tiny bodies":           "x\nContent-Length:1\n\nx",
		"short fields":          "a:\n",
		"a line without an end": "x",
	} {
		t.Run(name, func(t *testing.T) {
			server, hold, got := startHoldingServer(t)
			defer close(hold)
			node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
			client := testpeer.Dial(t, node.Addr())
			client.Get("held")
			testpeer.Receive(t, got, "the attempt")
			flood := []byte(strings.Repeat(unit, floodLength/len(unit)))
			before := heap.Reachable()
			var written atomic.Bool
			go func() {
				io.Copy(client, bytes.NewReader(flood))
				written.Store(true)
			}()
			testpeer.Until(t, "the input to be read or held back", func() bool {
				return written.Load() || node.front.totalReadAhead.Load() > maxConnReadAhead-2*readAheadChunk
			})
			if kept := heap.Reachable() - before; kept > maxKeptPerConn {
				t.Errorf("the node keeps %d bytes, more than %d", kept, maxKeptPerConn)
			}
			runtime.KeepAlive(flood)
		})
	}
}

// Guards against clients that take the node over its memory limit with heads of thousands of short fields, each of which net/http
// keeps in a map: such a head is refused at the field beyond the limit, and what was read in front of it is answered.
func TestHeadOfManyShortFieldsIsRefused(t *testing.T) {
	const head = "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: last\r\nX-Deadline: 60\r\n"
	fields := func(count int) string {
		var text strings.Builder
		for i := range count - 3 { // head has three
			fmt.Fprintf(&text, "%x:\r\n", i)
		}
		return text.String()
	}
	for _, c := range []struct {
		name, first, text string
		status            int
	}{
		{"as many as allowed", "", head + fields(maxHeadFields) + "\r\n", 200},
		{"one more", "", head + fields(maxHeadFields+1) + "\r\n", 400},
		{"a head without an end", "", head + fields(2700), 400},
		{"continued lines", "", head + strings.Repeat("a:\r\n b\r\n", maxHeadFields) + "\r\n", 400},
		{"behind a request in the same write", getRequest("first"), head + fields(maxHeadFields+1) + "\r\n", 400},
		{"as many as allowed behind a request", getRequest("first"), head + fields(maxHeadFields) + "\r\n", 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := testpeer.NewServer(t, testpeer.Echo)
			node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
			client := testpeer.Dial(t, node.Addr())
			io.WriteString(client, c.first+c.text)
			if c.first != "" {
				client.Want(t, 200, "for first")
			}
			r, _ := client.ReadResponse(t)
			if r.StatusCode != c.status {
				t.Errorf("status %d, want %d", r.StatusCode, c.status)
			}
			if c.status != 200 {
				client.WantClosed(t, "a connection behind a head with too many fields")
			}
		})
	}
}

// What is read ahead is refused at the same limit, while the request in front is served.
func TestHeadOfManyShortFieldsBehindRequestIsRefused(t *testing.T) {
	server, hold, got := startHoldingServer(t)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	client.Get("held")
	testpeer.Receive(t, got, "the attempt")
	io.WriteString(client, "GET /view/k HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 5000))
	testpeer.Until(t, "the head to be read ahead", func() bool { return hasReadAhead(node) })
	if kept := node.front.totalReadAhead.Load(); kept > readAheadChunk {
		t.Errorf("%d bytes of a refused head are kept", kept)
	}
	close(hold)
	client.Want(t, 200, "for held")
	if r, _ := client.ReadResponse(t); r.StatusCode != 400 {
		t.Errorf("status %d, want 400", r.StatusCode)
	}
	client.WantClosed(t, "a connection behind a head with too many fields")
}

// Guards against clients that take the node over its memory limit with bodies that stop before their end: the bodies that are buffered
// have a budget, and those that began first give way. A client whose body is complete gets its answer.
func TestIncompleteBodiesGiveWayToOthers(t *testing.T) {
	const bodyLength, connections, budget = 60000, 40, 600000
	server, hold, got := startHoldingServer(t)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.clients.Resize(downstream.Limits{Capacity: 976, ServerMinimum: 244, Reserve: 24, InputBytes: budget})
	})
	body := strings.Repeat("x", bodyLength)
	complete := testpeer.Dial(t, node.Addr())
	complete.Send("POST", "/note/k", "held", body, "60")
	testpeer.Receive(t, got, "the attempt")
	var incomplete []*testpeer.ClientConn
	for i := range connections {
		c := testpeer.Dial(t, node.Addr())
		fmt.Fprintf(c, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half-%d\r\nX-Deadline: 60\r\nContent-Length: %d\r\n\r\n%s", i, bodyLength, body[:bodyLength-1])
		incomplete = append(incomplete, c)
		if used, _ := node.clients.Input().Used(); used > budget {
			t.Fatalf("%d bytes of bodies are kept, more than %d", used, budget)
		}
	}
	if r, _ := incomplete[0].ReadResponse(t); r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("status %d, Retry-After %q of the body that gave way; want 503, its client is not at fault", r.StatusCode, r.Header.Get("Retry-After"))
	}
	last := testpeer.Dial(t, node.Addr())
	last.Send("POST", "/note/k", "last", body, "60")
	last.Want(t, 200, "for last")
	close(hold)
	complete.Want(t, 200, "for held")
	for _, c := range incomplete {
		c.Close()
	}
	testpeer.Until(t, "the memory of all bodies to be free", func() bool { used, _ := node.clients.Input().Used(); return used == 0 })
}

// A body for which there is no memory, since all of it is occupied by requests that are being served, is rejected as one that never ran.
func TestBodyWithoutMemoryIsRejected(t *testing.T) {
	const bodyLength, budget = 60000, 100000
	server, hold, got := startHoldingServer(t)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.clients.Resize(downstream.Limits{Capacity: 976, ServerMinimum: 244, Reserve: 24, InputBytes: budget})
	})
	body := strings.Repeat("x", bodyLength)
	first, second := testpeer.Dial(t, node.Addr()), testpeer.Dial(t, node.Addr())
	first.Send("POST", "/note/k", "held", body, "60")
	testpeer.Receive(t, got, "the attempt")
	second.Send("POST", "/note/k", "second", body, "60")
	if r, _ := second.ReadResponse(t); r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want 503 with Retry-After", r.StatusCode, r.Header.Get("Retry-After"))
	}
	close(hold)
	first.Want(t, 200, "for held")
	if server.RequestCount() != 1 {
		t.Errorf("%d requests reached the server, want 1", server.RequestCount())
	}
}

// Guards against clients that take the node over its memory limit with heads that don't end, on all connections at once: they count in the
// budget, and those that began first give way.
func TestIncompleteHeadsGiveWayToOthers(t *testing.T) {
	const headLength, connections, budget = 14000, 40, 300000
	server := testpeer.NewServer(t, testpeer.Echo)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.clients.Resize(downstream.Limits{Capacity: 976, ServerMinimum: 244, Reserve: 24, InputBytes: budget})
	})
	var incomplete []*testpeer.ClientConn
	for range connections {
		c := testpeer.Dial(t, node.Addr())
		io.WriteString(c, "GET /view/k HTTP/1.1\r\nX: "+strings.Repeat("x", headLength))
		incomplete = append(incomplete, c)
		if used, _ := node.clients.Input().Used(); used > budget {
			t.Fatalf("%d bytes of heads are kept, more than %d", used, budget)
		}
	}
	testpeer.Until(t, "heads to give way", func() bool { _, evictions := node.clients.Input().Used(); return evictions > 0 })
	incomplete[0].WantClosed(t, "the connection whose head began first")
	last := testpeer.Dial(t, node.Addr())
	last.Get("last")
	last.Want(t, 200, "for last")
	for _, c := range incomplete {
		c.Close()
	}
	testpeer.Until(t, "the memory of all heads to be free", func() bool { used, _ := node.clients.Input().Used(); return used == 0 })
}
