package balancer

import (
	"time"
)

// Event is an input to Handle: one of the types below.
type Event interface{ event() }

type (
	// ServerList is the endpoint list from discovery, or a change of it.
	ServerList struct {
		Full    bool // all servers, absent ones are removed; otherwise only changed entries
		Cached  bool // from before a restart, possibly out of date
		Servers []Server
	}
	// ListFailed reports that a Subscribe failed or that the subscription broke.
	ListFailed struct{}
	// Request is a client's request. The Balancer must respond to it once, by Deadline.
	Request struct {
		ID       string
		Class    string
		Deadline time.Duration // clock time
		Retry    bool          // the client marked it as a retry
		Partial  bool          // its body is incomplete; Uploaded follows once a server has all of it
		// PriorAttempts were made by another host. This one gets no Outcome for them.
		PriorAttempts []PriorAttempt
	}
	// Uploaded reports that the last byte of a Partial request has arrived and, if it has an attempt, was forwarded
	// to its server. Only then may the server start work, and only then do the client's time, until Deadline, and the
	// attempt's Timeout start. It occurs at most once per request.
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
		Ended         bool          // the client has its response
		NotReplayable bool          // part of the request is no longer buffered: it can't be sent again
		UploadTime    time.Duration // for how long the client was still sending, if there was no Uploaded
		Load          *Load
	}
	// ReplyBegun reports that the reply to an attempt is arriving, and not complete: its server responds, however long
	// the rest takes. It occurs at most once per attempt, before its Outcome.
	ReplyBegun struct {
		ID      string
		Attempt int
	}
	// Started reports that a streamed response has begun: no further attempt may follow.
	Started struct {
		ID      string
		Attempt int
	}
	// ClientDisconnected reports that the client has closed its connection and needs no response.
	ClientDisconnected struct{ ID string }
	// LoadUpdate reports the load of servers from sources other than own attempts. It may arrive at any time and in
	// any order.
	LoadUpdate struct {
		ID    string // request whose Poll this partly answers; empty: none
		Loads []ServerLoad
	}
	// Timer reports that a SetTimer is due.
	Timer struct{ Token string }
	// Reconfigure replaces the Settings; settings that New would reject change nothing. Statistics are kept. An open
	// request follows the terms of its class as accepted or the current ones, whichever are stricter.
	Reconfigure struct{ Settings Settings }
)

func (ServerList) event() {}

func (ListFailed) event() {}

func (Request) event() {}

func (Uploaded) event() {}

func (Outcome) event() {}

func (ReplyBegun) event() {}

func (Started) event() {}

func (ClientDisconnected) event() {}

func (Timer) event() {}

func (Reconfigure) event() {}

func (LoadUpdate) event() {}

// PriorAttempt is an attempt that another host made of a request before this one took it over. The numbers of later
// attempts continue after it.
type PriorAttempt struct {
	Server, Zone string
	Cell         int
	SentAt       time.Duration // clock time
	NeverRan     bool          // proven never to have run
}

// Result is how an attempt ended.
type Result int

// Results. Overloaded, Unreachable and NotStarted prove that the attempt never ran.
const (
	Success        Result = iota
	Failure               // the server replied with an error
	Overloaded            // the server rejected it
	TimedOut              // no reply came within Send.Timeout
	Unreachable           // connecting failed, or the connection broke before the last byte was sent
	ConnectionLost        // the connection broke during the attempt
	Cancelled             // by Cancel
	NotStarted            // it ended before its first byte was written
)

// NeverRan reports whether the result proves that the attempt never ran.
func (e Result) NeverRan() bool { return e == Overloaded || e == Unreachable || e == NotStarted }

// Load is a server's own load report, delayed and noisy. Missing values are negative.
type Load struct {
	Busy    float64       // requests in progress and queued
	Service time.Duration // recent service time without queueing
}

// ServerLoad is the load of a server, from its own report or from another source.
type ServerLoad struct {
	Server string
	Busy   float64       // requests in progress and queued; negative: not reported
	Age    time.Duration // upper bound of the value's age
}
