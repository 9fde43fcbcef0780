// Package descriptors counts the sockets that several parts of the process take from one share.
package descriptors

import "sync/atomic"

// Share is a number of descriptors that may be in use at once. Its methods are safe for any number of
// goroutines.
type Share struct {
	most, used atomic.Int64
}

// NewShare returns a Share of so many.
func NewShare(most int) *Share {
	s := &Share{}
	s.most.Store(int64(most))
	return s
}

// Take takes one; false if all are in use.
func (s *Share) Take() bool {
	if s.used.Add(1) > s.most.Load() {
		s.used.Add(-1)
		return false
	}
	return true
}

// Give gives one back that was taken.
func (s *Share) Give() { s.used.Add(-1) }

// Used is how many are in use.
func (s *Share) Used() int { return int(s.used.Load()) }

// Most is how many may be.
func (s *Share) Most() int { return int(s.most.Load()) }

// Resize changes how many may be in use. Those beyond stay until they are given back.
func (s *Share) Resize(most int) { s.most.Store(int64(most)) }
