package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	ownMemory  = 0.25   // weight of a new sample in a single server's averages
	chance     = 0.08   // a run of bad endings likelier than this by the share of them among all is luck
	minSamples = 3      // good endings that take one doubling of a later ejection back
	mostOut    = 0.2    // share of the list that health may exclude; beyond that all are drawn
	failMemory = 0.15   // weight of a new ending in a server's share of failures in a class
	failFade   = 36     // mean latencies in which that share falls to a third, if nothing else is heard
	failWeight = 3.0    // power of its share of good endings, against all servers', that it is drawn by
	failMargin = 0.8    // what that share may fall to by chance, without being drawn less
	ejection   = 12     // mean latencies that a first ejection lasts
	maxLevel   = 5      // doublings of an ejection
	baseRise   = 0.0005 // weight of a new sample in a class's base latency when it lies above
	baseFall   = 0.02   // and when it lies below: a noisy mean now and then is lower than any real one
)

// fading is a share that is the less sure the longer ago it was seen.
type fading struct {
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
		case s.listed && b.muted(s):
			out++
		case s.listed && (b.now < s.until || b.silent(s)):
			sick++
		}
	}
	return out + min(sick, b.mostSick())
}

// mostSick is how many servers health may keep out: fewer the more is shed, for in overload every server is
// missed, and time-outs show load rather than ill health.
func (b *Balancer) mostSick() int { return int(mostOut * (1 - b.shed) * float64(len(b.ready))) }

// ruleOut marks the servers that health keeps out. When many look bad to one node, the fault is likelier its own or the
// tier below's, and those left would take all the load: only the worst are kept out, up to a set share of the list.
func (b *Balancer) ruleOut(g groups, r *request, shun bool) {
	var sick []*server
	asked := len(r.polled) > 0 && r.polling == 0 && len(r.attempts) == 0 // and have said what they hold
	for _, s := range slices.Concat(g.left, g.right) {
		s.out = shun && (b.muted(s) || b.shuns(s, r.class) || asked && !slices.Contains(r.polled, s))
		if !s.out && b.unfit(s, r) {
			s.out = true
			sick = append(sick, s)
		}
	}
	if most := b.mostSick(); len(sick) > most {
		slices.SortStableFunc(sick, func(a, o *server) int { return cmp.Compare(o.streak, a.streak) })
		for _, s := range sick[most:] {
			s.out = false
		}
	}
}

// unfit says that a server should not be drawn now for its health.
func (b *Balancer) unfit(s *server, r *request) bool {
	if b.now < s.until || b.silent(s) {
		return true
	}
	// After an ejection one safe trial at a time decides: a bad server must not eat what can't be repeated, nor many.
	return s.level > 0 && s.goods == 0 && (r.effect == Unsafe || !s.idle())
}

// shuns says, by a draw, that a server should not get a class now, by its share of good endings against all
// servers'. One that fails at once, in part or one class only, drains its count and wins, and what it serves
// ends each run of bad endings; one that lets most time out holds its part of the window. Where all fail
// alike none is shunned: no cap is needed. It hurts where a few unlucky endings are all that is known.
func (b *Balancer) shuns(s *server, c *class) bool {
	good := 1.0
	for _, k := range []*class{c, b.classes[""]} { // that one stands for all together
		good = min(good, (1-b.failing(s, k, c))/(1-k.failing))
	}
	return good < failMargin && b.rng.Float64() >= math.Pow(good/failMargin, failWeight)
}

// failing is what is left of a server's share of failures in k, by the time that answers of c take.
func (b *Balancer) failing(s *server, k, c *class) float64 {
	f := s.failing[k]
	return f.share * math.Exp(-float64(b.now-f.at)/(failFade*c.mean))
}

// silent says that an old request to the server is unanswered while a younger one was answered
// elsewhere: a machine gone quiet, hung or pausing shows nothing else until time-outs end.
func (b *Balancer) silent(s *server) bool {
	if len(s.open) == 0 {
		return false
	}
	a := s.open[0]
	wait := b.overlong(a.req.class) * 3 / 2
	return b.now-a.sent > wait && b.lastOK > a.sent+wait/2 && s.lastOK < a.sent+wait/2
}

// judge learns from an ending: the class's latency, the server's health relative to its peers.
func (b *Balancer) judge(a *attempt, e Outcome) {
	s, c := a.srv, a.req.class
	took := max(1, float64(b.now-a.sent)) // a coarse clock may show none, and its logarithm no server
	late, bad := took > c.mean+tailDeviation*c.dev, false
	if now, tells := map[Result]float64{Success: 0, Failure: 1, TimedOut: 1}[e.Result]; tells {
		for _, k := range []*class{c, b.classes[""]} {
			share := b.failing(s, k, c)
			s.failing[k] = fading{share + failMemory*(now-share), b.now}
			k.failing += memory * (now - k.failing)
		}
	}
	switch e.Result {
	case Success:
		b.tokens = min(retryBudget, b.tokens+retryEarn)
		b.lastOK, s.lastOK = b.now, b.now
		// The first samples replace the guess, or who answers first would look fast against it.
		c.samples++
		share := max(memory, 1/float64(c.samples))
		c.dev += share * (math.Abs(took-c.mean) - c.dev)
		c.mean += share * (took - c.mean)
		c.base += baseRise * (c.mean - c.base)
		c.base += min(0, baseFall*(c.mean-c.base))
		if c.samples < 8 {
			c.base, late = c.mean, false
		}
		bad, s.rejections = late, 0
	case Overloaded, Unreachable:
		s.capacity = s.inFlight
		s.full = b.now + time.Duration((0.5+b.rng.Float64())*ejection*c.mean)<<s.rejections
		s.rejections = min(s.rejections+1, maxLevel)
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
		s.samples++
		s.slow += max(ownMemory, 1/float64(s.samples+1)) * (math.Log(took/c.mean) - s.slow)
	}
	if !bad {
		s.streak = 0
		if s.goods++; s.goods >= minSamples && s.level > 0 {
			s.level, s.goods = s.level-1, 1
		}
		b.errors = max(0.01, b.errors-memory*b.errors)
		return
	}
	s.streak, s.goods = s.streak+1, 0
	// Trouble that strikes everywhere comes from the tier below or from the load; ejecting on it would
	// leave nobody. A run counts only if the peers' share of bad endings makes it unlikely.
	if math.Pow(b.errors, float64(s.streak)) < chance && b.now >= s.until {
		s.until = b.now + time.Duration(ejection*c.mean)<<s.level // doubles while its trials fail
		s.level = min(s.level+1, maxLevel)
	}
	b.errors += memory * (1 - b.errors)
}
