package metrics

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"testing"
	"time"
)

// Guards against a process that is late itself without a trace for operators: goroutines that wait for a processor show.
func TestSchedulingShowsWaitsForProcessor(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const goroutines, busy = 20, 2 * time.Millisecond
	before := ReadScheduling()
	for after := before; after.Over10ms == before.Over10ms; after = ReadScheduling() {
		var all sync.WaitGroup
		for range goroutines {
			all.Go(func() {
				for begin := time.Now(); time.Since(begin) < busy; {
				}
			})
		}
		all.Wait()
	}
}

func TestCountFromSumsBucketsAboveBound(t *testing.T) {
	histogram := &metrics.Float64Histogram{Counts: []uint64{1, 2, 4}, Buckets: []float64{0, 0.01, 0.1, 1}}
	for bound, want := range map[float64]uint64{0: 7, 0.01: 6, 0.1: 4, 1: 0} {
		if got := countFrom(histogram, bound); got != want {
			t.Errorf("from %v: %d, want %d", bound, got, want)
		}
	}
}
