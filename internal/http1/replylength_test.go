package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/testpeer"
)

// startShortLengthServer starts a server whose replies have a Content-Length of half their body, and counts its requests.
func startShortLengthServer(t testing.TB, body string, requests *atomic.Int64) net.Listener {
	return startRawServer(t, func(conn net.Conn, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		requests.Add(1)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)/2, body)
		io.Copy(io.Discard, conn)
	})
}

// Guards against a client that takes a part of a reply for all of it: the length that its server told is too small.
func TestRequestWithShortLengthReplyFails(t *testing.T) {
	for _, size := range []int{1280, 40 << 10, 1 << 20} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			var requests atomic.Int64
			ln := startShortLengthServer(t, strings.Repeat("a", size), &requests)
			node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln))), nil)
			client := testpeer.Dial(t, node.Addr())
			client.Send("POST", "/note/k", "id", "x", "4")
			r, err := http.ReadResponse(client.Reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(r.Body)
			if r.StatusCode == http.StatusOK && err == nil {
				t.Errorf("served %d bytes of %d as a complete response", len(body), size)
			}
			if streamed := size/2 > 64<<10; !streamed && r.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d, want 502: the request may have run", r.StatusCode)
			}
			if requests.Load() != 1 {
				t.Errorf("%d requests at the server, want 1", requests.Load())
			}
			report := node.front.counters.Report()
			if report.Fulfilled["note"] != 0 || report.UnservedResponses[string(engine.EndBeyondLength)] != 1 {
				t.Errorf("counted as served: %v, unserved: %v", report.Fulfilled, report.UnservedResponses)
			}
		})
	}
}

// Guards against a failure of a request that is safe to repeat where another server has the complete one.
func TestSafeRequestIsRetriedAfterShortLengthReply(t *testing.T) {
	const size = 1280
	body := strings.Repeat("a", size)
	var spoilt atomic.Int64
	short := startShortLengthServer(t, body, &spoilt)
	sound := startRawServer(t, func(conn net.Conn, r *http.Request) { testpeer.Reply200(conn, body) })
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", short), entry("s2", sound))), nil)
	const maxRequests = 50 // until one of them meets the server with the short length
	for i := 0; i < maxRequests && spoilt.Load() == 0; i++ {
		client := testpeer.Dial(t, node.Addr())
		client.Send("GET", "/view/k", fmt.Sprint("id-", i), "", "4")
		client.Want(t, http.StatusOK, body)
	}
	if spoilt.Load() != 1 {
		t.Errorf("%d requests at the server with the short length, want 1", spoilt.Load())
	}
}
