package balancer

import (
	"time"
)

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// ServerList is the endpoint list from discovery, or a change of it.
	ServerList struct {
		Full    bool // all servers: absent ones are removed; else changed entries alone
		Cached  bool // from before a restart, possibly out of date
		Servers []Server
	}
	// ListFailed says that a Subscribe failed or that the subscription broke.
	ListFailed struct{}
	// Request is a client's request; the Balancer owes it one response by Deadline.
	Request struct {
		ID       string
		Class    string
		Deadline time.Duration // clock time
		Retry    bool          // the client marked it as a retry
		Partial  bool          // its body is still on its way: Uploaded follows when all of it is at a server
		// PriorAttempts were made by another host. All have ended as far as this one is concerned.
		PriorAttempts []PriorAttempt
	}
	// Uploaded says that the last byte of a Partial request has come and, with an attempt, has gone on to its server:
	// only now may that begin to work, and only now the client's time, until Deadline, and the attempt's Timeout begin
	// to run. It comes once a request at most.
	Uploaded struct {
		ID       string
		Attempt  int
		Deadline time.Duration // clock time
	}
	// Outcome ends one attempt.
	Outcome struct {
		ID            string
		Attempt       int
		Server        string
		Result        Result
		Latency       time.Duration
		Ended         bool // the request has its response
		NotReplayable bool // part of the request is gone: it can't be sent again
		Load          *Load
	}
	// Started says that a streamed response has begun: no other attempt may follow.
	Started struct {
		ID      string
		Attempt int
	}
	// ClientDisconnected says that the client has closed its connection: no response is owed any more.
	ClientDisconnected struct{ ID string }
	// LoadUpdate brings servers' loads that are known otherwise than from own attempts. It may come at any time, in
	// any order.
	LoadUpdate struct {
		ID    string // of the request whose Poll this answers in part; empty: of none
		Loads []ServerLoad
	}
	// Timer says that a SetTimer is due.
	Timer struct{ Token string }
	// Reconfigure brings other Settings; those that New refuses change nothing. What was learned stays. A request that
	// is open is held to its class's terms as it was taken or as they are now, whichever are stricter.
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

// PriorAttempt is an attempt that another host made of a request before this one took it over. Attempts are numbered on
// from it.
type PriorAttempt struct {
	Server, Zone string
	Cell         int
	SentAt       time.Duration // clock time
	NeverRan     bool          // proven never to have run
}

// Result says how an attempt ended.
type Result int

// Results. Overloaded, Unreachable and NotStarted prove that the attempt never ran.
const (
	Success        Result = iota
	Failure               // the server replied with an error
	Overloaded            // the server rejected it
	TimedOut              // no reply came within Send.Timeout
	Unreachable           // no connection came up, or it broke before the last byte was sent
	ConnectionLost        // the connection broke under the attempt
	Cancelled             // by Cancel
	NotStarted            // it ended before its first byte was written
)

// NeverRan reports whether the result proves that the attempt never ran.
func (e Result) NeverRan() bool { return e == Overloaded || e == Unreachable || e == NotStarted }

// Load is a server's own load report, late and noisy. Absent values are negative.
type Load struct {
	Busy    float64       // requests it holds
	Service time.Duration // recent service time without waiting
}

// ServerLoad is the load of a server, by its own report or by what others know.
type ServerLoad struct {
	Server string
	Busy   float64       // requests in work and waiting; negative: not reported
	Age    time.Duration // of the knowledge, at most
}
