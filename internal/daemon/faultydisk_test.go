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
	mu         sync.Mutex
	fault      func(n int, operation string) error // error of operation n of that name; nil: no operation fails
	n          int                                 // operations since fault was set
	operations []string
}

// failWith sets the function that returns the errors of operations, and numbers them from 1 again.
func (s *faultyDisk) failWith(fault func(n int, operation string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.n, s.operations = fault, 0, nil
}

// failAll makes every operation of that name fail ("": every one).
func (s *faultyDisk) failAll(operation string, errno error) {
	s.failWith(func(_ int, made string) error {
		if operation == "" || made == operation {
			return errno
		}
		return nil
	})
}

// failAt makes operations fail with EIO, by their number from now on.
func (s *faultyDisk) failAt(numbers ...int) {
	s.failWith(func(n int, _ string) error {
		if slices.Contains(numbers, n) {
			return syscall.EIO
		}
		return nil
	})
}

// operationsMade returns the operations since the last call of one of the methods that set faults.
func (s *faultyDisk) operationsMade() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.operations)
}

// succeed makes all operations succeed again.
func (s *faultyDisk) succeed() { s.failWith(nil) }

func (s *faultyDisk) intercept(operation, path string) error {
	if operation == "close" && filepath.Base(path) == "state" {
		return nil // the folder is closed at the end of a write, whose result the error would not change
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	s.operations = append(s.operations, operation)
	if s.fault == nil {
		return nil
	}
	return s.fault(s.n, operation)
}

// withFaultyDisk puts the state folder of a fixture on a faultyDisk.
func withFaultyDisk(fx *fixture) *faultyDisk {
	s := &faultyDisk{}
	fx.options.StateFileSystem = &statetest.FileSystem{Intercept: s.intercept}
	return s
}
