package zonestate

import (
	"fmt"
	"time"
)

// Options are the parameters of the protocol. All nodes must use the same values.
type Options struct {
	FreshAge time.Duration // maximum age of a fresh row
	Delay    time.Duration // typical network delay of a datagram; used to schedule parts, never to compute ages
	Fanout   int           // maximum number of children of a node in a tree without bypassed nodes
}

// DefaultDelay is the Delay for nodes on one network.
const DefaultDelay = 20 * time.Millisecond

// Defaults returns the options for nodes on one network.
func Defaults(fresh time.Duration) Options {
	return Options{FreshAge: fresh, Delay: DefaultDelay, Fanout: 8}
}

// MinFreshAge returns the lowest FreshAge at which rows stay fresh in zones of up to 4,000 nodes if no datagram is lost or takes
// longer than delay. Half of it is the period, parts wait for three levels, and each of seven hops counts as a round trip.
func MinFreshAge(delay time.Duration) time.Duration { return 2 * (7*levelInterval(delay)/2 + 14*delay) }

// levelInterval returns how much earlier the nodes of a level send their parts than those of the level above.
func levelInterval(delay time.Duration) time.Duration { return 2*delay + 10*time.Millisecond }

// Check returns an error for the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.Delay <= 0 || o.FreshAge < MinFreshAge(o.Delay):
		minFresh := MinFreshAge(max(o.Delay, time.Millisecond))
		return fmt.Errorf("zonestate: freshness age %v with message delay %v is invalid; the delay must be positive and the age at least %v", o.FreshAge, o.Delay, minFresh)
	case o.Fanout < 1 || o.Fanout > 32:
		return fmt.Errorf("zonestate: fanout %d out of range 1 to 32", o.Fanout)
	}
	return nil
}

// period returns the interval between the rows of one plane.
func (o Options) period() time.Duration { return o.FreshAge / 2 }

// maxPartAge returns the maximum age of a part that is added to a row. A part of the previous period would make the entire row as
// old, while readers that need parts of more nodes than recent rows have can still read the older row.
func (o Options) maxPartAge() time.Duration { return o.period() / 2 }

// maxRowAge returns the maximum age of a stored row.
func (o Options) maxRowAge() time.Duration { return 2 * o.FreshAge }
