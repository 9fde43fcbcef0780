package daemon

import (
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"damsontrestle/internal/state/statetest"
)

// faultyDisk is a file system whose requests fail as they are asked to.
type faultyDisk struct {
	mu    sync.Mutex
	fails func(n int, request string) error // nil: all is well
	n     int                               // requests since then
	calls []string
}

// fail has the requests from now on fail as told.
func (s *faultyDisk) fail(fails func(n int, request string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails, s.n, s.calls = fails, 0, nil
}

// failAll has every request of that name fail ("": every request).
func (s *faultyDisk) failAll(named string, errno error) {
	s.fail(func(_ int, request string) error {
		if named == "" || request == named {
			return errno
		}
		return nil
	})
}

// failAt has those requests fail, by their number from now on.
func (s *faultyDisk) failAt(requests ...int) {
	s.fail(func(n int, _ string) error {
		if slices.Contains(requests, n) {
			return syscall.EIO
		}
		return nil
	})
}

// made are the requests since the last of the above.
func (s *faultyDisk) made() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// succeed has all go well again.
func (s *faultyDisk) succeed() { s.fail(nil) }

func (s *faultyDisk) ask(request, path string) error {
	if request == "close" && filepath.Base(path) == "state" {
		return nil // the folder's, behind all that a write needs
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	s.calls = append(s.calls, request)
	if s.fails == nil {
		return nil
	}
	return s.fails(s.n, request)
}

// withFaultyDisk has the fault bench's state folder on a disk that can fail.
func withFaultyDisk(r *fixture) *faultyDisk {
	s := &faultyDisk{}
	r.options.StateFiles = &statetest.Files{Ask: s.ask}
	return s
}
