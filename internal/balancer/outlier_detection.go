package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	maxEjectedShare       = 0.2 // share of the list that may be excluded as outliers (panic threshold)
	failureDecayLatencies = 36  // mean latencies after which a share of failures falls to 1/e without new results
	failureExponent       = 3.0 // exponent of the relative success rate in the chance to be drawn
	minRelativeSuccess    = 0.8 // relative success rate below which a server is drawn less; smaller drops are chance
)

// decayingShare is a share that loses weight with the time since its last update.
type decayingShare struct {
	share float64
	at    time.Duration
}

// Unavailable returns the number of listed servers that currently get no new requests because of their state, their
// zone or as outliers.
func (b *Balancer) Unavailable() int {
	outliers := 0
	unavailable := 0
	for _, s := range b.servers {
		switch {
		case !s.listed:
		case s.State != Ready || b.zoneExcluded(s):
			unavailable++
		case b.now < s.ejectedUntil || b.unresponsive(s):
			outliers++
		}
	}
	return unavailable + min(outliers, b.maxEjected())
}

// maxEjected returns how many servers may be excluded as outliers (panic threshold). The limit falls as more load is
// shed, because in overload every server is needed and timeouts indicate load rather than faults.
func (b *Balancer) maxEjected() int {
	return int(maxEjectedShare * (1 - b.shedShare) * float64(len(b.ready)))
}

// excludeOutliers marks the servers of the groups that the request must not use. If many servers look like outliers
// to one node, the fault is more likely its own or in the tier below, and the remaining servers would get the whole
// load. So only the worst are excluded, up to maxEjected.
func (b *Balancer) excludeOutliers(g groups, req *request, avoid bool) {
	var outliers []*server
	for _, srv := range slices.Concat(g.left, g.right) {
		srv.excluded = avoid && b.shouldAvoid(srv, req)
		if !srv.excluded && b.isOutlier(srv, req) {
			srv.excluded = true
			outliers = append(outliers, srv)
		}
	}
	limit := b.maxEjected()
	if len(outliers) <= limit {
		return
	}
	worstFirst := func(a, o *server) int { return cmp.Compare(o.badStreak, a.badStreak) }
	slices.SortStableFunc(outliers, worstFirst)
	for _, srv := range outliers[limit:] {
		srv.excluded = false
	}
}

// shouldAvoid reports whether a request should avoid a server while others are available: because of its zone, its
// failures, or because other servers were polled for the request. These reasons have no limit.
func (b *Balancer) shouldAvoid(s *server, r *request) bool {
	if b.zoneExcluded(s) || b.avoidForFailures(s, r.class) {
		return true
	}
	reported := len(r.polled) > 0 && r.polling == 0 && len(r.attempts) == 0
	return reported && !slices.Contains(r.polled, s)
}

// isOutlier reports whether a server is ejected, unresponsive or on probation for this request.
func (b *Balancer) isOutlier(s *server, r *request) bool {
	if b.now < s.ejectedUntil || b.unresponsive(s) {
		return true
	}
	// After an ejection one probe at a time decides: a faulty server must get neither non-repeatable requests nor
	// many at once.
	onProbation := s.ejectionLevel > 0 && s.goodStreak == 0
	mayProbe := r.effect != Unsafe && s.idle()
	return onProbation && !mayProbe
}

// avoidForFailures randomly decides whether a class avoids a server, by the server's success rate relative to all
// servers. A server that fails fast, for some requests or one class only, keeps few requests in flight and would win
// every comparison, and its successes end each run of bad results; one that lets most requests time out fills its
// share of the window. If all servers fail alike, none is avoided, so no limit is needed. The rule is harmful where a
// few unlucky results are all that is known.
func (b *Balancer) avoidForFailures(s *server, c *class) bool {
	relative := 1.0
	for _, k := range b.failureClasses(c) {
		good := 1 - b.failureShare(s, k, c)
		relative = min(relative, good/(1-k.failureShare))
	}
	if !(relative < minRelativeSuccess) {
		return false
	}
	chance := math.Pow(relative/minRelativeSuccess, failureExponent)
	return b.rng.Float64() >= chance
}

// failureClasses returns the classes under which failures of a class's attempts are counted: its own, and the unknown
// class, which stands for all classes together.
func (b *Balancer) failureClasses(c *class) [2]*class {
	return [2]*class{c, b.classes[""]}
}

// failureShare returns a server's share of failures in k, decayed on the time scale of c's latency.
func (b *Balancer) failureShare(s *server, k, c *class) float64 {
	f := s.failures[k]
	return f.share * math.Exp(-float64(b.now-f.at)/(failureDecayLatencies*c.meanLatency))
}

// unresponsive reports whether an old request to the server has no reply while newer requests to others were
// answered. A machine that hangs or pauses shows no other sign until requests time out.
func (b *Balancer) unresponsive(s *server) bool {
	if len(s.open) == 0 {
		return false
	}
	oldest := s.open[0]
	wait := b.overlongLatency(oldest.request.class) * 3 / 2
	since := oldest.sent + wait/2
	overdue := b.now-oldest.sent > wait
	othersReplied := b.lastSuccess > since
	return overdue && othersReplied && s.lastSuccess < since
}
