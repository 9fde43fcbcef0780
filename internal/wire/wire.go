// Package wire reads batches of events from the simulator's text protocol and writes replies. It maps the protocol's names
// to those of the balancer, and makes no decisions. Each error of its input names the line and the value.
package wire

import (
	"time"

	"damsontrestle/internal/balancer"
)

// Kind tells what a Message carries.
type Kind int

// Message kinds.
const (
	BatchStart     Kind = iota // a batch begins; Now is set
	InstanceStart              // a new instance; Seed and Settings are set
	Event                      // Event is set
	InstanceKilled             // the instance was killed
	Ignored                    // known, but of no use to the module
	BatchEnd                   // the batch is over; a reply is due
)

// Message is one line of a batch, resolved.
type Message struct {
	Kind     Kind
	Instance int
	Now      time.Duration
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event
}
