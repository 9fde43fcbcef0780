// Package readiness decides whether a node is ready and whether it closes its clients' connections. An operator makes the
// node not ready (Quiesce) and ready again (Resume); a shutdown makes it not ready permanently. The package does no I/O and
// has no clock: the caller passes monotonic times. The node applies the decision.
package readiness

import (
	"errors"
	"time"
)

// CloseIdleAfter is the delay from Quiesce to the closing of clients' connections. By then the front end has polled the
// readiness and routes no new clients here, so that clients whose connections are closed reconnect to another node.
const CloseIdleAfter = 600 * time.Millisecond

// ErrShuttingDown is returned by Resume once the node is shutting down, which cannot be reverted.
var ErrShuttingDown = errors.New("the node is ending")

// Tracker tracks the readiness of a node. The zero value is ready. It is not safe for concurrent use.
type Tracker struct {
	shuttingDown bool
	quiesced     bool
	quiescedAt   time.Duration // clock time of Quiesce
}

// State is the resulting state of the node.
type State struct {
	Ready            bool // clients may be routed here, as far as this package decides
	CloseConnections bool // each response closes its connection, and idle connections are closed
}

// Quiesce makes the node not ready from a clock time on. Further calls have no effect until Resume.
func (t *Tracker) Quiesce(now time.Duration) {
	if !t.quiesced {
		t.quiesced = true
		t.quiescedAt = now
	}
}

// Resume makes the node ready again, unless it is shutting down.
func (t *Tracker) Resume() error {
	if t.shuttingDown {
		return ErrShuttingDown
	}
	t.quiesced = false
	return nil
}

// Shutdown makes the node not ready permanently.
func (t *Tracker) Shutdown() { t.shuttingDown = true }

// StateAt returns the state at a clock time. In a shutdown, the shutdown schedule decides when connections are closed.
func (t *Tracker) StateAt(now time.Duration) State {
	return State{
		Ready:            !t.quiesced && !t.shuttingDown,
		CloseConnections: t.quiesced && now-t.quiescedAt >= CloseIdleAfter,
	}
}
