package zonestate

import (
	"fmt"
	"time"
)

// Options are the parameters of the exchange. They are the same at all nodes.
type Options struct {
	FreshAge time.Duration // up to which age a row is fresh
	Delay    time.Duration // of a datagram as a rule; nodes time their parts by it, and no age depends on it
	Fanout   int           // children of a node in a tree
}

// DefaultDelay is the Delay of nodes on one network.
const DefaultDelay = 20 * time.Millisecond

// Defaults returns the options of nodes on one network.
func Defaults(fresh time.Duration) Options {
	return Options{FreshAge: fresh, Delay: DefaultDelay, Fanout: 8}
}

// MinFreshAge returns the lowest FreshAge that can be kept if nothing is lost and no datagram takes longer than a delay, in zones of up
// to 4,000 nodes: half of it is the period, parts wait for three levels, and each of seven hops counts as its round trip.
func MinFreshAge(delay time.Duration) time.Duration { return 2 * (7*levelInterval(delay)/2 + 14*delay) }

// levelInterval returns by how much earlier the nodes of each level further from the root send their parts.
func levelInterval(delay time.Duration) time.Duration { return 2*delay + 10*time.Millisecond }

// Check returns an error that names the first option out of range.
func (o Options) Check() error {
	switch {
	case o.Delay <= 0 || o.FreshAge < MinFreshAge(o.Delay):
		minFresh := MinFreshAge(max(o.Delay, time.Millisecond))
		return fmt.Errorf("zonestate: fresh %v with a delay of %v; allowed: %v or more", o.FreshAge, o.Delay, minFresh)
	case o.Fanout < 1 || o.Fanout > 32:
		return fmt.Errorf("zonestate: fan %d; allowed: 1 to 32", o.Fanout)
	}
	return nil
}

// period returns the time between two rows of one plane.
func (o Options) period() time.Duration { return o.FreshAge / 2 }

// maxPartAge returns up to which age a child's part is added to a row. A part of the round before would make the whole row as
// old, and a reader that wants more nodes than recent rows have still has the older row.
func (o Options) maxPartAge() time.Duration { return o.period() / 2 }

// maxRowAge returns up to which age a row is stored.
func (o Options) maxRowAge() time.Duration { return 2 * o.FreshAge }
