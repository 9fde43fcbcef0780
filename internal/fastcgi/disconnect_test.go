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

// clientPair is a web server's connection and what the front end has of it; nobody reads it.
func clientPair(t *testing.T) (ours *client, theirs net.Conn) {
	t.Helper()
	theirs, nc := testpeer.Pair(t)
	return &client{Conn: nc, front: &Front{unreadTimeout: testpeer.Limit}}, theirs
}

// An abort that the system holds, and that nobody has read yet, is one: it is waited for, but not without end.
func TestDisconnectDetectionWaitsForUnreadAbort(t *testing.T) {
	for _, c := range []struct {
		name       string
		cross      func(*client, *request, net.Conn)
		want, done bool
	}{
		{"nothing", func(c *client, _ *request, _ net.Conn) { c.blockedInRead.Store(true) }, false, false},
		{"bytes that nobody reads", func(c *client, _ *request, theirs net.Conn) {
			c.front.unreadTimeout = unreadTimeout
			io.WriteString(theirs, "x")
		}, false, false},
		{"an abort that is read", func(c *client, r *request, theirs net.Conn) {
			io.WriteString(theirs, "x")
			go func() {
				connReader{c}.Read(make([]byte, 1))
				r.disconnected.Store(true) // as the record says
				connReader{c}.Read(make([]byte, 1))
			}()
		}, true, false},
		{"the connection's end", func(_ *client, _ *request, theirs net.Conn) { theirs.Close() }, true, true},
		{"its end behind bytes", func(_ *client, _ *request, theirs net.Conn) { io.WriteString(theirs, "x"); theirs.Close() }, true, true},
	} {
		ours, theirs := clientPair(t)
		r := &request{}
		c.cross(ours, r, theirs)
		if c.done {
			testpeer.Until(t, "the system to know", func() bool { return downstream.StateOf(ours.Conn) == downstream.Ended })
		}
		if got := ours.isDisconnected(r); got != c.want {
			t.Errorf("%s: has left: %v", c.name, got)
		}
	}
}

// A request that stops in its middle, or a record that makes no sense, ends its connection, but no other request on it: that is
// answered first, also over bytes that come behind.
func TestOpenRequestsAreAnsweredAfterMalformedInput(t *testing.T) {
	for name, trouble := range map[string]func(*testWebServer){
		"half a request": func(w *testWebServer) { w.Begin(requestParams("POST", "/note/k", "half"), true); w.out.Flush() },
		"no record":      func(w *testWebServer) { w.Write(bytes.Repeat([]byte{9}, 64)) },
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
			testpeer.Receive(t, log.written, "the reading to end")
			io.WriteString(w, "and more")
			close(hold)
			if a := w.receive(t, 1)[id]; a.status() != "200 OK" || a.body() != "for held" {
				t.Errorf("got %q", a.text)
			}
		})
	}
}

// toldOnce closes told once anything is written.
type writeSignal struct {
	written chan struct{}
	once    sync.Once
}

func (w *writeSignal) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.written) })
	return len(p), nil
}
