// Package descriptors counts the sockets that several parts of the process open within one limit, so that none of them
// meets EMFILE. It opens and closes nothing itself: whoever does, acquires before and releases after.
package descriptors

import "sync/atomic"

// Share is a number of descriptors that may be in use at once. Its methods are safe for any number of
// goroutines.
type Share struct {
	limit atomic.Int64
	used  atomic.Int64
}

// NewShare returns a Share of limit descriptors, none of them in use.
func NewShare(limit int) *Share {
	s := &Share{}
	s.limit.Store(int64(limit))
	return s
}

// TryAcquire takes one descriptor into use. It reports false, and takes none, if all are.
func (s *Share) TryAcquire() bool {
	if s.used.Add(1) > s.limit.Load() {
		s.used.Add(-1)
		return false
	}
	return true
}

// Release gives back one descriptor that was acquired.
func (s *Share) Release() { s.used.Add(-1) }

// Used returns how many descriptors are in use. While acquires that fail are under way it may count them too.
func (s *Share) Used() int { return int(s.used.Load()) }

// Limit returns how many descriptors may be in use.
func (s *Share) Limit() int { return int(s.limit.Load()) }

// Resize changes the limit. Descriptors in use beyond it stay so until they are released.
func (s *Share) Resize(limit int) { s.limit.Store(int64(limit)) }
