package peering

import (
	"fmt"
	"time"
)

// rttSmoothing is the part of a new measurement in the smoothed round trip time: one in so many.
const rttSmoothing = 8

// receiveHeartbeat handles the heartbeat or echo of the other side. The side that was dialed answers a heartbeat with an echo.
func (l *Link) receiveHeartbeat(hb heartbeat) error {
	now := int64(l.hub.now())
	l.lastHeartbeat.Store(now)
	l.peerStamp.Store(hb.SentAt)
	if hb.Echo > l.answeredHeartbeat.Load() && hb.Echo <= now {
		l.answeredHeartbeat.Store(hb.Echo)
		l.updateRTT(hb, now)
	}
	if l.dialed {
		return nil
	}
	body, err := encoding.Marshal(heartbeat{SentAt: now, Echo: hb.SentAt})
	if err != nil {
		return fmt.Errorf("peering: a heartbeat: %w", err)
	}
	if l.enqueue(frame{Kind: frameHeartbeatReply, Body: body}) != nil {
		return ErrOverflow
	}
	return nil
}

// updateRTT measures the round trip time by a pulse that answers one of this side. The side that was dialed takes over the
// other's measurement: the answer to its own pulse has waited for the next heartbeat.
func (l *Link) updateRTT(hb heartbeat, now int64) {
	rtt := now - hb.Echo
	smoothed := l.rtt.Load()
	if !l.dialed {
		rtt = hb.RTT
	} else if smoothed > 0 {
		rtt = smoothed + (rtt-smoothed)/rttSmoothing
	}
	l.rtt.Store(max(1, rtt))
}

// sendHeartbeat sends a heartbeat if this side dialed, and returns ErrHeartbeatTimeout if the other side has given no proof for too long. The
// side that was dialed gets its proof with the next heartbeat, so it allows for one more.
func (l *Link) sendHeartbeat() error {
	now := l.hub.now()
	if l.unansweredFor(now) > l.heartbeatTimeout() {
		return fmt.Errorf("%w for %v", ErrHeartbeatTimeout, l.hub.options.HeartbeatTimeout)
	}
	if !l.dialed {
		return nil
	}
	body, err := encoding.Marshal(heartbeat{SentAt: int64(now), Echo: l.peerStamp.Load(), RTT: l.rtt.Load()})
	if err != nil {
		return fmt.Errorf("peering: a heartbeat: %w", err)
	}
	encoded, err := encoding.Marshal(frame{Kind: frameHeartbeat, Body: body})
	if err != nil {
		return fmt.Errorf("peering: a heartbeat: %w", err)
	}
	return l.writeFrame(encoded)
}

// unansweredFor returns for how long the other side has given no proof, as of a heartbeat that is due now. If that is late by more
// than another interval, this process was suspended or had no processor: that time is its own silence and not the other's.
func (l *Link) unansweredFor(now time.Duration) time.Duration {
	late := now - l.lastHeartbeatDue - l.hub.options.HeartbeatInterval
	if late > l.hub.options.HeartbeatInterval {
		l.pausedUntil = now
	}
	l.lastHeartbeatDue = now
	return now - max(time.Duration(l.answeredHeartbeat.Load()), l.pausedUntil)
}

// heartbeatTimeout returns after which time without proof the link ends.
func (l *Link) heartbeatTimeout() time.Duration {
	if l.dialed {
		return l.hub.options.HeartbeatTimeout
	}
	return l.hub.options.HeartbeatTimeout + l.hub.options.HeartbeatInterval
}
