package peering

import (
	"fmt"
	"time"
)

// rttSmoothing is the divisor of a new sample's weight in the smoothed round-trip time: each sample counts 1/rttSmoothing.
const rttSmoothing = 8

// receiveHeartbeat handles a heartbeat or its reply. The side that was dialed replies to heartbeats.
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
		return fmt.Errorf("peering: encoding heartbeat reply: %w", err)
	}
	if l.enqueue(frame{Kind: frameHeartbeatReply, Body: body}) != nil {
		return ErrOverflow
	}
	return nil
}

// updateRTT updates the round-trip time from a heartbeat that echoes one of this side. The side that was dialed adopts the peer's
// measurement, because the echo of its own timestamp was delayed until the next heartbeat.
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

// sendHeartbeat sends a heartbeat if this side dialed. It returns ErrHeartbeatTimeout if the peer has echoed no timestamp of this side
// for heartbeatTimeout.
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
		return fmt.Errorf("peering: encoding heartbeat: %w", err)
	}
	encoded, err := encoding.Marshal(frame{Kind: frameHeartbeat, Body: body})
	if err != nil {
		return fmt.Errorf("peering: encoding heartbeat: %w", err)
	}
	return l.writeFrame(encoded)
}

// unansweredFor returns how long the peer has echoed no timestamp of this side, as of a heartbeat that is due now. If that heartbeat is
// late by more than another interval, this process was suspended or got no CPU time, and the peer is not blamed for the time until now.
func (l *Link) unansweredFor(now time.Duration) time.Duration {
	late := now - l.lastHeartbeatDue - l.hub.options.HeartbeatInterval
	if late > l.hub.options.HeartbeatInterval {
		l.pausedUntil = now
	}
	l.lastHeartbeatDue = now
	return now - max(time.Duration(l.answeredHeartbeat.Load()), l.pausedUntil)
}

// heartbeatTimeout returns the time without an echo after which the link ends. The side that was dialed gets its echo with the next
// heartbeat, so it allows for one more.
func (l *Link) heartbeatTimeout() time.Duration {
	if l.dialed {
		return l.hub.options.HeartbeatTimeout
	}
	return l.hub.options.HeartbeatTimeout + l.hub.options.HeartbeatInterval
}
