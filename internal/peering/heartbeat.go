package peering

import (
	"fmt"
	"time"
)

// rttSmoothing is the part of a new measurement in the smoothed round trip time: one in so many.
const rttSmoothing = 8

// receivePulse handles the heartbeat or echo of the other side. The side that was dialed answers a heartbeat with an echo.
func (l *Link) receivePulse(p pulse) error {
	now := int64(l.hub.now())
	l.lastPulse.Store(now)
	l.peerStamp.Store(p.At)
	if p.Echo > l.answeredPulse.Load() && p.Echo <= now {
		l.answeredPulse.Store(p.Echo)
		l.updateRTT(p, now)
	}
	if l.dialed {
		return nil
	}
	body, err := encoding.Marshal(pulse{At: now, Echo: p.At})
	if err != nil {
		return fmt.Errorf("peering: a heartbeat: %w", err)
	}
	if l.enqueue(frame{Kind: frameEcho, Body: body}) != nil {
		return ErrOverflow
	}
	return nil
}

// updateRTT measures the round trip time by a pulse that answers one of this side. The side that was dialed takes over the
// other's measurement: the answer to its own pulse has waited for the next heartbeat.
func (l *Link) updateRTT(p pulse, now int64) {
	rtt := now - p.Echo
	smoothed := l.rtt.Load()
	if !l.dialed {
		rtt = p.RTT
	} else if smoothed > 0 {
		rtt = smoothed + (rtt-smoothed)/rttSmoothing
	}
	l.rtt.Store(max(1, rtt))
}

// sendBeat sends a heartbeat if this side dialed, and returns ErrSilent if the other side has given no proof for too long. The
// side that was dialed gets its proof with the next heartbeat, so it allows for one more.
func (l *Link) sendBeat() error {
	now := l.hub.now()
	if l.silentFor(now) > l.allowedSilence() {
		return fmt.Errorf("%w for %v", ErrSilent, l.hub.options.Silence)
	}
	if !l.dialed {
		return nil
	}
	body, err := encoding.Marshal(pulse{At: int64(now), Echo: l.peerStamp.Load(), RTT: l.rtt.Load()})
	if err != nil {
		return fmt.Errorf("peering: a heartbeat: %w", err)
	}
	encoded, err := encoding.Marshal(frame{Kind: frameBeat, Body: body})
	if err != nil {
		return fmt.Errorf("peering: a heartbeat: %w", err)
	}
	return l.writeFrame(encoded)
}

// silentFor returns for how long the other side has given no proof, as of a heartbeat that is due now. If that is late by more
// than another interval, this process was suspended or had no processor: that time is its own silence and not the other's.
func (l *Link) silentFor(now time.Duration) time.Duration {
	late := now - l.lastBeat - l.hub.options.Beat
	if late > l.hub.options.Beat {
		l.pausedUntil = now
	}
	l.lastBeat = now
	return now - max(time.Duration(l.answeredPulse.Load()), l.pausedUntil)
}

// allowedSilence returns after which time without proof the link ends.
func (l *Link) allowedSilence() time.Duration {
	if l.dialed {
		return l.hub.options.Silence
	}
	return l.hub.options.Silence + l.hub.options.Beat
}
