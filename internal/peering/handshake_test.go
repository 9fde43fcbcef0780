package peering

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"damsontrestle/internal/testpeer"
)

// A handshake fails without the right key, a configured partner and a name that differs from the hub's own.
func TestLinkNeedsKeyAndKnownPartner(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Options)
		want   error
	}{
		{"other key", func(o *Options) { o.Key = func(string) []byte { return []byte("another key") } }, ErrKeyMismatch},
		{"unknown partner", func(o *Options) { o.Self.Partner = "x" }, ErrKeyMismatch},
		{"same name", func(o *Options) { o.Self = Peer{Partner: "b", Name: "b1", Incarnation: 9} }, ErrPeerRejected},
		{"no name", func(o *Options) { o.Self.Name = "" }, ErrKeyMismatch},
	} {
		ob := options("b", "b1", 1)
		ob.Key = func(partner string) []byte {
			if partner == "a" || partner == "b" {
				return testKey
			}
			return nil
		}
		b := open(t, ob)
		oa := options("a", "a1", 1)
		c.change(&oa)
		conn, err := net.Dial("tcp", b.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := handshake(conn, oa, true, ""); !errors.Is(err, c.want) {
			t.Errorf("%s: handshake error is %v, want %v", c.name, err, c.want)
		}
		conn.Close()
		testpeer.Until(t, "the connection to be rejected", func() bool { return b.Stats().Rejected == 1 })
		if len(b.Links("")) != 0 {
			t.Errorf("%s: the hub has a link", c.name)
		}
	}
	b := open(t, options("b", "b1", 1))
	conn, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := handshake(conn, options("a", "a1", 1), true, "c"); !errors.Is(err, ErrPeerRejected) {
		t.Errorf("handshake with a gateway of another partner than the dialed one: error is %v, want %v", err, ErrPeerRejected)
	}
}

// tamperingConn flips one bit of the next write after tamperNext is set.
type tamperingConn struct {
	net.Conn
	tamperNext atomic.Bool
}

func (c *tamperingConn) Write(p []byte) (int, error) {
	if c.tamperNext.CompareAndSwap(true, false) {
		p = append([]byte(nil), p...)
		p[len(p)-1] ^= 1
	}
	return c.Conn.Write(p)
}

// A frame that was changed in transit or replayed ends the link and is not handled.
func TestTamperedOrReplayedFrameEndsLink(t *testing.T) {
	for _, tampering := range []string{"changed", "replayed"} {
		handled := make(chan int, 10)
		ob := options("b", "b1", 1)
		ob.Topics = map[string]Handler{"n": func(_ *Link, body []byte, _ func(any, error)) {
			var n int
			Decode(body, &n)
			handled <- n
		}}
		ended := make(chan error, 1)
		ob.OnPeerChange = func(_ Peer, up bool, why error) {
			if !up {
				ended <- why
			}
		}
		b := open(t, ob)
		conn, err := net.Dial("tcp", b.Addr())
		if err != nil {
			t.Fatal(err)
		}
		tampered := &tamperingConn{Conn: conn}
		session, err := handshake(tampered, options("a", "a1", 1), true, "b")
		if err != nil {
			t.Fatal(err)
		}
		encodeNotification := func(n int) []byte {
			body, _ := Encode(n)
			text, _ := Encode(frame{Kind: frameNotify, Topic: "n", Body: body})
			return text
		}
		if err := session.writer.write(encodeNotification(1)); err != nil {
			t.Fatal(err)
		}
		if got := testpeer.Receive(t, handled, "the first notification"); got != 1 {
			t.Errorf("the first notification is %d, want 1", got)
		}
		if tampering == "changed" {
			tampered.tamperNext.Store(true)
			session.writer.write(encodeNotification(2))
		} else {
			conn.Write(session.writer.buf) // the bytes of the first frame again
		}
		if why := testpeer.Receive(t, ended, "the link's end"); !errors.Is(why, ErrMalformedFrame) {
			t.Errorf("%s frame: the link ended with %v, want a malformed frame", tampering, why)
		}
		if len(handled) > 0 {
			t.Errorf("%s frame: notification %d was handled", tampering, <-handled)
		}
		conn.Close()
	}
}
