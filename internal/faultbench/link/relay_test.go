package link

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// short is how long a test looks for what must not come: it can only miss a fault by it, never find one wrongly.
const short = 150 * time.Millisecond

// echo is a relay whose far side says each line back, and counts them.
func echo(t *testing.T) (*Relay, *atomic.Int32) {
	t.Helper()
	heard := &atomic.Int32{}
	r, err := Listen("127.0.0.1:0", NewRandom(1), func(c *Conn) {
		in := bufio.NewReader(c)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			heard.Add(1)
			io.WriteString(c, line)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, heard
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp4", r.Addr(), testpeer.Limit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testpeer.Limit))
	return c
}

func say(t *testing.T, c net.Conn, word string) {
	t.Helper()
	if _, err := fmt.Fprintln(c, word); err != nil {
		t.Fatal(err)
	}
}

func hear(t *testing.T, c net.Conn, want string) {
	t.Helper()
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != want+"\n" {
		t.Fatalf("heard %q, %v; want %q", line, err, want)
	}
}

// talk says a word and hears it back.
func talk(t *testing.T, c net.Conn, word string) {
	t.Helper()
	say(t, c, word)
	hear(t, c, word)
}

// silent says that nothing comes for a while.
func silent(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(short))
	if n, err := c.Read(make([]byte, 1)); n > 0 || !errors.Is(err, errTimeout(err)) {
		t.Fatalf("%d bytes and %v came through a cut", n, err)
	}
	c.SetDeadline(time.Now().Add(testpeer.Limit))
}

func errTimeout(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return err
	}
	return errors.New("no time-out")
}

func set(t *testing.T, r *Relay, s Shape) {
	t.Helper()
	if err := r.Set(s); err != nil {
		t.Fatal(err)
	}
}

func TestACutSaysNothingAndBringsItAllOnceItIsOver(t *testing.T) {
	r, heard := echo(t)
	c := dial(t, r)
	talk(t, c, "before")
	set(t, r, Shape{CutForward: true, CutReturn: true})
	say(t, c, "during")
	silent(t, c)
	if n := heard.Load(); n != 1 {
		t.Errorf("the far side heard %d lines during the cut", n)
	}
	if k, err := net.DialTimeout("tcp4", r.Addr(), short); err == nil {
		k.Close()
		t.Error("a new connection came up through a cut")
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection was refused: %v; want silence", err)
	}
	set(t, r, Shape{})
	hear(t, c, "during")
	k := dial(t, r)
	talk(t, k, "after")
}

func TestACutOfOneWayStopsThatWayOnly(t *testing.T) {
	r, heard := echo(t)
	c := dial(t, r)
	talk(t, c, "one")
	set(t, r, Shape{CutReturn: true})
	say(t, c, "two")
	testpeer.Until(t, "that the far side hears through a cut of the way back", func() bool { return heard.Load() == 2 })
	silent(t, c)
	set(t, r, Shape{CutForward: true})
	hear(t, c, "two")
	say(t, c, "three")
	silent(t, c)
	if n := heard.Load(); n != 2 {
		t.Errorf("the far side heard %d lines, the third through a cut of the way there", n)
	}
	set(t, r, Shape{})
	hear(t, c, "three")
}

func TestRefusedAndReset(t *testing.T) {
	r, _ := echo(t)
	c := dial(t, r)
	talk(t, c, "one")
	set(t, r, Shape{Refuse: true})
	if _, err := net.DialTimeout("tcp4", r.Addr(), testpeer.Limit); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v; want it refused", err)
	}
	talk(t, c, "two") // one that is up stays
	set(t, r, Shape{Refuse: true, CutForward: true, CutReturn: true})
	set(t, r, Shape{})
	k := dial(t, r)
	talk(t, k, "three")
	set(t, r, Shape{Reset: true})
	if _, err := k.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("an old connection: %v; want it reset", err)
	}
	testpeer.Until(t, "that no connection is left", func() bool { return r.Connections() == 0 })
}

// What lay in a cut when its connections were broken never comes: whoever is there by then has no part in it.
func TestWhatWasUnderWayOnABrokenConnectionIsLost(t *testing.T) {
	r, heard := echo(t)
	c := dial(t, r)
	talk(t, c, "one")
	set(t, r, Shape{CutForward: true, CutReturn: true})
	say(t, c, "two")
	r.mu.Lock()
	far := r.conns
	r.mu.Unlock()
	testpeer.Until(t, "that the second line lies in the link", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for k := range far {
			k.mu.Lock()
			held := k.buffered
			k.mu.Unlock()
			if held > 0 {
				return true
			}
		}
		return false
	})
	r.ResetAll()
	set(t, r, Shape{})
	testpeer.Until(t, "that no connection is left", func() bool { return r.Connections() == 0 })
	if n := heard.Load(); n != 1 {
		t.Errorf("the far side heard %d lines; the second was lost with its connection", n)
	}
}

func TestTheFarSideLearnsOfACloseOnlyThroughAnOpenLink(t *testing.T) {
	conns := make(chan *Conn, 1)
	r, err := Listen("127.0.0.1:0", NewRandom(1), func(c *Conn) {
		conns <- c
		<-c.CloseDelivered()
	})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c := dial(t, r)
	far := <-conns
	set(t, r, Shape{CutForward: true})
	c.Close()
	testpeer.Until(t, "that the relay sees the close", func() bool { return !far.NearClosedAt().IsZero() })
	select {
	case <-far.CloseDelivered():
		t.Error("the far side learned of a close through a cut")
	case <-time.After(short):
	}
	set(t, r, Shape{})
	select {
	case <-far.CloseDelivered():
	case <-time.After(testpeer.Limit):
		t.Error("the far side never learned of the close")
	}
}

func TestDelayAndBandwidth(t *testing.T) {
	for name, c := range map[string]struct {
		shape Shape
		least time.Duration
	}{
		"a delay each way":        {Shape{Delay: 40 * time.Millisecond}, 80 * time.Millisecond},
		"a loss is a resend late": {Shape{Loss: 1}, 2 * RetransmitDelay},
		"a narrow link":           {Shape{Bandwidth: 100}, 100 * time.Millisecond}, // 5 bytes and a line's end each way
	} {
		r, _ := echo(t)
		k := dial(t, r)
		set(t, r, c.shape)
		begin := time.Now()
		talk(t, k, "hello")
		if took := time.Since(begin); took < c.least {
			t.Errorf("%s: there and back took %v; want %v at least", name, took, c.least)
		}
	}
}

func TestALaneKeepsTheOrder(t *testing.T) {
	var l delayLine
	now, last := time.Now(), time.Time{}
	d := NewRandom(3)
	for range 1000 {
		now = now.Add(time.Millisecond)
		at := l.deliveryTime(now, 10, Shape{Delay: time.Millisecond, Jitter: 50 * time.Millisecond, Loss: 0.1, Bandwidth: 20000}, d)
		if at.Before(last) || at.Before(now.Add(time.Millisecond)) {
			t.Fatalf("a piece that goes in at %v comes at %v, the one before at %v", now, at, last)
		}
		last = at
	}
}
