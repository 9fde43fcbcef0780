package upstream

import (
	"time"

	"damsontrestle/internal/discovery"
)

// A reply of HTTP/1.1 carries no id. On a reused connection only silence since the last reply shows that the next reply belongs to
// the next request: a second reply to the earlier request would have come by then. The settle delay is how long that takes.

// DefaultSettleDelay is the settle delay of connections to servers that are not known to send input that belongs to no request. It
// is longer than the gap before a second reply, which is up to 20 ms, and the differences in delay of a link with 20 ms and 30 %
// jitter.
const DefaultSettleDelay = 50 * time.Millisecond

// Settle delays once a server has sent input that belongs to no request. The other servers of the pool are under suspicion, too:
// they often run the same software, and the first second reply of a server may be one that is retransmitted.
const (
	suspectSettleDelay = 300 * time.Millisecond // longer than TCP takes to retransmit a lost segment
	suspectGapFactor   = 4                      // of that server, in gaps that it has shown
	pooledGapFactor    = 2                      // of the pool's other servers, in gaps that any server has shown
	suspectPeriod      = 5 * time.Minute        // since the last such input
)

// maxSettleFraction is the fraction of the last exchange's duration that the next request may wait for its connection to settle,
// instead of opening another one: a handshake costs the server work and may take longer than expected.
const maxSettleFraction = 0.25

// gapRecord holds the gaps that servers left between a reply and input that belongs to no request.
type gapRecord struct {
	seen    bool
	lastAt  time.Duration // clock time of the last such input
	longest time.Duration
}

// add records a gap that ended at a clock time. Gaps from before the suspectPeriod are forgotten.
func (g *gapRecord) add(gap, now time.Duration) {
	if !g.isRecent(now) {
		g.longest = 0
	}
	g.seen = true
	g.lastAt = now
	g.longest = max(g.longest, gap)
}

// isRecent reports whether there was a gap within the suspectPeriod.
func (g *gapRecord) isRecent(now time.Duration) bool { return g.seen && now-g.lastAt < suspectPeriod }

// serverRecord is what the pool has learned about a server.
type serverRecord struct {
	gaps       gapRecord
	minConnect time.Duration // shortest connect; 0: none yet
	connects   int
}

// Bounds of minReplyTime.
const (
	minConnects      = 3                // connects may be late
	minReplyFraction = 0.5              // of the shortest connect, as links have jitter
	minUsefulConnect = time.Millisecond // a shorter one tells more of the machine's load than of the link
)

// minReplyTime returns a time after a request in which no reply to it can arrive: a connect takes a round trip, unless something
// accepts between the node and the server. It returns 0 if the time is not known.
func (r *serverRecord) minReplyTime() time.Duration {
	if r.connects < minConnects || r.minConnect < minUsefulConnect {
		return 0
	}
	return time.Duration(minReplyFraction * float64(r.minConnect))
}

// record returns the record of a listed server. The caller holds mu.
func (p *Pool) record(h discovery.Host) *serverRecord {
	r := p.records[h]
	if r == nil {
		r = &serverRecord{}
		if p.isReady(h) { // otherwise it would never be removed
			p.records[h] = r
		}
	}
	return r
}

// settleDelay returns the settle delay of connections to a server at a clock time. The caller holds mu.
func (p *Pool) settleDelay(h discovery.Host, now time.Duration) time.Duration {
	delay := p.limits.SettleDelay
	if p.gaps.isRecent(now) {
		delay = max(delay, suspectSettleDelay, pooledGapFactor*p.gaps.longest)
	}
	if r := p.records[h]; r != nil && r.gaps.isRecent(now) {
		delay = max(delay, suspectGapFactor*r.gaps.longest)
	}
	return delay
}

// remainingSettleDelay returns how long a connection still has to settle at a clock time; it is not positive once the connection
// has settled. One that carried no request yet needs not settle. The caller holds mu.
func (p *Pool) remainingSettleDelay(c *conn, now time.Duration) time.Duration {
	if c.uses == 0 {
		return 0
	}
	return c.idleSince + p.settleDelay(c.host, now) - now
}

// maxSettleWait is the longest time to wait for a connection to settle; beyond it, another connection is opened instead. The caller
// holds mu.
func (p *Pool) maxSettleWait(c *conn) time.Duration {
	return max(p.record(c.host).minConnect, time.Duration(maxSettleFraction*float64(c.exchangeTime)))
}

// recordGap makes the connections to a server settle for longer, because it has sent input that belongs to no request at a time
// since the last reply. The caller holds mu.
func (p *Pool) recordGap(c *conn, gap time.Duration) {
	now := p.clock.Now()
	before := p.settleDelay(c.host, now)
	p.record(c.host).gaps.add(gap, now)
	p.gaps.add(gap, now)
	if delay := p.settleDelay(c.host, now); delay > before {
		p.log.Warn("connections to a server settle longer", "server", c.host.Server, "gap", gap, "settle_delay", delay)
	}
}

// moveRecord keeps what a restarted server has shown, except for the durations of its connects, since its address may have changed.
// The caller holds mu.
func (p *Pool) moveRecord(from, to discovery.Host) {
	old := p.records[from]
	delete(p.records, from)
	if old != nil {
		p.records[to] = &serverRecord{gaps: old.gaps}
	}
}
