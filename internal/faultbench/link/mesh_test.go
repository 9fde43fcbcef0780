package link

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// peer is a member's own socket.
type peer struct {
	*net.UDPConn
	seen string // where others see it
}

func newPeer(t *testing.T, m *Mesh, name, zone string) *peer {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	seen, err := m.Join(name, zone, netip.MustParseAddrPort(c.LocalAddr().String()))
	if err != nil {
		t.Fatal(err)
	}
	return &peer{c, seen}
}

func (p *peer) send(t *testing.T, to, text string) {
	t.Helper()
	if _, err := p.WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(to)); err != nil {
		t.Fatal(err)
	}
}

// hears returns what comes, until nothing does for a while once there were so many.
func (p *peer) hears(want int) (texts []string, from string) {
	buf := make([]byte, MaxDatagram)
	for {
		wait := testpeer.Limit
		if len(texts) >= want {
			wait = short
		}
		p.SetReadDeadline(time.Now().Add(wait))
		n, addr, err := p.ReadFromUDPAddrPort(buf)
		if err != nil {
			return texts, from
		}
		texts, from = append(texts, string(buf[:n])), addr.String()
	}
}

func TestDatagramsComeFromTheSendersAddressAndFailAsTheShapeSays(t *testing.T) {
	var mu sync.Mutex
	shapes := map[string]Shape{}
	m := NewMesh(NewRandom(5), func(from, to string) Shape {
		mu.Lock()
		defer mu.Unlock()
		return shapes[from+to]
	})
	defer m.Close()
	shape := func(pair string, s Shape) {
		mu.Lock()
		defer mu.Unlock()
		shapes[pair] = s
	}
	x, y := newPeer(t, m, "x", "a"), newPeer(t, m, "y", "b")

	x.send(t, y.seen, "hello")
	if got, from := y.hears(1); len(got) != 1 || from != x.seen {
		t.Fatalf("%v from %s; want one from %s, where x is seen", got, from, x.seen)
	}
	y.send(t, x.seen, "back")
	if got, _ := x.hears(1); len(got) != 1 {
		t.Fatalf("x heard %v", got)
	}

	shape("ab", Shape{CutForward: true}) // one way
	x.send(t, y.seen, "lost")
	y.send(t, x.seen, "comes")
	if got, _ := x.hears(1); len(got) != 1 {
		t.Errorf("the way that is open brought %v", got)
	}
	if got, _ := y.hears(0); len(got) != 0 {
		t.Errorf("the way that is cut brought %v", got)
	}

	shape("ab", Shape{Duplicate: 1})
	x.send(t, y.seen, "twice")
	if got, _ := y.hears(2); len(got) != 2 {
		t.Errorf("%v; want it twice", got)
	}

	shape("ab", Shape{Delay: time.Millisecond, Reorder: 0.5, Loss: 0.3})
	for i := range 100 {
		x.send(t, y.seen, fmt.Sprint(i))
	}
	got, _ := y.hears(40)
	swapped := 0
	for i := range got[1:] {
		var p, q int
		fmt.Sscan(got[i], &p)
		fmt.Sscan(got[i+1], &q)
		if p > q {
			swapped++
		}
	}
	if len(got) < 40 || len(got) > 95 || swapped == 0 {
		t.Errorf("%d of 100 came, %d out of order, with 0.3 lost and half of the rest held back", len(got), swapped)
	}

	stranger, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	shape("ab", Shape{})
	stranger.WriteToUDPAddrPort([]byte("hi"), netip.MustParseAddrPort(y.seen))
	if got, _ := y.hears(0); len(got) != 0 {
		t.Errorf("a stranger was heard: %v", got)
	}
}
