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
	countDecay    = 0.99 // what is left of the classes' counts after one more request
)

// latencyDeviations are the deviations above the mean that nineteen answers of twenty come within: a mean deviation is
// four fifths of a standard one.
const latencyDeviations = 2

// fewSamples are too few to tell by how much a class's answers differ.
const fewSamples = 8

// class holds what was learned of a class.
type class struct {
	Class
	meanLatency      float64 // of successes, in ns
	latencyDeviation float64 // mean deviation of theirs, in ns
	baseLatency      float64 // what the mean was when there was most capacity, in ns
	failureShare     float64 // share of its attempts that fail
	samples          int
	arrivals         float64 // decayed count
	served           float64 // within the latency objective, decayed count
	commonTime       float64 // time that most attempts of clients are given, in ns
	votes            int     // for it, less those against it
}

// takeClasses knows these classes from now on, and what was learned of them before. One more stands for all others.
func (b *Balancer) takeClasses(list []Class) {
	old := b.classes
	b.classes = map[string]*class{}
	b.classOrder = nil
	for _, c := range append(slices.Clone(list), unknownClass(list)) {
		k := old[c.Name]
		if k == nil {
			k = &class{}
		}
		k.Class = c
		if k.samples == 0 {
			k.guessLatency()
		}
		b.classes[c.Name] = k
		b.classOrder = append(b.classOrder, k)
	}
}

// unknownClass is what requests of classes that the settings don't name are taken for: unsafe, with the terms of the
// class with the longest deadline. Its name is empty.
func unknownClass(list []Class) Class {
	byDeadline := func(a, b Class) int { return cmp.Compare(a.Deadline, b.Deadline) }
	longest := slices.MaxFunc(list, byDeadline)
	return Class{
		LatencyObjective: longest.LatencyObjective,
		Deadline:         longest.Deadline,
		PriorityWeight:   longest.PriorityWeight,
	}
}

// guessLatency stands in for samples until there are some.
func (c *class) guessLatency() {
	objective := float64(c.LatencyObjective)
	c.meanLatency = objective / 4
	c.latencyDeviation = objective / 8
	c.baseLatency = objective / 4
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
