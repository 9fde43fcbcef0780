package daemon

import (
	"context"
	"time"
)

// Delays between two attempts to write what runs to the state folder.
const (
	firstRepairDelay = 100 * time.Millisecond
	maxRepairDelay   = 10 * time.Second
)

// repairOnDivergence writes the record of what runs whenever the state folder may hold another, with backoff until that
// succeeds. It returns when ctx ends, after one last attempt.
func (d *Daemon) repairOnDivergence(ctx context.Context) {
	for {
		select {
		case <-d.divergence:
			d.repairUntilDone(ctx)
		case <-ctx.Done():
			if err := d.repair(); err != nil {
				d.log.Error("the state folder was not brought up to what ran; the next start may find another configuration", "error", err)
			}
			return
		}
	}
}

// repairUntilDone retries until the state folder holds what runs, or ctx ends.
func (d *Daemon) repairUntilDone(ctx context.Context) {
	for wait := d.options.repairDelay; d.diverged(); wait = min(2*wait, maxRepairDelay) {
		select {
		case <-time.After(wait):
			d.repair() // the first failure is in the log; it is retried
		case <-ctx.Done():
			return
		}
	}
}

// diverged says whether the state folder may hold another record than that of what runs.
func (d *Daemon) diverged() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Diverged()
}

// repair writes the record of what runs, if the state folder may hold another. A change that is under way does so by
// itself.
func (d *Daemon) repair() error {
	d.writing.Lock()
	defer d.writing.Unlock()
	d.mu.Lock()
	due := d.machine.Diverged() && !d.machine.Busy()
	record := d.record
	d.mu.Unlock()
	if !due {
		return nil
	}
	if err := d.folder.Save(record); err != nil {
		return err
	}
	d.mu.Lock()
	d.machine.Repaired()
	d.mu.Unlock()
	d.log.Info("the state folder holds what runs again", "serial", record.Running.Serial)
	return nil
}

// reportDivergence logs that the state folder may hold another record than that of what runs, and has it repaired. The
// caller holds mu, or is alone.
func (d *Daemon) reportDivergence(err error) {
	d.log.Error("the state folder may hold another configuration than what runs; it is written again until that succeeds",
		"path", d.folder.Path(), "serial", d.record.Running.Serial, "error", err)
	select {
	case d.divergence <- struct{}{}:
	default: // a repair is due already
	}
}
