package zonestate

import (
	"fmt"
	"time"
)

// Options are a fleet's, the same at all nodes.
type Options struct {
	Fresh time.Duration // what is not older is fresh
	Delay time.Duration // that a datagram takes at most where all is well; by it nodes time their parts, and no age hangs on it
	Fan   int           // children of a node in a tree
}

// DefaultDelay is that of nodes on one network.
const DefaultDelay = 20 * time.Millisecond

// Defaults are those of nodes on one network.
func Defaults(fresh time.Duration) Options {
	return Options{Fresh: fresh, Delay: DefaultDelay, Fan: 8}
}

// Least is the least Fresh that holds where nothing is lost and no datagram takes longer than a delay, in zones of up to 4,000
// nodes: half of it is the period, parts wait for three levels, and each of seven hops counts as its round trip.
func Least(delay time.Duration) time.Duration { return 2 * (7*levelStep(delay)/2 + 14*delay) }

// levelStep is by how much earlier the nodes of each level further from the root send their parts.
func levelStep(delay time.Duration) time.Duration { return 2*delay + 10*time.Millisecond }

// Check names the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.Delay <= 0 || o.Fresh < Least(o.Delay):
		return fmt.Errorf("zonestate: fresh %v with a delay of %v; allowed: %v or more", o.Fresh, o.Delay, Least(max(o.Delay, time.Millisecond)))
	case o.Fan < 1 || o.Fan > 32:
		return fmt.Errorf("zonestate: fan %d; allowed: 1 to 32", o.Fan)
	}
	return nil
}

// period is between two rows of one plane.
func (o Options) period() time.Duration { return o.Fresh / 2 }

// maxPartAge is how old a child's part may grow before it is left out: one of the round before would have the whole row be as old,
// and who wants more nodes than young rows have still has the older row.
func (o Options) maxPartAge() time.Duration { return o.period() / 2 }

// maxRowAge is how old a row may grow before it is dropped.
func (o Options) maxRowAge() time.Duration { return 2 * o.Fresh }
