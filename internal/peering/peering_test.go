package peering

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"damsontrestle/internal/testpeer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testKey = []byte("the key of two partners")

// discardLogger returns a logger that discards its output.
func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// options returns the options of a gateway, with a heartbeat timeout that does not expire on a slow host.
func options(partner, name string, incarnation uint64) Options {
	return Options{
		Self:              Peer{Partner: partner, Name: name, Incarnation: incarnation},
		Listen:            "127.0.0.1:0",
		Log:               discardLogger(),
		Key:               func(string) []byte { return testKey },
		HeartbeatInterval: 10 * time.Millisecond,
		HeartbeatTimeout:  testpeer.Limit,
	}
}

func open(t *testing.T, o Options) *Hub {
	t.Helper()
	h, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// waitForLink waits for a link from one hub to another.
func waitForLink(t *testing.T, from, to *Hub) *Link {
	t.Helper()
	var l *Link
	testpeer.Until(t, "a link", func() bool {
		l = from.Link(to.Self().ID())
		return l != nil
	})
	return l
}

// testContext returns a context that ends with the test or after testpeer.Limit.
func testContext(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(t.Context(), testpeer.Limit)
	t.Cleanup(cancel)
	return c
}

// Requests on one link arrive in order and get their own replies. A request of an unknown topic is rejected.
func TestRequestsArriveInOrderAndGetTheirReplies(t *testing.T) {
	var mu sync.Mutex
	var arrived []int
	serverOptions := options("b", "b1", 1)
	serverOptions.Topics = map[string]Handler{
		"double": func(from *Link, body []byte, reply func(any, error)) {
			var n int
			if err := Decode(body, &n); err != nil {
				reply(nil, err)
				return
			}
			mu.Lock()
			arrived = append(arrived, n)
			mu.Unlock()
			if n%7 == 0 {
				reply(nil, fmt.Errorf("no %d from %v", n, from.Peer.ID()))
				return
			}
			go reply(2*n, nil)
		},
		"note": func(_ *Link, body []byte, reply func(any, error)) {
			if reply != nil {
				t.Error("a notification can be replied to")
			}
			mu.Lock()
			arrived = append(arrived, -1)
			mu.Unlock()
		},
	}
	a := open(t, options("a", "a1", 1))
	b := open(t, serverOptions)
	a.Connect(b.Addr(), "b")
	link := waitForLink(t, a, b)
	var all []*PendingRequest
	for i := range 300 {
		request, err := link.Request("double", i)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, request)
	}
	if err := link.Notify("note", "x"); err != nil {
		t.Fatal(err)
	}
	for i, request := range all {
		var got int
		err := request.Wait(testContext(t), &got)
		var remote *RemoteError
		if i%7 == 0 {
			if !errors.As(err, &remote) || remote.Message != fmt.Sprintf("no %d from a/a1", i) {
				t.Errorf("request %d: error is %v, want the handler's error", i, err)
			}
		} else if err != nil || got != 2*i {
			t.Errorf("request %d: reply is %d, error %v; want %d", i, got, err, 2*i)
		}
	}
	testpeer.Until(t, "the notification", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(arrived) == 301
	})
	for i, n := range arrived[:300] {
		if n != i {
			t.Fatalf("request %d arrived at position %d", n, i)
		}
	}
	if err := link.Do(testContext(t), "what", 1, nil); err == nil || err.Error() != `topic "what" is not known here` {
		t.Errorf("request of an unknown topic: error is %v", err)
	}
	testpeer.Until(t, "a round trip", func() bool { return link.RTT() > 0 })
}

// openStalledLink opens a link that sends heartbeats and never reads.
func openStalledLink(t *testing.T, to *Hub, name string) {
	t.Helper()
	conn, err := net.Dial("tcp", to.Addr())
	if err != nil {
		t.Fatal(err)
	}
	s, err := handshake(conn, options("a", name, 1), true, "")
	if err != nil {
		t.Fatal(err)
	}
	var writer sync.WaitGroup
	writer.Add(1)
	stop := make(chan struct{})
	go func() {
		defer writer.Done()
		for n := int64(1); ; n++ {
			body, _ := Encode(heartbeat{SentAt: int64(n)})
			text, _ := Encode(frame{Kind: frameHeartbeat, Body: body})
			if s.writer.write(text) != nil {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		conn.Close()
		writer.Wait()
	})
}

// The link to a gateway that sends but no longer reads ends, whether the queue to it is full or empty. No other link is affected.
func TestStalledReaderEndsOnlyItsLink(t *testing.T) {
	for _, flood := range []bool{false, true} {
		ended := make(chan error, 1)
		o := options("b", "b1", 1)
		o.HeartbeatTimeout = 300 * time.Millisecond
		o.MaxQueueBytes = 1 << 20
		o.OnPeerChange = func(p Peer, up bool, why error) {
			if !up && p.Name == "slow" {
				ended <- why
			}
		}
		b := open(t, o)
		good := options("a", "good", 1)
		good.Topics = map[string]Handler{"echo": func(_ *Link, _ []byte, reply func(any, error)) { reply(1, nil) }}
		goodHub := open(t, good)
		goodHub.Connect(b.Addr(), "b")
		toGood := waitForLink(t, b, goodHub)
		openStalledLink(t, b, "slow")
		var toSlow *Link
		testpeer.Until(t, "the link", func() bool {
			toSlow = b.Link(GatewayID{"a", "slow"})
			return toSlow != nil
		})
		full := false
		for flood && !full {
			err := toSlow.Notify("x", make([]byte, 64<<10))
			full = errors.Is(err, ErrQueueFull)
			if err != nil && !full {
				break // the link has ended already
			}
		}
		why := testpeer.Receive(t, ended, "the end of the stalled link")
		if !errors.Is(why, ErrHeartbeatTimeout) && !errors.Is(why, ErrWriteTimeout) {
			t.Errorf("flood %v: the stalled link ended with %v, want a heartbeat or write timeout", flood, why)
		}
		var one int
		if err := toGood.Do(testContext(t), "echo", 0, &one); err != nil || toGood.Err() != nil {
			t.Errorf("request on the other link: error %v, link error %v", err, toGood.Err())
		}
		if flood && full && b.Stats().QueueFull == 0 {
			t.Error("Stats.QueueFull does not count a message that was rejected by a full queue")
		}
		b.Close()
		goodHub.Close()
	}
}

// A gateway that restarts is another incarnation, and its link replaces that of the earlier one. A link that breaks is redialed, and
// its end is reported before the new link.
func TestNewIncarnationReplacesOldOne(t *testing.T) {
	type change struct {
		incarnation uint64
		up          bool
	}
	changes := make(chan change, 20)
	o := options("b", "b1", 1)
	o.OnPeerChange = func(p Peer, up bool, _ error) { changes <- change{p.Incarnation, up} }
	b := open(t, o)
	first := open(t, options("a", "a1", 7))
	first.Connect(b.Addr(), "b")
	if got := testpeer.Receive(t, changes, "the first incarnation"); got != (change{7, true}) {
		t.Errorf("first change is %+v, want incarnation 7 up", got)
	}
	waitForLink(t, first, b).fail(errors.New("broken for the test"))
	for _, want := range []change{{7, false}, {7, true}} {
		if got := testpeer.Receive(t, changes, "the link to break and to be redialed"); got != want {
			t.Errorf("change is %+v, want %+v", got, want)
		}
	}
	second := open(t, options("a", "a1", 8))
	conn, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	first.Disconnect(b.Addr())
	second.Connect(b.Addr(), "b")
	seen := map[change]bool{}
	for !seen[change{8, true}] || !seen[change{7, false}] {
		seen[testpeer.Receive(t, changes, "the second incarnation")] = true
	}
	if l := b.Link(GatewayID{"a", "a1"}); l == nil || l.Peer.Incarnation != 8 {
		t.Errorf("the newest link is %+v, want one to incarnation 8", l)
	}
}

// A request without a reply fails when the link ends, and later messages are rejected.
func TestPendingRequestsFailWhenLinkEnds(t *testing.T) {
	o := options("b", "b1", 1)
	received := make(chan struct{}, 1)
	o.Topics = map[string]Handler{"never": func(*Link, []byte, func(any, error)) { received <- struct{}{} }}
	a := open(t, options("a", "a1", 1))
	b := open(t, o)
	a.Connect(b.Addr(), "b")
	link := waitForLink(t, a, b)
	request, err := link.Request("never", 1)
	if err != nil {
		t.Fatal(err)
	}
	testpeer.Receive(t, received, "the request")
	b.Close()
	if err := request.Wait(testContext(t), nil); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("pending request after the link's end: error is %v, want the link's error", err)
	}
	if err := link.Notify("x", 1); err == nil {
		t.Error("Notify queued a message on a link that has ended")
	}
}

// FuzzFrames checks that arbitrary frames are either handled or rejected with an error.
func FuzzFrames(f *testing.F) {
	body, _ := Encode(1)
	good, _ := Encode(frame{Kind: frameRequest, Number: 1, Topic: "x", Body: body})
	f.Add(good)
	f.Add([]byte{0x85, 1, 0, 0x60, 0xf6})
	f.Add([]byte{0x9f})
	h := &Hub{options: Options{MaxQueueBytes: 1 << 20}, start: time.Now()}
	f.Fuzz(func(t *testing.T, b []byte) {
		var fr frame
		if decoding.Unmarshal(b, &fr) != nil {
			return
		}
		l := &Link{hub: h, queued: make(chan struct{}, 1), pending: map[uint64]func(frame){}, done: make(chan struct{})}
		l.handle(fr)
	})
}
