// Package statetest provides a file system for tests of the state folder. A test can make any operation fail, simulate that
// the process is killed during one, and simulate a loss of power.
package statetest

import (
	"errors"
	"io/fs"
	"os"
	"strings"
	"sync"

	"damsontrestle/internal/state"
)

// ErrKilled is returned by Intercept to kill the simulated process, and by every later operation of that process.
var ErrKilled = errors.New("the simulated process was killed")

// FileSystem performs operations on the disk unless Intercept returns an error.
type FileSystem struct {
	state.Disk
	// Intercept is called before each operation with its name ("write", "sync", "rename", ...) and path. The operation is
	// performed if it returns nil, the process is killed in the middle of it if it returns ErrKilled, and the operation
	// fails after any other error. A write that fails has written half of its data.
	Intercept func(operation, path string) error

	mu       sync.Mutex
	killed   bool
	synced   map[string]bool   // by path: whether the file would be complete after a loss of power
	replaced map[string][]byte // old content, by path, of files whose rename is not synced; nil: there was no file
}

// intercept returns the error with which an operation fails, or nil.
func (f *FileSystem) intercept(operation, path string) error {
	f.mu.Lock()
	killed := f.killed
	f.mu.Unlock()
	if killed {
		return ErrKilled
	}
	if f.Intercept == nil {
		return nil
	}
	err := f.Intercept(operation, path)
	if errors.Is(err, ErrKilled) {
		f.mu.Lock()
		f.killed = true
		f.mu.Unlock()
		return err
	}
	if err != nil {
		return &fs.PathError{Op: operation, Path: path, Err: err}
	}
	return nil
}

// RestartProcess simulates the start of a new process, whose operations succeed.
func (f *FileSystem) RestartProcess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killed = false
}

// SimulatePowerLoss changes the files as a loss of power might: renames that were not synced are undone, unless namesStay,
// and files that were not synced lose the second half of their content.
func (f *FileSystem) SimulatePowerLoss(namesStay bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for path, before := range f.replaced {
		if namesStay {
			break
		}
		if before == nil {
			os.Remove(path)
			continue
		}
		if err := os.WriteFile(path, before, 0o600); err != nil {
			return err
		}
		f.synced[path] = true // the old file was complete
	}
	for path, complete := range f.synced {
		info, err := os.Stat(path)
		if err != nil || complete {
			continue
		}
		if err := os.Truncate(path, info.Size()/2); err != nil {
			return err
		}
	}
	return nil
}

// MkdirAll implements state.FileSystem.
func (f *FileSystem) MkdirAll(path string, mode fs.FileMode) error {
	if err := f.intercept("mkdir", path); err != nil {
		return err
	}
	return f.Disk.MkdirAll(path, mode)
}

// Create implements state.FileSystem.
func (f *FileSystem) Create(path string, mode fs.FileMode) (state.File, error) {
	if err := f.intercept("create", path); err != nil {
		return nil, err
	}
	return f.wrap(path, func() (state.File, error) { return f.Disk.Create(path, mode) })
}

// Open implements state.FileSystem.
func (f *FileSystem) Open(path string) (state.File, error) {
	if err := f.intercept("open", path); err != nil {
		return nil, err
	}
	return f.wrap(path, func() (state.File, error) { return f.Disk.Open(path) })
}

func (f *FileSystem) wrap(path string, open func() (state.File, error)) (state.File, error) {
	opened, err := open()
	if err != nil {
		return nil, err
	}
	return &file{File: opened, files: f, path: path}, nil
}

// Rename implements state.FileSystem.
func (f *FileSystem) Rename(from, to string) error {
	if err := f.intercept("rename", to); err != nil {
		return err
	}
	before, err := os.ReadFile(to)
	if err != nil {
		before = nil
	}
	if err := f.Disk.Rename(from, to); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.initMaps()
	if _, already := f.replaced[to]; !already {
		f.replaced[to] = before
	}
	f.synced[to] = f.synced[from]
	delete(f.synced, from)
	return nil
}

// initMaps allocates the maps. The caller holds mu.
func (f *FileSystem) initMaps() {
	if f.synced == nil {
		f.synced, f.replaced = map[string]bool{}, map[string][]byte{}
	}
}

// Remove implements state.FileSystem.
func (f *FileSystem) Remove(path string) error {
	if err := f.intercept("remove", path); err != nil {
		return err
	}
	return f.Disk.Remove(path)
}

// Lstat implements state.FileSystem.
func (f *FileSystem) Lstat(path string) (fs.FileInfo, error) {
	if err := f.intercept("lstat", path); err != nil {
		return nil, err
	}
	return f.Disk.Lstat(path)
}

// ReadDir implements state.FileSystem.
func (f *FileSystem) ReadDir(path string) ([]fs.DirEntry, error) {
	if err := f.intercept("list", path); err != nil {
		return nil, err
	}
	return f.Disk.ReadDir(path)
}

// file is an open file of a FileSystem.
type file struct {
	state.File
	files *FileSystem
	path  string
}

// Write implements state.File.
func (o *file) Write(p []byte) (int, error) {
	o.files.mu.Lock()
	o.files.initMaps()
	o.files.synced[o.path] = false
	o.files.mu.Unlock()
	if err := o.files.intercept("write", o.path); err != nil {
		n, _ := o.File.Write(p[:len(p)/2])
		return n, err
	}
	return o.File.Write(p)
}

// Read implements state.File.
func (o *file) Read(p []byte) (int, error) {
	if err := o.files.intercept("read", o.path); err != nil {
		return 0, err
	}
	return o.File.Read(p)
}

// Sync implements state.File. It only records that the file is synced, which SimulatePowerLoss uses, and does not wait for
// the disk.
func (o *file) Sync() error {
	if err := o.files.intercept("sync", o.path); err != nil {
		return err
	}
	o.files.mu.Lock()
	defer o.files.mu.Unlock()
	o.files.initMaps()
	o.files.synced[o.path] = true
	for path := range o.files.replaced {
		if strings.HasPrefix(path, o.path+string(os.PathSeparator)) {
			delete(o.files.replaced, path)
		}
	}
	return nil
}

// Close implements state.File. Like the kernel, it closes the file even if the operation fails.
func (o *file) Close() error {
	err := o.files.intercept("close", o.path)
	return errors.Join(err, o.File.Close())
}
