package descriptors

import (
	"sync"
	"sync/atomic"
	"testing"
)

// With concurrent acquires and releases no more descriptors are in use than the limit, and none is lost.
func TestShareIsNeverExceeded(t *testing.T) {
	const limit = 7
	s := NewShare(limit)
	var inUse, highest atomic.Int64
	var workers sync.WaitGroup
	for range 20 {
		workers.Go(func() {
			for range 2000 {
				if !s.TryAcquire() {
					continue
				}
				if n := inUse.Add(1); n > highest.Load() {
					highest.Store(n)
				}
				inUse.Add(-1)
				s.Release()
			}
		})
	}
	workers.Wait()
	if highest.Load() > limit || s.Used() != 0 {
		t.Errorf("%d descriptors in use at once, limit %d; %d in use at the end, want none", highest.Load(), limit, s.Used())
	}
}

// A share that shrinks grants nothing until enough descriptors are released.
func TestShrunkShareGrantsNothingUntilReleased(t *testing.T) {
	s := NewShare(3)
	for range 3 {
		if !s.TryAcquire() {
			t.Fatal("TryAcquire failed below the limit")
		}
	}
	s.Resize(1)
	for i := range 3 {
		if s.TryAcquire() {
			t.Errorf("TryAcquire succeeded with %d in use, limit %d", s.Used()-1, s.Limit())
		}
		s.Release()
		if i == 2 && !s.TryAcquire() {
			t.Error("TryAcquire failed after all were released")
		}
	}
}
