package membership

import (
	"fmt"
	"math"
	"net/netip"
	"time"
)

// Options are the parameters of the protocol. They are the same at all members of a cluster.
type Options struct {
	ProbeInterval      time.Duration // between two probes of a healthy node
	ProbeTimeout       time.Duration // of a ping, after which others are asked to probe
	IndirectProbes     int           // members that are asked for an indirect probe
	SuspicionFactor    float64       // length of a confirmed suspicion: periods, times the decimal logarithm of the number of members
	MaxSuspicionFactor float64       // factor by which a suspicion without confirmation lasts longer
	RetransmitFactor   int           // transmissions of an update: times the binary logarithm of the number of members
	OwnZoneProbes      int           // probes of a member of the own zone for each probe of another's
	ForgetAfter        time.Duration // after which a dead or left member is forgotten
	Seeds              []netip.AddrPort
}

// Upper limits of options.
const (
	maxIndirect = 16
	maxFactor   = 100 // of SuspicionFactor, MaxSuspicionFactor, RetransmitFactor and OwnZoneProbes
)

// Defaults returns the parameters of the papers, for a period of a second.
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

// Check returns an error that names the first option out of range.
func (o Options) Check() error {
	inRange := func(factor float64) bool { return factor >= 1 && factor <= maxFactor } // false for NaN
	switch {
	case o.ProbeTimeout <= 0 || o.ProbeInterval < 2*o.ProbeTimeout:
		return fmt.Errorf("membership: period %v, timeout %v; allowed: a timeout above 0 and a period of twice it at least", o.ProbeInterval, o.ProbeTimeout)
	case o.IndirectProbes < 0 || o.IndirectProbes > maxIndirect:
		return fmt.Errorf("membership: indirect %d; allowed: 0 to %d", o.IndirectProbes, maxIndirect)
	case !inRange(o.SuspicionFactor) || !inRange(o.MaxSuspicionFactor):
		return fmt.Errorf("membership: suspicion %v, stretch %v; allowed: 1 to %d", o.SuspicionFactor, o.MaxSuspicionFactor, maxFactor)
	case !inRange(float64(o.RetransmitFactor)) || !inRange(float64(o.OwnZoneProbes)):
		return fmt.Errorf("membership: spread %d, near %d; allowed: 1 to %d", o.RetransmitFactor, o.OwnZoneProbes, maxFactor)
	case o.ForgetAfter < o.MaxSuspicion(2):
		return fmt.Errorf("membership: forget %v; allowed: %v or more, or a suspicion outlasts it", o.ForgetAfter, o.MaxSuspicion(2))
	}
	return nil
}

// MinSuspicion returns how long a suspicion lasts among n members if all that are asked confirm it.
func (o Options) MinSuspicion(n int) time.Duration {
	return time.Duration(o.SuspicionFactor * max(1, math.Log10(float64(n))) * float64(o.ProbeInterval))
}

// MaxSuspicion returns how long a suspicion lasts among n members if none confirms it.
func (o Options) MaxSuspicion(n int) time.Duration {
	return time.Duration(o.MaxSuspicionFactor * float64(o.MinSuspicion(n)))
}
