package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	loadDecay   = 5    // mean latencies in which a server's word falls to a third of its weight
	loadWeight  = 16   // power of e by which a server is drawn less for each mean load that it holds more than others
	pollTimeout = 0.25 // mean latencies that a request waits for what servers say
)

// takeLoadUpdate takes what is known from elsewhere than from own requests.
func (b *Balancer) takeLoadUpdate(e LoadUpdate) {
	for _, l := range e.Loads {
		if s := b.servers[l.Server]; s != nil {
			b.recordLoad(s, l.Busy, b.now-l.Age)
		}
	}
	if r := b.requests[e.ID]; r != nil && r.polling > 0 {
		if r.polling -= len(e.Loads); r.polling <= 0 {
			b.polledAll(r)
		}
	}
}

// recordLoad takes a word of how much a server held at a time.
func (b *Balancer) recordLoad(s *server, busy float64, at time.Duration) {
	if busy >= 0 && at >= s.reportedAt {
		s.reportedLoad, s.reportedAt = busy, at
		b.meanReportedLoad += sampleWeight * (busy - b.meanReportedLoad)
	}
}

// loadFactor is by how much more or less a server is drawn for what it holds against others: the less, the older the
// word of it is. A server in slow start fills up sooner.
func (b *Balancer) loadFactor(s *server) float64 {
	if s.reportedAt == 0 {
		return 1
	}
	fade := math.Exp(-float64(b.now-s.reportedAt) / (loadDecay * b.classes[""].meanLatency))
	above := s.reportedLoad/b.slowStartShare(s) - b.meanReportedLoad
	return math.Exp(-loadWeight * fade * above / (b.meanReportedLoad + 1))
}

// poll has some servers of the pool say how much they hold, and the request wait for it: a word of even a moment ago is
// much less worth, for the other nodes' requests have come since.
func (b *Balancer) poll(r *request) bool {
	if b.settings.PollChoices < 2 || len(r.attempts) > 0 || r.polled != nil {
		return false
	}
	b.fitSubset()
	b.excludeOutliers(b.subset, r, true)
	e := Poll{ID: r.id, Timeout: min(time.Duration(pollTimeout*r.class.meanLatency),
		r.deadline-b.now-4*b.settings.Tick)}
	for i, group := range [][]*server{b.subset.left, b.subset.right} {
		left := (b.settings.PollChoices + 1 - i) / 2
		for _, k := range b.rng.Perm(len(group)) {
			if s := group[k]; left > 0 && !s.excluded && b.passesSlowStart(s) {
				r.polled, e.Servers, left = append(r.polled, s), append(e.Servers, s.ID), left-1
			}
		}
	}
	r.polling = len(r.polled)
	if r.polling < 2 || e.Timeout < b.settings.Tick {
		r.polled, r.polling = []*server{}, 0
		return false
	}
	b.emit(e)
	b.wakeAt(r, b.now+e.Timeout)
	return true
}

// polledAll places a request once all that it asked have said what they hold, or it has waited for long enough.
func (b *Balancer) polledAll(r *request) {
	r.polling = 0
	r.polled = slices.DeleteFunc(r.polled, func(s *server) bool { return s.reportedAt < r.arrived })
	b.place(r)
}
