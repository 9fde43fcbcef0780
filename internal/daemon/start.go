package daemon

import (
	"errors"
	"fmt"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/plan"
	"damsontrestle/internal/state"
)

// Limits of the retries with which a start reads the record.
const (
	maxReadTime    = 2 * time.Second
	firstReadDelay = 20 * time.Millisecond // doubled with each attempt
)

// loadRecord reads the record from the state folder. Temporary errors are retried with backoff.
func (d *Daemon) loadRecord(node string) (*state.Record, error) {
	startedAt := time.Now()
	for wait := firstReadDelay; ; wait *= 2 {
		record, err := d.folder.Load(node)
		if !state.IsTemporary(err) || time.Since(startedAt)+wait > maxReadTime {
			return record, err
		}
		time.Sleep(wait)
	}
}

// recordStart makes sure that the state folder holds the record of the configuration that the start chose; recorded reports
// whether it does. A temporary error is logged and left to the repair, so that a full disk does not prevent a node from
// serving.
func (d *Daemon) recordStart(unrecorded bool) (recorded bool, err error) {
	if d.folder == nil || !unrecorded && d.folder.Confirm() == nil {
		return true, nil
	}
	err = d.folder.Save(d.record)
	switch {
	case err == nil:
		return true, nil
	case unrecorded && !state.IsTemporary(err):
		return false, err
	}
	d.reportDivergence(err)
	return false, nil
}

// chooseConfig chooses between the configuration file and the recorded configuration, and sets record and startReason.
// unrecorded reports whether it chose the file and the state folder does not hold that configuration yet.
func (d *Daemon) chooseConfig(cfg *config.Config) (unrecorded bool, err error) {
	entry := state.Entry{Serial: 1, Fingerprint: cfg.Fingerprint(), By: "start", At: now(), Config: cfg}
	d.record = &state.Record{Node: cfg.Node.Name, Lineage: state.NewID(), Running: entry}
	if cfg.Node.StateFolder == "" {
		d.startReason = "the file: there is no state folder, and what is applied is lost with the process"
		return true, nil
	}
	if d.folder, err = state.OpenOn(d.options.StateFileSystem, cfg.Node.StateFolder); err != nil {
		return false, err
	}
	if err := d.folder.Sweep(); err != nil {
		d.log.Warn("could not remove temporary files of interrupted writes; the next write retries", "error", err)
	}
	recordedState, err := d.loadRecord(cfg.Node.Name)
	switch {
	case errors.Is(err, state.ErrNoRecord):
		d.startReason = "the file: the state folder holds none"
	case errors.Is(err, state.ErrDamaged):
		d.log.Error("state folder's record is damaged; starting from the file", "error", err)
		d.startReason = "the file: " + err.Error()
	case state.IsTemporary(err):
		return false, fmt.Errorf("%w; the record may hold an applied configuration, so the file is not used instead", err)
	case err != nil:
		return false, fmt.Errorf("%w; give this node a folder of its own, or start the program that wrote the record", err)
	case recordedState.Running.Fingerprint == entry.Fingerprint:
		d.record = recordedState
		d.startReason = fmt.Sprintf("serial %d as it was put in place by %s: the file says the same", recordedState.Running.Serial, recordedState.Running.By)
		return false, nil
	case !d.options.FromFile:
		d.record = recordedState
		d.startReason = fmt.Sprintf("serial %d as it was put in place by %s; the file says something else, which plan and apply can bring, or a start with -from-file",
			recordedState.Running.Serial, recordedState.Running.By)
		d.log.Warn("configuration file differs from the applied configuration and is ignored", "file", d.options.File, "running", plan.ShortFingerprint(recordedState.Running.Fingerprint))
		return false, nil
	default:
		entry.Serial = recordedState.Running.Serial + 1
		before := recordedState.Running
		d.record = &state.Record{Node: recordedState.Node, Lineage: recordedState.Lineage, Running: entry, Previous: &before}
		d.startReason = fmt.Sprintf("the file, as the start was told: the state folder holds serial %d, which it is not", before.Serial)
	}
	return true, nil
}
