// Package balancer decides where a load balancer sends each request, when it tries again and when it gives up. It does
// no I/O: the host feeds events to a Balancer and carries out the actions it returns. This file is the whole interface;
// every decision is in policy.go. A Balancer belongs to one goroutine. Its only clock is the now given to Handle, which
// must never go back, and its only randomness is the seed given to New, so the same events always give the same
// actions. Balancers share nothing. Memory is held for each request until it is answered and its attempts have ended,
// and for each server until it has left the list and its attempts have ended.
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

// ServerState is what discovery says of a server.
type ServerState int

// Server states.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// Server is an entry of the discovery list.
type Server struct {
	ID    string
	Zone  string
	Cell  int
	State ServerState
	Size  float64       // what it can carry against others, as listed; 0: not told
	Boot  time.Duration // clock time of its last start; 0: long ago
}

// Result says how an attempt ended.
type Result int

// Endings. Overloaded, Unreachable and Void prove that the attempt never ran.
const (
	Success Result = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	ConnectionLost
	Cancelled
	NotStarted
)

// NeverRan says that it proves that the attempt never ran.
func (e Result) NeverRan() bool { return e == Overloaded || e == Unreachable || e == NotStarted }

// Load is a server's own report, late and noisy. Absent values are negative.
type Load struct {
	Busy    float64       // requests it holds
	Service time.Duration // recent service time without waiting
}

// ServerLoad is what a server holds, by its own word or by what others know.
type ServerLoad struct {
	Server string
	Busy   float64       // requests in work and waiting; negative: it has not said
	Age    time.Duration // of the knowledge, at most
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// ServerList brings news from discovery. Full: the complete list, absent servers are gone.
	// Otherwise only changed entries. Asked marks an answer to Subscribe.
	ServerList struct {
		Full    bool
		Cached  bool // last held before a restart, possibly out of date
		Servers []Server
	}
	// ListFailed says that a Subscribe failed or that the subscription broke.
	ListFailed struct{}
	// Request is a client's request; the Balancer owes it one final answer by Deadline.
	Request struct {
		ID       string
		Class    string
		Deadline time.Duration // clock time
		Retry    bool          // the client marked it as a repeat
		Partial  bool          // its body still comes: Uploaded tells when all of it is at a server
		// attempts that another host made of it, all of which have ended as far as this one is concerned
		PriorAttempts []PriorAttempt
	}
	// Uploaded says that the last byte of a Partial request has come, and with an attempt has gone on to its
	// server: only now may that begin, and only now the client's time, until Deadline, and the attempt's
	// Timeout begin to run. It comes once a request at most.
	Uploaded struct {
		ID       string
		Attempt  int
		Deadline time.Duration // clock time
	}
	// Outcome ends one attempt. Ended: the request has its final answer.
	Outcome struct {
		ID            string
		Attempt       int
		Server        string
		Result        Result
		Latency       time.Duration
		Ended         bool
		NotReplayable bool // part of the request is gone: it can't be sent again
		Load          *Load
	}
	// Started says that a streamed answer has begun: the attempt is the client's from here on.
	Started struct {
		ID      string
		Attempt int
	}
	// ClientDisconnected says that the client left; nothing more is owed.
	ClientDisconnected struct{ ID string }
	// LoadUpdate brings what is known from elsewhere than from own requests. It may come at any time, in any order.
	LoadUpdate struct {
		ID    string // of the request that an Ask was for, which this answers in part; empty: of none
		Loads []ServerLoad
	}
	// Timer is a Wake come due.
	Timer struct{ Token string }
	// Reconfigure brings other Settings; those that New would refuse change nothing. What was learned stays.
	// A request under way is held to its class's terms as taken or as now, whichever are stricter.
	Reconfigure struct{ Settings Settings }
)

func (ServerList) event()         {}
func (ListFailed) event()         {}
func (Request) event()            {}
func (Uploaded) event()           {}
func (Outcome) event()            {}
func (Started) event()            {}
func (ClientDisconnected) event() {}
func (Timer) event()              {}
func (Reconfigure) event()        {}
func (LoadUpdate) event()         {}

// PriorAttempt is an attempt of a request that another host had in hand before this one. Attempts are numbered on from
// it.
type PriorAttempt struct {
	Server, Zone string
	Cell         int
	SentAt       time.Duration // clock time
	NeverRan     bool          // it is known never to have run
}

// Action is something the host must do, in the order given: one of the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (numbered from 0); it times out after Timeout, which for a
	// Partial request runs from Uploaded on.
	Send struct {
		ID, Server string
		Timeout    time.Duration
		NotAfter   time.Duration // time from which it may not begin any more: then it ends as Void, or as Unreachable
	}
	// Poll asks servers how much they hold, each of which a Known with this ID is to follow for, soon or not at all.
	// Nothing of the request itself goes there.
	Poll struct {
		ID      string
		Servers []string
		Timeout time.Duration
	}
	// Cancel stops waiting for an attempt; its Outcome still comes.
	Cancel struct {
		ID      string
		Attempt int
	}
	// CloseIdle closes the idle connections to a server: the next Send there opens one.
	CloseIdle struct{ Server string }
	// Reject is a final answer that promises that a retry does no harm.
	Reject struct {
		ID         string
		RetryAfter time.Duration // advice; 0: none
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// SetTimer asks for a Timer with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// Subscribe asks discovery for the list and its changes.
	Subscribe struct{}
)

func (Send) action()      {}
func (Poll) action()      {}
func (Cancel) action()    {}
func (CloseIdle) action() {}
func (Reject) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Subscribe) action() {}

// Unavailable counts the listed servers that are to get nothing new now, by their state or their health.
func (b *Balancer) Unavailable() int {
	sick, out := 0, 0
	for _, s := range b.servers {
		switch {
		case s.listed && s.State != Ready:
			out++
		case s.listed && b.muted(s):
			out++
		case s.listed && (b.now < s.until || b.silent(s)):
			sick++
		}
	}
	return out + min(sick, b.mostSick())
}

// ExpectedLatency is the wait for an answer that most of a class's answers stay under as they come now; 0: none has
// come yet.
func (b *Balancer) ExpectedLatency(class string) time.Duration {
	c := b.classes[class]
	switch {
	case c == nil || c.samples == 0:
		return 0
	case c.samples < fewSamples: // by how much they differ is not known yet
		return time.Duration(c.mean)
	}
	return time.Duration(c.mean + latencyDeviations*c.dev)
}

// latencyDeviations are the deviations above the mean that nineteen answers of twenty come within: a mean deviation is
// four fifths of a standard one.
const latencyDeviations = 2

// fewSamples are too few to tell by how much a class's answers differ.
const fewSamples = 8
