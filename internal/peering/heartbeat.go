package peering

import (
	"fmt"
	"time"
)

// receivePulse takes the other side's heartbeat, and answers the one who beats.
func (l *Link) receivePulse(p pulse) error {
	now := int64(l.hub.now())
	l.lastPulse.Store(now)
	l.peerStamp.Store(p.At)
	if p.Echo > l.answeredPulse.Load() && p.Echo <= now {
		l.answeredPulse.Store(p.Echo)
		took, was := now-p.Echo, l.rtt.Load()
		if !l.dialed {
			took = p.RTT // the answer to this side's pulse has waited for the next beat
		} else if was > 0 {
			took = was + (took-was)/8
		}
		l.rtt.Store(max(1, took))
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

// sendBeat sends a heartbeat, if this side opened the link, unless the other side has been silent for too long. Who did not open it
// hears what came of its pulse by the next beat, one beat later.
func (l *Link) sendBeat() error {
	now := l.hub.now()
	if late := now - l.lastBeat - l.hub.options.Beat; late > l.hub.options.Beat {
		l.pausedUntil = now // this process was stopped, or had no processor: that time is its own silence, not the other's
	}
	l.lastBeat = now
	silence := l.hub.options.Silence
	if !l.dialed {
		silence += l.hub.options.Beat
	}
	if now-max(time.Duration(l.answeredPulse.Load()), l.pausedUntil) > silence {
		return fmt.Errorf("%w for %v", ErrSilent, l.hub.options.Silence)
	}
	if !l.dialed {
		return nil
	}
	body, err := encoding.Marshal(pulse{At: int64(now), Echo: l.peerStamp.Load(), RTT: l.rtt.Load()})
	if err != nil {
		return fmt.Errorf("peering: a heartbeat: %w", err)
	}
	text, err := encoding.Marshal(frame{Kind: frameBeat, Body: body})
	if err != nil {
		return fmt.Errorf("peering: a heartbeat: %w", err)
	}
	return l.writeFrame(text)
}
