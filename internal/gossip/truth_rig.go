//go:build rig

package gossip

import (
	"time"

	"damsontrestle/internal/zonestate"
)

// truthPeriod is after which times are told anew: whole milliseconds up to it are kept exactly.
const truthPeriod = 1 << 24

// truthEntries tells when a part was made, by the clock that all processes of the fault bench's machine share and the exchange knows nothing of.
func truthEntries() []zonestate.Entry {
	return []zonestate.Entry{{Kind: zonestate.Made, Value: float64((time.Now().UnixMilli() + 1) % truthPeriod)}}
}

// truth is what time it is, for all nodes of one machine.
type truth int64

func readTruth() truth { return truth(time.Now().UnixMilli()) }

// underReported is by how much more an answer is old than it says.
func (t truth) underReported(v zonestate.Value) time.Duration {
	if v.From == 0 || v.Freshness == zonestate.Unknown {
		return 0
	}
	real := time.Duration((int64(t)%truthPeriod-int64(v.Amount)+truthPeriod)%truthPeriod) * time.Millisecond
	if real > truthPeriod/2*time.Millisecond { // made after now, by the rounding
		return 0
	}
	return max(0, real-v.Age)
}
