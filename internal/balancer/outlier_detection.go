package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	maxEjectedShare = 0.2 // share of the list that may be excluded as outliers (panic threshold)
	failureDecay    = 36  // mean latencies in which that share falls to a third, if nothing else is heard
	failurePower    = 3.0 // power of its share of good results, against all servers', that it is drawn by
	failureMargin   = 0.8 // what that share may fall to by chance, without being drawn less
)

// fadingShare is a share that is the less sure the longer ago it was seen.
type fadingShare struct {
	share float64
	at    time.Duration
}

// Unavailable counts the listed servers that get no new request now, for their state, their zone or as outliers.
func (b *Balancer) Unavailable() int {
	outliers := 0
	unavailable := 0
	for _, s := range b.servers {
		switch {
		case !s.listed:
		case s.State != Ready || b.zoneExcluded(s):
			unavailable++
		case b.now < s.ejectedUntil || b.silent(s):
			outliers++
		}
	}
	return unavailable + min(outliers, b.maxEjected())
}

// maxEjected is how many servers may be excluded as outliers (panic threshold): fewer, the more load is shed, for in
// overload every server is needed, and timeouts show load rather than faults.
func (b *Balancer) maxEjected() int {
	return int(maxEjectedShare * (1 - b.shedShare) * float64(len(b.ready)))
}

// excludeOutliers marks the servers of the groups that the request must pass over. When many look like outliers to one
// node, the fault is likelier its own or the tier below's, and the others would take all the load: only the worst are
// excluded, up to a set share of the list.
func (b *Balancer) excludeOutliers(g groups, r *request, avoid bool) {
	var outliers []*server
	for _, s := range slices.Concat(g.left, g.right) {
		s.excluded = avoid && b.avoids(s, r)
		if !s.excluded && b.isOutlier(s, r) {
			s.excluded = true
			outliers = append(outliers, s)
		}
	}
	limit := b.maxEjected()
	if len(outliers) <= limit {
		return
	}
	worstFirst := func(a, o *server) int { return cmp.Compare(o.badStreak, a.badStreak) }
	slices.SortStableFunc(outliers, worstFirst)
	for _, s := range outliers[limit:] {
		s.excluded = false
	}
}

// avoids reports whether a request should pass over a server while others may take it: for its zone, for its failures,
// or because the load of others was asked for. Those reasons have no cap.
func (b *Balancer) avoids(s *server, r *request) bool {
	if b.zoneExcluded(s) || b.avoidsClass(s, r.class) {
		return true
	}
	reported := len(r.polled) > 0 && r.polling == 0 && len(r.attempts) == 0
	return reported && !slices.Contains(r.polled, s)
}

// isOutlier reports whether a server should not be drawn now because it is ejected, silent or on probation.
func (b *Balancer) isOutlier(s *server, r *request) bool {
	if b.now < s.ejectedUntil || b.silent(s) {
		return true
	}
	// After an ejection one probe at a time decides: a bad server must not get what can't be repeated, nor many.
	onProbation := s.ejectionLevel > 0 && s.goodStreak == 0
	mayProbe := r.effect != Unsafe && s.idle()
	return onProbation && !mayProbe
}

// avoidsClass decides, by a draw, whether a server should not get a class now, by its share of good results against all
// servers'. One that fails at once, in part or in one class only, drains its count and wins, and what it serves ends
// each run of bad results; one that lets most time out fills its part of the window. Where all fail alike none is
// avoided: no cap is needed. It hurts where a few unlucky results are all that is known.
func (b *Balancer) avoidsClass(s *server, c *class) bool {
	relative := 1.0
	for _, k := range b.countedClasses(c) {
		good := 1 - b.failureShare(s, k, c)
		relative = min(relative, good/(1-k.failureShare))
	}
	if !(relative < failureMargin) {
		return false
	}
	chance := math.Pow(relative/failureMargin, failurePower)
	return b.rng.Float64() >= chance
}

// countedClasses are the classes that failures of a class's attempts are counted under: its own, and the unknown one,
// which stands for all together.
func (b *Balancer) countedClasses(c *class) [2]*class {
	return [2]*class{c, b.classes[""]}
}

// failureShare is what is left of a server's share of failures in k, by the time that replies of c take.
func (b *Balancer) failureShare(s *server, k, c *class) float64 {
	f := s.failures[k]
	return f.share * math.Exp(-float64(b.now-f.at)/(failureDecay*c.meanLatency))
}

// silent reports whether an old request to the server has no reply while a younger one got its reply elsewhere: a
// machine that hangs or pauses shows nothing else until timeouts end.
func (b *Balancer) silent(s *server) bool {
	if len(s.open) == 0 {
		return false
	}
	oldest := s.open[0]
	wait := b.overlongLatency(oldest.request.class) * 3 / 2
	since := oldest.sent + wait/2
	overdue := b.now-oldest.sent > wait
	othersReply := b.lastSuccess > since
	return overdue && othersReply && s.lastSuccess < since
}
