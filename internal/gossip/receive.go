package gossip

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"damsontrestle/internal/membership"
	"damsontrestle/internal/zonestate"
)

// datagram is what came in.
type datagram struct {
	from      netip.AddrPort
	msg       membership.Message
	zoneState *zonestate.Message // nil: msg is the membership's
	err       error
}

// Waits behind reads that fail one after the other.
const (
	minReadPause = time.Millisecond
	maxReadPause = 100 * time.Millisecond
)

// receiver is the part of a UDP socket that read needs.
type receiver interface {
	ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error)
}

// read hands what comes in to the loop; what it has no time for is lost, as datagrams may be.
func (t *Transport) read(conn receiver) {
	buf := make([]byte, membership.MaxDatagram+1)
	pause := minReadPause
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what an earlier datagram met at its end, or a want of this machine that may last
			if t.pause(pause); t.stopped() {
				return
			}
			pause = min(2*pause, maxReadPause)
			continue
		}
		pause = minReadPause
		l := datagram{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}
		if n > 0 && buf[0] == zonestate.Version {
			l.zoneState, l.err = t.decodeZoneState(buf[:n])
		} else {
			l.msg, l.err = membership.Decode(buf[:n], t.options.Key)
		}
		select {
		case t.incoming <- l:
		default:
			t.overruns.Add(1)
		}
	}
}

// pause waits for a while, or for the end.
func (t *Transport) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.done:
	}
}

func (t *Transport) stopped() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// decodeZoneState reads what another tells of facts.
func (t *Transport) decodeZoneState(b []byte) (*zonestate.Message, error) {
	body, ok := membership.Unseal(b, t.options.Key)
	if !ok {
		return nil, membership.ErrStrange
	}
	m, err := zonestate.Parse(body)
	return &m, err
}

func (t *Transport) receive(l datagram) {
	switch {
	case l.zoneState != nil && t.exchange == nil, errors.Is(l.err, membership.ErrVersion), errors.Is(l.err, zonestate.ErrVersion):
		t.counts.Other++
	case l.err == nil && l.zoneState != nil:
		t.counts.Received++
		t.sendZoneState(t.exchange.machine.Receive(t.options.Clock.Now(), *l.zoneState))
	case l.err == nil:
		t.counts.Received++
		t.send(t.machine.Receive(t.options.Clock.Now(), l.from, l.msg))
	case errors.Is(l.err, membership.ErrStrange):
		t.counts.Strange++
	default:
		t.counts.Malformed++
	}
}
