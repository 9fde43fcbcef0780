package metrics

import (
	"bufio"
	"bytes"
	"os"
	"runtime/metrics"
	"strconv"
)

// Memory tells what occupies the memory of the process, in bytes. Live is what the last collection found in use: if Objects is far
// above it, the collector is late; if Stacks is large, there are many goroutines. Anonymous is what the platform limits.
type Memory struct {
	Limit     int64  `json:"limit,omitempty"`     // of the node; filled in by its owner
	Anonymous int64  `json:"anonymous,omitempty"` // resident anonymous memory of the process, according to the system; 0: not known
	Runtime   uint64 `json:"runtime"`             // held by the Go runtime
	Objects   uint64 `json:"objects"`             // heap objects, in use or not collected yet
	Live      uint64 `json:"live"`                // heap objects that the last collection found in use
	Stacks    uint64 `json:"stacks"`
	GCLimit   uint64 `json:"gc_limit"` // soft limit at which the collector runs more often

	Goroutines  uint64 `json:"goroutines"`  // a number
	Collections uint64 `json:"collections"` // a number, since the start of the process
}

// Names of runtime/metrics.
const (
	metricTotal      = "/memory/classes/total:bytes"
	metricReleased   = "/memory/classes/heap/released:bytes"
	metricObjects    = "/memory/classes/heap/objects:bytes"
	metricLive       = "/gc/heap/live:bytes"
	metricStacks     = "/memory/classes/heap/stacks:bytes"
	metricGCLimit    = "/gc/gomemlimit:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
	metricCycles     = "/gc/cycles/total:gc-cycles"
)

// ReadMemory returns the current memory of the process.
func ReadMemory() Memory {
	names := []string{metricTotal, metricReleased, metricObjects, metricLive, metricStacks, metricGCLimit, metricGoroutines, metricCycles}
	samples := make([]metrics.Sample, len(names))
	for i, name := range names {
		samples[i].Name = name
	}
	metrics.Read(samples)
	values := map[string]uint64{}
	for _, sample := range samples {
		if sample.Value.Kind() == metrics.KindUint64 {
			values[sample.Name] = sample.Value.Uint64()
		}
	}
	return Memory{
		Anonymous:   anonymousMemory(),
		Runtime:     values[metricTotal] - values[metricReleased],
		Objects:     values[metricObjects],
		Live:        values[metricLive],
		Stacks:      values[metricStacks],
		GCLimit:     values[metricGCLimit],
		Goroutines:  values[metricGoroutines],
		Collections: values[metricCycles],
	}
}

// anonymousMemory returns the resident anonymous memory of the process (proc_pid_status(5), RssAnon), or 0 if it is not known.
func anonymousMemory() int64 {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		name, value, _ := bytes.Cut(lines.Bytes(), []byte{':'})
		if string(name) != "RssAnon" {
			continue
		}
		fields := bytes.Fields(value)
		if len(fields) == 0 {
			return 0
		}
		kibibytes, _ := strconv.ParseInt(string(fields[0]), 10, 64)
		return kibibytes << 10
	}
	return 0
}
