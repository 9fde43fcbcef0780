package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	loadDecay   = 5    // mean latencies in which a load report falls to a third of its weight
	loadWeight  = 16   // power of e by which a server is drawn less for each mean load that it has above the others
	pollTimeout = 0.25 // mean latencies that a request waits for what servers say
)

// takeLoadUpdate takes what is known from elsewhere than from own requests.
func (b *Balancer) takeLoadUpdate(e LoadUpdate) {
	for _, l := range e.Loads {
		if s := b.servers[l.Server]; s != nil {
			b.recordLoad(s, l.Busy, b.now-l.Age)
		}
	}
	r := b.requests[e.ID]
	if r == nil || r.polling <= 0 {
		return
	}
	r.polling -= len(e.Loads)
	if r.polling <= 0 {
		b.polledAll(r)
	}
}

// recordLoad takes a report of how many requests a server held at a time, unless a younger one is known.
func (b *Balancer) recordLoad(s *server, busy float64, at time.Duration) {
	reported := busy >= 0
	if !reported || at < s.reportedAt {
		return
	}
	s.reportedLoad = busy
	s.reportedAt = at
	b.meanReportedLoad += sampleWeight * (busy - b.meanReportedLoad)
}

// loadFactor is by how much more or less a server is drawn for its reported load against the others': the less, the
// older the report is. A server in slow start fills up sooner.
func (b *Balancer) loadFactor(s *server) float64 {
	if s.reportedAt == 0 {
		return 1
	}
	fade := math.Exp(-float64(b.now-s.reportedAt) / (loadDecay * b.classes[""].meanLatency))
	above := s.reportedLoad/b.slowStartShare(s) - b.meanReportedLoad
	return math.Exp(-loadWeight * fade * above / (b.meanReportedLoad + 1))
}

// poll asks some servers of the subset for their load (power of d choices), and has the request wait for it: a report
// of even a moment ago tells much less, for the other nodes' requests have come since. It returns whether it waits.
func (b *Balancer) poll(r *request) bool {
	if b.settings.PollChoices < 2 || len(r.attempts) > 0 || r.polled != nil {
		return false
	}
	b.fitSubset()
	b.excludeOutliers(b.subset, r, true)
	leftChoices := (b.settings.PollChoices + 1) / 2
	rightChoices := b.settings.PollChoices / 2
	polled := b.drawPolled(b.subset.left, leftChoices)
	polled = append(polled, b.drawPolled(b.subset.right, rightChoices)...)
	usefulWait := time.Duration(pollTimeout * r.class.meanLatency)
	latest := r.deadline - b.now - 4*b.settings.Tick
	timeout := min(usefulWait, latest)
	if len(polled) < 2 || timeout < b.settings.Tick {
		r.polled = []*server{} // not nil: no second poll
		return false
	}
	r.polled = polled
	r.polling = len(polled)
	ids := make([]string, 0, len(polled))
	for _, s := range polled {
		ids = append(ids, s.ID)
	}
	b.emit(Poll{ID: r.id, Servers: ids, Timeout: timeout})
	b.wakeAt(r, b.now+timeout)
	return true
}

// drawPolled draws up to count servers of a group that may be polled.
func (b *Balancer) drawPolled(group []*server, count int) (drawn []*server) {
	for _, k := range b.rng.Perm(len(group)) {
		s := group[k]
		if len(drawn) < count && !s.excluded && b.passesSlowStart(s) {
			drawn = append(drawn, s)
		}
	}
	return drawn
}

// polledAll places a request once all servers that it polled have replied, or it has waited for long enough.
func (b *Balancer) polledAll(r *request) {
	r.polling = 0
	r.polled = slices.DeleteFunc(r.polled, func(s *server) bool { return s.reportedAt < r.arrived })
	b.place(r)
}
