package membership

import (
	"fmt"
	"math"
	"net/netip"
	"time"
)

// MaxBytes is what the updates of a message take at most, as the codec writes them.
const MaxBytes = 200

// Options are a fleet's, the same at all members.
type Options struct {
	Period    time.Duration // between two probes, of a node in good health
	Timeout   time.Duration // of a ping
	Indirect  int           // others that are asked to ping a member that does not answer
	Suspicion float64       // periods, times the logarithm of the number of members, that a confirmed suspicion lasts
	Stretch   float64       // times as long one lasts that nobody confirms
	Spread    int           // times the logarithm of the number of members that a word is passed on
	Near      int           // probes of members of the own zone for each of another's
	Forget    time.Duration // after which a member that is dead or left is forgotten
	Seeds     []netip.AddrPort
}

// Defaults are the papers', for a period of a second.
func Defaults() Options {
	return Options{Period: time.Second, Timeout: 300 * time.Millisecond, Indirect: 3, Suspicion: 3, Stretch: 6, Spread: 2, Near: 2, Forget: 10 * time.Minute}
}

// Check names the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.Timeout <= 0 || o.Period < 2*o.Timeout:
		return fmt.Errorf("membership: period %v, timeout %v; allowed: a timeout above 0 and a period of twice it at least", o.Period, o.Timeout)
	case o.Indirect < 0 || o.Indirect > 16:
		return fmt.Errorf("membership: indirect %d; allowed: 0 to 16", o.Indirect)
	case !(o.Suspicion >= 1 && o.Suspicion <= 100) || !(o.Stretch >= 1 && o.Stretch <= 100):
		return fmt.Errorf("membership: suspicion %v, stretch %v; allowed: 1 to 100", o.Suspicion, o.Stretch)
	case o.Spread < 1 || o.Spread > 100 || o.Near < 1 || o.Near > 100:
		return fmt.Errorf("membership: spread %d, near %d; allowed: 1 to 100", o.Spread, o.Near)
	case o.Forget < o.MaxSuspicion(2):
		return fmt.Errorf("membership: forget %v; allowed: %v or more, or a suspicion outlasts it", o.Forget, o.MaxSuspicion(2))
	}
	return nil
}

// MinSuspicion and MaxSuspicion are how long a suspicion lasts among n members, with all confirmations and with none.
func (o Options) MinSuspicion(n int) time.Duration {
	return time.Duration(o.Suspicion * max(1, math.Log10(float64(n))) * float64(o.Period))
}

// MaxSuspicion is the longest that one lasts.
func (o Options) MaxSuspicion(n int) time.Duration {
	return time.Duration(o.Stretch * float64(o.MinSuspicion(n)))
}
