package daemon

import (
	"errors"
	"time"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/config"
	"damsontrestle/internal/node"
	"damsontrestle/internal/plan"
	"damsontrestle/internal/state"
)

// Apply implements admin.Control.
func (d *Daemon) Apply(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
	p, err := plan.Decode(text)
	if err != nil {
		return d.reject("apply", err)
	}
	return d.change(plan.Proposal{Origin: "apply", Plan: p, Config: p.Config, Base: p.Base}, wait, step)
}

// Rollback implements admin.Control.
func (d *Daemon) Rollback(base plan.Running, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
	d.mu.Lock()
	previous := d.record.Previous
	d.mu.Unlock()
	if previous == nil {
		return d.reject("rollback", &admin.Error{Code: admin.CodeNoPrevious, Message: "there is no configuration before this one"})
	}
	return d.change(plan.Proposal{Origin: "rollback", Config: previous.Config, Base: base}, wait, step)
}

// Reload reads the configuration file again and applies it, like a plan that is made and applied at once. If that fails, the
// error is logged and the running configuration stays in place.
func (d *Daemon) Reload() {
	cfg, problems := config.Reload(d.options.File)
	if err := problems.Err(); err != nil {
		d.log.Error("configuration reload failed; the running configuration stays in place", "error", err)
		return
	}
	d.mu.Lock()
	base := d.running()
	d.mu.Unlock()
	if base.Fingerprint == cfg.Fingerprint() {
		d.log.Info("configuration reloaded; the file matches the running configuration")
		return
	}
	if _, err := d.change(plan.Proposal{Origin: "reload", Config: cfg, Base: base}, d.options.Wait, func(string, time.Duration) {}); err != nil {
		d.log.Error("configuration reload failed; the running configuration stays in place", "error", err)
	}
}

// reject logs why a change was not started, and returns the error with its code.
func (d *Daemon) reject(by string, err error) (plan.Running, error) {
	d.log.Warn("configuration change rejected", "by", by, "error", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running(), withCode(err)
}

// errorCodes are the codes of errors that clients distinguish, in the order in which they are checked.
var errorCodes = []struct {
	err  error
	code string
}{
	{plan.ErrUnreadable, admin.CodeUnreadable},
	{plan.ErrNewer, admin.CodeNewer},
	{plan.ErrOtherNode, admin.CodeOtherNode},
	{plan.ErrInvalid, admin.CodeInvalid},
	{plan.ErrStale, admin.CodeStale},
	{plan.ErrBusy, admin.CodeBusy},
	{plan.ErrShuttingDown, admin.CodeShuttingDown},
	{node.ErrShuttingDown, admin.CodeShuttingDown},
}

// withCode returns err as an *admin.Error with its code, CodeFailed if it has no other.
func withCode(err error) error {
	var coded *admin.Error
	if errors.As(err, &coded) {
		return err
	}
	for _, c := range errorCodes {
		if errors.Is(err, c.err) {
			return &admin.Error{Code: c.code, Message: err.Error()}
		}
	}
	return &admin.Error{Code: admin.CodeFailed, Message: err.Error()}
}

// change executes a proposal step by step until it succeeds, or fails and is undone. report is called after each step.
func (d *Daemon) change(p plan.Proposal, wait time.Duration, report func(string, time.Duration)) (plan.Running, error) {
	d.mu.Lock()
	step, err := d.machine.Propose(p)
	if err == nil {
		d.changes.Add(1)
	}
	d.mu.Unlock()
	if err != nil {
		return d.reject(p.Origin, err)
	}
	defer d.changes.Done()
	c := change{daemon: d, proposal: p, wait: wait}
	for step != plan.Nothing {
		begin := time.Now()
		err := c.runStep(step)
		report(step.String(), time.Since(begin))
		d.mu.Lock()
		step = d.machine.Done(err)
		d.mu.Unlock()
	}
	return d.finish(p)
}

// finish records and logs the outcome of a change.
func (d *Daemon) finish(p plan.Proposal) (plan.Running, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.machine.Err()
	d.lastOutcome = &admin.Outcome{By: p.Origin, At: now()}
	if err != nil {
		d.lastOutcome.Error = err.Error()
		if d.machine.Diverged() {
			d.reportDivergence(err)
		}
		d.log.Error("configuration change failed; the previous configuration stays in place", "by", p.Origin, "serial", d.record.Running.Serial, "error", err)
		return d.running(), withCode(err)
	}
	running := d.record.Running
	d.log.Info("configuration", "serial", running.Serial, "fingerprint", plan.ShortFingerprint(running.Fingerprint), "why", "put in place by "+p.Origin)
	return d.running(), nil
}

// change is a proposal that is being executed.
type change struct {
	daemon   *Daemon
	proposal plan.Proposal
	wait     time.Duration
	prepared *node.Change  // nil before the step Prepare
	next     *state.Record // nil before the step Persist
}

// runStep executes one step of the change.
func (c *change) runStep(step plan.Step) (err error) {
	d := c.daemon
	switch step {
	case plan.Repair, plan.Restore:
		return d.save(d.record)
	case plan.Prepare:
		c.prepared, err = d.node.Prepare(d.changesCtx, c.proposal.Config, c.wait)
		return err
	case plan.Persist:
		c.next = d.nextRecord(c.proposal)
		return d.save(c.next)
	case plan.Commit:
		if err := c.prepared.Commit(); err != nil {
			return err
		}
		d.mu.Lock()
		d.record = c.next
		d.mu.Unlock()
		return nil
	case plan.Undo:
		c.prepared.Undo()
	case plan.Retire: // the node drains what was removed in the background
	}
	return nil
}

// save writes a record to the state folder, if there is one. The error is a *plan.UntouchedError if the folder is unchanged.
func (d *Daemon) save(r *state.Record) error {
	if d.folder == nil {
		return nil
	}
	d.saveMu.Lock()
	defer d.saveMu.Unlock()
	err := d.folder.Save(r)
	var write *state.WriteError
	if errors.As(err, &write) && write.Untouched {
		return &plan.UntouchedError{Err: err}
	}
	return err
}

// nextRecord returns the record that the state folder will hold once the proposal is in place.
func (d *Daemon) nextRecord(p plan.Proposal) *state.Record {
	before := d.record.Running
	return &state.Record{
		Node:     d.record.Node,
		Lineage:  d.record.Lineage,
		Previous: &before,
		Running: state.Entry{
			Serial:      before.Serial + 1,
			Fingerprint: p.Config.Fingerprint(),
			By:          p.Origin,
			At:          now(),
			Config:      p.Config,
		},
	}
}
