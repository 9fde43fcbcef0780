// Package metrics counts the results of requests since the start of the process, as clients and servers observed them, for the
// management endpoint. Front ends and back ends report to it; it depends on neither. Counters only increase, and are lost when
// the process ends.
package metrics

import (
	"maps"
	"sync"
)

// Result is how a request ended for its client.
type Result int

// Values of Result.
const (
	Fulfilled Result = iota // served with a complete reply of a server
	Throttled               // rejected
	Faulted                 // anything else
)

// String returns the name of the result in the metrics.
func (r Result) String() string { return resultNames[r] }

var resultNames = [...]string{Fulfilled: "fulfilled", Throttled: "throttled", Faulted: "faulted"}

// Counts holds the number of requests of one class for each Result.
type Counts [len(resultNames)]int64

// Recorder counts requests and attempts. Its zero value is ready to use, and its methods are safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	classes map[string]Counts
	relayed int64
	open    int64

	unattributed map[string]map[string]int64 // by server and kind
	closed       map[string]int64            // by reason
	ended        map[string]int64            // responses without a complete reply of a server, by reason
}

// maxServers is the maximum number of servers with counters of their own; further ones are counted together as otherServers.
const maxServers = 1000

// otherServers stands for all servers beyond maxServers.
const otherServers = "other"

// UnattributedInput records input of a server that belongs to no request.
func (s *Recorder) UnattributedInput(server, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unattributed == nil {
		s.unattributed = map[string]map[string]int64{}
	}
	if s.unattributed[server] == nil && len(s.unattributed) >= maxServers {
		server = otherServers
	}
	if s.unattributed[server] == nil {
		s.unattributed[server] = map[string]int64{}
	}
	s.unattributed[server][kind]++
}

// ServerConnectionClosed records that a connection to a server was closed.
func (s *Recorder) ServerConnectionClosed(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed == nil {
		s.closed = map[string]int64{}
	}
	s.closed[reason]++
}

// ResponseEnded records why a response has no complete reply of a server.
func (s *Recorder) ResponseEnded(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		s.ended = map[string]int64{}
	}
	s.ended[reason]++
}

// RegisterClasses includes classes in the metrics, with counts of 0, before their first request ends.
func (s *Recorder) RegisterClasses(classes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range classes {
		s.add(c, Faulted, 0)
	}
}

// RequestStarted records that a request was accepted. RequestEnded or ClientDisconnected must follow.
func (s *Recorder) RequestStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
}

// RequestEnded records the result of a request.
func (s *Recorder) RequestEnded(class string, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.add(class, r, 1)
}

// ClientDisconnected records that the client of a request disconnected before its response.
func (s *Recorder) ClientDisconnected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// AttemptSent records that an attempt was written completely to a server.
func (s *Recorder) AttemptSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed++
}

func (s *Recorder) add(class string, r Result, n int64) {
	if s.classes == nil {
		s.classes = map[string]Counts{}
	}
	c := s.classes[class]
	c[r] += n
	s.classes[class] = c
}

// Report is a snapshot of all metrics.
type Report struct {
	Fulfilled    map[string]int64 `json:"fulfilled"` // by class
	Throttled    map[string]int64 `json:"throttled"`
	Faulted      map[string]int64 `json:"faulted"`
	Relayed      int64            `json:"relayed"`       // attempts written completely to servers
	OpenRequests int64            `json:"open_requests"` // accepted and not ended

	// Of the endpoint list; filled in by its owner.
	RegistryEntries int `json:"registry_entries"`
	OutOfRotation   int `json:"out_of_rotation"` // listed servers that get no new requests

	UnattributedInput       map[string]map[string]int64 `json:"unattributed_input,omitempty"`        // input that belongs to no request, by server and kind
	ServerConnectionsClosed map[string]int64            `json:"server_connections_closed,omitempty"` // by reason

	UnservedResponses map[string]int64 `json:"unserved_responses,omitempty"` // without a complete reply of a server, by reason

	Memory     *Memory     `json:"memory,omitempty"`     // of the process; filled in by its owner
	Scheduling *Scheduling `json:"scheduling,omitempty"` // the same

	Peers *Peers `json:"peers,omitempty"` // nil: the node has no peers
}

// Peers is what a node knows of other nodes; filled in by the owner of membership and zone state.
type Peers struct {
	Members  map[string]int `json:"members"` // other nodes by status: alive, suspect, dead, left
	Zones    map[string]int `json:"zones"`   // by the freshness of their state: fresh, stale, unknown
	Isolated bool           `json:"alone"`   // there is no fresh state of any other node
	Dropped  int64          `json:"dropped"` // received datagrams that were discarded
}

// Report returns the current counts.
func (s *Recorder) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := Report{
		Fulfilled:    map[string]int64{},
		Throttled:    map[string]int64{},
		Faulted:      map[string]int64{},
		Relayed:      s.relayed,
		OpenRequests: s.open,
	}
	report.ServerConnectionsClosed = maps.Clone(s.closed)
	report.UnservedResponses = maps.Clone(s.ended)
	if len(s.unattributed) > 0 {
		report.UnattributedInput = map[string]map[string]int64{}
	}
	for server, kinds := range s.unattributed {
		report.UnattributedInput[server] = maps.Clone(kinds)
	}
	for class, c := range s.classes {
		report.Fulfilled[class] = c[Fulfilled]
		report.Throttled[class] = c[Throttled]
		report.Faulted[class] = c[Faulted]
	}
	return report
}
