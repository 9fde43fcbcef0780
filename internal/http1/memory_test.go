package http1

import (
	"bytes"
	"io"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"damsontrestle/internal/testpeer"
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
			before := heapInUse()
			var written atomic.Bool
			go func() {
				io.Copy(client, bytes.NewReader(flood))
				written.Store(true)
			}()
			testpeer.Until(t, "the input to be read or held back", func() bool {
				return written.Load() || node.front.totalReadAhead.Load() > maxConnReadAhead-2*readAheadChunk
			})
			if kept := heapInUse() - before; kept > maxKeptPerConn {
				t.Errorf("the node keeps %d bytes, more than %d", kept, maxKeptPerConn)
			}
			runtime.KeepAlive(flood)
		})
	}
}

// heapInUse returns the bytes of heap objects that are in use.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
