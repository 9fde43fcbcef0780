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
	theirs, nc := testpeer.Pair(t)
	return &client{Conn: nc, front: &Front{unreadTimeout: testpeer.Limit}}, theirs
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
		{"abort", func(c *client, r *request, theirs net.Conn) {
			io.WriteString(theirs, "x")
			go func() {
				connReader{c}.Read(make([]byte, 1))
				r.disconnected.Store(true) // as for an ABORT_REQUEST record
				connReader{c}.Read(make([]byte, 1))
			}()
		}, true, false},
		{"connection closed", func(_ *client, _ *request, theirs net.Conn) { theirs.Close() }, true, true},
		{"connection closed after bytes", func(_ *client, _ *request, theirs net.Conn) { io.WriteString(theirs, "x"); theirs.Close() }, true, true},
	} {
		ours, theirs := clientPair(t)
		r := &request{}
		c.cross(ours, r, theirs)
		if c.done {
			testpeer.Until(t, "the kernel to report the end of the connection", func() bool { return downstream.StateOf(ours.Conn) == downstream.Ended })
		}
		if got := ours.isDisconnected(r); got != c.want {
			t.Errorf("%s: isDisconnected returned %v", c.name, got)
		}
	}
}

// An incomplete request that times out, or an invalid record, ends the connection only after the other requests on it
// are answered, even if more bytes arrive.
func TestOpenRequestsAreAnsweredAfterMalformedInput(t *testing.T) {
	for name, trouble := range map[string]func(*testWebServer){
		"incomplete request": func(w *testWebServer) { w.Begin(requestParams("POST", "/note/k", "half"), true); w.out.Flush() },
		"invalid record":     func(w *testWebServer) { w.Write(bytes.Repeat([]byte{9}, 64)) },
	} {
		t.Run(name, func(t *testing.T) {
			hold, got := make(chan struct{}), make(chan struct{}, 1)
			s := testpeer.NewServer(t, testpeer.Held(hold, got))
			n := startFront(t, testpeer.Entry("s1", s.Address(), "in_service"))
			log := &writeSignal{written: make(chan struct{})}
			n.front.progressTimeout, n.front.log = 50*time.Millisecond, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
			w := connect(t, n)
			id := w.sendRequest(t, requestParams("GET", "/view/k", "held"), "")
			testpeer.Receive(t, got, "the attempt")
			trouble(w)
			testpeer.Receive(t, log.written, "the reader to stop")
			io.WriteString(w, "and more")
			close(hold)
			if a := w.receive(t, 1)[id]; a.status() != "200 OK" || a.body() != "for held" {
				t.Errorf("got %q", a.text)
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
