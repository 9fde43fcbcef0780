//go:build !rig

package gossip

import (
	"time"

	"damsontrestle/internal/zonestate"
)

// auditEntries returns when a part was made, for the auditor of the fault bench. Other builds do not send it.
func auditEntries() []zonestate.Entry { return nil }

// auditClock is a time that all nodes of one host share. This build does not use it.
type auditClock struct{}

func readAuditClock() auditClock { return auditClock{} }

// underReported returns by how much the age of a value exceeds the bound that comes with it.
func (auditClock) underReported(zonestate.Value) time.Duration { return 0 }
