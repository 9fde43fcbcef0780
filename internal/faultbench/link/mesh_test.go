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

// peer is a member's socket.
type peer struct {
	*net.UDPConn
	publicAddr string
}

func newPeer(t *testing.T, m *Mesh, name, zone string) *peer {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	publicAddr, err := m.Join(name, zone, netip.MustParseAddrPort(c.LocalAddr().String()))
	if err != nil {
		t.Fatal(err)
	}
	return &peer{c, publicAddr}
}

func (p *peer) send(t *testing.T, to, text string) {
	t.Helper()
	if _, err := p.WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(to)); err != nil {
		t.Fatal(err)
	}
}

// receive returns the datagrams received and the source of the last one. Once want have arrived, it stops after a quiet
// period.
func (p *peer) receive(want int) (texts []string, from string) {
	buf := make([]byte, MaxDatagram)
	for {
		wait := testpeer.Limit
		if len(texts) >= want {
			wait = quietPeriod
		}
		p.SetReadDeadline(time.Now().Add(wait))
		n, addr, err := p.ReadFromUDPAddrPort(buf)
		if err != nil {
			return texts, from
		}
		texts, from = append(texts, string(buf[:n])), addr.String()
	}
}

func TestMeshForwardsFromPublicAddressAndAppliesShape(t *testing.T) {
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

	x.send(t, y.publicAddr, "hello")
	if got, from := y.receive(1); len(got) != 1 || from != x.publicAddr {
		t.Fatalf("received %v from %s; want one datagram from the public address of x, %s", got, from, x.publicAddr)
	}
	y.send(t, x.publicAddr, "back")
	if got, _ := x.receive(1); len(got) != 1 {
		t.Fatalf("x received %v, want one datagram", got)
	}

	shape("ab", Shape{CutForward: true}) // one direction
	x.send(t, y.publicAddr, "lost")
	y.send(t, x.publicAddr, "comes")
	if got, _ := x.receive(1); len(got) != 1 {
		t.Errorf("the open direction delivered %v, want one datagram", got)
	}
	if got, _ := y.receive(0); len(got) != 0 {
		t.Errorf("the cut direction delivered %v", got)
	}

	shape("ab", Shape{Duplicate: 1})
	x.send(t, y.publicAddr, "twice")
	if got, _ := y.receive(2); len(got) != 2 {
		t.Errorf("received %v; want the datagram twice", got)
	}

	shape("ab", Shape{Delay: time.Millisecond, Reorder: 0.5, Loss: 0.3})
	for i := range 100 {
		x.send(t, y.publicAddr, fmt.Sprint(i))
	}
	got, _ := y.receive(40)
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
		t.Errorf("%d of 100 received, %d out of order, with a loss of 0.3 and half of the rest reordered", len(got), swapped)
	}

	stranger, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	shape("ab", Shape{})
	stranger.WriteToUDPAddrPort([]byte("hi"), netip.MustParseAddrPort(y.publicAddr))
	if got, _ := y.receive(0); len(got) != 0 {
		t.Errorf("a datagram from an unknown sender was delivered: %v", got)
	}
}
