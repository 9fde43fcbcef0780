// How load is spread: the part of the list that a node draws from, and what servers say they hold. All else: policy.go.

package balancer

import (
	"math"
	"math/big"
	"slices"
	"time"
)

const (
	poolLeast   = 3    // servers that any node draws from, so that a few may be lost
	poolPerOpen = 1.5  // servers drawn from for each own request in flight
	poolOverlap = 2    // nodes that draw from the same server at least
	loadDecay   = 5    // mean latencies in which a server's word falls to a third of its weight
	loadWeight  = 16   // power of e by which a server is drawn less for each mean load that it holds more than others
	pollTimeout = 0.25 // mean latencies that a request waits for what servers say
)

// fitPool cuts the node's pool from each group: a run of the shared order. Over the full list a node of many meets
// each server too seldom to tell the slow and the silent, and connections grow with nodes times servers. The nodes'
// runs lie end to end round the group, a complete number of times in all, as lengths and not as counts: a server at the
// end of a run belongs to it in part. So all together have the same part in each server, whatever their numbers. In the
// right group the nodes follow one another in another order, so that those that share servers on the left do not on the
// right: no few nodes make a crowd of their own. A busy node takes a wider pool: its counts tell more, and its traffic
// would be too much for a few. Only halving shrinks it, so that it keeps still.
func (b *Balancer) fitPool() {
	n := float64(len(b.ready))
	want := max(poolLeast, poolPerOpen*b.busy, poolOverlap*b.serversPerNode())
	copies := float64(max(1, b.set.Balancers))
	times := min(copies, math.Ceil(1.25*want/max(b.serversPerNode(), 1e-9)))
	if b.width > 0 && (times == b.times || want <= float64(b.width) && want > float64(b.width)/3) {
		return
	}
	b.width, b.times = int(math.Ceil(times/copies*n)), times
	for _, s := range b.ready {
		s.part = 0
	}
	run := func(group []*server, place int) (out []*server) {
		each := float64(len(group)) / copies
		from := float64(place) * each
		to := from + times*each
		for k := int(from); float64(k) < to-1e-6; k++ {
			s := group[k%len(group)]
			if s.part == 0 { // else the run ends in the server that it begins in
				out = append(out, s)
			}
			s.part += min(1, float64(k+1)-from, to-float64(k))
		}
		return out
	}
	b.places = [2]int{b.set.Index % int(copies), b.set.Index * stride(int(copies)) % int(copies)}
	b.pool = groups{run(b.allGroups.left, b.places[0]), run(b.allGroups.right, b.places[1])}
}

// stride is a number near the golden section of n that has no divisor in common with it: its multiples come to every
// place, and neighbours far apart.
func stride(n int) int {
	m := max(1, int(0.618*float64(n)))
	for new(big.Int).GCD(nil, nil, big.NewInt(int64(m)), big.NewInt(int64(n))).Int64() > 1 {
		m++
	}
	return m
}

// takeLoadUpdate takes what is known from elsewhere than from own requests.
func (b *Balancer) takeLoadUpdate(e LoadUpdate) {
	for _, l := range e.Loads {
		if s := b.servers[l.Server]; s != nil {
			b.learn(s, l.Busy, b.now-l.Age)
		}
	}
	if r := b.requests[e.ID]; r != nil && r.polling > 0 {
		if r.polling -= len(e.Loads); r.polling <= 0 {
			b.polledAll(r)
		}
	}
}

// learn takes a word of how much a server held at a time.
func (b *Balancer) learn(s *server, busy float64, at time.Duration) {
	if busy >= 0 && at >= s.reportedAt {
		s.busy, s.reportedAt = busy, at
		b.meanReportedLoad += memory * (busy - b.meanReportedLoad)
	}
}

// capacity is by how much more or less a server is drawn for what it holds against others: the less, the older the word
// of it is. A server in slow start fills up sooner.
func (b *Balancer) capacity(s *server) float64 {
	if s.reportedAt == 0 {
		return 1
	}
	fade := math.Exp(-float64(b.now-s.reportedAt) / (loadDecay * b.classes[""].mean))
	return math.Exp(-loadWeight * fade * (s.busy/b.slowStartShare(s) - b.meanReportedLoad) / (b.meanReportedLoad + 1))
}

// poll has some servers of the pool say how much they hold, and the request wait for it: a word of even a moment ago is
// much less worth, for the other nodes' requests have come since.
func (b *Balancer) poll(r *request) bool {
	if b.set.PollChoices < 2 || len(r.attempts) > 0 || r.polled != nil {
		return false
	}
	b.fitPool()
	b.ruleOut(b.pool, r, true)
	e := Poll{ID: r.id, Timeout: min(time.Duration(pollTimeout*r.class.mean), r.deadline-b.now-4*b.set.Tick)}
	for i, group := range [][]*server{b.pool.left, b.pool.right} {
		left := (b.set.PollChoices + 1 - i) / 2
		for _, k := range b.rng.Perm(len(group)) {
			if s := group[k]; left > 0 && !s.out && b.mayTakeUpload(s) {
				r.polled, e.Servers, left = append(r.polled, s), append(e.Servers, s.ID), left-1
			}
		}
	}
	r.polling = len(r.polled)
	if r.polling < 2 || e.Timeout < b.set.Tick {
		r.polled, r.polling = []*server{}, 0
		return false
	}
	b.do(e)
	b.wakeAt(r, b.now+e.Timeout)
	return true
}

// polledAll places a request once all that it asked have said what they hold, or it has waited for long enough.
func (b *Balancer) polledAll(r *request) {
	r.polling = 0
	r.polled = slices.DeleteFunc(r.polled, func(s *server) bool { return s.reportedAt < r.arrived })
	b.place(r)
}
