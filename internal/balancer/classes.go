package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	sampleWeight       = 0.06 // weight of a new sample in averages over all servers (about 16 samples)
	overlongDeviations = 3.0  // mean deviations above the mean latency at which a wait is overlong
	classCountDecay    = 0.99 // decay factor of the class counters per request
)

// expectedLatencyDeviations is the number of mean deviations above the mean within which 19 of 20 replies arrive: a
// mean deviation is four fifths of a standard deviation.
const expectedLatencyDeviations = 2

// minLatencySamples is the number of samples below which a class's latency deviation is not usable.
const minLatencySamples = 8

// class is a configured class and its statistics.
type class struct {
	Class
	meanLatency        float64 // of successes, in ns
	latencyDeviation   float64 // mean deviation of successes, in ns
	baseLatency        float64 // mean latency without contention, in ns
	failureShare       float64 // share of its attempts that failed
	samples            int
	arrivals           float64 // decayed count
	served             float64 // decayed count of requests served within the latency objective
	commonTimeout      float64 // time until the deadline that most client attempts have, in ns
	commonTimeoutVotes int     // votes for commonTimeout minus votes against it
}

// setClasses replaces the classes and keeps the statistics of those that remain. It adds one class for all requests
// of unknown classes.
func (b *Balancer) setClasses(list []Class) {
	old := b.classes
	b.classes = map[string]*class{}
	b.classOrder = nil
	for _, c := range append(slices.Clone(list), unknownClass(list)) {
		known := old[c.Name]
		if known == nil {
			known = &class{}
		}
		known.Class = c
		if known.samples == 0 {
			known.initLatencyEstimates()
		}
		b.classes[c.Name] = known
		b.classOrder = append(b.classOrder, known)
	}
}

// unknownClass returns the class for requests whose class is not in the settings: unsafe, with the terms of the class
// with the longest deadline. Its name is empty.
func unknownClass(list []Class) Class {
	byDeadline := func(a, b Class) int { return cmp.Compare(a.Deadline, b.Deadline) }
	longest := slices.MaxFunc(list, byDeadline)
	return Class{
		LatencyObjective: longest.LatencyObjective,
		Deadline:         longest.Deadline,
		PriorityWeight:   longest.PriorityWeight,
	}
}

// initLatencyEstimates sets estimates that are used until there are samples.
func (c *class) initLatencyEstimates() {
	objective := float64(c.LatencyObjective)
	c.meanLatency = objective / 4
	c.latencyDeviation = objective / 8
	c.baseLatency = objective / 4
}

// reconfigure applies new settings and keeps all statistics. An open request keeps the terms under which it was
// accepted, unless its class is stricter now.
func (b *Balancer) reconfigure(set Settings) {
	if validate(set) != nil {
		return
	}
	old := b.settings
	b.settings = set
	b.setClasses(set.Classes)
	for _, s := range b.servers {
		maps.DeleteFunc(s.failures, func(k *class, _ decayingShare) bool { return b.classes[k.Name] != k })
	}
	for _, r := range b.requests {
		r.tighten(b.classes[r.class.Name])
	}
	if set.Balancers != old.Balancers || set.Index != old.Index {
		b.subsetSize = 0
	}
	if set.PollDiscovery && !old.PollDiscovery {
		b.scheduleSubscribe()
	}
	b.releaseDelayed()
}

// ExpectedLatency returns the latency within which most of a class's replies currently arrive; 0 before the first
// reply.
func (b *Balancer) ExpectedLatency(class string) time.Duration {
	c := b.classes[class]
	switch {
	case c == nil || c.samples == 0:
		return 0
	case c.samples < minLatencySamples: // the deviation is not usable yet
		return time.Duration(c.meanLatency)
	}
	return time.Duration(c.meanLatency + expectedLatencyDeviations*c.latencyDeviation)
}

// overlongLatency returns the latency above which a reply of the class counts as overlong.
func (b *Balancer) overlongLatency(c *class) time.Duration {
	return time.Duration(c.meanLatency + overlongDeviations*c.latencyDeviation)
}
