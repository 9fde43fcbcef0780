package daemon

import (
	"errors"
	"fmt"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/plan"
	"damsontrestle/internal/state"
)

// Retries of a start's read of the state folder's record.
const (
	maxReadTime    = 2 * time.Second
	firstReadDelay = 20 * time.Millisecond // doubled with each attempt
)

// load reads the state folder's record. Temporary errors are retried with backoff.
func (d *Daemon) load(node string) (*state.Record, error) {
	begun := time.Now()
	for wait := firstReadDelay; ; wait *= 2 {
		held, err := d.folder.Load(node)
		if !state.IsTemporary(err) || time.Since(begun)+wait > maxReadTime {
			return held, err
		}
		time.Sleep(wait)
	}
}

// keepFirst has the state folder hold the record of a start. A temporary error is logged and left to the repair: a full
// disk doesn't keep a node from serving. kept: the folder holds the record.
func (d *Daemon) keepFirst(fresh bool) (kept bool, err error) {
	if d.folder == nil || !fresh && d.folder.Confirm() == nil {
		return true, nil
	}
	err = d.folder.Save(d.record)
	switch {
	case err == nil:
		return true, nil
	case fresh && !state.IsTemporary(err):
		return false, err
	}
	d.reportDivergence(err)
	return false, nil
}

// choose decides which configuration runs, the file's or the recorded one, and sets record and startReason. fresh: it is
// the file's, and the state folder does not hold it yet.
func (d *Daemon) choose(cfg *config.Config) (fresh bool, err error) {
	entry := state.Entry{Serial: 1, Fingerprint: cfg.Fingerprint(), By: "start", At: now(), Config: cfg}
	d.record = &state.Record{Node: cfg.Node.Name, Lineage: state.NewName(), Running: entry}
	if cfg.Node.StateFolder == "" {
		d.startReason = "the file: there is no state folder, and what is applied is lost with the process"
		return true, nil
	}
	if d.folder, err = state.OpenOn(d.options.StateFiles, cfg.Node.StateFolder); err != nil {
		return false, err
	}
	if err := d.folder.Sweep(); err != nil {
		d.log.Warn("files of writes that were cut short stay until the next write", "error", err)
	}
	held, err := d.load(cfg.Node.Name)
	switch {
	case errors.Is(err, state.ErrNone):
		d.startReason = "the file: the state folder holds none"
	case errors.Is(err, state.ErrDamaged):
		d.log.Error("the state folder's record can't be used", "error", err)
		d.startReason = "the file: " + err.Error()
	case state.IsTemporary(err):
		return false, fmt.Errorf("%w; it may hold what was applied, and the file does not run in its place", err)
	case err != nil:
		return false, fmt.Errorf("%w; give this node a folder of its own, or start the program that wrote it", err)
	case held.Running.Fingerprint == entry.Fingerprint:
		d.record = held
		d.startReason = fmt.Sprintf("serial %d as it was put in place by %s: the file says the same", held.Running.Serial, held.Running.By)
		return false, nil
	case !d.options.FromFile:
		d.record = held
		d.startReason = fmt.Sprintf("serial %d as it was put in place by %s; the file says something else, which plan and apply can bring, or a start with -from-file",
			held.Running.Serial, held.Running.By)
		d.log.Warn("the file differs from what was applied last, and is not taken", "file", d.options.File, "running", plan.ShortFingerprint(held.Running.Fingerprint))
		return false, nil
	default:
		entry.Serial = held.Running.Serial + 1
		before := held.Running
		d.record = &state.Record{Node: held.Node, Lineage: held.Lineage, Running: entry, Previous: &before}
		d.startReason = fmt.Sprintf("the file, as the start was told: the state folder holds serial %d, which it is not", before.Serial)
	}
	return true, nil
}
