package membership

import (
	"fmt"
	"math"
	"net/netip"
	"time"
)

// Options are the parameters of the protocol. They are the same at all members of a cluster.
type Options struct {
	Period           time.Duration // between two probes of a healthy node
	Timeout          time.Duration // of a ping, after which others are asked to probe
	Indirect         int           // members that are asked for an indirect probe
	Suspicion        float64       // length of a confirmed suspicion: periods, times the decimal logarithm of the number of members
	SuspicionStretch float64       // factor by which a suspicion without confirmation lasts longer
	Retransmits      int           // transmissions of an update: times the binary logarithm of the number of members
	OwnZoneProbes    int           // probes of a member of the own zone for each probe of another's
	Forget           time.Duration // after which a dead or left member is forgotten
	Seeds            []netip.AddrPort
}

// Upper limits of options.
const (
	maxIndirect = 16
	maxFactor   = 100 // of Suspicion, SuspicionStretch, Retransmits and OwnZoneProbes
)

// Defaults returns the parameters of the papers, for a period of a second.
func Defaults() Options {
	return Options{
		Period:           time.Second,
		Timeout:          300 * time.Millisecond,
		Indirect:         3,
		Suspicion:        3,
		SuspicionStretch: 6,
		Retransmits:      2,
		OwnZoneProbes:    2,
		Forget:           10 * time.Minute,
	}
}

// Check returns an error that names the first option out of range.
func (o Options) Check() error {
	inRange := func(factor float64) bool { return factor >= 1 && factor <= maxFactor } // false for NaN
	switch {
	case o.Timeout <= 0 || o.Period < 2*o.Timeout:
		return fmt.Errorf("membership: period %v, timeout %v; allowed: a timeout above 0 and a period of twice it at least", o.Period, o.Timeout)
	case o.Indirect < 0 || o.Indirect > maxIndirect:
		return fmt.Errorf("membership: indirect %d; allowed: 0 to %d", o.Indirect, maxIndirect)
	case !inRange(o.Suspicion) || !inRange(o.SuspicionStretch):
		return fmt.Errorf("membership: suspicion %v, stretch %v; allowed: 1 to %d", o.Suspicion, o.SuspicionStretch, maxFactor)
	case !inRange(float64(o.Retransmits)) || !inRange(float64(o.OwnZoneProbes)):
		return fmt.Errorf("membership: spread %d, near %d; allowed: 1 to %d", o.Retransmits, o.OwnZoneProbes, maxFactor)
	case o.Forget < o.MaxSuspicion(2):
		return fmt.Errorf("membership: forget %v; allowed: %v or more, or a suspicion outlasts it", o.Forget, o.MaxSuspicion(2))
	}
	return nil
}

// MinSuspicion returns how long a suspicion lasts among n members if all that are asked confirm it.
func (o Options) MinSuspicion(n int) time.Duration {
	return time.Duration(o.Suspicion * max(1, math.Log10(float64(n))) * float64(o.Period))
}

// MaxSuspicion returns how long a suspicion lasts among n members if none confirms it.
func (o Options) MaxSuspicion(n int) time.Duration {
	return time.Duration(o.SuspicionStretch * float64(o.MinSuspicion(n)))
}
