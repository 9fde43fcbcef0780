package membership

import (
	"fmt"
	"math"
	"net/netip"
	"time"
)

// Options are the parameters of the protocol. All members of a cluster must use the same values.
type Options struct {
	ProbeInterval      time.Duration // between probes while the local health score is 0
	ProbeTimeout       time.Duration // time to wait for an Ack before requesting indirect probes
	IndirectProbes     int           // number of members asked for an indirect probe
	SuspicionFactor    float64       // duration of a confirmed suspicion, in probe intervals per decimal logarithm of the number of members
	MaxSuspicionFactor float64       // ratio of the duration of an unconfirmed suspicion to that of a confirmed one
	RetransmitFactor   int           // transmissions of an update per binary logarithm of the number of members
	OwnZoneProbes      int           // probes of a member of the own zone per probe of a member of another zone
	ForgetAfter        time.Duration // after which a dead or left member is removed
	Seeds              []netip.AddrPort
}

// Upper bounds of options.
const (
	maxIndirect = 16
	maxFactor   = 100 // of SuspicionFactor, MaxSuspicionFactor, RetransmitFactor and OwnZoneProbes
)

// Defaults returns the parameters of the SWIM and Lifeguard papers, for a probe interval of one second.
func Defaults() Options {
	return Options{
		ProbeInterval:      time.Second,
		ProbeTimeout:       300 * time.Millisecond,
		IndirectProbes:     3,
		SuspicionFactor:    3,
		MaxSuspicionFactor: 6,
		RetransmitFactor:   2,
		OwnZoneProbes:      2,
		ForgetAfter:        10 * time.Minute,
	}
}

// Check returns an error for the first option that is out of range.
func (o Options) Check() error {
	inRange := func(factor float64) bool { return factor >= 1 && factor <= maxFactor } // false for NaN
	switch {
	case o.ProbeTimeout <= 0 || o.ProbeInterval < 2*o.ProbeTimeout:
		return fmt.Errorf("membership: invalid probe interval %v and timeout %v: the timeout must be positive and at most half the interval", o.ProbeInterval, o.ProbeTimeout)
	case o.IndirectProbes < 0 || o.IndirectProbes > maxIndirect:
		return fmt.Errorf("membership: %d indirect probes out of range 0 to %d", o.IndirectProbes, maxIndirect)
	case !inRange(o.SuspicionFactor) || !inRange(o.MaxSuspicionFactor):
		return fmt.Errorf("membership: suspicion factor %v or maximum suspicion factor %v out of range 1 to %d", o.SuspicionFactor, o.MaxSuspicionFactor, maxFactor)
	case !inRange(float64(o.RetransmitFactor)) || !inRange(float64(o.OwnZoneProbes)):
		return fmt.Errorf("membership: retransmit factor %d or own-zone probes %d out of range 1 to %d", o.RetransmitFactor, o.OwnZoneProbes, maxFactor)
	case o.ForgetAfter < o.MaxSuspicion(2):
		return fmt.Errorf("membership: forget interval %v is shorter than the maximum suspicion between two members, %v", o.ForgetAfter, o.MaxSuspicion(2))
	}
	return nil
}

// MinSuspicion returns the duration of a suspicion among n members if all members that are asked confirm it.
func (o Options) MinSuspicion(n int) time.Duration {
	return time.Duration(o.SuspicionFactor * max(1, math.Log10(float64(n))) * float64(o.ProbeInterval))
}

// MaxSuspicion returns the duration of a suspicion among n members if no other member confirms it.
func (o Options) MaxSuspicion(n int) time.Duration {
	return time.Duration(o.MaxSuspicionFactor * float64(o.MinSuspicion(n)))
}
