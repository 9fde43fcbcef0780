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
	dice  *Random
	shape func(from, to string) Shape // how the link from one zone to another is now, each way by itself

	mu           sync.Mutex
	members      map[string]*member
	byListenAddr map[netip.AddrPort]*member
	lanes        map[[2]string]*delayLine
	closed       bool
	work         sync.WaitGroup
	Stats        struct{ Sent, Bytes, Lost, Doubled, Strange int }
}

type member struct {
	name, zone string
	listenAddr netip.AddrPort // where its process listens
	publicConn *net.UDPConn   // where all others see it
	bytesSent  int            // that it sent
}

// MaxDatagram is the most that a datagram holds.
const MaxDatagram = 2048

// NewMesh returns a Mesh without members.
func NewMesh(dice *Random, shape func(from, to string) Shape) *Mesh {
	return &Mesh{dice: dice, shape: shape, members: map[string]*member{}, byListenAddr: map[netip.AddrPort]*member{}, lanes: map[[2]string]*delayLine{}}
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
		old.publicConn.Close()
	}
	k := &member{name: name, zone: zone, listenAddr: own, publicConn: c}
	m.members[name] = k
	m.byListenAddr[own] = k
	m.work.Add(1)
	go m.receive(k)
	return c.LocalAddr().String(), nil
}

// carry takes what others send to a member.
func (m *Mesh) receive(to *member) {
	defer m.work.Done()
	buf := make([]byte, MaxDatagram)
	for {
		n, addr, err := to.publicConn.ReadFromUDPAddrPort(buf)
		if err != nil {
			m.mu.Lock()
			closed := m.closed
			m.mu.Unlock()
			if closed || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		m.forward(to, netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), append([]byte(nil), buf[:n]...))
	}
}

// Traffic is what members have sent: datagrams and bytes of all, and the bytes of the one that sent most.
func (m *Mesh) Traffic() (datagrams, bytes, most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.members {
		most = max(most, k.bytesSent)
	}
	return m.Stats.Sent, m.Stats.Bytes, most
}

// Forget has Traffic begin anew.
func (m *Mesh) ResetTraffic() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Stats.Sent, m.Stats.Bytes = 0, 0
	for _, k := range m.members {
		k.bytesSent = 0
	}
}

func (m *Mesh) forward(to *member, addr netip.AddrPort, data []byte) {
	now := time.Now()
	m.mu.Lock()
	from := m.byListenAddr[addr]
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
	from.bytesSent += len(data)
	if s.CutForward || m.dice.occurs(s.Loss) {
		m.Stats.Lost++
		return
	}
	pair := [2]string{from.zone, to.zone}
	if m.lanes[pair] == nil {
		m.lanes[pair] = &delayLine{}
	}
	at := now.Add(s.Delay + m.dice.durationUpTo(s.Jitter))
	if s.Bandwidth > 0 {
		l := m.lanes[pair]
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		if l.freeAt.Sub(now) > time.Second { // a queue of a second is full
			m.Stats.Lost++
			return
		}
		l.freeAt = l.freeAt.Add(time.Duration(float64(len(data)) / float64(s.Bandwidth) * float64(time.Second)))
		at = at.Add(l.freeAt.Sub(now))
	}
	if m.dice.occurs(s.Reorder) {
		at = at.Add(m.dice.durationUpTo(s.Delay + s.Jitter + 10*time.Millisecond))
	}
	times := 1
	if m.dice.occurs(s.Duplicate) {
		times, m.Stats.Doubled = 2, m.Stats.Doubled+1
	}
	for range times {
		time.AfterFunc(time.Until(at), func() { from.publicConn.WriteToUDPAddrPort(data, to.listenAddr) })
	}
}

// Close ends the mesh.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for _, k := range m.members {
		k.publicConn.Close()
	}
	m.mu.Unlock()
	m.work.Wait()
}
