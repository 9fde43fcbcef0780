package balancer

import (
	"fmt"
	"math"
	"time"
)

// Effect says what happens when a request runs more than once.
type Effect int

// The zero Effect is the careful one.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // the servers of one scope discard repeats for a while
	Safe                 // may run any number of times
)

// Scope names the servers that discard the repeats of a keyed request.
type Scope int

// Scopes, from the narrowest.
const (
	ScopeCell Scope = iota
	ScopeZone
	ScopeAll
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Effect           Effect
	Scope            Scope         // for Keyed
	Window           time.Duration // for Keyed: how long repeats are discarded, from the first send
	LatencyObjective time.Duration // answers within it earn full priority weight
	Deadline         time.Duration // how long a client waits over all its tries
	LateShare        float64       // share of the priority weight that an answer after the objective earns
	PriorityWeight   float64
}

// Settings hold until a Reconfigure.
type Settings struct {
	Classes     []Class
	Balancers   int     // copies that place requests on this tier
	Index       int     // this copy's number among them, from 0
	Tier        int     // the tier sent to, 0 being the clients' first
	TotalWeight float64 // how much the whole of the priority weight counts when shedding
	ClassWeight float64 // how much the worst-served class counts when shedding

	PollChoices   int // servers that are asked how much they hold before a request goes to one of them; 0: none
	MaxAttempts   int
	MayCancel     bool
	PollDiscovery bool          // the list follows only a Subscribe
	PollInterval  time.Duration // an unsubscribed copy must ask at least this often
	Tick          time.Duration // events come no more often than this
	MaxRetryAfter time.Duration // longest advice that clients heed

	SlowStartMinimum float64       // share of its capacity that a fresh server has at least
	SlowStartWindow  time.Duration // time after which it has all of it
}

// validate names the first setting that is out of range.
func validate(s Settings) error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("balancer: Classes is empty")
	}
	seen := map[string]bool{}
	for i, c := range s.Classes {
		field := func(name string) error {
			return fmt.Errorf("balancer: Classes[%d].%s (class %q) is out of range", i, name, c.Name)
		}
		switch {
		case c.Name == "":
			return fmt.Errorf("balancer: Classes[%d].Name is empty", i)
		case seen[c.Name]:
			return fmt.Errorf("balancer: Classes[%d].Name %q is used twice", i, c.Name)
		case c.LatencyObjective <= 0:
			return field("LatencyObjective")
		case c.Deadline <= 0:
			return field("Deadline")
		case c.Window < 0:
			return field("Window")
		case !(c.PriorityWeight >= 0 && c.PriorityWeight <= math.MaxFloat64):
			return field("PriorityWeight")
		case !(c.LateShare >= 0 && c.LateShare <= 1):
			return field("LateShare")
		}
		seen[c.Name] = true
	}
	for _, f := range []struct {
		name       string
		value, max float64
	}{{"Tier", float64(s.Tier), math.MaxInt32}, {"Index", float64(s.Index), math.MaxInt32},
		{"Balancers", float64(s.Balancers), math.MaxInt32}, {"PollChoices", float64(s.PollChoices), 16},
		{"MaxAttempts", float64(s.MaxAttempts), math.MaxInt32},
		{"TotalWeight", s.TotalWeight, math.MaxFloat64}, {"ClassWeight", s.ClassWeight, math.MaxFloat64},
		{"SlowStartMinimum", s.SlowStartMinimum, 1}, {"PollInterval", float64(s.PollInterval), math.MaxInt64},
		{"Tick", float64(s.Tick), math.MaxInt64}, {"MaxRetryAfter", float64(s.MaxRetryAfter), math.MaxInt64},
		{"SlowStartWindow", float64(s.SlowStartWindow), math.MaxInt64}} {
		if !(f.value >= 0 && f.value <= f.max) { // NaN fails too
			return fmt.Errorf("balancer: %s is out of range: %v", f.name, f.value)
		}
	}
	return nil
}
