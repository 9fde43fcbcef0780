package http1

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/validation"
)

// longBodySize is more than the node and the kernel buffer of a body.
const longBodySize = 5 << 20

// randomBytes returns a body in which missing, repeated or reordered parts can be detected.
func randomBytes(size int) []byte {
	body := make([]byte, size)
	rng := rand.New(rand.NewPCG(uint64(size), 1))
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return body
}

// startRawServer starts a server that passes each connection to serve after reading the head of its first request.
func startRawServer(t testing.TB, serve func(conn net.Conn, r *http.Request)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				c.SetDeadline(time.Now().Add(2 * testpeer.Limit))
				reader := testpeer.NewClientConn(c)
				if r, err := http.ReadRequest(reader.Reader); err == nil {
					serve(c, r)
				}
			})
		}
	})
	return ln
}

func entry(id string, ln net.Listener) string {
	return testpeer.Entry(id, ln.Addr().String(), "in_service")
}

func TestLongResponsesAreStreamedCompletely(t *testing.T) {
	want := randomBytes(longBodySize)
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		switch r.URL.RawQuery {
		case "length":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: %d\r\n\r\n", len(want))
			conn.Write(want)
		case "chunks":
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for rest, size := want, 1; len(rest) > 0; size = size%9999 + 13 {
				n := min(size, len(rest))
				fmt.Fprintf(conn, "%x;extension\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			io.WriteString(conn, "0\r\nTrailer: x\r\n\r\n")
		case "end":
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			conn.Write(want)
			return false
		default:
			return testpeer.Echo(conn, r, body)
		}
		return true
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	for i, framing := range []string{"length", "chunks", "none", "end", "none"} {
		client.Send("GET", "/view/k?"+framing, fmt.Sprint("r", i), "", "60")
		r, got := client.ReadResponse(t)
		if framing == "none" {
			if got != fmt.Sprint("for r", i) {
				t.Errorf("response after a long one: %q", got)
			}
			continue
		}
		if r.StatusCode != 200 || sha256.Sum256([]byte(got)) != sha256.Sum256(want) {
			t.Errorf("%s: status %d, %d of %d bytes, or different bytes", framing, r.StatusCode, len(got), len(want))
		}
	}
	if server.AcceptedConnections() != 2 {
		t.Errorf("%d connections to the server, want 2: one is used until a response that ends with the connection", server.AcceptedConnections())
	}
}

// A client that stops reading must block the server's writes rather than fill the node's memory.
func TestSlowClientAppliesBackpressureToServer(t *testing.T) {
	const size = 32 << 20
	var sent atomic.Int64
	serverDone := make(chan struct{})
	ln := startRawServer(t, func(conn net.Conn, r *http.Request) {
		defer close(serverDone)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		for part := randomBytes(64 << 10); sent.Load() < size; {
			n, err := conn.Write(part)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln))), nil)
	client := testpeer.Dial(t, node.Addr())
	client.Get("slow")
	r, err := http.ReadResponse(client.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	for previous := int64(-1); previous != sent.Load(); time.Sleep(200 * time.Millisecond) {
		previous = sent.Load()
	}
	if sent.Load() == size {
		t.Fatal("the server could send the whole response though the client does not read")
	}
	if got, err := io.Copy(io.Discard, r.Body); got != size || err != nil {
		t.Errorf("received %d bytes, %v; want the complete response", got, err)
	}
	testpeer.Receive(t, serverDone, "the server to send the whole response")
}

// Guards against a cut of a sound response: its client reads it slowly, and the kernel reports free space only once much of its buffer is
// free.
func TestClientThatReadsSlowlyIsNotCut(t *testing.T) {
	const size, rate, interval = 8 << 20, 2 << 20, 50 * time.Millisecond
	ln := startRawServer(t, func(conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		conn.Write(randomBytes(size))
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln))), func(node *testNode) { node.front.writeStall = 200 * time.Millisecond })
	client := testpeer.Dial(t, node.Addr())
	client.Get("slow")
	r, err := http.ReadResponse(client.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	var received int64
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, r.Body, int64(rate*interval/time.Second))
		received += n
		time.Sleep(interval)
	}
	if received != size || err != io.EOF {
		t.Errorf("received %d of %d bytes, %v", received, size, err)
	}
}

// Guards against a client that holds a response by reading nothing of it.
func TestClientThatReadsNothingIsCut(t *testing.T) {
	ln := startRawServer(t, func(conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 32<<20)
		conn.Write(randomBytes(32 << 20))
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln))), func(node *testNode) { node.front.writeStall = 200 * time.Millisecond })
	client := testpeer.Dial(t, node.Addr())
	client.Get("slow")
	testpeer.Until(t, "the response to be counted as faulted", func() bool { return node.front.counters.Report().Faulted["view"] == 1 })
	if got := node.front.counters.Report().UnservedResponses["client_not_reading"]; got != 1 {
		t.Errorf("counted %d times as not read, want 1", got)
	}
}

// If a server closes in the middle of its reply, the client can tell that the response is incomplete, whatever its framing, and
// the request is not sent again.
func TestTruncatedLongReplyIsDetectableByClient(t *testing.T) {
	for _, framing := range []string{"Content-Length: 200000", "Transfer-Encoding: chunked"} {
		var requests atomic.Int64
		ln := startRawServer(t, func(conn net.Conn, r *http.Request) {
			requests.Add(1)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", framing)
			if strings.HasPrefix(framing, "Transfer") {
				io.WriteString(conn, "20000\r\n") // more than follows
			}
			conn.Write(randomBytes(100000))
		})
		node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln))), nil)
		client := testpeer.Dial(t, node.Addr())
		client.Get("cut")
		r, err := http.ReadResponse(client.Reader, nil)
		if err != nil || r.StatusCode != 200 {
			t.Fatalf("%s: %v %v", framing, r, err)
		}
		if got, err := io.ReadAll(r.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: %d bytes, %v; want an unexpected EOF", framing, len(got), err)
		}
		testpeer.Until(t, "the connections to be closed", func() bool { return node.upstream.Connections() == 0 })
		testpeer.Until(t, "the request to be counted as faulted", func() bool { return node.front.counters.Report().Faulted["view"] == 1 })
		if requests.Load() != 1 {
			t.Errorf("%s: the server received %d requests, want 1", framing, requests.Load())
		}
	}
}

// The server's connection is closed when the client disconnects in the middle of a response.
func TestDisconnectDuringLongResponseClosesServerConnection(t *testing.T) {
	serverDone := make(chan struct{})
	ln := startRawServer(t, func(conn net.Conn, r *http.Request) {
		defer close(serverDone)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 32<<20)
		for part := randomBytes(64 << 10); ; {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln))), nil)
	client := testpeer.Dial(t, node.Addr())
	client.Get("leaving")
	if _, err := http.ReadResponse(client.Reader, nil); err != nil {
		t.Fatal(err)
	}
	client.Close()
	testpeer.Receive(t, serverDone, "a write of the server to fail")
	testpeer.Until(t, "the connection to be closed", func() bool { return node.upstream.Connections() == 0 })
}

// sendUpload sends a request's head and returns functions that send parts of its body and its end.
func sendUpload(client *testpeer.ClientConn, id string, size int, chunked bool) (write func([]byte) error, end func()) {
	frame := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		frame = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(client, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 60\r\n%s\r\n\r\n", id, frame)
	if !chunked {
		return func(p []byte) error { _, err := client.Write(p); return err }, func() {}
	}
	return func(p []byte) error { _, err := fmt.Fprintf(client, "%x\r\n%s\r\n", len(p), p); return err },
		func() { io.WriteString(client, "0\r\n\r\n") }
}

func TestLongBodiesAreStreamedCompletely(t *testing.T) {
	want := randomBytes(longBodySize)
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		return testpeer.Reply200(conn, fmt.Sprintf("%x", sha256.Sum256([]byte(body))))
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	for _, size := range []int{1, validation.MaxBufferedBody, validation.MaxBufferedBody + 1, longBodySize} {
		for _, chunked := range []bool{false, true} {
			client := testpeer.Dial(t, node.Addr())
			for i := range 2 {
				if i == 1 && chunked {
					client.WantClosed(t, "a connection after a chunked body") // bytes behind the body could be a smuggled request
					break
				}
				write, end := sendUpload(client, fmt.Sprint(size, chunked, i), size, chunked)
				for rest := want[:size]; len(rest) > 0; {
					part := min(len(rest), 1+len(rest)/7)
					if err := write(rest[:part]); err != nil {
						t.Fatal(err)
					}
					rest = rest[part:]
				}
				end()
				client.Want(t, 200, fmt.Sprintf("%x", sha256.Sum256(want[:size])))
			}
		}
	}
	if server.AcceptedConnections() != 1 {
		t.Errorf("%d connections to the server for sequential requests, want 1", server.AcceptedConnections())
	}
}

// An upload is retried at another server as long as no part of it was consumed. After that it is rejected without a retry: the
// server that broke off never received all of it, so it can't have run.
func TestUploadBrokenByServer(t *testing.T) {
	good := testpeer.NewServer(t, testpeer.Echo)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", testpeer.ClosedPort(t), "in_service"),
		testpeer.Entry("s2", good.Address(), "in_service"))), nil)
	for i := range 10 { // sometimes the server with the closed port is chosen first
		client := testpeer.Dial(t, node.Addr())
		id := fmt.Sprint("other-", i)
		write, _ := sendUpload(client, id, 1<<20, false)
		go write(randomBytes(1 << 20))
		client.Want(t, 200, "for "+id)
	}

	var attempts atomic.Int64
	ln := startRawServer(t, func(conn net.Conn, r *http.Request) {
		attempts.Add(1)
		io.CopyN(io.Discard, r.Body, 200<<10)
		conn.(*net.TCPConn).SetLinger(0)
	})
	brokenNode := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln), entry("s2", ln))), nil)
	client := testpeer.Dial(t, brokenNode.Addr())
	write, _ := sendUpload(client, "broken", longBodySize, false)
	go write(randomBytes(longBodySize))
	r, _ := client.ReadResponse(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("status %d, Retry-After %q, close %v; want 503 with Retry-After and close", r.StatusCode, r.Header.Get("Retry-After"), r.Close)
	}
	if attempts.Load() != 1 {
		t.Errorf("%d attempts, want 1", attempts.Load())
	}
}

// If a server rejects an upload before it is complete, the client gets the rejection at once, though it has not sent the whole
// body.
func TestEarlyRejectionOfUploadReachesClient(t *testing.T) {
	ln := startRawServer(t, func(conn net.Conn, r *http.Request) {
		io.CopyN(io.Discard, r.Body, 100<<10)
		io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		io.Copy(io.Discard, conn)
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln))), nil)
	client := testpeer.Dial(t, node.Addr())
	write, _ := sendUpload(client, "early", 10<<20, false)
	if err := write(randomBytes(200 << 10)); err != nil { // the rest is never sent
		t.Fatal(err)
	}
	client.Want(t, http.StatusServiceUnavailable, "")
	testpeer.Until(t, "the connection to the server to be closed", func() bool { return node.upstream.Connections() == 0 })
}

// One server rejects uploads without reading them, and another accepts them: bytes that the first attempt has already read are
// not missing from the retry, or there is no retry.
func TestUploadRetriedAtAnotherServerIsComplete(t *testing.T) {
	const size = 300 << 10
	upload := randomBytes(size)
	full := startRawServer(t, func(conn net.Conn, r *http.Request) {
		io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		io.Copy(io.Discard, conn)
	})
	good := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		return testpeer.Reply200(conn, fmt.Sprintf("%x", sha256.Sum256([]byte(body))))
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", full), testpeer.Entry("s2", good.Address(), "in_service"))), nil)
	statuses := map[int]int{}
	for i := range 60 {
		client := testpeer.Dial(t, node.Addr())
		write, end := sendUpload(client, fmt.Sprint("u", i), size, i%2 == 0)
		go func() {
			for rest, part := upload, 1+(i*7919)%(90<<10); len(rest) > 0; rest = rest[min(part, len(rest)):] {
				if write(rest[:min(part, len(rest))]) != nil {
					return
				}
			}
			end()
		}()
		r, body := client.ReadResponse(t)
		if statuses[r.StatusCode]++; r.StatusCode == 200 && body != fmt.Sprintf("%x", sha256.Sum256(upload)) {
			t.Errorf("upload %d was altered on the way to the server", i)
		}
	}
	if statuses[200] == 0 || statuses[200]+statuses[503] != 60 {
		t.Errorf("responses by status: %v, want 60 of 200 and 503, some of them 200", statuses)
	}
}

// If a client disconnects in the middle of its body or stops sending, no server receives the complete body, and the failure
// does not count against the server.
func TestIncompleteUploadIsNotBlamedOnServer(t *testing.T) {
	begun, complete := make(chan struct{}, 10), make(chan error, 10)
	ln := startRawServer(t, func(conn net.Conn, r *http.Request) {
		begun <- struct{}{}
		_, err := io.Copy(io.Discard, r.Body)
		complete <- err
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln))), func(node *testNode) { node.front.bodyGrace = 300 * time.Millisecond })
	for _, leaves := range []bool{true, false} {
		client := testpeer.Dial(t, node.Addr())
		write, _ := sendUpload(client, fmt.Sprint("cut", leaves), longBodySize, false)
		if err := write(randomBytes(100 << 10)); err != nil {
			t.Fatal(err)
		}
		testpeer.Receive(t, begun, "the attempt") // no attempt is made for a client that has already disconnected
		if leaves {
			client.Close()
		} else {
			client.Want(t, http.StatusBadRequest, "")
			client.WantClosed(t, "an upload that stopped")
		}
		if err := testpeer.Receive(t, complete, "the end of the server's connection"); err == nil {
			t.Error("the server received the complete body")
		}
	}
	testpeer.Until(t, "all requests and connections to servers to end", func() bool {
		return node.upstream.Connections() == 0 && node.front.counters.Report().OpenRequests == 0 && node.engine.Status().Open == 0
	})
	if a := node.engine.Status().Avoided; a != 0 {
		t.Errorf("%d servers are avoided because of client errors, want 0", a)
	}
}

// A request may arrive in pieces split at any byte, as long as the body is not slower than the minimum rate with its grace.
func TestBodyInSmallPiecesIsAccepted(t *testing.T) {
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool { return testpeer.Reply200(conn, body) })
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	text := "POST http://backend.local/note/k HTTP/1.1\r\nhost:h\r\nX-Request-Id:  pieces \r\nx-deadline: 60\r\n" +
		"TRANSFER-ENCODING: Chunked\r\n\r\n2\r\nok\r\n1;x=y\r\n!\r\n0\r\nTrailer: t\r\n\r\n"
	for i := range len(text) {
		io.WriteString(client, text[i:i+1])
	}
	client.Want(t, 200, "ok!")
	client = testpeer.Dial(t, node.Addr())
	fmt.Fprintf(client, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: asks\r\nX-Deadline: 60\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if r, err := http.ReadResponse(client.Reader, nil); err != nil || r.StatusCode != 100 {
		t.Fatalf("%v %v", r, err)
	}
	io.WriteString(client, "ok")
	client.Want(t, 200, "ok")
	client.Get("next") // the body sent after 100 Continue was not scanned as a head
	client.Want(t, 200, "")
}

// Guards against a cut of a sound request: its client sends it slowly, below 64 KiB and beyond. One that stops gets its failure within the
// grace period, however much it has sent before.
func TestClientThatSendsSlowlyIsNotCut(t *testing.T) {
	const grace, interval, stopped = 400 * time.Millisecond, 50 * time.Millisecond, 250_000
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		return testpeer.Reply200(conn, fmt.Sprint(len(body)))
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) { node.front.bodyGrace = grace })
	for _, size := range []int{2_000, 20_000, 100_000} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(size, " chunked ", chunked), func(t *testing.T) {
				t.Parallel()
				client := testpeer.Dial(t, node.Addr())
				write, end := sendUpload(client, fmt.Sprint("slow", size, chunked), size, chunked)
				const parts = 40 // over 2 s
				for range parts {
					write(randomBytes(size / parts))
					time.Sleep(interval)
				}
				end()
				client.Want(t, 200, fmt.Sprint(size))
			})
		}
	}
	t.Run("stops", func(t *testing.T) {
		t.Parallel()
		client := testpeer.Dial(t, node.Addr())
		write, _ := sendUpload(client, "stops", 2*stopped, false)
		write(randomBytes(stopped))
		begin := time.Now()
		client.Want(t, http.StatusBadRequest, "")
		if took := time.Since(begin); took > grace+responseSlack {
			t.Errorf("the failure came %v after the last byte, want it within %v", took, grace+responseSlack)
		}
	})
}

// The scan of a head gives the same result however the head is split into pieces.
func TestHeadScan(t *testing.T) {
	const get, length, coding = "POST / HTTP/1.1\r\nHost: h\r\n", "content-length : 5\r\n", "Transfer-encoding: chunked\r\n"
	for _, c := range []struct {
		name, text string
		coded      bool
		unframed   bool
	}{
		{"only a length", get + "Content-Length: 5\r\n\r\n", false, false},
		{"only a coding", get + coding + "\r\n", true, false},
		{"both", get + "Content-Length: 5\r\n" + coding + "\r\n", true, true},
		{"both in reverse order", get + coding + "Content-Length: 5\r\n\r\n", true, true},
		{"a coding outside the scanned head", get + "\r\n" + coding, true, true},
		{"incomplete head", get + coding, true, true},
		{"bare newlines", "POST / HTTP/1.1\n" + coding + "Content-Length: 1\n\n", true, true},
		{"both in HTTP/1.0", strings.Replace(get, "1.1", "1.0", 1) + "Content-Length: 5\r\n" + coding + "\r\n", false, true},
		{"only a coding in HTTP/1.0", strings.Replace(get, "1.1", "1.0", 1) + coding + "\r\n", false, true},
		{"a field name in a value", get + "X: Content-Length: 5\r\n" + coding + "\r\n", true, false},
		{"empty lines before", "\r\n\n" + get + "Content-Length: 5\r\n" + coding + "\r\n", true, true},
		{"empty lines before only a coding", "\r\n\n" + get + coding + "\r\n", true, false},
		{"a long line before", get + "X: " + strings.Repeat("x", 9999) + "\r\nContent-Length: 5\r\n" + coding + "\r\n", true, true},
	} {
		for size := 1; size <= len(c.text); size = size*3 + 1 {
			var s requestScanner
			for rest := []byte(c.text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				s.feed(rest[:min(size, len(rest))])
			}
			if got := s.consumeHead(c.coded); got != c.unframed {
				t.Errorf("%s, in pieces of %d bytes: ambiguous length %v", c.name, size, got)
			}
			if s.feed([]byte("5\r\nbody")); len(s.completeHeads) > 0 {
				t.Errorf("%s: the body was scanned as a head", c.name)
			}
		}
	}
	var s requestScanner
	s.feed([]byte(get + coding + "\r\n" + get))
	if s.consumeHead(true); !s.consumeHead(true) {
		t.Error("a head that directly follows another was not reported as ambiguous")
	}
}

// minSliceBytes is the size of the smallest buffer that append allocates for some bytes.
const minSliceBytes = 64

// For any input, the result of the scan does not depend on how the input is split, a request with a transfer coding that
// net/http accepts and the scan does not report as ambiguous has no Content-Length, and the records that the scan keeps take no more
// than twice the input.
func FuzzHeadScan(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"), uint8(1))
	f.Add([]byte("POST / HTTP/1.1\nHost: h\nContent-Length:5\ntransfer-encoding:chunked\n\n0\r\n\r\n"), uint8(7))
	f.Add([]byte("POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"), uint8(3))
	f.Add([]byte("\r\n\r\nGET / HTTP/1.1\r\n folded: x\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		var complete, pieces requestScanner
		complete.feed(text)
		for rest, n := text, int(size)+1; len(rest) > 0; rest = rest[min(n, len(rest)):] {
			pieces.feed(rest[:min(n, len(rest))])
		}
		if complete.head.state != pieces.head.state || complete.head.lengthFields() != pieces.head.lengthFields() || complete.requestsStarted != pieces.requestsStarted || !slices.Equal(complete.completeHeads, pieces.completeHeads) {
			t.Fatalf("%q: %+v in one piece, %+v in pieces of %d bytes", text, complete, pieces, int(size)+1)
		}
		if kept := cap(pieces.completeHeads) + cap(pieces.head.line); kept > 2*len(text)+maxScannedLine+minSliceBytes {
			t.Fatalf("%q: %d bytes of records are kept for %d bytes", text, kept, len(text))
		}
		r, err := http.ReadRequest(testpeer.NewClientConn(&readOnlyConn{Reader: bytes.NewReader(text)}).Reader)
		if err != nil {
			return
		}
		coded := len(r.TransferEncoding) > 0
		head, _, _ := bytes.Cut(bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n")), []byte("\n\n"))
		head = bytes.ToLower(head)
		hasCoding := bytes.Contains(head, []byte("\ntransfer-encoding:"))
		hasLength := bytes.Contains(head, []byte("\ncontent-length:"))
		if !complete.consumeHead(coded) && hasCoding && (hasLength || !coded) {
			t.Fatalf("%q: a Content-Length beside a transfer coding, or a coding that is ignored, was not reported", text)
		}
	})
}

// readOnlyConn is a connection whose reads come from a Reader.
type readOnlyConn struct {
	net.Conn
	io.Reader
}

func (r *readOnlyConn) Read(p []byte) (int, error) { return r.Reader.Read(p) }
