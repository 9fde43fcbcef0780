package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// Times of requests whose server stops within its reply.
const (
	handoverDeadline = time.Second            // X-Deadline of the clients
	responseSlack    = 500 * time.Millisecond // by which a final response may be later
)

// longReplyHead is the head of a reply that is streamed to its client.
const longReplyHead = "HTTP/1.1 200 OK\r\nContent-Length: 150000\r\n\r\n"

// hang holds a connection until its peer closes it.
func hang(conn net.Conn) { io.Copy(io.Discard, conn) }

// reset closes a connection with a reset.
func reset(conn net.Conn) { conn.(*net.TCPConn).SetLinger(0) }

// stoppedReplies are servers that stop within a reply before any byte of its body was handed over to the client.
var stoppedReplies = map[string]func(conn net.Conn){
	"hang behind the head": func(conn net.Conn) { io.WriteString(conn, longReplyHead); hang(conn) },
	"reset behind the head": func(conn net.Conn) {
		io.WriteString(conn, longReplyHead)
		time.Sleep(50 * time.Millisecond)
		reset(conn)
	},
	"close behind the head": func(conn net.Conn) { io.WriteString(conn, longReplyHead) },
	"hang behind a 1xx":     func(conn net.Conn) { io.WriteString(conn, "HTTP/1.1 103 E\r\n\r\n"+longReplyHead); hang(conn) },
	"hang in the head":      func(conn net.Conn) { io.WriteString(conn, longReplyHead[:30]); hang(conn) },
	"hang within few bytes": func(conn net.Conn) { io.WriteString(conn, longReplyHead+"some bytes"); hang(conn) },
	"reset within few bytes": func(conn net.Conn) {
		io.WriteString(conn, longReplyHead+"x")
		time.Sleep(50 * time.Millisecond)
		reset(conn)
	},
	"hang behind a chunked head": func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n")
		hang(conn)
	},
	"hang behind a head without a length": func(conn net.Conn) { io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nx"); hang(conn) },
	"late head, then hang": func(conn net.Conn) {
		time.Sleep(handoverDeadline - 150*time.Millisecond)
		io.WriteString(conn, longReplyHead)
		hang(conn)
	},
	"head byte by byte, then hang": func(conn net.Conn) {
		for i := range longReplyHead {
			io.WriteString(conn, longReplyHead[i:i+1])
			time.Sleep(5 * time.Millisecond)
		}
		hang(conn)
	},
	"body byte by byte": func(conn net.Conn) {
		io.WriteString(conn, longReplyHead)
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	},
}

// Guards against a request without a final response: its server hangs, dies or closes behind the head of a long reply, when the
// attempt's deadline no longer applied.
func TestServerThatStopsBehindReplyHeadIsAnsweredInTime(t *testing.T) {
	for name, stop := range stoppedReplies {
		for _, method := range []string{"POST", "GET"} {
			t.Run(name+" "+method, func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int64
				ln := startRawServer(t, func(conn net.Conn, r *http.Request) {
					requests.Add(1)
					io.Copy(io.Discard, r.Body)
					stop(conn)
				})
				node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln))), nil)
				client := testpeer.Dial(t, node.Addr())
				begin := time.Now()
				target, body := "/view/k", ""
				if method == "POST" {
					target, body = "/note/k", "x"
				}
				client.Send(method, target, "id", body, fmt.Sprint(handoverDeadline.Seconds()))
				r, text := client.ReadResponse(t)
				if took := time.Since(begin); r.StatusCode == 200 || took > handoverDeadline+responseSlack {
					t.Errorf("status %d after %v, body %.20q; want a failure within %v", r.StatusCode, took, text, handoverDeadline+responseSlack)
				}
				if method == "POST" && (r.StatusCode != 502 || requests.Load() != 1) {
					t.Errorf("status %d, %d requests at the server; want 502 and 1: the request may have run", r.StatusCode, requests.Load())
				}
				if status := node.engine.Status(); status.Served != 0 || status.Open != 0 {
					t.Errorf("%+v: the request counts as served, or as open", status)
				}
			})
		}
	}
}

// A safe request whose server resets the connection behind the head of a long reply is served by another server, without two
// attempts at once.
func TestSafeRequestIsRetriedAfterResetBehindReplyHead(t *testing.T) {
	var open, overlaps, resets atomic.Int64
	count := func(reply func()) {
		if open.Add(1) > 1 {
			overlaps.Add(1)
		}
		reply()
		open.Add(-1)
	}
	body := strings.Repeat("x", 150000)
	resetting := startRawServer(t, func(conn net.Conn, r *http.Request) {
		count(func() {
			resets.Add(1)
			io.WriteString(conn, longReplyHead)
			time.Sleep(50 * time.Millisecond)
		})
		reset(conn)
	})
	sound := startRawServer(t, func(conn net.Conn, r *http.Request) {
		count(func() { io.WriteString(conn, longReplyHead+body) })
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", resetting), entry("s2", sound))), nil)
	const maxRequests = 50 // until one of them meets the server that resets
	for i := 0; i < maxRequests && resets.Load() == 0; i++ {
		client := testpeer.Dial(t, node.Addr())
		client.Send("GET", "/view/k", fmt.Sprint("id-", i), "", "60")
		if r, text := client.ReadResponse(t); r.StatusCode != 200 || text != body {
			t.Errorf("request %d: status %d, %d bytes; want the reply of the other server", i, r.StatusCode, len(text))
		}
	}
	if resets.Load() != 1 || overlaps.Load() > 0 {
		t.Errorf("%d resets, %d overlapping attempts; want 1 and none", resets.Load(), overlaps.Load())
	}
}

// A reply that stops once a part of it was passed on is cut at its client's deadline, so that the client can tell.
func TestStoppedLongReplyIsCutAtClientDeadline(t *testing.T) {
	ln := startRawServer(t, func(conn net.Conn, r *http.Request) {
		io.WriteString(conn, longReplyHead+strings.Repeat("x", 100000))
		hang(conn)
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln))), nil)
	client := testpeer.Dial(t, node.Addr())
	begin := time.Now()
	const deadline = 1500 * time.Millisecond
	client.Send("GET", "/view/k", "id", "", fmt.Sprint(deadline.Seconds()))
	r, err := http.ReadResponse(client.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(r.Body)
	if took := time.Since(begin); err == nil || took < deadline || took > deadline+responseSlack {
		t.Errorf("%d bytes, %v after %v; want a cut response after %v", len(got), err, took, deadline)
	}
	testpeer.Until(t, "the request to be counted as faulted", func() bool { return node.front.counters.Report().Faulted["view"] == 1 })
}

// Guards against a late final response: a server accepts a connection and reads nothing of a long upload, whose client has written
// all of it to the kernel's buffers.
func TestUploadToServerThatReadsNothingIsAnsweredInTime(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", ln))), nil)
	client := testpeer.Dial(t, node.Addr())
	begin := time.Now()
	go client.Send("POST", "/note/k", "id", strings.Repeat("x", 20<<20), fmt.Sprint(handoverDeadline.Seconds()))
	r, _ := client.ReadResponse(t)
	if took := time.Since(begin); r.StatusCode != 503 || took > handoverDeadline+responseSlack {
		t.Errorf("status %d after %v; want 503 within %v: the request never ran", r.StatusCode, took, handoverDeadline+responseSlack)
	}
}

// Guards against a late final response: the connection to the server of an upload comes up late, while all of the upload was received.
func TestUploadIsAnsweredInTimeDuringConnect(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), func(node *testNode) {
		node.upstream.SetDial(func(ctx context.Context, _, _ string) (net.Conn, error) { // the connection never comes up
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	client := testpeer.Dial(t, node.Addr())
	begin := time.Now()
	client.Send("POST", "/note/k", "id", strings.Repeat("x", 200_000), fmt.Sprint(handoverDeadline.Seconds()))
	r, _ := client.ReadResponse(t)
	if took := time.Since(begin); r.StatusCode != 503 || took > handoverDeadline+responseSlack {
		t.Errorf("status %d after %v; want 503 within %v: the request never ran", r.StatusCode, took, handoverDeadline+responseSlack)
	}
}

// Guards against a late final response: a body whose request ends is read on, because the read is about to begin as the request ends and
// sets a deadline of its own.
func TestReadOfBodyEndsWithItsRequest(t *testing.T) {
	over := make(chan struct{})
	close(over)
	body := &minRateBody{
		body:    neverReader{},
		control: http.NewResponseController(httptest.NewRecorder()),
		done:    over,
		grace:   time.Hour,
	}
	result := make(chan error, 1)
	go func() {
		_, err := body.Read(make([]byte, 1))
		result <- err
	}()
	if err := testpeer.Receive(t, result, "the read to end"); !errors.Is(err, errRequestEnded) {
		t.Errorf("%v, want errRequestEnded", err)
	}
}

// neverReader is a body of which nothing comes.
type neverReader struct{}

// Read implements io.Reader.
func (neverReader) Read([]byte) (int, error) { select {} }

// Guards against a rejection that is lost: its server states that the request never ran, and stops within the body of that reply.
func TestRejectionWithStoppedBodyIsBelieved(t *testing.T) {
	stopping := startRawServer(t, func(conn net.Conn, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 10\r\n\r\nfu")
		hang(conn)
	})
	sound := testpeer.NewServer(t, testpeer.Echo)
	node := startNode(t, testConfig(testpeer.FullSnapshot(entry("s1", stopping), testpeer.Entry("s2", sound.Address(), "in_service"))), nil)
	for i := range 10 { // some of them meet the server that stops first
		client := testpeer.Dial(t, node.Addr())
		begin := time.Now()
		id := fmt.Sprint("id-", i)
		client.Send("POST", "/note/k", id, "x", fmt.Sprint(handoverDeadline.Seconds()))
		r, text := client.ReadResponse(t)
		served := r.StatusCode == 200 && text == "for "+id
		refused := r.StatusCode == 503 && r.Header.Get("Retry-After") != "" // as the balancer decides
		if took := time.Since(begin); !served && !refused || took > handoverDeadline/2 {
			t.Errorf("status %d after %v, body %.20q; want the reply of the other server, or a refusal, within %v", r.StatusCode, took, text, handoverDeadline/2)
		}
	}
}
