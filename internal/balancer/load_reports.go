package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	loadDecayLatencies   = 5    // mean latencies after which a load report has 1/e of its weight
	loadExponent         = 16   // exponent of the weight per mean load above the others
	pollTimeoutLatencies = 0.25 // mean latencies that a request waits for load reports
)

// handleLoadUpdate records load from sources other than own attempts.
func (b *Balancer) handleLoadUpdate(e LoadUpdate) {
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
		b.finishPoll(r)
	}
}

// recordLoad records how many requests a server held at a time, unless a newer report is known.
func (b *Balancer) recordLoad(s *server, busy float64, at time.Duration) {
	reported := busy >= 0
	if !reported || at < s.reportedAt {
		return
	}
	s.reportedLoad = busy
	s.reportedAt = at
	b.meanReportedLoad += sampleWeight * (busy - b.meanReportedLoad)
}

// loadFactor returns the factor of a server's weight for its reported load relative to the others. Its effect fades
// with the age of the report. A server in slow start counts as loaded sooner.
func (b *Balancer) loadFactor(s *server) float64 {
	if s.reportedAt == 0 {
		return 1
	}
	freshness := math.Exp(-float64(b.now-s.reportedAt) / (loadDecayLatencies * b.classes[""].meanLatency))
	excess := s.reportedLoad/b.slowStartShare(s) - b.meanReportedLoad
	return math.Exp(-loadExponent * freshness * excess / (b.meanReportedLoad + 1))
}

// poll asks some servers of the subset for their load (power of d choices) and makes the request wait for the
// reports: even a slightly older report is much less accurate, because other nodes' requests have arrived since. It
// reports whether the request waits.
func (b *Balancer) poll(req *request) bool {
	if b.settings.PollChoices < 2 || len(req.attempts) > 0 || req.polled != nil {
		return false
	}
	b.updateSubset()
	b.excludeOutliers(b.subset, req, true)
	leftChoices := (b.settings.PollChoices + 1) / 2
	rightChoices := b.settings.PollChoices / 2
	polled := b.samplePolled(b.subset.left, leftChoices)
	polled = append(polled, b.samplePolled(b.subset.right, rightChoices)...)
	maxWait := time.Duration(pollTimeoutLatencies * req.class.meanLatency)
	available := req.deadline - b.now - 4*b.settings.Tick
	timeout := min(maxWait, available)
	if len(polled) < 2 || timeout < b.settings.Tick {
		req.polled = []*server{} // non-nil prevents a second poll
		return false
	}
	req.polled = polled
	req.polling = len(polled)
	ids := make([]string, 0, len(polled))
	for _, srv := range polled {
		ids = append(ids, srv.ID)
	}
	b.emit(Poll{ID: req.id, Servers: ids, Timeout: timeout})
	b.scheduleTimer(req, b.now+timeout)
	return true
}

// samplePolled draws up to count servers of a group to poll.
func (b *Balancer) samplePolled(group []*server, count int) (drawn []*server) {
	for _, k := range b.rng.Perm(len(group)) {
		s := group[k]
		if len(drawn) < count && !s.excluded && b.passesSlowStart(s) {
			drawn = append(drawn, s)
		}
	}
	return drawn
}

// finishPoll places a request once all polled servers have replied or the wait is over.
func (b *Balancer) finishPoll(r *request) {
	r.polling = 0
	r.polled = slices.DeleteFunc(r.polled, func(s *server) bool { return s.reportedAt < r.arrived })
	b.place(r)
}
