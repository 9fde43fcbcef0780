//go:build !rig

package gossip

import (
	"time"

	"damsontrestle/internal/zonestate"
)

// truthEntries returns when a part was made, for the auditor of the fault bench. Other builds do not send it.
func truthEntries() []zonestate.Entry { return nil }

// truth is a time that all nodes of one host share. This build does not use it.
type truth struct{}

func readTruth() truth { return truth{} }

// underReported returns by how much the age of a value exceeds the bound that comes with it.
func (truth) underReported(zonestate.Value) time.Duration { return 0 }
