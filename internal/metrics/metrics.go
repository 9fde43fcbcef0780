// Package metrics counts what became of requests since the process began, as clients and servers saw it, for the
// management endpoint. Front ends and back ends report to it; it knows nothing of either. Counters only grow, and are
// lost with the process.
package metrics

import "sync"

// Result is how a request ended for its client.
type Result int

// Results.
const (
	Fulfilled Result = iota // served, with a server's complete reply
	Throttled               // rejected
	Faulted                 // anything else
)

// String names the result as the metrics do.
func (r Result) String() string { return resultNames[r] }

var resultNames = [...]string{Fulfilled: "fulfilled", Throttled: "throttled", Faulted: "faulted"}

// Counts are the requests of one class by their Result.
type Counts [len(resultNames)]int64

// Recorder counts. The zero value is ready, and its methods are safe for any number of goroutines.
type Recorder struct {
	mu      sync.Mutex
	classes map[string]Counts
	relayed int64
	open    int64
}

// RegisterClasses has classes appear among the metrics before anything of them was counted.
func (s *Recorder) RegisterClasses(classes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range classes {
		s.add(c, Faulted, 0)
	}
}

// RequestStarted notes that a request was taken. RequestEnded or ClientDisconnected must follow.
func (s *Recorder) RequestStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
}

// RequestEnded notes how a request ended.
func (s *Recorder) RequestEnded(class string, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.add(class, r, 1)
}

// ClientDisconnected notes that the client of a request disconnected before its response.
func (s *Recorder) ClientDisconnected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// AttemptSent notes that an attempt was written completely to a server.
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

// Report is all metrics at one moment, by the names that operators know.
type Report struct {
	Fulfilled    map[string]int64 `json:"fulfilled"` // by class
	Throttled    map[string]int64 `json:"throttled"`
	Faulted      map[string]int64 `json:"faulted"`
	Relayed      int64            `json:"relayed"`       // attempts written completely to servers
	OpenRequests int64            `json:"open_requests"` // taken and not ended

	// Of the servers' list; its owner fills them in.
	RegistryEntries int `json:"registry_entries"`
	OutOfRotation   int `json:"out_of_rotation"` // listed servers that nothing new is sent to

	Peers *Peers `json:"peers,omitempty"` // nil: the node knows of no others
}

// Peers is what a node knows of others; its owner fills it in.
type Peers struct {
	Members  map[string]int `json:"members"` // others by status: alive, suspect, dead, left
	Zones    map[string]int `json:"zones"`   // by what is known of them: fresh, stale, unknown
	Isolated bool           `json:"alone"`   // nothing fresh is known of anybody else
	Dropped  int64          `json:"dropped"` // datagrams that came and were not used
}

// Report tells what was counted.
func (s *Recorder) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{
		Fulfilled:    map[string]int64{},
		Throttled:    map[string]int64{},
		Faulted:      map[string]int64{},
		Relayed:      s.relayed,
		OpenRequests: s.open,
	}
	for class, c := range s.classes {
		r.Fulfilled[class] = c[Fulfilled]
		r.Throttled[class] = c[Throttled]
		r.Faulted[class] = c[Faulted]
	}
	return r
}
