package state

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"slices"
	"syscall"
)

// temporaryErrors are the errors of a file system, or of exhausted resources, that may go away by themselves.
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

// IsTemporary reports whether an operation that failed with err may succeed on a later retry, without a change of the
// configuration or of the folder's permissions.
func IsTemporary(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(temporaryErrors[:], errno)
}

// FileSystem has the file operations that a Folder needs. Tests use an implementation that makes operations fail or
// simulates that the process is killed.
type FileSystem interface {
	MkdirAll(path string, mode fs.FileMode) error
	// Create creates a file for writing and fails if it exists.
	Create(path string, mode fs.FileMode) (File, error)
	// Open opens a file for reading, or a folder for syncing.
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

// Disk is the FileSystem of the operating system.
type Disk struct{}

// MkdirAll implements FileSystem.
func (Disk) MkdirAll(path string, mode fs.FileMode) error { return os.MkdirAll(path, mode) }

// Create implements FileSystem.
func (Disk) Create(path string, mode fs.FileMode) (File, error) {
	return asFile(os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode))
}

// Open implements FileSystem.
func (Disk) Open(path string) (File, error) { return asFile(os.Open(path)) }

// asFile returns a nil File after an error: an interface that holds a nil *os.File would not be nil.
func asFile(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename implements FileSystem.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (Disk) Remove(path string) error { return os.Remove(path) }

// Lstat implements FileSystem.
func (Disk) Lstat(path string) (fs.FileInfo, error) { return os.Lstat(path) }

// ReadDir implements FileSystem.
func (Disk) ReadDir(path string) ([]fs.DirEntry, error) { return os.ReadDir(path) }
