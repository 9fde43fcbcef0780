package balancer

import (
	"math"
	"time"
)

const (
	serverSampleWeight    = 0.25   // weight of a new sample in a single server's averages
	maxStreakProbability  = 0.08   // a run of bad results at least this probable is attributed to chance
	goodResultsPerLevel   = 3      // consecutive good results that undo one doubling
	failureSampleWeight   = 0.15   // weight of a new result in a server's share of failures in a class
	ejectionLatencies     = 12     // mean latencies of the first ejection
	maxEjectionLevel      = 5      // most doublings of an ejection
	baseLatencyRiseWeight = 0.0005 // weight of a higher mean in a class's base latency
	baseLatencyFallWeight = 0.02   // weight of a lower one; small, as noise can push the mean below any real latency

	minBadResultShare = 0.01 // lower bound of badResultShare
)

// recordResult updates the class's latency and the server's health, relative to the others, from an attempt's result.
func (b *Balancer) recordResult(a *attempt, outcome Outcome) {
	srv := a.server
	c := a.request.class
	latency := max(1, float64(b.now-a.sent)) // a coarse clock may measure zero, whose logarithm would break the weight
	overlong := latency > c.meanLatency+overlongDeviations*c.latencyDeviation
	b.recordFailureShares(srv, c, outcome.Result)
	switch outcome.Result {
	case Success:
		b.recordSuccess(srv, c, latency)
		if c.samples < minLatencySamples {
			overlong = false
		}
		srv.recordLatency(latency, c)
		b.recordHealth(srv, c, !overlong)
	case Overloaded, Unreachable:
		b.recordRejection(srv, c)
	case Failure, ConnectionLost, TimedOut:
		if overlong {
			srv.recordLatency(latency, c)
		}
		b.recordHealth(srv, c, false)
	case Cancelled:
		if overlong {
			srv.recordLatency(latency, c)
			b.recordHealth(srv, c, false)
		}
	}
}

// recordFailureShares updates the failure shares of the server and of the class, if the result counts there.
func (b *Balancer) recordFailureShares(s *server, c *class, result Result) {
	failed := 0.0
	switch result {
	case Success:
	case Failure, TimedOut:
		failed = 1
	default:
		return
	}
	for _, k := range b.failureClasses(c) {
		share := b.failureShare(s, k, c)
		share += failureSampleWeight * (failed - share)
		s.failures[k] = decayingShare{share: share, at: b.now}
		k.failureShare += sampleWeight * (failed - k.failureShare)
	}
}

// recordSuccess adds to the retry budget and updates the class's latency averages. The first samples replace the
// initial estimate; otherwise the first server to reply would look fast in comparison.
func (b *Balancer) recordSuccess(s *server, c *class, latency float64) {
	b.retryTokens = min(maxRetryTokens, b.retryTokens+retryTokensPerSuccess)
	b.lastSuccess = b.now
	s.lastSuccess = b.now
	s.rejections = 0
	c.samples++
	weight := max(sampleWeight, 1/float64(c.samples))
	c.latencyDeviation += weight * (math.Abs(latency-c.meanLatency) - c.latencyDeviation)
	c.meanLatency += weight * (latency - c.meanLatency)
	c.baseLatency += baseLatencyRiseWeight * (c.meanLatency - c.baseLatency)
	c.baseLatency += min(0, baseLatencyFallWeight*(c.meanLatency-c.baseLatency))
	if c.samples < minLatencySamples {
		c.baseLatency = c.meanLatency
	}
}

// recordRejection records that a server is full with the requests that it has now, for a time that doubles with each
// consecutive rejection.
func (b *Balancer) recordRejection(s *server, c *class) {
	s.knownCapacity = s.inFlight
	jittered := (0.5 + b.rng.Float64()) * ejectionLatencies * c.meanLatency
	s.fullUntil = b.now + time.Duration(jittered)<<s.rejections
	s.rejections = min(s.rejections+1, maxEjectionLevel)
}

// recordLatency updates the server's mean latency relative to its class.
func (s *server) recordLatency(latency float64, c *class) {
	s.latencySamples++
	weight := max(serverSampleWeight, 1/float64(s.latencySamples+1))
	s.logLatencyRatio += weight * (math.Log(latency/c.meanLatency) - s.logLatencyRatio)
}

// recordHealth records a good or bad result of a server and ejects it after an improbable run of bad ones. Faults on
// all servers come from the tier below or from the load, and ejecting for them would leave no server. So a run counts
// only if it is improbable given the share of bad results among all servers.
func (b *Balancer) recordHealth(s *server, c *class, good bool) {
	if good {
		b.recordGood(s)
		return
	}
	s.badStreak++
	s.goodStreak = 0
	unlikely := math.Pow(b.badResultShare, float64(s.badStreak)) < maxStreakProbability
	if unlikely && b.now >= s.ejectedUntil {
		b.eject(s, c)
	}
	b.badResultShare += sampleWeight * (1 - b.badResultShare)
}

// recordGood records a good result. A run of them undoes one doubling of a later ejection.
func (b *Balancer) recordGood(s *server) {
	s.badStreak = 0
	s.goodStreak++
	if s.goodStreak >= goodResultsPerLevel && s.ejectionLevel > 0 {
		s.ejectionLevel--
		s.goodStreak = 1
	}
	b.badResultShare = max(minBadResultShare, b.badResultShare-sampleWeight*b.badResultShare)
}

// eject stops new requests to a server for a time that doubles while its probes fail.
func (b *Balancer) eject(s *server, c *class) {
	s.ejectedUntil = b.now + time.Duration(ejectionLatencies*c.meanLatency)<<s.ejectionLevel
	s.ejectionLevel = min(s.ejectionLevel+1, maxEjectionLevel)
}
