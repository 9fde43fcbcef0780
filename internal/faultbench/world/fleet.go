package world

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damsontrestle/internal/faultbench/experiment"
)

// Fleet holds all servers of an experiment, in the order of its groups. Server ids do not reveal zones or groups.
type Fleet struct {
	Servers []*Server
	next    int
	rng     *rand.Rand
}

// NewFleet returns a fleet of servers that are past slow start.
func NewFleet(e *experiment.Experiment) *Fleet {
	f := &Fleet{rng: rand.New(rand.NewPCG(e.Seed, 0xf1ee7))}
	for _, g := range e.Servers {
		for i := range g.Count {
			f.Servers = append(f.Servers, NewServer(g, f.newID(), g.Zones[i%len(g.Zones)], -1, f.rng.Uint64()))
		}
	}
	return f
}

func (f *Fleet) newID() string {
	f.next++
	return fmt.Sprintf("s%06x%04d", f.rng.Uint32()&0xffffff, f.next)
}

// Replace replaces the i-th server by a new incarnation in slow start, under the same id or, as a replacement, a new one.
func (f *Fleet) Replace(i int, now time.Duration, replacement bool) *Server {
	old := f.Servers[i]
	id := old.ID
	if replacement {
		id = f.newID()
	}
	f.Servers[i] = NewServer(old.Spec, id, old.Zone, now, f.rng.Uint64())
	return f.Servers[i]
}
