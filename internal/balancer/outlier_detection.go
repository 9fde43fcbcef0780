package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	serverSampleWeight  = 0.25   // weight of a new sample in a single server's averages
	streakChance        = 0.08   // a run of bad endings likelier than this by the share of them among all is luck
	goodsPerLevel       = 3      // good endings that take one doubling of a later ejection back
	maxEjectedShare     = 0.2    // share of the list that health may exclude; beyond that all are drawn
	failureSampleWeight = 0.15   // weight of a new ending in a server's share of failures in a class
	failureDecay        = 36     // mean latencies in which that share falls to a third, if nothing else is heard
	failurePower        = 3.0    // power of its share of good endings, against all servers', that it is drawn by
	failureMargin       = 0.8    // what that share may fall to by chance, without being drawn less
	ejectionLatencies   = 12     // mean latencies that a first ejection lasts
	maxEjectionLevel    = 5      // doublings of an ejection
	baseRise            = 0.0005 // weight of a new sample in a class's base latency when it lies above
	baseFall            = 0.02   // and when it lies below: a noisy mean now and then is lower than any real one
)

// fadingShare is a share that is the less sure the longer ago it was seen.
type fadingShare struct {
	share float64
	at    time.Duration
}

// Unavailable counts the listed servers that are to get nothing new now, by their state or their health.
func (b *Balancer) Unavailable() int {
	sick, out := 0, 0
	for _, s := range b.servers {
		switch {
		case s.listed && s.State != Ready:
			out++
		case s.listed && b.zoneExcluded(s):
			out++
		case s.listed && (b.now < s.ejectedUntil || b.silent(s)):
			sick++
		}
	}
	return out + min(sick, b.maxEjected())
}

// maxEjected is how many servers health may keep out: fewer the more is shed, for in overload every server is
// missed, and time-outs show load rather than ill health.
func (b *Balancer) maxEjected() int {
	return int(maxEjectedShare * (1 - b.shedShare) * float64(len(b.ready)))
}

// excludeOutliers marks the servers that health keeps out. When many look bad to one node, the fault is likelier its
// own or the tier below's, and those left would take all the load: only the worst are kept out, up to a set share of
// the list.
func (b *Balancer) excludeOutliers(g groups, r *request, shun bool) {
	var sick []*server
	asked := len(r.polled) > 0 && r.polling == 0 && len(r.attempts) == 0 // and have said what they hold
	for _, s := range slices.Concat(g.left, g.right) {
		s.excluded = shun && (b.zoneExcluded(s) || b.avoidsClass(s, r.class) || asked && !slices.Contains(r.polled, s))
		if !s.excluded && b.isOutlier(s, r) {
			s.excluded = true
			sick = append(sick, s)
		}
	}
	if most := b.maxEjected(); len(sick) > most {
		slices.SortStableFunc(sick, func(a, o *server) int { return cmp.Compare(o.badStreak, a.badStreak) })
		for _, s := range sick[most:] {
			s.excluded = false
		}
	}
}

// isOutlier says that a server should not be drawn now for its health.
func (b *Balancer) isOutlier(s *server, r *request) bool {
	if b.now < s.ejectedUntil || b.silent(s) {
		return true
	}
	// After an ejection one safe trial at a time decides: a bad server must not eat what can't be repeated, nor many.
	return s.ejectionLevel > 0 && s.goodStreak == 0 && (r.effect == Unsafe || !s.idle())
}

// avoidsClass says, by a draw, that a server should not get a class now, by its share of good endings against all
// servers'. One that fails at once, in part or one class only, drains its count and wins, and what it serves
// ends each run of bad endings; one that lets most time out holds its part of the window. Where all fail
// alike none is shunned: no cap is needed. It hurts where a few unlucky endings are all that is known.
func (b *Balancer) avoidsClass(s *server, c *class) bool {
	good := 1.0
	for _, k := range []*class{c, b.classes[""]} { // that one stands for all together
		good = min(good, (1-b.failureShare(s, k, c))/(1-k.failureShare))
	}
	return good < failureMargin && b.rng.Float64() >= math.Pow(good/failureMargin, failurePower)
}

// failureShare is what is left of a server's share of failures in k, by the time that answers of c take.
func (b *Balancer) failureShare(s *server, k, c *class) float64 {
	f := s.failures[k]
	return f.share * math.Exp(-float64(b.now-f.at)/(failureDecay*c.meanLatency))
}

// silent says that an old request to the server is unanswered while a younger one was answered
// elsewhere: a machine gone quiet, hung or pausing shows nothing else until time-outs end.
func (b *Balancer) silent(s *server) bool {
	if len(s.open) == 0 {
		return false
	}
	a := s.open[0]
	wait := b.overlongLatency(a.request.class) * 3 / 2
	return b.now-a.sent > wait && b.lastSuccess > a.sent+wait/2 && s.lastSuccess < a.sent+wait/2
}

// recordResult learns from an ending: the class's latency, the server's health relative to its peers.
func (b *Balancer) recordResult(a *attempt, e Outcome) {
	s, c := a.server, a.request.class
	took := max(1, float64(b.now-a.sent)) // a coarse clock may show none, and its logarithm no server
	late, bad := took > c.meanLatency+tailDeviation*c.latencyDeviation, false
	if now, tells := map[Result]float64{Success: 0, Failure: 1, TimedOut: 1}[e.Result]; tells {
		for _, k := range []*class{c, b.classes[""]} {
			share := b.failureShare(s, k, c)
			s.failures[k] = fadingShare{share + failureSampleWeight*(now-share), b.now}
			k.failureShare += sampleWeight * (now - k.failureShare)
		}
	}
	switch e.Result {
	case Success:
		b.retryTokens = min(maxRetryTokens, b.retryTokens+retryTokensPerSuccess)
		b.lastSuccess, s.lastSuccess = b.now, b.now
		// The first samples replace the guess, or who answers first would look fast against it.
		c.samples++
		share := max(sampleWeight, 1/float64(c.samples))
		c.latencyDeviation += share * (math.Abs(took-c.meanLatency) - c.latencyDeviation)
		c.meanLatency += share * (took - c.meanLatency)
		c.baseLatency += baseRise * (c.meanLatency - c.baseLatency)
		c.baseLatency += min(0, baseFall*(c.meanLatency-c.baseLatency))
		if c.samples < 8 {
			c.baseLatency, late = c.meanLatency, false
		}
		bad, s.rejections = late, 0
	case Overloaded, Unreachable:
		s.knownCapacity = s.inFlight
		s.fullUntil = b.now + time.Duration((0.5+b.rng.Float64())*ejectionLatencies*c.meanLatency)<<s.rejections
		s.rejections = min(s.rejections+1, maxEjectionLevel)
		return
	case Failure, ConnectionLost, TimedOut:
		bad = true
	case Cancelled:
		if bad = late; !late {
			return
		}
	default:
		return
	}
	if late || e.Result == Success {
		s.latencySamples++
		s.logLatencyRatio += max(serverSampleWeight,
			1/float64(s.latencySamples+1)) * (math.Log(took/c.meanLatency) - s.logLatencyRatio)
	}
	if !bad {
		s.badStreak = 0
		if s.goodStreak++; s.goodStreak >= goodsPerLevel && s.ejectionLevel > 0 {
			s.ejectionLevel, s.goodStreak = s.ejectionLevel-1, 1
		}
		b.badShare = max(0.01, b.badShare-sampleWeight*b.badShare)
		return
	}
	s.badStreak, s.goodStreak = s.badStreak+1, 0
	// Trouble that strikes everywhere comes from the tier below or from the load; ejecting on it would
	// leave nobody. A run counts only if the peers' share of bad endings makes it unlikely.
	if math.Pow(b.badShare, float64(s.badStreak)) < streakChance && b.now >= s.ejectedUntil {
		// doubles while its trials fail
		s.ejectedUntil = b.now + time.Duration(ejectionLatencies*c.meanLatency)<<s.ejectionLevel
		s.ejectionLevel = min(s.ejectionLevel+1, maxEjectionLevel)
	}
	b.badShare += sampleWeight * (1 - b.badShare)
}
