package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	sampleWeight  = 0.06 // weight of a new sample in pooled averages (about 16 samples)
	tailDeviation = 3.0  // deviations above the mean at which a wait counts as overlong
)

// latencyDeviations are the deviations above the mean that nineteen answers of twenty come within: a mean deviation is
// four fifths of a standard one.
const latencyDeviations = 2

// fewSamples are too few to tell by how much a class's answers differ.
const fewSamples = 8

// class holds what was learned of a class.
type class struct {
	Class
	meanLatency, latencyDeviation float64 // latency of successes, in ns
	baseLatency                   float64 // what mean was when there was most room
	failureShare                  float64 // share of its attempts that fail
	samples                       int
	arrivals, served              float64 // decayed counts
	commonTime                    float64 // time that most tries are given, in ns
	votes                         int     // for it, less those against it
}

// takeClasses knows these classes from now on, and what was learned of them before. One more stands for all others.
func (b *Balancer) takeClasses(list []Class) {
	old := b.classes
	b.classes, b.classOrder = map[string]*class{}, nil
	odd := slices.MaxFunc(list, func(a, b Class) int { return cmp.Compare(a.Deadline, b.Deadline) })
	other := Class{LatencyObjective: odd.LatencyObjective, Deadline: odd.Deadline, PriorityWeight: odd.PriorityWeight}
	for _, c := range append(slices.Clone(list), other) {
		k := old[c.Name]
		if k == nil {
			k = &class{}
		}
		if k.Class = c; k.samples == 0 {
			k.meanLatency, k.latencyDeviation, k.baseLatency = float64(c.LatencyObjective)/4,
				float64(c.LatencyObjective)/8,
				float64(c.LatencyObjective)/4
		}
		b.classes[c.Name] = k
		b.classOrder = append(b.classOrder, k)
	}
}

// reconfigure takes other settings over, with all that was learned. A request that is under way keeps the
// terms on which it was taken, as far as its class is not stricter now.
func (b *Balancer) reconfigure(set Settings) {
	if validate(set) != nil {
		return
	}
	old := b.settings
	b.settings = set
	b.takeClasses(set.Classes)
	for _, s := range b.servers {
		maps.DeleteFunc(s.failures, func(k *class, _ fadingShare) bool { return b.classes[k.Name] != k })
	}
	for _, r := range b.requests {
		r.tighten(b.classes[r.class.Name])
	}
	if set.Balancers != old.Balancers || set.Index != old.Index {
		b.subsetSize = 0
	}
	if set.PollDiscovery && !old.PollDiscovery {
		b.pollAgain()
	}
	b.releaseDelayed()
}

// ExpectedLatency is the wait for an answer that most of a class's answers stay under as they come now; 0: none has
// come yet.
func (b *Balancer) ExpectedLatency(class string) time.Duration {
	c := b.classes[class]
	switch {
	case c == nil || c.samples == 0:
		return 0
	case c.samples < fewSamples: // by how much they differ is not known yet
		return time.Duration(c.meanLatency)
	}
	return time.Duration(c.meanLatency + latencyDeviations*c.latencyDeviation)
}

// overlongLatency is the wait for an answer that most of a class's answers stay well under.
func (b *Balancer) overlongLatency(c *class) time.Duration {
	return time.Duration(c.meanLatency + tailDeviation*c.latencyDeviation)
}
