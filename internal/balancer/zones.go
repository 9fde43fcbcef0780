package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Evidence that a zone is cut off or gone is the logarithm of how unlikely its silence would be otherwise.
const (
	suspectAfter    = 3.0 // evidence at which it gets nothing new for the time being
	hushAfter       = 7.0 // and at which it is held for cut off
	brokenOwes      = 1.0 // evidence of a connection that broke under a request
	unreachableOwes = 0.5 // and of one that did not come up
)

// zone is what is known of the servers of one zone together. A cut, or a zone's loss, says nothing to those outside: a
// node of few requests would learn of a hundred silent servers one by one, and lose a request to each. That several are
// silent at once while other zones answer tells of all of them, until one of them answers.
type zone struct {
	name       string
	answeredAt time.Duration // when one of its servers last answered
	open       []*attempt    // own requests at its servers, in the order of sending
	owed       float64       // evidence since then that none comes any more
	hushed     time.Duration // since when it is held for cut off; 0: it is not
	probe      *attempt      // the one request that tries whether it still is
	next       time.Duration // no trial before
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
		in := func(s *server) bool { return s.in == z }
		return !slices.ContainsFunc(b.ready, in) && !slices.ContainsFunc(slices.Collect(maps.Values(b.servers)), in)
	})
}

// waiting is how many of a zone's servers have had a request of ours for longer than half a mean latency, and are late
// only since the zone was last heard of: a server that hung before tells nothing of the others.
func (b *Balancer) waiting(z *zone) (n float64) {
	for _, a := range z.open {
		c := a.req.class
		if b.now-a.sent < time.Duration(c.mean/2) {
			break
		}
		if a == a.srv.open[0] && a.sent > z.answeredAt-b.overlong(c) {
			n++
		}
	}
	return n
}

// weigh takes an answer of one zone for what it tells of the others. Were all alike, any of the servers that are waited
// for could have given it, whatever the load: that none of a zone's did is the less likely the more of them there are.
func (b *Balancer) weigh(answered *zone) {
	sum := 1.0 // the one that has answered
	for _, z := range b.zones {
		if z.hushed == 0 {
			sum += b.waiting(z)
		}
	}
	for _, z := range b.zones {
		if z == answered || z.hushed > 0 {
			continue
		}
		w := b.waiting(z)
		if z.owed += math.Log1p(w / (sum - w)); z.owed > hushAfter {
			b.hush(z)
		}
	}
}

// hush holds a zone for cut off, and has those of its requests that may run again run elsewhere, as long as an answer
// would come in time.
func (b *Balancer) hush(z *zone) {
	z.hushed = b.now
	budget := b.tokens
	for _, a := range z.open {
		r := a.req
		harmless := r.effect == Safe || r.effect == Keyed && r.scope == ScopeAll
		inTime := float64(b.useless(r)-b.now) >= r.class.mean
		if harmless && inTime && budget >= 1 && b.set.MayCancel && b.maySendAgain(r) {
			budget--
			b.do(Cancel{ID: r.id, Attempt: a.n})
		}
	}
}

// observe takes from an attempt's end what it tells of its zone, and says whether it tells of its server: not in a cut.
func (b *Balancer) observe(a *attempt, e Result) bool {
	z := a.in
	z.open = slices.DeleteFunc(z.open, func(o *attempt) bool { return o == a })
	if z.probe == a {
		z.probe = nil
		z.next = b.now + time.Duration((0.5+b.rng.Float64())*a.req.class.mean)
	}
	switch e {
	case Success, Failure:
		z.answeredAt, z.owed, z.hushed = b.now, 0, 0
		b.weigh(z)
	case Overloaded: // it comes at once, and tells nothing of those that work
		z.answeredAt, z.owed, z.hushed = b.now, 0, 0
	case ConnectionLost:
		z.owed += brokenOwes
	case Unreachable:
		z.owed += unreachableOwes
	}
	return z.hushed == 0
}

// muted says that a server is kept out for its zone: one that has begun since is no part of what was silent. While a
// trial is drawn all other zones are.
func (b *Balancer) muted(s *server) bool {
	if b.trying != nil {
		return s.in != b.trying
	}
	return s.in.owed > suspectAfter && (s.Boot < s.in.answeredAt || s.in.answeredAt == 0)
}

// tryZone draws a server of an ejected zone, for one request at a time, seldom: a first attempt, so others may follow.
func (b *Balancer) tryZone(r *request) *server {
	if len(r.attempts) > 0 || b.set.MaxAttempts < 2 {
		return nil
	}
	defer func() { b.trying = nil }()
	for _, z := range b.zones {
		waits := z.hushed == 0 && len(z.open) > 0 // for requests that may still be answered
		if z.owed <= suspectAfter || z.probe != nil || waits || b.now < z.next {
			continue
		}
		b.trying = z
		for _, g := range []groups{b.pool, b.allGroups} {
			if s := b.chooseFrom(g, r, false, true); s != nil {
				return s
			}
		}
	}
	return nil
}

// noServerAnswers says that nobody at all answers of late: the node's pool may lie in one zone, and then only servers
// beyond it can tell whether that is cut off.
func (b *Balancer) noServerAnswers() bool {
	return slices.ContainsFunc(b.zones, func(z *zone) bool {
		return len(z.open) > 0 && b.lastOK < z.open[0].sent && b.now-z.open[0].sent > b.overlong(z.open[0].req.class)
	})
}
