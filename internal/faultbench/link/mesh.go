package link

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mesh forwards datagrams between members in zones. Each member has one public address, which the mesh listens at.
// Datagrams sent there are delivered to the member's own socket, with the sender's public address as their source.
type Mesh struct {
	random *Random
	shape  func(from, to string) Shape // current shape of the link from one zone to another, per direction

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
	listenAddr netip.AddrPort // address of its process
	publicConn *net.UDPConn   // socket at its public address
	bytesSent  int
}

// MaxDatagram is the maximum size of a datagram in bytes.
const MaxDatagram = 2048

// NewMesh returns a Mesh without members.
func NewMesh(random *Random, shape func(from, to string) Shape) *Mesh {
	return &Mesh{random: random, shape: shape, members: map[string]*member{}, byListenAddr: map[netip.AddrPort]*member{}, lanes: map[[2]string]*delayLine{}}
}

// Join adds a member that listens at listenAddr and returns its public address. A member that joins again replaces the old one.
func (m *Mesh) Join(name, zone string, listenAddr netip.AddrPort) (string, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", fmt.Errorf("link: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.members[name]; old != nil { // it joins again: stop serving the previous public address
		old.publicConn.Close()
	}
	joined := &member{name: name, zone: zone, listenAddr: listenAddr, publicConn: c}
	m.members[name] = joined
	m.byListenAddr[listenAddr] = joined
	m.work.Add(1)
	go m.receive(joined)
	return c.LocalAddr().String(), nil
}

// receive forwards the datagrams that arrive at a member's public address.
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

// Traffic returns the datagrams and bytes sent by all members, and the bytes sent by the member that sent most.
func (m *Mesh) Traffic() (datagrams, bytes, most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.members {
		most = max(most, k.bytesSent)
	}
	return m.Stats.Sent, m.Stats.Bytes, most
}

// ResetTraffic resets the counters that Traffic returns.
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
	if s.CutForward || m.random.Occurs(s.Loss) {
		m.Stats.Lost++
		return
	}
	pair := [2]string{from.zone, to.zone}
	if m.lanes[pair] == nil {
		m.lanes[pair] = &delayLine{}
	}
	deliverAt := now.Add(s.Delay + m.random.DurationUpTo(s.Jitter))
	if s.Bandwidth > 0 {
		l := m.lanes[pair]
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		if l.freeAt.Sub(now) > time.Second { // the queue holds at most one second of traffic
			m.Stats.Lost++
			return
		}
		l.freeAt = l.freeAt.Add(time.Duration(float64(len(data)) / float64(s.Bandwidth) * float64(time.Second)))
		deliverAt = deliverAt.Add(l.freeAt.Sub(now))
	}
	if m.random.Occurs(s.Reorder) {
		deliverAt = deliverAt.Add(m.random.DurationUpTo(s.Delay + s.Jitter + 10*time.Millisecond))
	}
	copies := 1
	if m.random.Occurs(s.Duplicate) {
		copies, m.Stats.Doubled = 2, m.Stats.Doubled+1
	}
	for range copies {
		time.AfterFunc(time.Until(deliverAt), func() { from.publicConn.WriteToUDPAddrPort(data, to.listenAddr) })
	}
}

// Close stops the mesh and closes the sockets of all members.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for _, k := range m.members {
		k.publicConn.Close()
	}
	m.mu.Unlock()
	m.work.Wait()
}
