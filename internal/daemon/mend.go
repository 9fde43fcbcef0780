package daemon

import (
	"context"
	"time"
)

// Waits between two tries to bring the state folder up to what runs.
const (
	firstMend   = 100 * time.Millisecond
	longestMend = 10 * time.Second
)

// keepMended writes the record of what runs whenever the state folder may hold another, again and again until that
// succeeds. It returns when ctx ends, after one last attempt.
func (d *Daemon) keepMended(ctx context.Context) {
	for {
		select {
		case <-d.differs:
			d.mendUntilDone(ctx)
		case <-ctx.Done():
			if err := d.mend(); err != nil {
				d.log.Error("the state folder was not brought up to what ran; the next start may find another configuration", "error", err)
			}
			return
		}
	}
}

// mendUntilDone tries until the state folder holds what runs, or ctx ends.
func (d *Daemon) mendUntilDone(ctx context.Context) {
	for wait := d.options.mendAfter; d.diverged(); wait = min(2*wait, longestMend) {
		select {
		case <-time.After(wait):
			d.mend() // the first failure is in the log; it is tried again
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

// mend writes the record of what runs, if the state folder may hold another. A change that is under way writes what
// is due itself.
func (d *Daemon) mend() error {
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
	d.machine.Mended()
	d.mu.Unlock()
	d.log.Info("the state folder holds what runs again", "serial", record.Running.Serial)
	return nil
}

// reportDifference logs that the state folder may hold another record than that of what runs, and has it mended. The
// client holds mu, or is alone.
func (d *Daemon) reportDifference(err error) {
	d.log.Error("the state folder may hold another configuration than what runs; it is written again until that succeeds",
		"path", d.folder.Path(), "serial", d.record.Running.Serial, "error", err)
	select {
	case d.differs <- struct{}{}:
	default: // it is being mended already
	}
}
