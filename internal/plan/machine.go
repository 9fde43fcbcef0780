package plan

import (
	"errors"
	"fmt"

	"damsontrestle/internal/config"
)

// Machine is the state machine of a configuration change. Its caller reports the outcome of each step and gets the next one.
// The running configuration does not change before Commit, and a failure before it is undone. Machine does no I/O and has no locks.
//
//	Propose -> Prepare -> Persist -> Commit -> Retire
//	              |          |          |
//	             Undo      Restore -> Undo
//
// Restore handles a record that may have reached the disk: the old record is written again, so that the next start uses the
// configuration that is running now. If that fails too, the machine remains diverged until the record is reported as repaired,
// and an apply before that begins with another attempt (Repair).
// A write that left the disk unchanged, as on a full disk, needs no Restore, as the disk is known to hold the old record.
type Machine struct {
	running      Running
	phase        phase
	proposal     *Proposal
	cause        error // why the current or last change failed
	diverged     bool  // the disk may hold a record other than that of the running configuration
	shuttingDown bool
}

type phase int

const (
	idle phase = iota
	repairing
	preparing
	persisting
	committing
	restoring
	undoing
	retiring
)

var phaseNames = [...]string{
	idle:       "idle",
	repairing:  "repairing the state",
	preparing:  "preparing",
	persisting: "persisting",
	committing: "committing",
	restoring:  "restoring the state",
	undoing:    "undoing",
	retiring:   "retiring",
}

// String returns the name of the phase, for messages.
func (p phase) String() string { return phaseNames[p] }

// Proposal is a requested change.
type Proposal struct {
	Origin string // for the log: apply, rollback or reload
	Plan   *Plan  // nil for a rollback or a reload
	Config *config.Config
	Base   Running // the running configuration for which it was created
}

// Step is the next step of a change.
type Step int

// Steps. The caller executes each of them except Nothing and reports its result to Done.
const (
	Nothing Step = iota
	Repair       // write the record of the running configuration again
	Prepare      // prepare the new configuration while the old one runs
	Persist      // write the record of the new configuration
	Commit       // make the new configuration the running one
	Restore      // write the record of the old configuration again
	Undo         // release what Prepare created
	Retire       // close what was removed; the change can no longer fail
)

var stepNames = [...]string{
	Nothing: "nothing",
	Repair:  "repair",
	Prepare: "prepare",
	Persist: "persist",
	Commit:  "commit",
	Restore: "restore",
	Undo:    "undo",
	Retire:  "retire",
}

// String returns the name of the step as used by the admin socket.
func (s Step) String() string { return stepNames[s] }

// Errors of Propose.
var (
	// ErrBusy is returned while another change is in progress.
	ErrBusy = errors.New("another change is under way")
	// ErrShuttingDown is returned while the node is shutting down.
	ErrShuttingDown = errors.New("the node is ending")
)

// UntouchedError is the error of a Persist that left the old record unchanged.
type UntouchedError struct {
	Err error
}

func (e *UntouchedError) Error() string { return e.Err.Error() }

func (e *UntouchedError) Unwrap() error { return e.Err }

// NewMachine returns a Machine for a running configuration. diverged reports whether the state folder may hold another one.
func NewMachine(running Running, diverged bool) *Machine {
	return &Machine{running: running, diverged: diverged}
}

// Running returns the running configuration.
func (m *Machine) Running() Running { return m.running }

// Phase returns the phase of the current change, for messages.
func (m *Machine) Phase() string { return m.phase.String() }

// Diverged reports whether the state folder may hold a record other than that of the running configuration.
func (m *Machine) Diverged() bool { return m.diverged }

// Busy reports whether a change is in progress.
func (m *Machine) Busy() bool { return m.phase != idle }

// Repaired notes that the record of the running configuration was written again outside of a change.
func (m *Machine) Repaired() { m.diverged = false }

// Next returns the identity of the configuration that runs once the current change is committed.
func (m *Machine) Next() Running {
	next := m.running
	if m.proposal != nil {
		next.Serial++
		next.Fingerprint = m.proposal.Config.Fingerprint()
	}
	return next
}

// Propose begins a change and returns its first step. It returns ErrBusy while another change is in progress, ErrShuttingDown
// while the node shuts down, and ErrStale or ErrOtherNode if the proposal was created for another running configuration or
// node. For the configuration that is already running the step is Nothing, or Repair if the disk may hold another record: once
// a client has been informed that a configuration runs, the next start must use it too.
func (m *Machine) Propose(proposal Proposal) (Step, error) {
	switch {
	case m.shuttingDown:
		return Nothing, ErrShuttingDown
	case m.phase != idle:
		return Nothing, fmt.Errorf("%w: %s is %s; retry when it has finished", ErrBusy, m.proposal.Origin, m.Phase())
	}
	if err := proposal.checkBase(m.running); err != nil {
		return Nothing, err
	}
	if proposal.isRunning(m.running) && !m.diverged {
		m.cause = nil
		return Nothing, nil
	}
	m.proposal, m.cause = &proposal, nil
	if m.diverged {
		m.phase = repairing
		return Repair, nil
	}
	m.phase = preparing
	return Prepare, nil
}

// isRunning reports whether the proposed configuration is already running.
func (p Proposal) isRunning(now Running) bool { return p.Config.Fingerprint() == now.Fingerprint }

// checkBase returns nil if the proposal may be applied to the running configuration, otherwise ErrOtherNode or ErrStale with
// details.
func (p Proposal) checkBase(now Running) error {
	if p.Plan != nil {
		return p.Plan.CheckBase(now)
	}
	if p.Base != now {
		return fmt.Errorf("%w: serial %d (%s) is running, not serial %d (%s)", ErrStale, now.Serial, ShortFingerprint(now.Fingerprint),
			p.Base.Serial, ShortFingerprint(p.Base.Fingerprint))
	}
	if p.Config.Node.Name != now.Node {
		return fmt.Errorf("%w: the configuration is for %q, this node is %q", ErrOtherNode, p.Config.Node.Name, now.Node)
	}
	return nil
}

// Done takes the result of the last step, nil if it succeeded, and returns the next step.
func (m *Machine) Done(err error) Step {
	switch m.phase {
	case repairing:
		if err != nil {
			return m.finish(fmt.Errorf("the state folder could not be brought up to what runs: %w", err))
		}
		m.diverged = false
		if m.shuttingDown {
			return m.finish(ErrShuttingDown)
		}
		if m.proposal.isRunning(m.running) {
			return m.finish(nil)
		}
		m.phase = preparing
		return Prepare
	case preparing:
		if err != nil { // a failed Prepare has undone its own work
			if m.shuttingDown {
				err = fmt.Errorf("%w: %w", ErrShuttingDown, err)
			}
			return m.finish(err)
		}
		if m.shuttingDown {
			return m.undo(ErrShuttingDown)
		}
		m.phase = persisting
		return Persist
	case persisting:
		if err != nil {
			return m.persistFailed(fmt.Errorf("the state folder: %w", err))
		}
		m.phase = committing
		return Commit
	case committing:
		if err != nil {
			m.cause = err
			m.phase = restoring
			return Restore
		}
		m.running = m.Next()
		m.phase = retiring
		return Retire
	case restoring:
		if err != nil {
			m.diverged = true
			m.cause = errors.Join(m.cause, fmt.Errorf("the state folder may hold serial %d now, though serial %d runs on: %w",
				m.running.Serial+1, m.running.Serial, err))
		}
		return m.undo(m.cause)
	case undoing:
		return m.finish(m.cause)
	case retiring:
		return m.finish(nil)
	}
	return Nothing
}

// persistFailed returns the step after a failed Persist: Restore, or Undo if the write is known to have left the old record
// unchanged.
func (m *Machine) persistFailed(cause error) Step {
	var untouched *UntouchedError
	if errors.As(cause, &untouched) {
		return m.undo(cause)
	}
	m.cause, m.phase = cause, restoring
	return Restore
}

func (m *Machine) undo(cause error) Step {
	m.cause, m.phase = cause, undoing
	return Undo
}

// finish ends the current change with its result.
func (m *Machine) finish(err error) Step {
	m.cause, m.phase, m.proposal = err, idle, nil
	return Nothing
}

// Err returns why the last change failed, or nil if it succeeded.
func (m *Machine) Err() error { return m.cause }

// Shutdown marks the node as shutting down: no change begins after it, and a change that has not been persisted yet
// will be undone.
func (m *Machine) Shutdown() { m.shuttingDown = true }
