package http1

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// Guards against a request that runs with bytes of another one: what a client sent behind a long response was dropped beyond the
// read-ahead limit, and the connection was read on behind the gap.
func TestBodyBehindLongResponseArrivesUnchanged(t *testing.T) {
	const notes = 4
	longReply, release := randomBytes(150000), make(chan struct{})
	bodies := make(chan [sha256.Size]byte, notes)
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		if r.Method == http.MethodPost {
			bodies <- sha256.Sum256([]byte(body))
			return testpeer.Echo(conn, r, body)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(longReply))
		conn.Write(longReply[:100000])
		<-release
		conn.Write(longReply[100000:])
		return true
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	client.Get("long")
	response, err := http.ReadResponse(client.Reader, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %+v", err, response)
	}
	var sent [notes][]byte
	var written bytes.Buffer
	for i := range sent {
		sent[i] = randomBytes(120000)
		fmt.Fprintf(&written, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: note-%d\r\nX-Deadline: 60\r\nContent-Length: %d\r\n\r\n%s", i, len(sent[i]), sent[i])
	}
	if _, err := io.Copy(client, &written); err != nil {
		t.Fatal(err)
	}
	testpeer.Until(t, "the limit of reading ahead to be reached", func() bool { return node.front.totalReadAhead.Load() > maxConnReadAhead-2*readAheadChunk })
	close(release)
	if got, err := io.ReadAll(response.Body); err != nil || !bytes.Equal(got, longReply) {
		t.Fatalf("%d bytes of the long reply, %v", len(got), err)
	}
	client.Write(randomBytes(120000)) // fails if the connection has ended
	client.Want(t, http.StatusBadRequest, "the body is not whole, or came too slowly\n")
	client.WantClosed(t, "the connection behind dropped bytes")
	select {
	case body := <-bodies:
		t.Errorf("a note ran with a body that its client did not send: SHA-256 %x, of the first note %x", body, sha256.Sum256(sent[0]))
	default:
	}
}

// Guards against requests without a response: bytes beyond the read-ahead limit were dropped, and with them requests that had been
// read completely. The one that had not gets a failure.
func TestCompleteRequestsBeforeReadAheadLimitAreAnswered(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	server := testpeer.NewServer(t, testpeer.HoldRequest(hold, got))
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	client.Get("held")
	testpeer.Receive(t, got, "the attempt")
	const notes, complete = 8, 2 // within the limit
	body := string(randomBytes(30000))
	go func() {
		for i := range notes {
			client.Send("POST", "/note/k", fmt.Sprint("note-", i), body, "60")
		}
	}()
	testpeer.Until(t, "the limit of reading ahead to be reached", func() bool { return node.front.totalReadAhead.Load() > maxConnReadAhead-2*readAheadChunk })
	close(hold)
	client.Want(t, http.StatusOK, "for held")
	for i := range complete {
		client.Want(t, http.StatusOK, fmt.Sprint("for note-", i))
	}
	client.Want(t, http.StatusBadRequest, "the body is not whole, or came too slowly\n")
	client.WantClosed(t, "the connection behind dropped bytes")
	if kept := node.front.totalReadAhead.Load(); kept != 0 {
		t.Errorf("%d bytes are counted as read ahead once all requests are answered", kept)
	}
}

// A request that was read completely is served although all bytes behind it were dropped, and its client's disconnect is detected.
func TestDisconnectBehindDroppedInputIsDetected(t *testing.T) {
	release, received, closed := make(chan struct{}), make(chan string, 2), make(chan struct{})
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		id := r.Header.Get("X-Request-Id")
		received <- id
		if id == "first" {
			<-release
			return testpeer.Echo(conn, r, body)
		}
		io.Copy(io.Discard, conn)
		close(closed)
		return false
	})
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(t, node.Addr())
	client.Get("first")
	testpeer.Receive(t, received, "the first request")
	client.Get("second")
	testpeer.Until(t, "the second request to be read ahead", func() bool { return hasReadAhead(node) })
	kept := node.front.totalReadAhead.Load()
	node.front.totalReadAhead.Add(maxTotalReadAhead) // drops all further input
	io.WriteString(client, "dropped")
	close(release)
	client.Want(t, http.StatusOK, "for first")
	testpeer.Receive(t, received, "the second request")
	testpeer.Until(t, "the second request to be consumed", func() bool { return node.front.totalReadAhead.Load() <= maxTotalReadAhead })
	node.front.totalReadAhead.Add(-maxTotalReadAhead)
	client.Close()
	testpeer.Receive(t, closed, "the attempt to be cancelled")
	if kept == 0 {
		t.Error("the second request was not read ahead")
	}
}

// Guards against a cut of a sound upload: its client sends it as soon as the response before has come, while the node is still
// reading ahead behind that one.
func TestInputBehindFinishedResponseIsNotDropped(t *testing.T) {
	local, remote := testpeer.Pair(t)
	conn := newClientConn(local, startNode(t, testConfig(testpeer.FullSnapshot()), nil).clients, new(atomic.Int64))
	request := "GET /view/k HTTP/1.1\r\nHost: h\r\n\r\n"
	io.WriteString(remote, request)
	if _, err := io.ReadFull(conn, make([]byte, len(request))); err != nil {
		t.Fatal(err)
	}
	conn.consumeHead(false)
	upload := fmt.Appendf(nil, "POST /note/k HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 4*maxConnReadAhead, randomBytes(4*maxConnReadAhead))
	remote.Write(upload[:1])
	if _, err := conn.Read(make([]byte, 1)); err != nil { // as net/http does while the request is served
		t.Fatal(err)
	}
	conn.finishResponse()
	go remote.Write(upload[1:])
	testpeer.Until(t, "the upload to be read ahead", func() bool { return conn.totalReadAhead.Load() > 0 })
	time.Sleep(20 * time.Millisecond) // until the loop would have read it all
	got := make([]byte, len(upload)-1)
	if n, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, upload[1:]) {
		t.Errorf("%d of %d bytes of the upload, %v", n, len(got), err)
	}
}
