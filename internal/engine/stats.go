package engine

import (
	"maps"
	"math/bits"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// Sight is what an engine sees that others may want to know. Counts are since it began.
type Sight struct {
	Classes map[string]ClassSight
	Zones   map[string]ZoneSight
	Servers map[string]ServerSight // listed, and such as calls are at or have failed at
	Rev     int64                  // of the list; negative: of none that has one
	Took    [Buckets]int64         // attempts that ended well, by the number of bits of what they took in microseconds
}

// Buckets are of what attempts took: the last is of 35 minutes and more.
const Buckets = 32

// ClassSight is of a class.
type ClassSight struct {
	Calls, Refused int64
	Open           int
}

// ZoneSight is of the servers of a zone, as the list names it.
type ZoneSight struct {
	Ended, Bad  int64         // attempts; of them, such as did not succeed
	Took        time.Duration // by all of them together
	Ready, Warm int           // servers listed as ready; of them, such as are past their slow start
}

// ServerSight is of a server.
type ServerSight struct {
	Bad  int64 // attempts that did not succeed
	Held int   // attempts that are out
}

// tally counts what Sight tells. Servers that are not listed are forgotten with their last attempt.
type tally struct{ Sight }

func newTally() *tally {
	return &tally{Sight{Classes: map[string]ClassSight{}, Zones: map[string]ZoneSight{}, Servers: map[string]ServerSight{}}}
}

func (t *tally) came(class string, refused bool) {
	if t == nil {
		return
	}
	c := t.Classes[class]
	if refused {
		c.Refused++
	} else {
		c.Calls++
	}
	t.Classes[class] = c
}

func (t *tally) sent(server string) {
	if t == nil {
		return
	}
	s := t.Servers[server]
	s.Held++
	t.Servers[server] = s
}

// ended notes how an attempt ended. listed: its server is on the list still, as at; of what zone it was otherwise is not known.
func (t *tally) ended(at discovery.Target, server string, listed bool, e balancer.Ending, took time.Duration) {
	if t == nil {
		return
	}
	s, z := t.Servers[server], t.Zones[at.Zone]
	s.Held--
	z.Ended++
	z.Took += took
	if e == balancer.Success {
		t.Took[min(bits.Len64(uint64(max(0, took.Microseconds()))), Buckets-1)]++
	} else {
		z.Bad++
		s.Bad++
	}
	if t.Servers[server] = s; listed {
		t.Zones[at.Zone] = z
	} else if s.Held <= 0 {
		delete(t.Servers, server)
	}
}

// keep forgets servers that are not listed and hold nothing, and zones of which none is.
func (t *tally) keep(listed map[string]discovery.Target) {
	if t == nil {
		return
	}
	maps.DeleteFunc(t.Servers, func(id string, s ServerSight) bool {
		_, is := listed[id]
		return !is && s.Held <= 0
	})
	zones := map[string]bool{}
	for _, at := range listed {
		zones[at.Zone] = true
	}
	maps.DeleteFunc(t.Zones, func(z string, _ ZoneSight) bool { return !zones[z] })
}

// Sight tells what the engine sees. It is empty where Options.Count is not set, and once Run has returned.
func (eng *Engine) Sight() Sight {
	return inquire(eng, func(to chan Sight) event { return sight{to} })
}

// sight is what Sight gives: a copy.
func (eng *Engine) sight() Sight {
	if eng.tally == nil {
		return Sight{}
	}
	s := Sight{maps.Clone(eng.tally.Classes), maps.Clone(eng.tally.Zones), maps.Clone(eng.tally.Servers), eng.rev, eng.tally.Took}
	for _, p := range eng.pending {
		if !p.answered {
			c := s.Classes[p.call.Class]
			c.Open++
			s.Classes[p.call.Class] = c
		}
	}
	now := eng.clock.Now()
	for _, t := range eng.listed {
		if t.State != balancer.Ready {
			continue
		}
		z := s.Zones[t.Zone]
		z.Ready++
		if now-t.Boot >= eng.warmAfter {
			z.Warm++
		}
		s.Zones[t.Zone] = z
	}
	return s
}
