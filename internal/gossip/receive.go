package gossip

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"damsontrestle/internal/membership"
	"damsontrestle/internal/zonestate"
)

// Limits of the backoff after failed reads.
const (
	minReadPause = time.Millisecond
	maxReadPause = 100 * time.Millisecond
)

// datagram is a datagram that was received and decoded.
type datagram struct {
	from      netip.AddrPort
	msg       membership.Message // valid if zoneState is nil
	zoneState *zonestate.Message
	err       error
}

// packetReader is the subset of a UDP socket that read uses.
type packetReader interface {
	ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error)
}

// read passes incoming datagrams to the loop of Run until the socket is closed. It drops datagrams while the queue is full.
func (t *Transport) read(conn packetReader) {
	buf := make([]byte, membership.MaxDatagram+1)
	pause := minReadPause
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an ICMP error for an earlier datagram, or a resource shortage on this host, which may last
			t.pause(pause)
			if t.stopped() {
				return
			}
			pause = min(2*pause, maxReadPause)
			continue
		}
		pause = minReadPause
		d := t.decode(buf[:n])
		d.from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		select {
		case t.incoming <- d:
		default:
			t.queueFull.Add(1)
		}
	}
}

// pause waits for a duration, or until Run ends.
func (t *Transport) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.done:
	}
}

// stopped reports whether Run has ended.
func (t *Transport) stopped() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// decode decodes a datagram of either protocol. The first byte holds the version, which identifies the protocol.
func (t *Transport) decode(b []byte) datagram {
	var d datagram
	if len(b) > 0 && b[0] == zonestate.Version {
		d.zoneState, d.err = t.decodeZoneState(b)
	} else {
		d.msg, d.err = membership.Decode(b, t.options.Key)
	}
	return d
}

// decodeZoneState verifies the tag of a zone state datagram and decodes it.
func (t *Transport) decodeZoneState(b []byte) (*zonestate.Message, error) {
	body, ok := membership.Unseal(b, t.options.Key)
	if !ok {
		return nil, membership.ErrKey
	}
	m, err := zonestate.Parse(body)
	return &m, err
}

// receive counts a datagram and passes it to the state machine of its protocol.
func (t *Transport) receive(d datagram) {
	otherVersion := errors.Is(d.err, membership.ErrVersion) || errors.Is(d.err, zonestate.ErrVersion)
	switch {
	case otherVersion || d.zoneState != nil && t.exchange == nil:
		t.counts.Unsupported++
	case errors.Is(d.err, membership.ErrKey):
		t.counts.WrongKey++
	case d.err != nil:
		t.counts.Malformed++
	case d.zoneState != nil:
		t.counts.Received++
		t.sendZoneState(t.exchange.machine.Receive(t.options.Clock.Now(), *d.zoneState))
	default:
		t.counts.Received++
		t.send(t.machine.Receive(t.options.Clock.Now(), d.from, d.msg))
	}
}
