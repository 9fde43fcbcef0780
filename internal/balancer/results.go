package balancer

import (
	"math"
	"time"
)

const (
	serverSampleWeight  = 0.25   // weight of a new sample in a single server's averages
	streakChance        = 0.08   // a run of bad results likelier than this, by the share of them among all, is chance
	goodsPerLevel       = 3      // good results that take one doubling of a later ejection back
	failureSampleWeight = 0.15   // weight of a new result in a server's share of failures in a class
	ejectionLatencies   = 12     // mean latencies that a first ejection lasts
	maxEjectionLevel    = 5      // doublings of an ejection
	baseRise            = 0.0005 // weight of a new sample in a class's base latency when it lies above
	baseFall            = 0.02   // and when it lies below: a noisy mean now and then is lower than any real one

	minBadShare = 0.01 // share of bad results that is assumed at least
)

// recordResult learns from the result of an attempt: the class's latency, and the server's health against the others'.
func (b *Balancer) recordResult(a *attempt, e Outcome) {
	s := a.server
	c := a.request.class
	took := max(1, float64(b.now-a.sent)) // a coarse clock may show none, and its logarithm no server
	overlong := took > c.meanLatency+tailDeviation*c.latencyDeviation
	b.recordFailureShares(s, c, e.Result)
	switch e.Result {
	case Success:
		b.recordSuccess(s, c, took)
		if c.samples < fewSamples {
			overlong = false
		}
		s.recordLatency(took, c)
		b.recordHealth(s, c, !overlong)
	case Overloaded, Unreachable:
		b.recordRejection(s, c)
	case Failure, ConnectionLost, TimedOut:
		if overlong {
			s.recordLatency(took, c)
		}
		b.recordHealth(s, c, false)
	case Cancelled:
		if overlong {
			s.recordLatency(took, c)
			b.recordHealth(s, c, false)
		}
	}
}

// recordFailureShares counts a result in the shares of failures, of the server and of all, where it tells of them.
func (b *Balancer) recordFailureShares(s *server, c *class, result Result) {
	failed := 0.0
	switch result {
	case Success:
	case Failure, TimedOut:
		failed = 1
	default:
		return
	}
	for _, k := range b.countedClasses(c) {
		share := b.failureShare(s, k, c)
		share += failureSampleWeight * (failed - share)
		s.failures[k] = fadingShare{share: share, at: b.now}
		k.failureShare += sampleWeight * (failed - k.failureShare)
	}
}

// recordSuccess earns a part of a retry and takes the latency into the class's averages. The first samples replace the
// guess, or the server that replies first would look fast against it.
func (b *Balancer) recordSuccess(s *server, c *class, took float64) {
	b.retryTokens = min(maxRetryTokens, b.retryTokens+retryTokensPerSuccess)
	b.lastSuccess = b.now
	s.lastSuccess = b.now
	s.rejections = 0
	c.samples++
	weight := max(sampleWeight, 1/float64(c.samples))
	c.latencyDeviation += weight * (math.Abs(took-c.meanLatency) - c.latencyDeviation)
	c.meanLatency += weight * (took - c.meanLatency)
	c.baseLatency += baseRise * (c.meanLatency - c.baseLatency)
	c.baseLatency += min(0, baseFall*(c.meanLatency-c.baseLatency))
	if c.samples < fewSamples {
		c.baseLatency = c.meanLatency
	}
}

// recordRejection holds a server for full with the requests that it has, for a time that doubles with each rejection.
func (b *Balancer) recordRejection(s *server, c *class) {
	s.knownCapacity = s.inFlight
	jittered := (0.5 + b.rng.Float64()) * ejectionLatencies * c.meanLatency
	s.fullUntil = b.now + time.Duration(jittered)<<s.rejections
	s.rejections = min(s.rejections+1, maxEjectionLevel)
}

// recordLatency takes a latency into the server's mean against its class.
func (s *server) recordLatency(took float64, c *class) {
	s.latencySamples++
	weight := max(serverSampleWeight, 1/float64(s.latencySamples+1))
	s.logLatencyRatio += weight * (math.Log(took/c.meanLatency) - s.logLatencyRatio)
}

// recordHealth counts a good or bad result of a server, and ejects it after an unlikely run of bad ones. Faults that
// strike everywhere come from the tier below or from the load, and ejecting on them would leave no server: a run counts
// only if the share of bad results among all makes it unlikely.
func (b *Balancer) recordHealth(s *server, c *class, good bool) {
	if good {
		b.recordGood(s)
		return
	}
	s.badStreak++
	s.goodStreak = 0
	unlikely := math.Pow(b.badShare, float64(s.badStreak)) < streakChance
	if unlikely && b.now >= s.ejectedUntil {
		b.eject(s, c)
	}
	b.badShare += sampleWeight * (1 - b.badShare)
}

// recordGood counts a good result; a run of them takes one doubling of a later ejection back.
func (b *Balancer) recordGood(s *server) {
	s.badStreak = 0
	s.goodStreak++
	if s.goodStreak >= goodsPerLevel && s.ejectionLevel > 0 {
		s.ejectionLevel--
		s.goodStreak = 1
	}
	b.badShare = max(minBadShare, b.badShare-sampleWeight*b.badShare)
}

// eject keeps new requests from a server for a time that doubles while its probes fail.
func (b *Balancer) eject(s *server, c *class) {
	s.ejectedUntil = b.now + time.Duration(ejectionLatencies*c.meanLatency)<<s.ejectionLevel
	s.ejectionLevel = min(s.ejectionLevel+1, maxEjectionLevel)
}
