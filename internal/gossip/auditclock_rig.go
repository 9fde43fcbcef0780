//go:build rig

package gossip

import (
	"time"

	"damsontrestle/internal/zonestate"
)

// auditClockPeriod is the number of milliseconds after which times begin again: a float32 keeps whole numbers up to it exactly.
const auditClockPeriod = 1 << 24

// auditEntries returns when a part was made, by the host's wall clock, which the exchange itself does not use.
func auditEntries() []zonestate.Entry {
	return []zonestate.Entry{{Kind: zonestate.MadeAt, Value: float64((time.Now().UnixMilli() + 1) % auditClockPeriod)}}
}

// auditClock is a time of the host's wall clock, in milliseconds.
type auditClock int64

func readAuditClock() auditClock { return auditClock(time.Now().UnixMilli()) }

// underReported returns by how much the age of a value exceeds the bound that comes with it.
func (t auditClock) underReported(v zonestate.Value) time.Duration {
	if v.PartCount == 0 || v.Freshness == zonestate.Unknown {
		return 0
	}
	age := time.Duration((int64(t)%auditClockPeriod-int64(v.Amount)+auditClockPeriod)%auditClockPeriod) * time.Millisecond
	if age > auditClockPeriod/2*time.Millisecond { // made later than now, by rounding
		return 0
	}
	return max(0, age-v.Age)
}
