package descriptors

import (
	"sync"
	"sync/atomic"
	"testing"
)

// However many take and give at once, no more are in use than there are, and none is lost.
func TestShareIsNeverExceeded(t *testing.T) {
	const most = 7
	s := NewShare(most)
	var inUse, worst atomic.Int64
	var all sync.WaitGroup
	for range 20 {
		all.Add(1)
		go func() {
			defer all.Done()
			for range 2000 {
				if !s.Take() {
					continue
				}
				if n := inUse.Add(1); n > worst.Load() {
					worst.Store(n)
				}
				inUse.Add(-1)
				s.Give()
			}
		}()
	}
	all.Wait()
	if worst.Load() > most || s.Used() != 0 {
		t.Errorf("%d in use at once of %d, %d left", worst.Load(), most, s.Used())
	}
}

// A share that shrinks gives nothing out until enough have come back.
func TestResize(t *testing.T) {
	s := NewShare(3)
	for range 3 {
		if !s.Take() {
			t.Fatal("none left")
		}
	}
	s.Resize(1)
	for i := range 3 {
		if s.Take() {
			t.Errorf("taken with %d in use of %d", s.Used()-1, s.Most())
		}
		s.Give()
		if i == 2 && !s.Take() {
			t.Error("none left once all were given back")
		}
	}
}
