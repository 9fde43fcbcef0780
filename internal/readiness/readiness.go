// Package readiness decides whether a node asks the front end for clients and whether it closes those that it has: an
// operator sends them away and takes them again, and the node's end is for good. It does no I/O and has no clock.
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

// Tracker is a node's; the zero value serves. It belongs to one goroutine, or its owner locks it.
type Tracker struct {
	shuttingDown, quiesced bool
	since                  time.Duration
}

// State is what follows for the node now.
type State struct {
	Ready            bool // clients may be sent here, as far as this goes
	CloseConnections bool // each answer closes its connection, and quiet ones are closed
}

// Quiesce sends clients away from a clock time on. Once that is so, a further call changes nothing.
func (d *Tracker) Quiesce(now time.Duration) {
	if !d.quiesced {
		d.quiesced, d.since = true, now
	}
}

// Resume takes clients again.
func (d *Tracker) Resume() error {
	if d.shuttingDown {
		return ErrShuttingDown
	}
	d.quiesced = false
	return nil
}

// End sends clients away for good.
func (d *Tracker) End() { d.shuttingDown = true }

// At is the state at a clock time. When an ending node parts with its clients is the ending's.
func (d *Tracker) At(now time.Duration) State {
	return State{Ready: !d.quiesced && !d.shuttingDown, CloseConnections: d.quiesced && now-d.since >= CloseIdleAfter}
}
