//go:build !rig

package gossip

import (
	"time"

	"damsontrestle/internal/zonestate"
)

// truthEntries tells when a part was made, for whoever knows the truth: in this build nobody does.
func truthEntries() []zonestate.Entry { return nil }

// truth is what time it is, for all nodes of one machine: in this build that is not known.
type truth struct{}

func readTruth() truth { return truth{} }

// underReported is by how much more an answer is old than it says.
func (truth) underReported(zonestate.Value) time.Duration { return 0 }
