//go:build !rig

package peers

import (
	"time"

	"woodpick/internal/facts"
)

// made tells when a part was made, for whoever knows the truth: in this build nobody does.
func made() []facts.Entry { return nil }

// truth is what time it is, for all nodes of one machine: in this build that is not known.
type truth struct{}

func readTruth() truth { return truth{} }

// short is by how much more an answer is old than it says.
func (truth) short(facts.Value) time.Duration { return 0 }
