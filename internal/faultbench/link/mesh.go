package link

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mesh carries datagrams between members in zones. All others see a member at one address of the mesh's; what is sent
// there comes to the member's own socket, from the address that the sender is seen at.
type Mesh struct {
	dice  *Dice
	shape func(from, to string) Shape // how the link from one zone to another is now, each way by itself

	mu      sync.Mutex
	members map[string]*member
	byOwn   map[netip.AddrPort]*member
	lanes   map[[2]string]*lane
	closed  bool
	work    sync.WaitGroup
	Stats   struct{ Sent, Bytes, Lost, Doubled, Strange int }
}

type member struct {
	name, zone string
	own        netip.AddrPort // where its process listens
	seen       *net.UDPConn   // where all others see it
	bytes      int            // that it sent
}

// MaxDatagram is the most that a datagram holds.
const MaxDatagram = 2048

// NewMesh returns a Mesh without members.
func NewMesh(dice *Dice, shape func(from, to string) Shape) *Mesh {
	return &Mesh{dice: dice, shape: shape, members: map[string]*member{}, byOwn: map[netip.AddrPort]*member{}, lanes: map[[2]string]*lane{}}
}

// Join gives a member that listens at own the address at which all others see it.
func (m *Mesh) Join(name, zone string, own netip.AddrPort) (string, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", fmt.Errorf("link: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.members[name]; old != nil { // it joins anew: nobody comes by the address of before
		old.seen.Close()
	}
	k := &member{name: name, zone: zone, own: own, seen: c}
	m.members[name] = k
	m.byOwn[own] = k
	m.work.Add(1)
	go m.carry(k)
	return c.LocalAddr().String(), nil
}

// carry takes what others send to a member.
func (m *Mesh) carry(to *member) {
	defer m.work.Done()
	buf := make([]byte, MaxDatagram)
	for {
		n, addr, err := to.seen.ReadFromUDPAddrPort(buf)
		if err != nil {
			m.mu.Lock()
			closed := m.closed
			m.mu.Unlock()
			if closed || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		m.pass(to, netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), append([]byte(nil), buf[:n]...))
	}
}

// Traffic is what members have sent: datagrams and bytes of all, and the bytes of the one that sent most.
func (m *Mesh) Traffic() (datagrams, bytes, most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.members {
		most = max(most, k.bytes)
	}
	return m.Stats.Sent, m.Stats.Bytes, most
}

// Forget has Traffic begin anew.
func (m *Mesh) Forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Stats.Sent, m.Stats.Bytes = 0, 0
	for _, k := range m.members {
		k.bytes = 0
	}
}

func (m *Mesh) pass(to *member, addr netip.AddrPort, data []byte) {
	now := time.Now()
	m.mu.Lock()
	from := m.byOwn[addr]
	if from == nil {
		m.Stats.Strange++
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	s := m.shape(from.zone, to.zone)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Stats.Sent++
	m.Stats.Bytes += len(data)
	from.bytes += len(data)
	if s.CutThere || m.dice.under(s.Loss) {
		m.Stats.Lost++
		return
	}
	pair := [2]string{from.zone, to.zone}
	if m.lanes[pair] == nil {
		m.lanes[pair] = &lane{}
	}
	at := now.Add(s.Delay + m.dice.upTo(s.Jitter))
	if s.Bandwidth > 0 {
		l := m.lanes[pair]
		if l.free.Before(now) {
			l.free = now
		}
		if l.free.Sub(now) > time.Second { // a queue of a second is full
			m.Stats.Lost++
			return
		}
		l.free = l.free.Add(time.Duration(float64(len(data)) / float64(s.Bandwidth) * float64(time.Second)))
		at = at.Add(l.free.Sub(now))
	}
	if m.dice.under(s.Reorder) {
		at = at.Add(m.dice.upTo(s.Delay + s.Jitter + 10*time.Millisecond))
	}
	times := 1
	if m.dice.under(s.Double) {
		times, m.Stats.Doubled = 2, m.Stats.Doubled+1
	}
	for range times {
		time.AfterFunc(time.Until(at), func() { from.seen.WriteToUDPAddrPort(data, to.own) })
	}
}

// Close ends the mesh.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for _, k := range m.members {
		k.seen.Close()
	}
	m.mu.Unlock()
	m.work.Wait()
}
