package daemon

import (
	"context"
	"time"
)

// Backoff between two attempts to write the running configuration to the state folder.
const (
	firstRepairDelay = 100 * time.Millisecond
	maxRepairDelay   = 10 * time.Second
)

// repairOnDivergence writes the record of the running configuration whenever the state folder may hold another, and retries
// with backoff until that succeeds. When ctx ends it makes one last attempt and returns.
func (d *Daemon) repairOnDivergence(ctx context.Context) {
	for {
		select {
		case <-d.divergence:
			d.repairUntilDone(ctx)
		case <-ctx.Done():
			if err := d.repair(); err != nil {
				d.log.Error("state folder repair failed at shutdown; the next start may find another configuration", "error", err)
			}
			return
		}
	}
}

// repairUntilDone retries until the state folder holds the running configuration or ctx ends.
func (d *Daemon) repairUntilDone(ctx context.Context) {
	for wait := d.options.repairDelay; d.diverged(); wait = min(2*wait, maxRepairDelay) {
		select {
		case <-time.After(wait):
			d.repair() // the error is dropped: the failure that caused the divergence is logged, and this is retried
		case <-ctx.Done():
			return
		}
	}
}

// diverged reports whether the state folder may hold another record than that of the running configuration.
func (d *Daemon) diverged() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Diverged()
}

// repair writes the record of the running configuration if the state folder may hold another. It does nothing while a change
// is under way, as the change writes a record itself.
func (d *Daemon) repair() error {
	d.saveMu.Lock()
	defer d.saveMu.Unlock()
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
	d.log.Info("state folder repaired; it holds the running configuration", "serial", record.Running.Serial)
	return nil
}

// reportDivergence logs that the state folder may hold another record than that of the running configuration, and triggers
// a repair. The caller holds mu, unless no other goroutine uses d yet.
func (d *Daemon) reportDivergence(err error) {
	d.log.Error("state folder may differ from the running configuration; retrying the write until it succeeds",
		"path", d.folder.Path(), "serial", d.record.Running.Serial, "error", err)
	select {
	case d.divergence <- struct{}{}:
	default: // a repair is already pending
	}
}
