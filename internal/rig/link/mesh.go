package link

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mesh carries datagrams between members in zones. A member has one address in the sight of each zone; what is sent
// there comes to the member's own socket, from the sender's address in the sight of the member's zone.
type Mesh struct {
	dice  *Dice
	shape func(from, to string) Shape // how the link from one zone to another is now, each way by itself

	mu      sync.Mutex
	members map[string]*member
	byOwn   map[netip.AddrPort]*member
	lanes   map[[2]string]*lane
	closed  bool
	work    sync.WaitGroup
	Stats   struct{ Sent, Lost, Doubled, Strange int }
}

type member struct {
	name, zone string
	own        netip.AddrPort          // where its process listens
	seen       map[string]*net.UDPConn // by the zone that sees it
}

// MaxDatagram is the most that a datagram holds.
const MaxDatagram = 2048

// NewMesh returns a Mesh without members.
func NewMesh(dice *Dice, shape func(from, to string) Shape) *Mesh {
	return &Mesh{dice: dice, shape: shape, members: map[string]*member{}, byOwn: map[netip.AddrPort]*member{}, lanes: map[[2]string]*lane{}}
}

// Join gives a member that listens at own an address in the sight of each zone.
func (m *Mesh) Join(name, zone string, own netip.AddrPort, zones []string) (map[string]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := &member{name: name, zone: zone, own: own, seen: map[string]*net.UDPConn{}}
	out := map[string]string{}
	for _, z := range zones {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, fmt.Errorf("link: %w", err)
		}
		k.seen[z] = c
		out[z] = c.LocalAddr().String()
		m.work.Add(1)
		go m.carry(k, z, c)
	}
	m.members[name] = k
	m.byOwn[own] = k
	return out, nil
}

// carry takes what members of a zone send to a member.
func (m *Mesh) carry(to *member, zone string, c *net.UDPConn) {
	defer m.work.Done()
	buf := make([]byte, MaxDatagram)
	for {
		n, addr, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			m.mu.Lock()
			closed := m.closed
			m.mu.Unlock()
			if closed {
				return
			}
			continue
		}
		m.pass(to, zone, addr, append([]byte(nil), buf[:n]...))
	}
}

func (m *Mesh) pass(to *member, zone string, addr netip.AddrPort, data []byte) {
	now := time.Now()
	s := m.shape(zone, to.zone)
	m.mu.Lock()
	defer m.mu.Unlock()
	from := m.byOwn[addr]
	if from == nil || from.zone != zone {
		m.Stats.Strange++
		return
	}
	m.Stats.Sent++
	if s.CutThere || m.dice.under(s.Loss) {
		m.Stats.Lost++
		return
	}
	pair := [2]string{zone, to.zone}
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
	out := from.seen[to.zone]
	for range times {
		time.AfterFunc(time.Until(at), func() { out.WriteToUDPAddrPort(data, to.own) })
	}
}

// Close ends the mesh.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for _, k := range m.members {
		for _, c := range k.seen {
			c.Close()
		}
	}
	m.mu.Unlock()
	m.work.Wait()
}
