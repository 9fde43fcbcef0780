// Package state records a node's running configuration in its state folder, so that a start finds either the old
// configuration or the new one, complete, however the previous process ended.
//
// The folder holds one file, running.json: the running configuration, the previous one, and a digest of both. A new
// version is written to a temporary file, which is synced and renamed over the old one, and then the folder is synced, so
// that a crash leaves one version or the other. A record that can't be decoded is renamed, never used in part.
// docs/design/plan.md lists step by step what a failure or a crash leaves behind.
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

// FormatVersion is the version of the record format that this program writes and reads.
const FormatVersion = 1

// maxRecordBytes is the size beyond which a record is not read.
const maxRecordBytes = 256 << 20

// recordName is the name of the file.
const recordName = "running.json"

// temporaryPrefix is the prefix of the names of temporary files, which are renamed to become the record.
const temporaryPrefix = "." + recordName

// Entry is a configuration together with when and by which operation it was put in place.
type Entry struct {
	Serial      int64          `json:"serial"`
	Fingerprint string         `json:"fingerprint"`
	By          string         `json:"by"` // start, apply, rollback, reload
	At          time.Time      `json:"at"`
	Config      *config.Config `json:"config"`
}

// Record is the content of the state folder.
type Record struct {
	Node     string `json:"node"`
	Lineage  string `json:"lineage"`
	Running  Entry  `json:"running"`
	Previous *Entry `json:"previous,omitempty"` // target of a rollback; nil: there is none
}

// envelope is the content of the file. The digest covers the bytes of the record, which distinguishes a damaged record from
// one that a newer program wrote.
type envelope struct {
	Format int             `json:"format"`
	Digest string          `json:"digest"`
	Record json.RawMessage `json:"record"`
}

// NewID returns a random id for a new lineage of configurations or for an incarnation of a process.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Errors of Load.
var (
	// ErrNoRecord is returned if the folder holds no record.
	ErrNoRecord = errors.New("the state folder holds no record")
	// ErrDamaged is returned if the record can't be decoded; Load has renamed it, unless the error says otherwise.
	ErrDamaged = errors.New("the state is damaged")
	// ErrNewer is returned if a newer program wrote the record, which is left in place.
	ErrNewer = errors.New("the state was written by a newer program")
	// ErrOtherNode is returned if the folder belongs to another node; its record is left in place.
	ErrOtherNode = errors.New("the state belongs to another node")
)

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// decode decodes a node's record and verifies its digest and its fingerprints.
func decode(text []byte, node string) (*Record, error) {
	var e envelope
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	switch {
	case e.Format > FormatVersion:
		return nil, fmt.Errorf("%w: format %d, but this program reads %d", ErrNewer, e.Format, FormatVersion)
	case e.Format < 1:
		return nil, fmt.Errorf("%w: format version is missing", ErrDamaged)
	case e.Digest != digest(e.Record):
		return nil, fmt.Errorf("%w: digest mismatch", ErrDamaged)
	}
	d := json.NewDecoder(bytes.NewReader(e.Record))
	d.DisallowUnknownFields()
	var r Record
	if err := d.Decode(&r); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrNewer, err) // the digest matches, so the program that wrote it can read it
	}
	if err := r.check(node); err != nil {
		return nil, err
	}
	return &r, nil
}

// check returns an error unless the record belongs to the node, its fingerprints match and its running configuration is
// valid.
func (r *Record) check(node string) error {
	switch {
	case r.Node != node:
		return fmt.Errorf("%w: the record is of node %q, this is node %q", ErrOtherNode, r.Node, node)
	case !r.Running.consistent():
		return fmt.Errorf("%w: fingerprint mismatch of the running configuration", ErrDamaged)
	case r.Previous != nil && !r.Previous.consistent():
		return fmt.Errorf("%w: fingerprint mismatch of the previous configuration", ErrDamaged)
	}
	if err := r.Running.Config.Check().Err(); err != nil {
		return fmt.Errorf("%w: invalid running configuration: %w", ErrDamaged, err)
	}
	return nil
}

// consistent reports whether the entry's fingerprint matches its configuration.
func (e *Entry) consistent() bool {
	return e.Config != nil && e.Fingerprint == e.Config.Fingerprint()
}
