// Package descriptors counts the sockets that several parts of the process open within one limit, so that none of them
// fails with EMFILE. It opens and closes nothing itself: a caller acquires a descriptor before opening a socket and releases it
// after closing.
package descriptors

import "sync/atomic"

// Share is a number of descriptors that may be in use at once. Its methods are safe for concurrent use.
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

// TryAcquire acquires one descriptor. It reports false if all are in use.
func (s *Share) TryAcquire() bool {
	if s.used.Add(1) > s.limit.Load() {
		s.used.Add(-1)
		return false
	}
	return true
}

// Release returns one acquired descriptor.
func (s *Share) Release() { s.used.Add(-1) }

// Used returns how many descriptors are in use. It may also count calls of TryAcquire that are about to fail.
func (s *Share) Used() int { return int(s.used.Load()) }

// Limit returns how many descriptors may be in use.
func (s *Share) Limit() int { return int(s.limit.Load()) }

// Resize changes the limit. Descriptors in use beyond it stay in use until they are released.
func (s *Share) Resize(limit int) { s.limit.Store(int64(limit)) }
