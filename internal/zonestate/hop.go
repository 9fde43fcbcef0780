package zonestate

import (
	"time"

	"damsontrestle/internal/splitmix"
)

const (
	clockDriftDivisor = 1000    // clock rates may differ by one part in this number
	maxHeldMillis     = 1 << 16 // Message.HeldMillis only holds lower values
	maxRoundTrip      = 1 << 17 * time.Millisecond
	tokenMarginMillis = 2 // maximum rounding error of two tokens
)

// link is the state of the path to another node.
type link struct {
	peerToken       uint32        // last token received from the peer; 0: none
	tokenReceivedAt time.Duration // when peerToken was received
	lastHeard       time.Duration // when a message or row of the peer was last received
}

// token encodes a time of this node's clock as a token, which is never 0.
func (m *Machine) token(at time.Duration) uint32 {
	return max(1, uint32(at/time.Millisecond)+uint32(splitmix.Mix(m.seed)))
}

// stampToken sets the token of a message, and echoes the last token from the receiver.
func (m *Machine) stampToken(to uint64, msg *Message) {
	msg.Token = m.token(m.now)
	peerLink := m.links[to]
	if peerLink == nil || peerLink.peerToken == 0 {
		return
	}
	// Rounding down makes the receiver overestimate the delay, which keeps it an upper bound.
	held := (m.now - peerLink.tokenReceivedAt) / time.Millisecond
	if held < maxHeldMillis {
		msg.Echo = peerLink.peerToken
		msg.HeldMillis = uint16(held)
	}
}

// hopDelay returns an upper bound on the network delay of a message: the time since this node sent the echoed token, less the
// time for which the sender held it, plus allowances for the drift of both clocks and the millisecond resolution of times. It
// reports false if there is no bound.
func (m *Machine) hopDelay(msg Message) (time.Duration, bool) {
	if msg.Echo == 0 {
		return 0, false
	}
	roundTrip := time.Duration(m.token(m.now)-msg.Echo+tokenMarginMillis) * time.Millisecond
	if roundTrip > maxRoundTrip {
		return 0, false // the token is too old, or from an earlier incarnation
	}
	held := time.Duration(msg.HeldMillis) * time.Millisecond
	if held > roundTrip+held/clockDriftDivisor {
		return 0, false
	}
	return max(0, roundTrip-held) + (roundTrip+held)/clockDriftDivisor, true
}
