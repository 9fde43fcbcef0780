package http1

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"damsontrestle/internal/fairqueue"
	"damsontrestle/internal/testpeer"
)

// occupyQueue begins so many transfers that all of this process wait for one another until the test ends.
func occupyQueue(t *testing.T) {
	const transfersPerProcessor = 10
	for range transfersPerProcessor * runtime.GOMAXPROCS(0) {
		transfer := fairqueue.Process.Begin(0)
		t.Cleanup(transfer.End)
	}
}

// Guards against a client that gets 400 for a body that the node itself was too busy to receive.
func TestUploadThatWaitsTooLongIsRejected(t *testing.T) {
	occupyQueue(t)
	server := testpeer.NewServer(t, testpeer.Echo)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.front.uploadQueueing = time.Nanosecond
	})
	client := testpeer.Dial(t, node.Addr())
	write, _ := sendUpload(client, "id", longBodySize, false)
	go write(randomBytes(longBodySize))
	r, _ := client.ReadResponse(t)
	if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want 503 with one", r.StatusCode, r.Header.Get("Retry-After"))
	}
	if server.RequestCount() != 0 {
		t.Errorf("the request ran %d times", server.RequestCount())
	}
}

// Guards against responses that are late because what hundreds of refused clients still send is dropped all at once.
func TestDiscardedInputTakesTurns(t *testing.T) {
	const discarding, length = 20, 1 << 20
	occupyQueue(t)
	before := fairqueue.Process.Stats().Parts
	var all sync.WaitGroup
	for range discarding {
		all.Go(func() { discardInTurn(bytes.NewReader(make([]byte, length)), length) })
	}
	all.Wait()
	const parts = discarding * length / bodyPartSize
	if waited := fairqueue.Process.Stats().Parts - before; waited < parts/2 { // a part that comes when none waits needs no turn
		t.Errorf("%d of %d parts waited for others", waited, parts)
	}
}

// Guards against a late answer to an upload whose last bytes have waited in the system's buffer while the node was slow to receive them.
func TestReceptionDatesLastByteByItsArrival(t *testing.T) {
	const delay = 200 * time.Millisecond
	local, remote := testpeer.Pair(t)
	io.WriteString(remote, "unread")
	time.Sleep(delay)
	if since := sinceUnreadInput(local); since < delay/2 {
		t.Errorf("unread input came %v ago, want about %v", since, delay)
	}
	io.ReadFull(local, make([]byte, len("unread")))
	if since := sinceUnreadInput(local); since != 0 {
		t.Errorf("input came %v ago, and none waits", since)
	}
}
