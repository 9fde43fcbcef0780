package engine

import (
	"maps"
	"math/bits"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// Buckets is how many buckets Stats.LatencyHistogram has: the last is of 35 minutes and more.
const Buckets = 32

// Stats are counts and latencies of an engine since it began.
type Stats struct {
	Classes map[string]ClassStats  // by name
	Zones   map[string]ZoneStats   // by name
	Servers map[string]ServerStats // by id: listed ones, and others with attempts in flight
	Rev     int64                  // revision of the endpoint list; negative: it has none

	// LatencyHistogram counts attempts that succeeded, by the number of bits of their latency in microseconds.
	LatencyHistogram [Buckets]int64
}

// ClassStats are of the requests of a class.
type ClassStats struct {
	Requests, Rejected int64
	InFlight           int // without a response
}

// ZoneStats are of the servers of a zone, as the endpoint list names it.
type ZoneStats struct {
	Ended, Failures int64         // attempts; of them, those that did not succeed
	TotalLatency    time.Duration // of all of them together
	Ready, WarmedUp int           // servers listed as ready; of them, those that are past their slow start
}

// ServerStats are of a server.
type ServerStats struct {
	Failures int64 // attempts that did not succeed
	InFlight int   // attempts
}

// statsCollector counts what Stats returns. Its methods do nothing where it is nil. Servers that are not listed are
// forgotten with their last attempt.
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

// requestRejected counts a request among these that was rejected.
func (c *statsCollector) requestRejected(class string) {
	if c == nil {
		return
	}
	stats := c.Classes[class]
	stats.Rejected++
	c.Classes[class] = stats
}

// attemptStarted counts an attempt at a server.
func (c *statsCollector) attemptStarted(server string) {
	if c == nil {
		return
	}
	stats := c.Servers[server]
	stats.InFlight++
	c.Servers[server] = stats
}

// attemptEnded counts the result of an attempt. target is the entry of its server where that is still listed; the zone of
// others is not known.
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

// latencyBucket is the bucket of the histogram that a latency belongs to.
func latencyBucket(latency time.Duration) int {
	microseconds := uint64(max(0, latency.Microseconds()))
	return min(bits.Len64(microseconds), Buckets-1)
}

// retainListed forgets servers that are not listed and have no attempt in flight, and zones without a listed server.
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

// Stats returns the counts of now. They are the zero value where Options.Count is not set, and once Run has returned.
func (eng *Engine) Stats() Stats {
	return query(eng, func(to chan Stats) event { return statsQuery{to: to} })
}

// collectStats makes the answer to a statsQuery: a copy.
func (eng *Engine) collectStats() Stats {
	if eng.collector == nil {
		return Stats{}
	}
	stats := Stats{
		Classes:          maps.Clone(eng.collector.Classes),
		Zones:            maps.Clone(eng.collector.Zones),
		Servers:          maps.Clone(eng.collector.Servers),
		Rev:              eng.listRevision,
		LatencyHistogram: eng.collector.LatencyHistogram,
	}
	for _, p := range eng.pending {
		if !p.responded {
			class := stats.Classes[p.request.Class]
			class.InFlight++
			stats.Classes[p.request.Class] = class
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
