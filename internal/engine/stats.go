package engine

import (
	"maps"
	"math/bits"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// Stats is what an engine sees that others may want to know. Counts are since it began.
type Stats struct {
	Classes          map[string]ClassStats
	Zones            map[string]ZoneStats
	Servers          map[string]ServerStats // listed, and such as requests are at or have failed at
	Rev              int64                  // of the list; negative: of none that has one
	LatencyHistogram [Buckets]int64         // attempts that ended well, by the number of bits of what they took in microseconds
}

// Buckets are of what attempts took: the last is of 35 minutes and more.
const Buckets = 32

// ClassStats is of a class.
type ClassStats struct {
	Requests, Rejected int64
	InFlight           int
}

// ZoneStats is of the servers of a zone, as the list names it.
type ZoneStats struct {
	Ended, Failures int64         // attempts; of them, such as did not succeed
	TotalLatency    time.Duration // by all of them together
	Ready, WarmedUp int           // servers listed as ready; of them, such as are past their slow start
}

// ServerStats is of a server.
type ServerStats struct {
	Failures int64 // attempts that did not succeed
	InFlight int   // attempts that are out
}

// statsCollector counts what Sight tells. Servers that are not listed are forgotten with their last attempt.
type statsCollector struct{ Stats }

func newStatsCollector() *statsCollector {
	return &statsCollector{Stats{Classes: map[string]ClassStats{}, Zones: map[string]ZoneStats{}, Servers: map[string]ServerStats{}}}
}

func (t *statsCollector) requestArrived(class string, refused bool) {
	if t == nil {
		return
	}
	c := t.Classes[class]
	if refused {
		c.Rejected++
	} else {
		c.Requests++
	}
	t.Classes[class] = c
}

func (t *statsCollector) attemptStarted(server string) {
	if t == nil {
		return
	}
	s := t.Servers[server]
	s.InFlight++
	t.Servers[server] = s
}

// attemptEnded notes how an attempt ended. listed: its server is on the list still, as at; of what zone it was otherwise is not known.
func (t *statsCollector) attemptEnded(at discovery.Target, server string, listed bool, e balancer.Result, took time.Duration) {
	if t == nil {
		return
	}
	s, z := t.Servers[server], t.Zones[at.Zone]
	s.InFlight--
	z.Ended++
	z.TotalLatency += took
	if e == balancer.Success {
		t.LatencyHistogram[min(bits.Len64(uint64(max(0, took.Microseconds()))), Buckets-1)]++
	} else {
		z.Failures++
		s.Failures++
	}
	if t.Servers[server] = s; listed {
		t.Zones[at.Zone] = z
	} else if s.InFlight <= 0 {
		delete(t.Servers, server)
	}
}

// retainListed forgets servers that are not listed and hold nothing, and zones of which none is.
func (t *statsCollector) retainListed(listed map[string]discovery.Target) {
	if t == nil {
		return
	}
	maps.DeleteFunc(t.Servers, func(id string, s ServerStats) bool {
		_, is := listed[id]
		return !is && s.InFlight <= 0
	})
	zones := map[string]bool{}
	for _, at := range listed {
		zones[at.Zone] = true
	}
	maps.DeleteFunc(t.Zones, func(z string, _ ZoneStats) bool { return !zones[z] })
}

// Stats tells what the engine sees. It is empty where Options.Count is not set, and once Run has returned.
func (eng *Engine) Stats() Stats {
	return query(eng, func(to chan Stats) event { return statsQuery{to} })
}

// collectStats is what Sight gives: a copy.
func (eng *Engine) collectStats() Stats {
	if eng.collector == nil {
		return Stats{}
	}
	s := Stats{maps.Clone(eng.collector.Classes), maps.Clone(eng.collector.Zones), maps.Clone(eng.collector.Servers), eng.listRevision, eng.collector.LatencyHistogram}
	for _, p := range eng.pending {
		if !p.responded {
			c := s.Classes[p.request.Class]
			c.InFlight++
			s.Classes[p.request.Class] = c
		}
	}
	now := eng.clock.Now()
	for _, t := range eng.servers {
		if t.State != balancer.Ready {
			continue
		}
		z := s.Zones[t.Zone]
		z.Ready++
		if now-t.Boot >= eng.slowStartWindow {
			z.WarmedUp++
		}
		s.Zones[t.Zone] = z
	}
	return s
}
