// Package statetest is a file system for tests of the state folder: it counts the requests, has any of them fail, ends
// the process at any of them, and takes the machine's power away.
package statetest

import (
	"errors"
	"io/fs"
	"os"
	"strings"
	"sync"

	"damsontrestle/internal/state"
)

// ErrEnded is what every request of a process gets that has been ended.
var ErrEnded = errors.New("the process has ended")

// Files passes requests on to the disk, after it has asked what is to become of each.
type Files struct {
	state.Disk
	// Ask is asked before each request, by its name ("write", "sync", "rename", ...) and path: nil lets it through,
	// ErrEnded ends the process in the middle of it, any other error has it fail. A write that fails has written half.
	Ask func(request, path string) error

	mu      sync.Mutex
	ended   bool
	synced  map[string]bool   // files that would be complete after a loss of power
	replace map[string][]byte // renames that would not have happened: what was there, nil for nothing
}

// ask settles what becomes of a request.
func (f *Files) ask(request, path string) error {
	f.mu.Lock()
	ended := f.ended
	f.mu.Unlock()
	if ended {
		return ErrEnded
	}
	if f.Ask == nil {
		return nil
	}
	err := f.Ask(request, path)
	if errors.Is(err, ErrEnded) {
		f.mu.Lock()
		f.ended = true
		f.mu.Unlock()
		return err
	}
	if err != nil {
		return &fs.PathError{Op: request, Path: path, Err: err}
	}
	return nil
}

// Restart has the requests of the next process go through.
func (f *Files) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = false
}

// LosePower leaves the folder as a loss of power might: names that were not synced are as before, and files that were
// not synced have lost half of their text.
func (f *Files) LosePower(namesStay bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for path, before := range f.replace {
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
		f.synced[path] = true // it is the file that was there, and that one was
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

// MkdirAll implements state.Files.
func (f *Files) MkdirAll(path string, mode fs.FileMode) error {
	if err := f.ask("mkdir", path); err != nil {
		return err
	}
	return f.Disk.MkdirAll(path, mode)
}

// Create implements state.Files.
func (f *Files) Create(path string, mode fs.FileMode) (state.File, error) {
	if err := f.ask("create", path); err != nil {
		return nil, err
	}
	return f.file(path, func() (state.File, error) { return f.Disk.Create(path, mode) })
}

// Open implements state.Files.
func (f *Files) Open(path string) (state.File, error) {
	if err := f.ask("open", path); err != nil {
		return nil, err
	}
	return f.file(path, func() (state.File, error) { return f.Disk.Open(path) })
}

func (f *Files) file(path string, open func() (state.File, error)) (state.File, error) {
	opened, err := open()
	if err != nil {
		return nil, err
	}
	return &file{File: opened, files: f, path: path}, nil
}

// Rename implements state.Files.
func (f *Files) Rename(from, to string) error {
	if err := f.ask("rename", to); err != nil {
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
	f.know()
	if _, already := f.replace[to]; !already {
		f.replace[to] = before
	}
	f.synced[to] = f.synced[from]
	delete(f.synced, from)
	return nil
}

// know makes the maps. The caller holds mu.
func (f *Files) know() {
	if f.synced == nil {
		f.synced, f.replace = map[string]bool{}, map[string][]byte{}
	}
}

// Remove implements state.Files.
func (f *Files) Remove(path string) error {
	if err := f.ask("remove", path); err != nil {
		return err
	}
	return f.Disk.Remove(path)
}

// Lstat implements state.Files.
func (f *Files) Lstat(path string) (fs.FileInfo, error) {
	if err := f.ask("lstat", path); err != nil {
		return nil, err
	}
	return f.Disk.Lstat(path)
}

// ReadDir implements state.Files.
func (f *Files) ReadDir(path string) ([]fs.DirEntry, error) {
	if err := f.ask("list", path); err != nil {
		return nil, err
	}
	return f.Disk.ReadDir(path)
}

// file is an open file of Files.
type file struct {
	state.File
	files *Files
	path  string
}

// Write implements state.File.
func (o *file) Write(p []byte) (int, error) {
	o.files.mu.Lock()
	o.files.know()
	o.files.synced[o.path] = false
	o.files.mu.Unlock()
	if err := o.files.ask("write", o.path); err != nil {
		n, _ := o.File.Write(p[:len(p)/2])
		return n, err
	}
	return o.File.Write(p)
}

// Read implements state.File.
func (o *file) Read(p []byte) (int, error) {
	if err := o.files.ask("read", o.path); err != nil {
		return 0, err
	}
	return o.File.Read(p)
}

// Sync implements state.File. What would be lost without it is known here, so that the disk isn't waited for.
func (o *file) Sync() error {
	if err := o.files.ask("sync", o.path); err != nil {
		return err
	}
	o.files.mu.Lock()
	defer o.files.mu.Unlock()
	o.files.know()
	o.files.synced[o.path] = true
	for path := range o.files.replace {
		if strings.HasPrefix(path, o.path+string(os.PathSeparator)) {
			delete(o.files.replace, path)
		}
	}
	return nil
}

// Close implements state.File. The file is closed also where the request fails, as the kernel does it.
func (o *file) Close() error {
	err := o.files.ask("close", o.path)
	return errors.Join(err, o.File.Close())
}
