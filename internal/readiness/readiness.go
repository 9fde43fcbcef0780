// Package readiness decides whether a node is ready and whether it closes its clients' connections. An operator makes it
// not ready (Quiesce) and ready again (Resume); a shutdown makes it not ready for good. It does no I/O and has no clock:
// its owner passes monotonic times. Carrying the decision out is the node's.
package readiness

import (
	"errors"
	"time"
)

// CloseIdleAfter is how long after Quiesce the clients' connections are still served as ever: the front end has asked for
// readiness and sends nobody new by then, so that who is closed finds another node.
const CloseIdleAfter = 600 * time.Millisecond

// ErrShuttingDown says that the node ends, which nothing takes back.
var ErrShuttingDown = errors.New("the node is ending")

// Tracker holds whether a node is ready; the zero value is. It belongs to one goroutine, or its owner locks it.
type Tracker struct {
	shuttingDown bool
	quiesced     bool
	quiescedAt   time.Duration // of quiesced
}

// State is what follows for the node now.
type State struct {
	Ready            bool // clients may be sent here, as far as this goes
	CloseConnections bool // each answer closes its connection, and quiet ones are closed
}

// Quiesce sends clients away from a clock time on. Once that is so, a further call changes nothing.
func (t *Tracker) Quiesce(now time.Duration) {
	if !t.quiesced {
		t.quiesced = true
		t.quiescedAt = now
	}
}

// Resume takes clients again.
func (t *Tracker) Resume() error {
	if t.shuttingDown {
		return ErrShuttingDown
	}
	t.quiesced = false
	return nil
}

// End sends clients away for good.
func (t *Tracker) Shutdown() { t.shuttingDown = true }

// At is the state at a clock time. When a node that shuts down closes connections is its shutdown's schedule.
func (t *Tracker) StateAt(now time.Duration) State {
	return State{
		Ready:            !t.quiesced && !t.shuttingDown,
		CloseConnections: t.quiesced && now-t.quiescedAt >= CloseIdleAfter,
	}
}
