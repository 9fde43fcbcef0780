package plan

import (
	"errors"
	"fmt"

	"damsontrestle/internal/config"
)

// Machine is the state machine of a configuration change. It is told how each step ended and returns the next one; nothing
// of what runs changes before Commit, and whatever fails before it is undone. It does no I/O and has no locks.
//
//	Propose -> Prepare -> Persist -> Commit -> Retire
//	              |          |          |
//	             Undo      Restore -> Undo
//
// Restore is for a record that may have reached the disk: the old one is written again, so that the next start
// finds what runs now. If that fails too, the machine remembers it until it is told that the record has been repaired,
// and an apply that comes before begins with another attempt.
// A write that has left the disk as it was, as on a full one, needs no Restore and leaves nothing undecided.
type Machine struct {
	running      Running
	phase        phase
	proposal     *Proposal
	cause        error // why the one under way fails
	diverged     bool  // the disk may hold another record than what runs
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

// String names the phase for people.
func (p phase) String() string { return phaseNames[p] }

// Proposal is a requested change.
type Proposal struct {
	Origin string // its origin, for the log: apply, rollback, reload
	Plan   *Plan  // nil for a rollback or a reload
	Config *config.Config
	Base   Running // the configuration that it was made for
}

// Step is what to do next.
type Step int

// Steps. The caller carries each of them but Nothing out and reports its error by Done.
const (
	Nothing Step = iota
	Repair       // write the record of what runs again
	Prepare      // make the new configuration ready beside the old
	Persist      // write the record of the new one
	Commit       // put it in place
	Restore      // write the record of the old one again
	Undo         // take down what was prepared
	Retire       // what went is being closed; nothing can fail any more
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

// String names the step as the admin socket does.
func (s Step) String() string { return stepNames[s] }

// Errors of Propose.
var (
	// ErrBusy says that another change is under way.
	ErrBusy = errors.New("another change is under way")
	// ErrShuttingDown says that the node is ending.
	ErrShuttingDown = errors.New("the node is ending")
)

// UntouchedError is the error of a Persist that has left the old record as it was.
type UntouchedError struct {
	Err error
}

func (e *UntouchedError) Error() string { return e.Err.Error() }

func (e *UntouchedError) Unwrap() error { return e.Err }

// NewMachine returns a Machine for what runs. diverged: the state folder may hold something else.
func NewMachine(running Running, diverged bool) *Machine {
	return &Machine{running: running, diverged: diverged}
}

// Running is what runs now.
func (m *Machine) Running() Running { return m.running }

// Phase is where the change under way is, for people.
func (m *Machine) Phase() string { return m.phase.String() }

// Diverged says that the state folder may hold another record than that of what runs.
func (m *Machine) Diverged() bool { return m.diverged }

// Busy says that a change is under way.
func (m *Machine) Busy() bool { return m.phase != idle }

// Repaired says that the record of what runs has been written again, outside of a change.
func (m *Machine) Repaired() { m.diverged = false }

// Next is the serial and fingerprint that the change under way leads to.
func (m *Machine) Next() Running {
	r := m.running
	if m.proposal != nil {
		r.Serial++
		r.Fingerprint = m.proposal.Config.Fingerprint()
	}
	return r
}

// Propose begins a change and returns its first step. ErrBusy says that another is under way, ErrShuttingDown that the
// node shuts down, ErrStale and ErrOtherNode that the proposal was made for something else than what runs. A proposal of
// what runs already is Nothing, or Repair where the disk may hold another record: a client that is told that a
// configuration runs may count on it at the next start.
func (m *Machine) Propose(proposal Proposal) (Step, error) {
	switch {
	case m.shuttingDown:
		return Nothing, ErrShuttingDown
	case m.phase != idle:
		return Nothing, fmt.Errorf("%w: %s is %s; try again when it is over", ErrBusy, m.proposal.Origin, m.Phase())
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

// runs says whether the proposal is what runs already.
func (o Proposal) isRunning(now Running) bool { return o.Config.Fingerprint() == now.Fingerprint }

func (o Proposal) checkBase(now Running) error {
	if o.Plan != nil {
		return o.Plan.CheckBase(now)
	}
	if o.Base != now {
		return fmt.Errorf("%w: serial %d (%s) runs, not serial %d (%s)", ErrStale, now.Serial, ShortFingerprint(now.Fingerprint),
			o.Base.Serial, ShortFingerprint(o.Base.Fingerprint))
	}
	if o.Config.Node.Name != now.Node {
		return fmt.Errorf("%w: the configuration is for %q, this is %q", ErrOtherNode, o.Config.Node.Name, now.Node)
	}
	return nil
}

// Done reports the error of the last step, nil if it succeeded, and returns the next step.
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
		if err != nil { // it has been undone where it failed
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

// notPersisted restores the old record, unless the failed write is known to have left it untouched.
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

// stop ends the change under way.
func (m *Machine) finish(err error) Step {
	m.cause, m.phase, m.proposal = err, idle, nil
	return Nothing
}

// Err is why the last change failed; nil if it did not.
func (m *Machine) Err() error { return m.cause }

// Shutdown says that the node is ending: nothing new is begun, and what has not been persisted yet will be undone.
func (m *Machine) Shutdown() { m.shuttingDown = true }
