// Package wire decodes batches of events of the simulator's text protocol and encodes the replies. It maps the protocol's
// names to those of the balancer and makes no decisions. Decoding errors name the line and the value.
package wire

import (
	"time"

	"damsontrestle/internal/balancer"
)

// Kind is the kind of a Message.
type Kind int

// Message kinds.
const (
	BatchStart     Kind = iota // a batch starts; Now is set
	InstanceStart              // an instance starts; Seed and Settings are set
	Event                      // Event is set
	InstanceKilled             // the instance was killed
	Ignored                    // known to the protocol, but not used by the balancer
	BatchEnd                   // the batch ends; a reply is expected
)

// Message is one decoded line of a batch; an announce line includes its list.
type Message struct {
	Kind     Kind
	Instance int
	Now      time.Duration
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event
}
