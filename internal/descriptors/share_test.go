package descriptors

import (
	"sync"
	"sync/atomic"
	"testing"
)

// However many acquire and release at once, no more are in use than the limit, and none is lost.
func TestShareIsNeverExceeded(t *testing.T) {
	const limit = 7
	s := NewShare(limit)
	var inUse, worst atomic.Int64
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() {
			for range 2000 {
				if !s.TryAcquire() {
					continue
				}
				if n := inUse.Add(1); n > worst.Load() {
					worst.Store(n)
				}
				inUse.Add(-1)
				s.Release()
			}
		})
	}
	all.Wait()
	if worst.Load() > limit || s.Used() != 0 {
		t.Errorf("%d in use at once of %d, %d left", worst.Load(), limit, s.Used())
	}
}

// A share that shrinks grants nothing until enough descriptors are released.
func TestShrunkShareGrantsNothingUntilReleased(t *testing.T) {
	s := NewShare(3)
	for range 3 {
		if !s.TryAcquire() {
			t.Fatal("none left")
		}
	}
	s.Resize(1)
	for i := range 3 {
		if s.TryAcquire() {
			t.Errorf("acquired with %d in use of %d", s.Used()-1, s.Limit())
		}
		s.Release()
		if i == 2 && !s.TryAcquire() {
			t.Error("none left once all were released")
		}
	}
}
