package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Evidence that a zone is unreachable is the logarithm of how unlikely its silence would be otherwise.
const (
	suspectEvidence        = 3.0 // evidence at which it gets no new request (suspect)
	unreachableEvidence    = 7.0 // and at which it counts as unreachable
	connectionLostEvidence = 1.0 // evidence of a connection that broke under a request
	connectFailedEvidence  = 0.5 // and of one that did not come up
)

// zone is what is known of the servers of one zone together. A partition, or a zone's loss, sends nothing to those
// outside: a node of few requests would learn of a hundred silent servers one by one, and lose a request to each. That
// several are silent at once while other zones answer tells of all of them, until one of them answers.
type zone struct {
	name             string
	answeredAt       time.Duration // when one of its servers last answered
	open             []*attempt    // own requests at its servers, in the order of sending
	evidence         float64       // evidence since then that none comes any more
	unreachableSince time.Duration // since when it counts as unreachable; 0: it does not
	probe            *attempt      // the one request that tests whether it still is
	nextProbe        time.Duration // no probe before
}

// zoneOf returns the zone of a name.
func (b *Balancer) zoneOf(name string) *zone {
	byName := func(z *zone, name string) int { return cmp.Compare(z.name, name) }
	i, known := slices.BinarySearchFunc(b.zones, name, byName)
	if !known {
		b.zones = slices.Insert(b.zones, i, &zone{name: name})
	}
	return b.zones[i]
}

// forgetZones drops those that have no servers any more.
func (b *Balancer) forgetZones() {
	b.zones = slices.DeleteFunc(b.zones, func(z *zone) bool {
		in := func(s *server) bool { return s.zone == z }
		return !slices.ContainsFunc(b.ready, in) && !slices.ContainsFunc(slices.Collect(maps.Values(b.servers)), in)
	})
}

// waitingServers is how many of a zone's servers have had a request of ours for longer than half a mean latency, and
// are late only since the zone was last heard of: a server that hung before tells nothing of the others.
func (b *Balancer) waitingServers(z *zone) (n float64) {
	for _, a := range z.open {
		c := a.request.class
		if b.now-a.sent < time.Duration(c.meanLatency/2) {
			break
		}
		oldest := a == a.server.open[0]
		lateSinceAnswer := a.sent > z.answeredAt-b.overlongLatency(c)
		if oldest && lateSinceAnswer {
			n++
		}
	}
	return n
}

// weighSilence takes an answer of one zone for what it tells of the others. Were all alike, any of the servers that are
// waited for could have given it, whatever the load: that none of a zone's did is the less likely the more of them
// there are.
func (b *Balancer) weighSilence(answered *zone) {
	sum := 1.0 // the one that has answered
	for _, z := range b.zones {
		if z.unreachableSince == 0 {
			sum += b.waitingServers(z)
		}
	}
	for _, z := range b.zones {
		if z == answered || z.unreachableSince > 0 {
			continue
		}
		waiting := b.waitingServers(z)
		z.evidence += math.Log1p(waiting / (sum - waiting))
		if z.evidence > unreachableEvidence {
			b.markUnreachable(z)
		}
	}
}

// markUnreachable takes a zone for unreachable, and has those of its requests that may run again run elsewhere, as long
// as an answer would come in time.
func (b *Balancer) markUnreachable(z *zone) {
	z.unreachableSince = b.now
	budget := b.retryTokens
	for _, a := range z.open {
		r := a.request
		inTime := float64(b.usefulUntil(r)-b.now) >= r.class.meanLatency
		mayMove := b.settings.MayCancel && r.safeAnywhere() && b.maySendAgain(r)
		if mayMove && inTime && budget >= 1 {
			budget--
			b.emit(Cancel{ID: r.id, Attempt: a.number})
		}
	}
}

// observeZone takes from an attempt's end what it tells of its zone, and says whether it tells of its server: not in a
// cut.
func (b *Balancer) observeZone(a *attempt, e Result) bool {
	z := a.zone
	z.open = slices.DeleteFunc(z.open, func(o *attempt) bool { return o == a })
	if z.probe == a {
		z.probe = nil
		z.nextProbe = b.now + time.Duration((0.5+b.rng.Float64())*a.request.class.meanLatency)
	}
	switch e {
	case Success, Failure:
		z.hasAnswered(b.now)
		b.weighSilence(z)
	case Overloaded: // it comes at once, and tells nothing of other zones
		z.hasAnswered(b.now)
	case ConnectionLost:
		z.evidence += connectionLostEvidence
	case Unreachable:
		z.evidence += connectFailedEvidence
	}
	return z.unreachableSince == 0
}

// hasAnswered clears what spoke for the zone being unreachable.
func (z *zone) hasAnswered(now time.Duration) {
	z.answeredAt = now
	z.evidence = 0
	z.unreachableSince = 0
}

// zoneExcluded reports whether a server is excluded for its zone: one that has started since is no part of what was
// silent. While a probe is selected all other zones are excluded.
func (b *Balancer) zoneExcluded(s *server) bool {
	if b.probedZone != nil {
		return s.zone != b.probedZone
	}
	suspect := s.zone.evidence > suspectEvidence
	neverAnswered := s.zone.answeredAt == 0
	startedBefore := s.Boot < s.zone.answeredAt
	return suspect && (neverAnswered || startedBefore)
}

// selectProbe draws a server of a suspect or unreachable zone, for one request at a time, seldom: a first attempt, so
// others may follow.
func (b *Balancer) selectProbe(r *request) *server {
	if len(r.attempts) > 0 || b.settings.MaxAttempts < 2 {
		return nil
	}
	defer func() { b.probedZone = nil }()
	for _, z := range b.zones {
		if !b.probeDue(z) {
			continue
		}
		b.probedZone = z
		for _, g := range []groups{b.subset, b.allGroups} {
			if s := b.selectFrom(g, r, selectionRules{avoidOutliers: true}); s != nil {
				return s
			}
		}
	}
	return nil
}

// probeDue reports whether a zone that is suspect or unreachable should get a probe now: not while one is under way,
// nor while requests of a suspect zone may still be answered.
func (b *Balancer) probeDue(z *zone) bool {
	if z.evidence <= suspectEvidence || z.probe != nil {
		return false
	}
	waits := z.unreachableSince == 0 && len(z.open) > 0
	return !waits && b.now >= z.nextProbe
}

// noServerAnswers says that nobody at all answers of late: the node's subset may lie in one zone, and then only servers
// beyond it can tell whether that is unreachable.
func (b *Balancer) noServerAnswers() bool {
	return slices.ContainsFunc(b.zones, func(z *zone) bool {
		return len(z.open) > 0 && b.lastSuccess < z.open[0].sent &&
			b.now-z.open[0].sent > b.overlongLatency(z.open[0].request.class)
	})
}
