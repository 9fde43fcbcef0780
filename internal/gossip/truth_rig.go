//go:build rig

package gossip

import (
	"time"

	"damsontrestle/internal/zonestate"
)

// truthPeriod is the number of milliseconds after which times begin again: a float32 keeps whole numbers up to it exactly.
const truthPeriod = 1 << 24

// truthEntries returns when a part was made, by the host's wall clock, which the exchange itself does not use.
func truthEntries() []zonestate.Entry {
	return []zonestate.Entry{{Kind: zonestate.MadeAt, Value: float64((time.Now().UnixMilli() + 1) % truthPeriod)}}
}

// truth is a time of the host's wall clock, in milliseconds.
type truth int64

func readTruth() truth { return truth(time.Now().UnixMilli()) }

// underReported returns by how much the age of a value exceeds the bound that comes with it.
func (t truth) underReported(v zonestate.Value) time.Duration {
	if v.PartCount == 0 || v.Freshness == zonestate.Unknown {
		return 0
	}
	age := time.Duration((int64(t)%truthPeriod-int64(v.Amount)+truthPeriod)%truthPeriod) * time.Millisecond
	if age > truthPeriod/2*time.Millisecond { // made later than now, by rounding
		return 0
	}
	return max(0, age-v.Age)
}
