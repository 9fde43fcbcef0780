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

// quietPeriod is how long a test waits for data that must not arrive. Too short a period can miss a fault but never
// reports a false one.
const quietPeriod = 150 * time.Millisecond

// newEchoRelay returns a relay whose far side echoes each line, and the count of these lines.
func newEchoRelay(t *testing.T) (*Relay, *atomic.Int32) {
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

func writeLine(t *testing.T, c net.Conn, word string) {
	t.Helper()
	if _, err := fmt.Fprintln(c, word); err != nil {
		t.Fatal(err)
	}
}

func expectLine(t *testing.T, c net.Conn, want string) {
	t.Helper()
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != want+"\n" {
		t.Fatalf("read %q, error %v; want %q", line, err, want)
	}
}

// exchangeLine writes a line and expects its echo.
func exchangeLine(t *testing.T, c net.Conn, word string) {
	t.Helper()
	writeLine(t, c, word)
	expectLine(t, c, word)
}

// expectNoData checks that no data arrives during the quiet period.
func expectNoData(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(quietPeriod))
	if n, err := c.Read(make([]byte, 1)); n > 0 || !errors.Is(err, timeoutError(err)) {
		t.Fatalf("read %d bytes, error %v through a cut; want a timeout", n, err)
	}
	c.SetDeadline(time.Now().Add(testpeer.Limit))
}

func timeoutError(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return err
	}
	return errors.New("not a timeout")
}

func setShape(t *testing.T, r *Relay, s Shape) {
	t.Helper()
	if err := r.Set(s); err != nil {
		t.Fatal(err)
	}
}

func TestCutHoldsDataUntilItEnds(t *testing.T) {
	r, heard := newEchoRelay(t)
	c := dial(t, r)
	exchangeLine(t, c, "before")
	setShape(t, r, Shape{CutForward: true, CutReturn: true})
	writeLine(t, c, "during")
	expectNoData(t, c)
	if n := heard.Load(); n != 1 {
		t.Errorf("the far side received %d lines by the end of the cut, want 1", n)
	}
	if k, err := net.DialTimeout("tcp4", r.Addr(), quietPeriod); err == nil {
		k.Close()
		t.Error("a new connection was established through a cut")
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection was refused: %v; want a timeout", err)
	}
	setShape(t, r, Shape{})
	expectLine(t, c, "during")
	k := dial(t, r)
	exchangeLine(t, k, "after")
}

func TestOneWayCutAffectsOneDirection(t *testing.T) {
	r, heard := newEchoRelay(t)
	c := dial(t, r)
	exchangeLine(t, c, "one")
	setShape(t, r, Shape{CutReturn: true})
	writeLine(t, c, "two")
	testpeer.Until(t, "that the far side receives data while the return direction is cut", func() bool { return heard.Load() == 2 })
	expectNoData(t, c)
	setShape(t, r, Shape{CutForward: true})
	expectLine(t, c, "two")
	writeLine(t, c, "three")
	expectNoData(t, c)
	if n := heard.Load(); n != 2 {
		t.Errorf("the far side received %d lines, want 2: the forward direction is cut", n)
	}
	setShape(t, r, Shape{})
	expectLine(t, c, "three")
}

func TestRefuseAndReset(t *testing.T) {
	r, _ := newEchoRelay(t)
	c := dial(t, r)
	exchangeLine(t, c, "one")
	setShape(t, r, Shape{Refuse: true})
	if _, err := net.DialTimeout("tcp4", r.Addr(), testpeer.Limit); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dialing a new connection: %v; want it refused", err)
	}
	exchangeLine(t, c, "two") // an established connection stays open
	setShape(t, r, Shape{Refuse: true, CutForward: true, CutReturn: true})
	setShape(t, r, Shape{})
	k := dial(t, r)
	exchangeLine(t, k, "three")
	setShape(t, r, Shape{Reset: true})
	if _, err := k.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reading from an established connection: %v; want it reset", err)
	}
	testpeer.Until(t, "that no connection is left", func() bool { return r.Connections() == 0 })
}

// Data held by a cut is lost when its connection is reset, so that it does not reach the far side afterwards.
func TestResetDiscardsDataInTransit(t *testing.T) {
	r, heard := newEchoRelay(t)
	c := dial(t, r)
	exchangeLine(t, c, "one")
	setShape(t, r, Shape{CutForward: true, CutReturn: true})
	writeLine(t, c, "two")
	r.mu.Lock()
	far := r.conns
	r.mu.Unlock()
	testpeer.Until(t, "that the second line is in transit", func() bool {
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
	setShape(t, r, Shape{})
	testpeer.Until(t, "that no connection is left", func() bool { return r.Connections() == 0 })
	if n := heard.Load(); n != 1 {
		t.Errorf("the far side received %d lines, want 1: the second was in transit when the connection was reset", n)
	}
}

func TestCloseIsDeliveredOnlyThroughOpenLink(t *testing.T) {
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
	setShape(t, r, Shape{CutForward: true})
	c.Close()
	testpeer.Until(t, "that the relay sees the close", func() bool { return !far.NearClosedAt().IsZero() })
	select {
	case <-far.CloseDelivered():
		t.Error("the close was delivered through a cut")
	case <-time.After(quietPeriod):
	}
	setShape(t, r, Shape{})
	select {
	case <-far.CloseDelivered():
	case <-time.After(testpeer.Limit):
		t.Error("the close was not delivered after the cut")
	}
}

func TestDelayAndBandwidth(t *testing.T) {
	for name, c := range map[string]struct {
		shape Shape
		least time.Duration
	}{
		"delay in each direction": {Shape{Delay: 40 * time.Millisecond}, 80 * time.Millisecond},
		"retransmission delay":    {Shape{Loss: 1}, 2 * RetransmitDelay},
		"low bandwidth":           {Shape{Bandwidth: 100}, 100 * time.Millisecond}, // 5 bytes and a newline in each direction
	} {
		r, _ := newEchoRelay(t)
		k := dial(t, r)
		setShape(t, r, c.shape)
		begin := time.Now()
		exchangeLine(t, k, "hello")
		if took := time.Since(begin); took < c.least {
			t.Errorf("%s: round trip took %v; want at least %v", name, took, c.least)
		}
	}
}

func TestDelayLineKeepsOrder(t *testing.T) {
	var l delayLine
	now, last := time.Now(), time.Time{}
	d := NewRandom(3)
	for range 1000 {
		now = now.Add(time.Millisecond)
		at := l.deliveryTime(now, 10, Shape{Delay: time.Millisecond, Jitter: 50 * time.Millisecond, Loss: 0.1, Bandwidth: 20000}, d)
		if at.Before(last) || at.Before(now.Add(time.Millisecond)) {
			t.Fatalf("data that entered at %v is delivered at %v, the previous data at %v", now, at, last)
		}
		last = at
	}
}
