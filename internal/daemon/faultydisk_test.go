package daemon

import (
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"damsontrestle/internal/state/statetest"
)

// faultyDisk makes operations of a state folder's file system fail.
type faultyDisk struct {
	mu       sync.Mutex
	fault    func(n int, request string) error // error of operation n of that name; nil: no operation fails
	n        int                               // operations since fault was set
	requests []string
}

// failWith sets the function that returns the errors of operations, and numbers them from 1 again.
func (s *faultyDisk) failWith(fault func(n int, request string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.n, s.requests = fault, 0, nil
}

// failAll makes every operation of that name fail ("": every operation).
func (s *faultyDisk) failAll(operation string, errno error) {
	s.failWith(func(_ int, request string) error {
		if operation == "" || request == operation {
			return errno
		}
		return nil
	})
}

// failAt makes operations fail with EIO, by their number from now on.
func (s *faultyDisk) failAt(requests ...int) {
	s.failWith(func(n int, _ string) error {
		if slices.Contains(requests, n) {
			return syscall.EIO
		}
		return nil
	})
}

// requestsMade returns the operations since the last call of one of the methods that set faults.
func (s *faultyDisk) requestsMade() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// succeed makes all operations succeed again.
func (s *faultyDisk) succeed() { s.failWith(nil) }

func (s *faultyDisk) intercept(request, path string) error {
	if request == "close" && filepath.Base(path) == "state" {
		return nil // the folder is closed at the end of a write, whose result the error would not change
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	s.requests = append(s.requests, request)
	if s.fault == nil {
		return nil
	}
	return s.fault(s.n, request)
}

// withFaultyDisk puts the state folder of a fixture on a faultyDisk.
func withFaultyDisk(r *fixture) *faultyDisk {
	s := &faultyDisk{}
	r.options.StateFileSystem = &statetest.FileSystem{Intercept: s.intercept}
	return s
}
