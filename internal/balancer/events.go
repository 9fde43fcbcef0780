package balancer

import (
	"time"
)

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

func (ServerList) event() {}

func (ListFailed) event() {}

func (Request) event() {}

func (Uploaded) event() {}

func (Outcome) event() {}

func (Started) event() {}

func (ClientDisconnected) event() {}

func (Timer) event() {}

func (Reconfigure) event() {}

func (LoadUpdate) event() {}

// PriorAttempt is an attempt of a request that another host had in hand before this one. Attempts are numbered on from
// it.
type PriorAttempt struct {
	Server, Zone string
	Cell         int
	SentAt       time.Duration // clock time
	NeverRan     bool          // it is known never to have run
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
