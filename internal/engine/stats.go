package engine

import (
	"maps"
	"math/bits"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// LatencyBuckets is the number of buckets of Stats.LatencyHistogram. The last one counts 35 minutes and more.
const LatencyBuckets = 32

// Stats are counts and latencies of an engine since its start.
type Stats struct {
	Classes      map[string]ClassStats  // by name
	Zones        map[string]ZoneStats   // by name
	Servers      map[string]ServerStats // by id: listed servers, and others with attempts in flight
	ListRevision int64                  // revision of the endpoint list; negative: none

	// LatencyHistogram counts successful attempts by the bit length of their latency in microseconds.
	LatencyHistogram [LatencyBuckets]int64
}

// ClassStats are the counts of a class of requests.
type ClassStats struct {
	Requests, Rejected int64
	InFlight           int // without a response
}

// ZoneStats are the counts of a zone of the endpoint list.
type ZoneStats struct {
	Ended, Failures int64         // attempts, and those of them that did not succeed
	TotalLatency    time.Duration // sum over the ended attempts
	Ready, WarmedUp int           // servers listed as ready, and those of them that have completed slow start
}

// ServerStats are the counts of a server.
type ServerStats struct {
	Failures int64 // attempts that did not succeed
	InFlight int   // attempts
}

// statsCollector collects Stats. Its methods are no-ops on nil. Servers that are not listed are removed with their last
// attempt.
type statsCollector struct{ Stats }

func newStatsCollector() *statsCollector {
	return &statsCollector{Stats{
		Classes: map[string]ClassStats{},
		Zones:   map[string]ZoneStats{},
		Servers: map[string]ServerStats{},
	}}
}

// requestArrived counts a request that was passed to the balancer.
func (c *statsCollector) requestArrived(class string) {
	if c == nil {
		return
	}
	stats := c.Classes[class]
	stats.Requests++
	c.Classes[class] = stats
}

// requestRejected counts a request that was passed to the balancer and then rejected.
func (c *statsCollector) requestRejected(class string) {
	if c == nil {
		return
	}
	stats := c.Classes[class]
	stats.Rejected++
	c.Classes[class] = stats
}

// attemptStarted counts an attempt that is sent to a server.
func (c *statsCollector) attemptStarted(server string) {
	if c == nil {
		return
	}
	stats := c.Servers[server]
	stats.InFlight++
	c.Servers[server] = stats
}

// attemptEnded counts the result of an attempt. target is the list entry of its server if that is still listed; the zone of
// an unlisted server is unknown.
func (c *statsCollector) attemptEnded(
	target discovery.Target, server string, listed bool, result balancer.Result, latency time.Duration,
) {
	if c == nil {
		return
	}
	zone := c.Zones[target.Zone]
	zone.Ended++
	zone.TotalLatency += latency
	stats := c.Servers[server]
	stats.InFlight--
	if result == balancer.Success {
		c.LatencyHistogram[latencyBucket(latency)]++
	} else {
		zone.Failures++
		stats.Failures++
	}
	c.Servers[server] = stats
	switch {
	case listed:
		c.Zones[target.Zone] = zone
	case stats.InFlight <= 0:
		delete(c.Servers, server)
	}
}

// latencyBucket returns the histogram bucket of a latency.
func latencyBucket(latency time.Duration) int {
	microseconds := uint64(max(0, latency.Microseconds()))
	return min(bits.Len64(microseconds), LatencyBuckets-1)
}

// retainListed removes unlisted servers without an attempt in flight, and zones without a listed server.
func (c *statsCollector) retainListed(listed map[string]discovery.Target) {
	if c == nil {
		return
	}
	maps.DeleteFunc(c.Servers, func(id string, stats ServerStats) bool {
		_, isListed := listed[id]
		return !isListed && stats.InFlight <= 0
	})
	zones := map[string]bool{}
	for _, target := range listed {
		zones[target.Zone] = true
	}
	maps.DeleteFunc(c.Zones, func(zone string, _ ZoneStats) bool { return !zones[zone] })
}

// Stats returns the current counts: the zero value if Options.CollectStats is not set, and once Run has returned.
func (eng *Engine) Stats() Stats {
	return query(eng, func(to chan Stats) event { return statsQuery{reply: to} })
}

// collectStats returns a copy of the collected stats and adds the pending requests and the listed servers.
func (eng *Engine) collectStats() Stats {
	if eng.collector == nil {
		return Stats{}
	}
	stats := Stats{
		Classes:          maps.Clone(eng.collector.Classes),
		Zones:            maps.Clone(eng.collector.Zones),
		Servers:          maps.Clone(eng.collector.Servers),
		ListRevision:     eng.listRevision,
		LatencyHistogram: eng.collector.LatencyHistogram,
	}
	for _, pending := range eng.pending {
		if !pending.responded {
			class := stats.Classes[pending.request.Class]
			class.InFlight++
			stats.Classes[pending.request.Class] = class
		}
	}
	now := eng.clock.Now()
	for _, target := range eng.servers {
		if target.State != balancer.Ready {
			continue
		}
		zone := stats.Zones[target.Zone]
		zone.Ready++
		if now-target.Boot >= eng.slowStartWindow {
			zone.WarmedUp++
		}
		stats.Zones[target.Zone] = zone
	}
	return stats
}
