//go:build !rig

package gossip

import (
	"time"

	"damsontrestle/internal/zonestate"
)

// auditEntries returns no entries. Builds for the fault bench send the creation time of a part for its auditor.
func auditEntries() []zonestate.Entry { return nil }

// auditClock is a clock reading shared by all nodes of a host. This build does not use it.
type auditClock struct{}

func readAuditClock() auditClock { return auditClock{} }

// underReported returns 0, as this build does not audit ages.
func (auditClock) underReported(zonestate.Value) time.Duration { return 0 }
