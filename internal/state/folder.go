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

// Limits of the search for an unused file name.
const (
	maxDamagedRecords = 1000
	maxCreateAttempts = 100 // of a temporary file, whose name is random
)

// Permissions of the folder and of its files.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// WriteError is the error of a record that could not be written.
type WriteError struct {
	// Untouched reports whether the folder still holds the old record; otherwise it may hold the new one.
	Untouched bool
	Err       error
}

func (e *WriteError) Error() string { return fmt.Sprintf("state: %v", e.Err) }

func (e *WriteError) Unwrap() error { return e.Err }

// Folder is a node's state folder. It is not safe for concurrent use.
type Folder struct {
	path             string
	fileSystem       FileSystem
	created          bool
	unsyncedParents  []string // ancestor folders that have to be synced before the path to this one is durable
	hasDamagedRecord bool     // a damaged record could not be renamed yet
	needsSweep       bool     // temporary files of interrupted writes may remain
}

// Open returns the Folder at path and creates it if it does not exist. If that fails with a temporary error, Save creates
// it.
func Open(path string) (*Folder, error) { return OpenOn(Disk{}, path) }

// OpenOn is like Open but uses the given file system.
func OpenOn(files FileSystem, path string) (*Folder, error) {
	f := &Folder{path: path, fileSystem: files}
	if err := f.create(); err != nil && !IsTemporary(err) {
		return nil, fmt.Errorf("create state folder: %w", err)
	}
	return f, nil
}

// create creates the folder if it does not exist and lists the ancestors that have to be synced.
func (f *Folder) create() error {
	f.unsyncedParents = []string{filepath.Dir(f.path)} // an earlier process may have created the folder and ended before the sync
	for ancestor := filepath.Dir(f.path); ancestor != filepath.Dir(ancestor); ancestor = filepath.Dir(ancestor) {
		if _, err := f.fileSystem.Lstat(ancestor); !errors.Is(err, fs.ErrNotExist) {
			break
		}
		f.unsyncedParents = append(f.unsyncedParents, filepath.Dir(ancestor))
	}
	err := f.fileSystem.MkdirAll(f.path, folderMode)
	f.created = err == nil
	return err
}

// ensureDurable creates the folder if necessary and syncs the ancestors that hold the names of its path.
func (f *Folder) ensureDurable() error {
	if !f.created {
		if err := f.create(); err != nil {
			return err
		}
	}
	for len(f.unsyncedParents) > 0 {
		// A process that has no permission to read a folder can't sync it. That does not prevent the write.
		if err := f.syncFolder(f.unsyncedParents[0]); IsTemporary(err) {
			return err
		}
		f.unsyncedParents = f.unsyncedParents[1:]
	}
	return nil
}

// Path returns the path of the record's file.
func (f *Folder) Path() string { return filepath.Join(f.path, recordName) }

// Load reads the record of a node. It renames a damaged record; the error then names the new file.
func (f *Folder) Load(node string) (*Record, error) {
	text, err := f.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, ErrNoRecord
	case err != nil:
		return nil, fmt.Errorf("read state record: %w", err)
	}
	r, err := decode(text, node)
	if err != nil && errors.Is(err, ErrDamaged) {
		newPath, renameErr := f.renameDamaged()
		f.hasDamagedRecord = renameErr != nil
		if renameErr != nil {
			return nil, fmt.Errorf("%w; the record could not be set aside: %w", err, renameErr)
		}
		return nil, fmt.Errorf("%w; the record was set aside as %s", err, newPath)
	}
	return r, err
}

// read reads the record's file, unless it exceeds the maximum size.
func (f *Folder) read() ([]byte, error) {
	file, err := f.fileSystem.Open(f.Path())
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if info.Size() > maxRecordBytes {
		return nil, fmt.Errorf("%s exceeds %v", f.Path(), config.Size(maxRecordBytes))
	}
	return io.ReadAll(file)
}

// renameDamaged renames the record's file to the first free name of a damaged record, which no start reads, and returns
// the new path.
func (f *Folder) renameDamaged() (string, error) {
	for i := range maxDamagedRecords {
		newPath := filepath.Join(f.path, fmt.Sprintf("%s.damaged-%d", recordName, i))
		_, err := f.fileSystem.Lstat(newPath)
		switch {
		case errors.Is(err, fs.ErrNotExist):
			return newPath, f.fileSystem.Rename(f.Path(), newPath)
		case err != nil:
			return "", err
		}
	}
	return "", fmt.Errorf("rename damaged record: all names for damaged records in %s are taken", f.path)
}

// Save atomically replaces the record. After an error the folder holds the old or the new record; after success it holds
// the new one, even if the machine loses power at once. The error is a *WriteError. To retry, call Save again, which writes
// a new file: if a sync fails, syncing the same file again may succeed although the data is lost.
func (f *Folder) Save(r *Record) error {
	record, err := json.Marshal(r)
	if err != nil {
		return &WriteError{Untouched: true, Err: err}
	}
	text, err := json.Marshal(envelope{Format: FormatVersion, Digest: digest(record), Record: record})
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
	// From here on an error leaves open which record a start finds: a rename that returns an error may have taken
	// effect, and one that has not been synced may be lost when the power fails.
	if err := f.fileSystem.Rename(temporary, f.Path()); err != nil {
		f.removeTemporary(temporary)
		return &WriteError{Err: err}
	}
	if err := f.syncFolder(f.path); err != nil {
		return &WriteError{Err: err}
	}
	return nil
}

// prepareWrite completes what earlier failures left undone and a write requires.
func (f *Folder) prepareWrite() error {
	if err := f.ensureDurable(); err != nil {
		return err
	}
	if f.hasDamagedRecord {
		// The file does not exist if an earlier rename took effect although it returned an error.
		if _, err := f.renameDamaged(); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		f.hasDamagedRecord = false
	}
	if f.needsSweep {
		f.Sweep() // files that remain do not prevent the write
	}
	return nil
}

// Confirm makes the record that Load has read durable, since the process that wrote it may have ended between the rename
// and the sync of the folder. After an error the record must be saved again.
func (f *Folder) Confirm() error {
	if err := f.syncFolder(f.path); err != nil {
		return fmt.Errorf("sync state folder: %w", err)
	}
	return nil
}

// writeTemporary writes and syncs a new temporary file in the folder and returns its path.
func (f *Folder) writeTemporary(text []byte) (string, error) {
	path, file, err := f.createTemporary()
	if err != nil {
		return "", err
	}
	if err := writeAndSync(file, text); err != nil {
		f.removeTemporary(path)
		return "", err
	}
	return path, nil
}

// createTemporary creates a file whose name Sweep recognizes.
func (f *Folder) createTemporary() (string, File, error) {
	var err error
	for range maxCreateAttempts {
		path := filepath.Join(f.path, temporaryPrefix+strconv.FormatInt(mathrand.Int64(), 10))
		var file File
		if file, err = f.fileSystem.Create(path, fileMode); !errors.Is(err, fs.ErrExist) {
			return path, file, err
		}
	}
	return "", nil, err
}

// writeAndSync writes text to a file, syncs it and closes it.
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

// syncFolder makes the names in a folder durable.
func (f *Folder) syncFolder(path string) error {
	folder, err := f.fileSystem.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// removeTemporary removes a temporary file that will not become the record. If that fails, the next write sweeps.
func (f *Folder) removeTemporary(path string) {
	if f.fileSystem.Remove(path) != nil {
		f.needsSweep = true
	}
}

// Sweep removes the temporary files that interrupted writes left behind. It continues after an error; the next write
// retries the rest.
func (f *Folder) Sweep() error {
	err := f.sweep()
	f.needsSweep = err != nil
	if err != nil {
		return fmt.Errorf("remove temporary files of the state folder: %w", err)
	}
	return nil
}

func (f *Folder) sweep() error {
	entries, firstErr := f.fileSystem.ReadDir(f.path)
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Name(), temporaryPrefix) {
			continue
		}
		err := f.fileSystem.Remove(filepath.Join(f.path, entry.Name()))
		if firstErr == nil && !errors.Is(err, fs.ErrNotExist) {
			firstErr = err
		}
	}
	return firstErr
}
