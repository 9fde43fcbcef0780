package balancer

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect says what happens when a request runs more than once.
type Effect int

// The zero Effect is the careful one.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // idempotent by its key: the servers of one scope discard duplicates for a while
	Safe                 // may run any number of times
)

// Scope names the servers that discard the duplicates of a keyed request.
type Scope int

// Scopes, from the narrowest.
const (
	ScopeCell Scope = iota // servers of one zone and cell
	ScopeZone              // servers of one zone
	ScopeAll               // all servers
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Effect           Effect
	Scope            Scope         // for Keyed
	Window           time.Duration // for Keyed: how long duplicates are discarded, from the first send
	LatencyObjective time.Duration // responses within it earn the full priority weight
	Deadline         time.Duration // how long a client waits over all its attempts
	LateShare        float64       // share of the priority weight that a response after the objective earns, 0 to 1
	PriorityWeight   float64       // how much a response counts when load is shed
}

// Settings hold until a Reconfigure. New and Reconfigure reject values out of range.
type Settings struct {
	Classes     []Class
	Balancers   int     // nodes that send requests to this tier
	Index       int     // this node's number among them, from 0
	Tier        int     // the tier sent to, 0 being the clients' first
	TotalWeight float64 // how much the whole of the priority weight counts when shedding
	ClassWeight float64 // how much the worst-served class counts when shedding

	PollChoices   int           // servers that are polled for their load before a request goes to one of them; 0: none
	MaxAttempts   int           // of one request
	MayCancel     bool          // the host can cancel attempts
	PollDiscovery bool          // the list follows only a Subscribe
	PollInterval  time.Duration // a node without a subscription must ask at least this often
	Tick          time.Duration // events come no more often than this
	MaxRetryAfter time.Duration // longest Retry-After that clients heed

	SlowStartMinimum float64       // share of its capacity that a server has at least when it starts
	SlowStartWindow  time.Duration // time after which it has all of it
}

// maxPollChoices bounds Settings.PollChoices.
const maxPollChoices = 16

// validate returns an error that names the first setting that is out of range.
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

// validateClasses returns an error that names the first field of a class that is out of range.
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

// outOfRange names the first field that is out of range; "" if none is.
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

// within reports whether a value is from 0 to max. NaN is not.
func within(value, max float64) bool { return value >= 0 && value <= max }
