package state

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"slices"
	"syscall"
)

// temporaryErrors are those errors of a file system, or of a process short of something, that may be over in a while.
var temporaryErrors = [...]syscall.Errno{
	syscall.ENOSPC,
	syscall.EDQUOT,
	syscall.EIO,
	syscall.EROFS,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOMEM,
	syscall.EINTR,
	syscall.EAGAIN,
	syscall.ETIMEDOUT,
	syscall.ESTALE,
}

// IsTemporary says that what failed may succeed when it is tried again later, with nobody changing the configuration or
// the folder's rights.
func IsTemporary(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(temporaryErrors[:], errno)
}

// Files is what a Folder asks of the file system. Tests have each request fail, or end the process there.
type Files interface {
	MkdirAll(path string, mode fs.FileMode) error
	// Create makes a file that is not there yet, for writing.
	Create(path string, mode fs.FileMode) (File, error)
	// Open opens a file for reading, or a folder for its sync.
	Open(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	Lstat(path string) (fs.FileInfo, error)
	ReadDir(path string) ([]fs.DirEntry, error)
}

// File is an open file or folder.
type File interface {
	io.ReadWriteCloser
	Stat() (fs.FileInfo, error)
	Sync() error
}

// Disk is the machine's file system.
type Disk struct{}

// MkdirAll implements Files.
func (Disk) MkdirAll(path string, mode fs.FileMode) error { return os.MkdirAll(path, mode) }

// Create implements Files.
func (Disk) Create(path string, mode fs.FileMode) (File, error) {
	return opened(os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode))
}

// Open implements Files.
func (Disk) Open(path string) (File, error) { return opened(os.Open(path)) }

// opened gives no File where there is none: a nil *os.File in an interface is not nil.
func opened(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename implements Files.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements Files.
func (Disk) Remove(path string) error { return os.Remove(path) }

// Lstat implements Files.
func (Disk) Lstat(path string) (fs.FileInfo, error) { return os.Lstat(path) }

// ReadDir implements Files.
func (Disk) ReadDir(path string) ([]fs.DirEntry, error) { return os.ReadDir(path) }
