// Package state keeps what a node runs in its state folder, so that a start after any end finds the old
// configuration or the new one, complete.
//
// The folder holds one file, running.json: the configuration that runs, the one before it, and a digest over
// both. It is written beside and renamed over the old one, the file synced before and the folder after, so that
// a crash leaves the one or the other. What cannot be read is set aside under another name, never guessed at.
// docs/design/plan.md says step by step what is left by a failure or an end.
package state

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"damsontrestle/internal/config"
)

// Format is the version of the record's form that this program writes and reads.
const Format = 1

// maxRecord bounds what is read of a record.
const maxRecord = 256 << 20

// recordName is the name of the file.
const recordName = "running.json"

// temporaryPrefix begins the name of a file that is to become the record.
const temporaryPrefix = "." + recordName

// Entry is a configuration as it was put in place.
type Entry struct {
	Serial      int64          `json:"serial"`
	Fingerprint string         `json:"fingerprint"`
	By          string         `json:"by"` // start, apply, rollback, reload
	At          time.Time      `json:"at"`
	Config      *config.Config `json:"config"`
}

// Record is what the state folder holds.
type Record struct {
	Node     string `json:"node"`
	Lineage  string `json:"lineage"`
	Running  Entry  `json:"running"`
	Previous *Entry `json:"previous,omitempty"` // for a rollback
}

// envelope is the file. The digest is of the record's bytes, so that damage is told from a record that a newer
// program wrote.
type envelope struct {
	Format int             `json:"format"`
	Digest string          `json:"digest"`
	Record json.RawMessage `json:"record"`
}

// NewName draws the name of a new lineage of configurations, or of an incarnation of a process.
func NewName() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Errors of Load.
var (
	// ErrNone says that the folder holds no record.
	ErrNone = errors.New("no state")
	// ErrDamaged says that the record could not be read and was set aside.
	ErrDamaged = errors.New("the state is damaged")
	// ErrNewer says that a newer program wrote the record; it stays where it is.
	ErrNewer = errors.New("the state was written by a newer program")
	// ErrOtherNode says that the folder belongs to another node; its record stays where it is.
	ErrOtherNode = errors.New("the state belongs to another node")
)

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// decode reads a node's record and checks its digest and its fingerprints.
func decode(text []byte, node string) (*Record, error) {
	var e envelope
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	switch {
	case e.Format > Format:
		return nil, fmt.Errorf("%w: format %d; this one reads %d", ErrNewer, e.Format, Format)
	case e.Format < 1:
		return nil, fmt.Errorf("%w: it tells no format", ErrDamaged)
	case e.Digest != digest(e.Record):
		return nil, fmt.Errorf("%w: its digest does not fit", ErrDamaged)
	}
	d := json.NewDecoder(bytes.NewReader(e.Record))
	d.DisallowUnknownFields()
	var r Record
	if err := d.Decode(&r); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrNewer, err) // as it was written: the program that wrote it can read it
	}
	if err := r.check(node); err != nil {
		return nil, err
	}
	return &r, nil
}

// check says whether a record is the node's and fits its own fingerprints.
func (r *Record) check(node string) error {
	switch {
	case r.Node != node:
		return fmt.Errorf("%w: %q, this is %q", ErrOtherNode, r.Node, node)
	case !r.Running.consistent():
		return fmt.Errorf("%w: its configuration has another fingerprint than it says", ErrDamaged)
	case r.Previous != nil && !r.Previous.consistent():
		return fmt.Errorf("%w: the configuration before has another fingerprint than it says", ErrDamaged)
	}
	if err := r.Running.Config.Check().Err(); err != nil {
		return fmt.Errorf("%w: its configuration does not pass: %w", ErrDamaged, err)
	}
	return nil
}

// consistent says whether an entry's fingerprint is its configuration's.
func (e *Entry) consistent() bool {
	return e.Config != nil && e.Fingerprint == e.Config.Fingerprint()
}
