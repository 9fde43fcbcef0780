//go:build rig

package gossip

import (
	"time"

	"damsontrestle/internal/zonestate"
)

// auditClockPeriod is the period in milliseconds after which times wrap around. A float32 holds integers up to it exactly.
const auditClockPeriod = 1 << 24

// auditEntries returns the creation time of a part by the host's wall clock, which the exchange itself does not use.
func auditEntries() []zonestate.Entry {
	return []zonestate.Entry{{Kind: zonestate.MadeAt, Value: float64((time.Now().UnixMilli() + 1) % auditClockPeriod)}}
}

// auditClock is a reading of the host's wall clock, in milliseconds.
type auditClock int64

func readAuditClock() auditClock { return auditClock(time.Now().UnixMilli()) }

// underReported returns by how much the true age of a value exceeds its reported upper bound.
func (t auditClock) underReported(v zonestate.Value) time.Duration {
	if v.PartCount == 0 || v.Freshness == zonestate.Unknown {
		return 0
	}
	age := time.Duration((int64(t)%auditClockPeriod-int64(v.Amount)+auditClockPeriod)%auditClockPeriod) * time.Millisecond
	if age > auditClockPeriod/2*time.Millisecond { // created later than now, due to rounding
		return 0
	}
	return max(0, age-v.Age)
}
