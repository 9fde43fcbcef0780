package zonestate

import (
	"time"

	"damsontrestle/internal/splitmix"
)

const (
	clockDriftDivisor = 1000    // clocks may differ in rate by one part in so many
	maxHeldMillis     = 1 << 16 // ms; what Message.HeldMillis can carry is less
	maxRoundTrip      = 1 << 17 * time.Millisecond
	tokenMarginMillis = 2 // ms that rounding of two tokens may lose
)

// link is what is known of the path to another node.
type link struct {
	peerToken       uint32        // the last one that came; 0: none
	tokenReceivedAt time.Duration // when it came
	lastHeard       time.Duration // when a message from it, or a row that it made, came last
}

// token returns a time of this node's clock as a token, which is never 0.
func (m *Machine) token(at time.Duration) uint32 {
	return max(1, uint32(at/time.Millisecond)+uint32(splitmix.Mix(m.seed)))
}

// stampToken gives a message this node's token, and returns the receiver's last one to it.
func (m *Machine) stampToken(to uint64, msg *Message) {
	msg.Token = m.token(m.now)
	l := m.links[to]
	if l == nil || l.peerToken == 0 {
		return
	}
	// Rounded down: then the receiver overestimates the delay.
	held := (m.now - l.tokenReceivedAt) / time.Millisecond
	if held < maxHeldMillis {
		msg.Echo = l.peerToken
		msg.HeldMillis = uint16(held)
	}
}

// hopDelay returns an upper bound on the time that a message was under way: the time since this node's own token left, less
// the time for which the sender held it. Both clocks may drift, and times are in milliseconds. false: there is no bound.
func (m *Machine) hopDelay(msg Message) (time.Duration, bool) {
	if msg.Echo == 0 {
		return 0, false
	}
	roundTrip := time.Duration(m.token(m.now)-msg.Echo+tokenMarginMillis) * time.Millisecond
	if roundTrip > maxRoundTrip {
		return 0, false // a token of an earlier incarnation, or too old
	}
	held := time.Duration(msg.HeldMillis) * time.Millisecond
	if held > roundTrip+held/clockDriftDivisor {
		return 0, false
	}
	return max(0, roundTrip-held) + (roundTrip+held)/clockDriftDivisor, true
}
