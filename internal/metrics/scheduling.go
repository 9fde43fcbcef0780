package metrics

import (
	"math"
	"runtime/metrics"
	"time"

	"damsontrestle/internal/fairqueue"
)

// Scheduling tells how late this process itself is, whatever its peers do, since its start. If goroutines wait long, all responses are late,
// and the times that the node measures leave out what passed before a request was read.
type Scheduling struct {
	Waits     uint64 `json:"waits"`     // of goroutines that were ready to run, for a processor
	Over10ms  uint64 `json:"over_10ms"` // of these
	Over100ms uint64 `json:"over_100ms"`
	Over1s    uint64 `json:"over_1s"`

	Transfers fairqueue.Stats `json:"transfers"` // of long bodies, part by part
}

// metricWaits is the name in runtime/metrics of a histogram in seconds.
const metricWaits = "/sched/latencies:seconds"

// ReadScheduling returns the counts of the process up to now.
func ReadScheduling() Scheduling {
	sample := []metrics.Sample{{Name: metricWaits}}
	metrics.Read(sample)
	result := Scheduling{Transfers: fairqueue.Process.Stats()}
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return result
	}
	waits := sample[0].Value.Float64Histogram()
	result.Waits = countFrom(waits, math.Inf(-1))
	result.Over10ms = countFrom(waits, (10 * time.Millisecond).Seconds())
	result.Over100ms = countFrom(waits, (100 * time.Millisecond).Seconds())
	result.Over1s = countFrom(waits, time.Second.Seconds())
	return result
}

// countFrom returns the number of values in those buckets of a histogram that begin at a bound or above it.
func countFrom(histogram *metrics.Float64Histogram, bound float64) (count uint64) {
	for i, n := range histogram.Counts {
		if histogram.Buckets[i] >= bound {
			count += n
		}
	}
	return count
}
