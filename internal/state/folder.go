package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	mathrand "math/rand/v2"
	"path/filepath"
	"strconv"
	"strings"

	"damsontrestle/internal/config"
)

// WriteError says why a record could not be written.
type WriteError struct {
	// Untouched says that the folder holds what it held before; otherwise it may hold the new record.
	Untouched bool
	Err       error
}

func (e *WriteError) Error() string { return fmt.Sprintf("state: %v", e.Err) }

func (e *WriteError) Unwrap() error { return e.Err }

// Folder is a node's state folder. Its methods are not for more than one goroutine at a time.
type Folder struct {
	path     string
	files    Files
	created  bool
	unsynced []string // folders on the way to it whose names may not last yet
	damaged  bool     // a record that can't be used is still in its place
	unswept  bool     // there may be files of writes that were cut short
}

// Open uses a folder, which is made if it is not there. One that can't be made for a while is made by Save.
func Open(path string) (*Folder, error) { return OpenOn(Disk{}, path) }

// OpenOn is Open on another file system than the machine's.
func OpenOn(files Files, path string) (*Folder, error) {
	f := &Folder{path: path, files: files}
	if err := f.create(); err != nil && !IsTemporary(err) {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	return f, nil
}

// create makes the folder where it is not there.
func (f *Folder) create() error {
	f.unsynced = []string{filepath.Dir(f.path)} // an earlier process may have made it and not come to the sync
	for at := filepath.Dir(f.path); at != filepath.Dir(at); at = filepath.Dir(at) {
		if _, err := f.files.Lstat(at); !errors.Is(err, fs.ErrNotExist) {
			break
		}
		f.unsynced = append(f.unsynced, filepath.Dir(at))
	}
	err := f.files.MkdirAll(f.path, 0o700)
	f.created = err == nil
	return err
}

// ensureDurable has the folder there to stay: made, and each name on the way to it synced.
func (f *Folder) ensureDurable() error {
	if !f.created {
		if err := f.create(); err != nil {
			return err
		}
	}
	for len(f.unsynced) > 0 {
		// Who may not read a folder can't sync it; that is no reason not to write.
		if err := f.sync(f.unsynced[0]); IsTemporary(err) {
			return err
		}
		f.unsynced = f.unsynced[1:]
	}
	return nil
}

// Path is where the record is.
func (f *Folder) Path() string { return filepath.Join(f.path, recordName) }

// Load reads the record of a node. A damaged one is renamed, and the error tells to what.
func (f *Folder) Load(node string) (*Record, error) {
	text, err := f.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, ErrNone
	case err != nil:
		return nil, fmt.Errorf("state: %w", err)
	}
	r, err := decode(text, node)
	if err != nil && errors.Is(err, ErrDamaged) {
		aside, renamed := f.setAside()
		f.damaged = renamed != nil
		if renamed != nil {
			return nil, fmt.Errorf("%w, and could not be set aside: %w", err, renamed)
		}
		return nil, fmt.Errorf("%w; it was set aside as %s", err, aside)
	}
	return r, err
}

// read reads the record's file, unless it is longer than any record.
func (f *Folder) read() ([]byte, error) {
	file, err := f.files.Open(f.Path())
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if info.Size() > maxRecord {
		return nil, fmt.Errorf("%s is longer than %v", f.Path(), config.Size(maxRecord))
	}
	return io.ReadAll(file)
}

// setAside renames the record to one that no start reads.
func (f *Folder) setAside() (string, error) {
	for i := range 1000 {
		aside := filepath.Join(f.path, fmt.Sprintf("%s.damaged-%d", recordName, i))
		_, err := f.files.Lstat(aside)
		switch {
		case errors.Is(err, fs.ErrNotExist):
			return aside, f.files.Rename(f.Path(), aside)
		case err != nil:
			return "", err
		}
	}
	return "", fmt.Errorf("there are a thousand damaged records in %s already", f.path)
}

// Save writes a record in place of the one that is there, atomically: after an error the folder holds
// one of the two, and after none it holds the new one, also if the machine loses its power now. The error is a
// WriteError. A write that failed is tried again by another Save, in a new file: a sync that failed once may
// succeed the second time with the text lost.
func (f *Folder) Save(r *Record) error {
	record, err := json.Marshal(r)
	if err != nil {
		return &WriteError{Untouched: true, Err: err}
	}
	text, err := json.Marshal(envelope{Format: Format, Digest: digest(record), Record: record})
	if err != nil {
		return &WriteError{Untouched: true, Err: err}
	}
	if err := f.prepareWrite(); err != nil {
		return &WriteError{Untouched: true, Err: err}
	}
	temporary, err := f.writeTemporary(text)
	if err != nil {
		return &WriteError{Untouched: true, Err: err}
	}
	// From here on it can't be told which record a start finds: a rename that reports an error may have been
	// done, and one that was done but not synced may be lost with the power.
	if err := f.files.Rename(temporary, f.Path()); err != nil {
		f.discard(temporary)
		return &WriteError{Err: err}
	}
	if err := f.sync(f.path); err != nil {
		return &WriteError{Err: err}
	}
	return nil
}

// prepareWrite does what earlier failures have left to be done before a write.
func (f *Folder) prepareWrite() error {
	if err := f.ensureDurable(); err != nil {
		return err
	}
	if f.damaged {
		// It is gone if the rename was done that reported an error.
		if _, err := f.setAside(); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		f.damaged = false
	}
	if f.unswept {
		f.Sweep() // what stays is no reason not to write
	}
	return nil
}

// Confirm makes the record that Load has read last: whoever wrote it may have ended between its rename and the folder's
// sync. After an error it must be written anew.
func (f *Folder) Confirm() error {
	if err := f.sync(f.path); err != nil {
		return fmt.Errorf("state folder: %w", err)
	}
	return nil
}

// writeTemporary writes a text to a new file beside the record, synced, and returns its path.
func (f *Folder) writeTemporary(text []byte) (string, error) {
	path, file, err := f.createTemporary()
	if err != nil {
		return "", err
	}
	if err := writeAndSync(file, text); err != nil {
		f.discard(path)
		return "", err
	}
	return path, nil
}

// createTemporary makes a file whose name Sweep knows.
func (f *Folder) createTemporary() (string, File, error) {
	var err error
	for range 100 {
		path := filepath.Join(f.path, temporaryPrefix+strconv.FormatInt(mathrand.Int64(), 10))
		var file File
		if file, err = f.files.Create(path, 0o600); !errors.Is(err, fs.ErrExist) {
			return path, file, err
		}
	}
	return "", nil, err
}

// writeAndSync writes a text to a file, syncs and closes it.
func writeAndSync(file File, text []byte) error {
	if _, err := file.Write(text); err != nil {
		file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// sync makes the names in a folder last.
func (f *Folder) sync(path string) error {
	folder, err := f.files.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// discard removes a file that is not to become the record. Where that fails the next write sweeps.
func (f *Folder) discard(path string) {
	if f.files.Remove(path) != nil {
		f.unswept = true
	}
}

// Sweep removes what writes that were cut short have left behind, as far as it can. The next write goes on with it.
func (f *Folder) Sweep() error {
	err := f.sweep()
	f.unswept = err != nil
	if err != nil {
		return fmt.Errorf("state folder: %w", err)
	}
	return nil
}

func (f *Folder) sweep() error {
	entries, failed := f.files.ReadDir(f.path)
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Name(), temporaryPrefix) {
			continue
		}
		err := f.files.Remove(filepath.Join(f.path, entry.Name()))
		if failed == nil && !errors.Is(err, fs.ErrNotExist) {
			failed = err
		}
	}
	return failed
}
