package zonestate

import (
	"time"

	"damsontrestle/internal/splitmix"
)

// drift is the part of a time by which two clocks may measure it apart.
const drift = 1000

// link is what is known of the way to another.
type link struct {
	peerToken uint32        // the last that came
	tokenAt   time.Duration // when
	heard     time.Duration // when a message or a row of its making came last
}

// token is a time as a token: never 0.
func (m *Machine) token(at time.Duration) uint32 {
	return max(1, uint32(at/time.Millisecond)+uint32(splitmix.Mix(m.seed)))
}

// hopDelay is how long a message can have been on its way: no longer than since this node's own token left, less what the sender
// held that for. Both clocks may be off by drift, and times are in milliseconds.
func (m *Machine) hopDelay(msg Message) (time.Duration, bool) {
	if msg.Echo == 0 {
		return 0, false
	}
	gone := time.Duration(m.token(m.now)-msg.Echo+2) * time.Millisecond
	if gone > 1<<17*time.Millisecond {
		return 0, false // of another incarnation, or long ago
	}
	held := time.Duration(msg.Held) * time.Millisecond
	if held > gone+held/drift {
		return 0, false
	}
	return max(0, gone-held) + (gone+held)/drift, true
}
