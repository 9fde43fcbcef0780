package fastcgi

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"damsontrestle/internal/downstream"
	"damsontrestle/internal/testpeer"
)

// clientPair returns the two ends of a connection, which no goroutine reads.
func clientPair(t *testing.T) (ours *client, theirs net.Conn) {
	t.Helper()
	theirs, conn := testpeer.Pair(t)
	return &client{Conn: conn, front: &Front{unreadTimeout: testpeer.Limit}}, theirs
}

// isDisconnected waits for received bytes to be read, as they may hold an abort, but only up to its timeout.
func TestDisconnectDetectionWaitsForUnreadAbort(t *testing.T) {
	for _, c := range []struct {
		name       string
		cross      func(*client, *request, net.Conn)
		want, done bool
	}{
		{"no bytes", func(c *client, _ *request, _ net.Conn) { c.blockedInRead.Store(true) }, false, false},
		{"unread bytes", func(c *client, _ *request, theirs net.Conn) {
			c.front.unreadTimeout = unreadTimeout
			io.WriteString(theirs, "x")
		}, false, false},
		{"abort", func(c *client, req *request, theirs net.Conn) {
			io.WriteString(theirs, "x")
			go func() {
				connReader{c}.Read(make([]byte, 1))
				req.disconnected.Store(true) // as for an ABORT_REQUEST record
				connReader{c}.Read(make([]byte, 1))
			}()
		}, true, false},
		{"connection closed", func(_ *client, _ *request, theirs net.Conn) { theirs.Close() }, true, true},
		{"connection closed after bytes", func(_ *client, _ *request, theirs net.Conn) { io.WriteString(theirs, "x"); theirs.Close() }, true, true},
	} {
		ours, theirs := clientPair(t)
		req := &request{}
		c.cross(ours, req, theirs)
		if c.done {
			testpeer.Until(t, "the kernel to report the end of the connection", func() bool { return downstream.PeekSocket(ours.Conn) == downstream.SocketClosed })
		}
		if got := ours.isDisconnected(req); got != c.want {
			t.Errorf("%s: isDisconnected returned %v", c.name, got)
		}
	}
}

// An incomplete request that times out, or an invalid record, ends the connection only after the other requests on it
// are answered, even if more bytes arrive.
func TestOpenRequestsAreAnsweredAfterMalformedInput(t *testing.T) {
	for name, sendMalformed := range map[string]func(*testWebServer){
		"incomplete request": func(webServer *testWebServer) {
			webServer.Begin(requestParams("POST", "/note/k", "half"), true)
			webServer.out.Flush()
		},
		"invalid record": func(webServer *testWebServer) { webServer.Write(bytes.Repeat([]byte{9}, 64)) },
	} {
		t.Run(name, func(t *testing.T) {
			hold, got := make(chan struct{}), make(chan struct{}, 1)
			server := testpeer.NewServer(t, testpeer.HoldRequest(hold, got))
			env := startFront(t, testpeer.Entry("s1", server.Address(), "in_service"))
			log := &writeSignal{written: make(chan struct{})}
			env.front.progressTimeout, env.front.log = 50*time.Millisecond, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
			webServer := connect(t, env)
			id := webServer.sendRequest(t, requestParams("GET", "/view/k", "held"), "")
			testpeer.Receive(t, got, "the attempt")
			sendMalformed(webServer)
			testpeer.Receive(t, log.written, "the reader to stop")
			io.WriteString(webServer, "and more")
			close(hold)
			if resp := webServer.receive(t, 1)[id]; resp.status() != "200 OK" || resp.body() != "for held" {
				t.Errorf("got %q", resp.text)
			}
		})
	}
}

// writeSignal closes written at the first write.
type writeSignal struct {
	written chan struct{}
	once    sync.Once
}

func (w *writeSignal) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.written) })
	return len(p), nil
}
