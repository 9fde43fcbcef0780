package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Evidence that a zone is unreachable is the negative logarithm of the probability of its missing replies if it were
// reachable.
const (
	suspectEvidence        = 3.0 // above it a zone is suspect and gets no new requests
	unreachableEvidence    = 7.0 // above it a zone counts as unreachable
	connectionLostEvidence = 1.0 // added by a connection that broke during a request
	connectFailedEvidence  = 0.5 // added by a failed connection attempt
)

// zone holds the statistics of all servers of a zone. After a partition or the loss of a zone, no replies arrive from
// it: a node with few requests would detect a hundred unresponsive servers one by one and lose a request to each. If
// several of them are unresponsive at once while other zones reply, the whole zone is suspected until one of its
// servers replies.
type zone struct {
	name             string
	lastReply        time.Duration // time of the last reply from any of its servers
	open             []*attempt    // own attempts in flight at its servers, in the order sent
	evidence         float64       // evidence since then that the zone is unreachable
	unreachableSince time.Duration // time at which it became unreachable; 0: it is reachable
	probe            *attempt      // the only attempt that tests the zone while it is excluded
	nextProbe        time.Duration // earliest time of the next probe
}

// zoneOf returns the zone with the given name and creates it if needed.
func (b *Balancer) zoneOf(name string) *zone {
	byName := func(z *zone, name string) int { return cmp.Compare(z.name, name) }
	i, known := slices.BinarySearchFunc(b.zones, name, byName)
	if !known {
		b.zones = slices.Insert(b.zones, i, &zone{name: name})
	}
	return b.zones[i]
}

// removeEmptyZones deletes the zones without servers.
func (b *Balancer) removeEmptyZones() {
	b.zones = slices.DeleteFunc(b.zones, func(z *zone) bool {
		in := func(s *server) bool { return s.zone == z }
		return !slices.ContainsFunc(b.ready, in) && !slices.ContainsFunc(slices.Collect(maps.Values(b.servers)), in)
	})
}

// waitingServers returns how many of a zone's servers have had an own request for longer than half a mean latency and
// became overdue only after the zone's last reply: a server that hung earlier is no evidence about the others.
func (b *Balancer) waitingServers(z *zone) (count float64) {
	for _, a := range z.open {
		c := a.request.class
		if b.now-a.sent < time.Duration(c.meanLatency/2) {
			break
		}
		oldest := a == a.server.open[0]
		lateSinceReply := a.sent > z.lastReply-b.overlongLatency(c)
		if oldest && lateSinceReply {
			count++
		}
	}
	return count
}

// updateZoneEvidence updates the evidence of the other zones when one zone replies. If all servers were alike, any of
// those with a waiting request could have replied, whatever the load. The more of them are in a zone, the less
// probable it is that none of them did.
func (b *Balancer) updateZoneEvidence(replied *zone) {
	total := 1.0 // the server that replied
	for _, z := range b.zones {
		if z.unreachableSince == 0 {
			total += b.waitingServers(z)
		}
	}
	for _, z := range b.zones {
		if z == replied || z.unreachableSince > 0 {
			continue
		}
		waiting := b.waitingServers(z)
		z.evidence += math.Log1p(waiting / (total - waiting))
		if z.evidence > unreachableEvidence {
			b.markUnreachable(z)
		}
	}
}

// markUnreachable marks a zone as unreachable and cancels its repeatable requests, within the retry budget and if a
// reply from another zone would still be in time, so that they are retried elsewhere.
func (b *Balancer) markUnreachable(z *zone) {
	z.unreachableSince = b.now
	budget := b.retryTokens
	for _, a := range z.open {
		r := a.request
		inTime := float64(b.replyDeadline(r)-b.now) >= r.class.meanLatency
		mayRetryElsewhere := b.settings.MayCancel && r.safeAnywhere() && b.mayRetry(r)
		if mayRetryElsewhere && inTime && budget >= 1 {
			budget--
			b.emit(Cancel{ID: r.id, Attempt: a.number})
		}
	}
}

// recordZoneResult updates the state of the attempt's zone and reports whether the result also counts for its server.
// It does not while the zone is unreachable.
func (b *Balancer) recordZoneResult(a *attempt, result Result) bool {
	z := a.zone
	z.open = slices.DeleteFunc(z.open, func(o *attempt) bool { return o == a })
	if z.probe == a {
		z.probe = nil
		z.nextProbe = b.now + time.Duration((0.5+b.rng.Float64())*a.request.class.meanLatency)
	}
	switch result {
	case Success, Failure:
		z.markReachable(b.now)
		b.updateZoneEvidence(z)
	case Overloaded: // rejections are immediate and no evidence about other zones
		z.markReachable(b.now)
	case ConnectionLost:
		z.evidence += connectionLostEvidence
	case Unreachable:
		z.evidence += connectFailedEvidence
	}
	return z.unreachableSince == 0
}

// markReachable clears the evidence against the zone.
func (z *zone) markReachable(now time.Duration) {
	z.lastReply = now
	z.evidence = 0
	z.unreachableSince = 0
}

// zoneExcluded reports whether a server is excluded because of its zone. A server that started after the zone's last
// reply is not excluded, because it is not one of the unresponsive ones. While a probe is selected, all other zones
// are excluded.
func (b *Balancer) zoneExcluded(s *server) bool {
	if b.probedZone != nil {
		return s.zone != b.probedZone
	}
	suspect := s.zone.evidence > suspectEvidence
	neverReplied := s.zone.lastReply == 0
	startedBefore := s.Boot < s.zone.lastReply
	return suspect && (neverReplied || startedBefore)
}

// selectProbe selects a server of a suspect or unreachable zone for an occasional probe, one at a time. Only first
// attempts are used, so that retries can follow.
func (b *Balancer) selectProbe(req *request) *server {
	if len(req.attempts) > 0 || b.settings.MaxAttempts < 2 {
		return nil
	}
	defer func() { b.probedZone = nil }()
	for _, z := range b.zones {
		if !b.probeDue(z) {
			continue
		}
		b.probedZone = z
		for _, g := range []groups{b.subset, b.allGroups} {
			if srv := b.selectFrom(g, req, selectionRules{avoidOutliers: true}); srv != nil {
				return srv
			}
		}
	}
	return nil
}

// probeDue reports whether a suspect or unreachable zone should get a probe now: not while a probe is in flight, and
// not while requests to a suspect zone may still be answered.
func (b *Balancer) probeDue(z *zone) bool {
	if z.evidence <= suspectEvidence || z.probe != nil {
		return false
	}
	awaitingReplies := z.unreachableSince == 0 && len(z.open) > 0
	return !awaitingReplies && b.now >= z.nextProbe
}

// noServerResponding reports whether no server has replied recently. The node's subset may lie in one zone, and then
// only servers outside the subset show whether that zone is unreachable.
func (b *Balancer) noServerResponding() bool {
	return slices.ContainsFunc(b.zones, func(z *zone) bool {
		return len(z.open) > 0 && b.lastSuccess < z.open[0].sent &&
			b.now-z.open[0].sent > b.overlongLatency(z.open[0].request.class)
	})
}
