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
	return &client{Conn: nc, front: &Front{unread: testpeer.Limit}}, theirs
}

// An abort that the system holds, and that nobody has read yet, is one: it is waited for, but not without end.
func TestAnAbortThatIsNotReadYetIsSeen(t *testing.T) {
	for _, c := range []struct {
		name       string
		cross      func(*client, *call, net.Conn)
		want, done bool
	}{
		{"nothing", func(c *client, _ *call, _ net.Conn) { c.inRead.Store(true) }, false, false},
		{"bytes that nobody reads", func(c *client, _ *call, theirs net.Conn) {
			c.front.unread = unreadMost
			io.WriteString(theirs, "x")
		}, false, false},
		{"an abort that is read", func(c *client, r *call, theirs net.Conn) {
			io.WriteString(theirs, "x")
			go func() {
				reads{c}.Read(make([]byte, 1))
				r.left.Store(true) // as the record says
				reads{c}.Read(make([]byte, 1))
			}()
		}, true, false},
		{"the connection's end", func(_ *client, _ *call, theirs net.Conn) { theirs.Close() }, true, true},
		{"its end behind bytes", func(_ *client, _ *call, theirs net.Conn) { io.WriteString(theirs, "x"); theirs.Close() }, true, true},
	} {
		ours, theirs := clientPair(t)
		r := &call{}
		c.cross(ours, r, theirs)
		if c.done {
			testpeer.Until(t, "the system to know", func() bool { return downstream.PeekSocket(ours.Conn) == downstream.SocketClosed })
		}
		if got := ours.hasLeft(r); got != c.want {
			t.Errorf("%s: has left: %v", c.name, got)
		}
	}
}

// A request that stops in its middle, or a record that makes no sense, ends its connection, but no other request on it: that is
// answered first, also over bytes that come behind.
func TestTroubleOnAConnectionCostsTheOthersNothing(t *testing.T) {
	for name, trouble := range map[string]func(*webServer){
		"half a request": func(w *webServer) { w.Begin(variables("POST", "/note/k", "half"), true); w.out.Flush() },
		"no record":      func(w *webServer) { w.Write(bytes.Repeat([]byte{9}, 64)) },
	} {
		t.Run(name, func(t *testing.T) {
			hold, got := make(chan struct{}), make(chan struct{}, 1)
			s := testpeer.NewServer(t, testpeer.Held(hold, got))
			n := startRig(t, testpeer.Entry("s1", s.Address(), "in_service"))
			log := &toldOnce{told: make(chan struct{})}
			n.front.part, n.front.log = 50*time.Millisecond, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
			w := connect(t, n)
			id := w.ask(t, variables("GET", "/view/k", "held"), "")
			testpeer.Receive(t, got, "the attempt")
			trouble(w)
			testpeer.Receive(t, log.told, "the reading to end")
			io.WriteString(w, "and more")
			close(hold)
			if a := w.hear(t, 1)[id]; a.status() != "200 OK" || a.body() != "for held" {
				t.Errorf("got %q", a.text)
			}
		})
	}
}

// toldOnce closes told once anything is written.
type toldOnce struct {
	told chan struct{}
	once sync.Once
}

func (w *toldOnce) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.told) })
	return len(p), nil
}
