package balancer

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect is what repeated execution of a request does.
type Effect int

// The zero Effect is the most restrictive one.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // idempotent by its key: the servers of one scope discard duplicates for a limited time
	Safe                 // may run any number of times
)

// Scope is the set of servers that discard the duplicates of a keyed request.
type Scope int

// Scopes, from the narrowest to the widest.
const (
	ScopeCell Scope = iota // servers of one zone and cell
	ScopeZone              // servers of one zone
	ScopeAll               // all servers
)

// Class describes a class of requests.
type Class struct {
	Name             string
	Effect           Effect
	Scope            Scope         // for Keyed
	Window           time.Duration // for Keyed: how long duplicates are discarded, from the first send
	LatencyObjective time.Duration // responses within it count with the full priority weight
	Deadline         time.Duration // time that a client waits in total, over all its attempts
	LateShare        float64       // share of the priority weight of a response after the objective, 0 to 1
	PriorityWeight   float64       // weight of a response when load is shed
}

// Settings configure a Balancer until the next Reconfigure. New and Reconfigure reject values out of range.
type Settings struct {
	Classes     []Class
	Balancers   int     // number of nodes that send requests to this tier
	Index       int     // index of this node among them, from 0
	Tier        int     // the tier that requests are sent to; 0 is the first, nearest to the clients
	TotalWeight float64 // weight of a class's part of all priority weight in its requests' value
	ClassWeight float64 // extra weight in the value of requests of the worst-served class

	PollChoices   int           // servers polled for their load before a first attempt; 0: none
	MaxAttempts   int           // attempts per request
	MayCancel     bool          // the host can cancel attempts
	PollDiscovery bool          // a list arrives only after a Subscribe
	PollInterval  time.Duration // longest time between polls of a node without a subscription
	Tick          time.Duration // shortest time between events
	MaxRetryAfter time.Duration // longest Retry-After that clients respect

	SlowStartMinimum float64       // share of its capacity that a server has when it starts, at least
	SlowStartWindow  time.Duration // time after which it has full capacity
}

// maxPollChoices bounds Settings.PollChoices.
const maxPollChoices = 16

// validate returns an error that names the first setting out of range.
func validate(s Settings) error {
	if err := validateClasses(s.Classes); err != nil {
		return err
	}
	for _, field := range []struct {
		name       string
		value, max float64
	}{
		{"Tier", float64(s.Tier), math.MaxInt32},
		{"Index", float64(s.Index), math.MaxInt32},
		{"Balancers", float64(s.Balancers), math.MaxInt32},
		{"PollChoices", float64(s.PollChoices), maxPollChoices},
		{"MaxAttempts", float64(s.MaxAttempts), math.MaxInt32},
		{"TotalWeight", s.TotalWeight, math.MaxFloat64},
		{"ClassWeight", s.ClassWeight, math.MaxFloat64},
		{"SlowStartMinimum", s.SlowStartMinimum, 1},
		{"PollInterval", float64(s.PollInterval), math.MaxInt64},
		{"Tick", float64(s.Tick), math.MaxInt64},
		{"MaxRetryAfter", float64(s.MaxRetryAfter), math.MaxInt64},
		{"SlowStartWindow", float64(s.SlowStartWindow), math.MaxInt64},
	} {
		if !within(field.value, field.max) {
			return fmt.Errorf("balancer: %s is out of range: %v", field.name, field.value)
		}
	}
	return nil
}

// validateClasses returns an error that names the first class field out of range.
func validateClasses(classes []Class) error {
	if len(classes) == 0 {
		return errors.New("balancer: Classes is empty")
	}
	seen := map[string]bool{}
	for i, c := range classes {
		if c.Name == "" {
			return fmt.Errorf("balancer: Classes[%d].Name is empty", i)
		}
		if seen[c.Name] {
			return fmt.Errorf("balancer: Classes[%d].Name %q is used twice", i, c.Name)
		}
		seen[c.Name] = true
		if field := c.outOfRange(); field != "" {
			return fmt.Errorf("balancer: Classes[%d].%s (class %q) is out of range", i, field, c.Name)
		}
	}
	return nil
}

// outOfRange returns the name of the first field out of range, or "".
func (c Class) outOfRange() string {
	switch {
	case c.LatencyObjective <= 0:
		return "LatencyObjective"
	case c.Deadline <= 0:
		return "Deadline"
	case c.Window < 0:
		return "Window"
	case !within(c.PriorityWeight, math.MaxFloat64):
		return "PriorityWeight"
	case !within(c.LateShare, 1):
		return "LateShare"
	}
	return ""
}

// within reports whether value is between 0 and max. It is false for NaN.
func within(value, max float64) bool { return value >= 0 && value <= max }
