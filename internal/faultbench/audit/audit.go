// Package audit compares what clients heard with what servers ran, call by call, and finds every breach of the four
// rules: one answer in time; nothing unsafe twice, and no two attempts of a request at once; drains kept; no server in slow start
// pushed over. It also works out the figures of a run (figures.go). It does no I/O and has no clock.
package audit

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"damsontrestle/internal/faultbench/world"
)

// Heard is what a client heard of a request.
type Outcome int

// What clients hear.
const (
	NoResponse    Outcome = iota // until the time was up
	Served                       // with the answer that a server made for it
	Refused                      // trying again is harmless
	Failed                       // promises nothing
	NotAccepted                  // no connection came up, or it ended before the request was taken
	Disconnected                 // the connection ended after it was taken
	WrongResponse                // an answer that is none to this request, or two
	ClientLeft                   // its client left with nothing
)

var outcomeNames = [...]string{"nothing", "served", "refused", "failed", "not taken", "a broken connection", "a wrong answer", "nothing before its caller left"}

func (h Outcome) String() string { return outcomeNames[h] }

// Slack is what the protocol adds to each limit of time, and DrainGrace how long after it was told a node may still
// send to a server that drains.
const (
	AnswerSlack = 550 * time.Millisecond // up to half a second an answer only earns nothing
	DrainGrace  = 1050 * time.Millisecond
)

// Race is by how much the fault bench may see two things of one node in the wrong order: they come on two connections.
const ReorderTolerance = 20 * time.Millisecond

// Call is one request, as its client sees it.
type Request struct {
	ID               string
	FirstID          string // of its client's first attempt, which a retry belongs to; empty: this is it
	Node             int
	Class            int
	Unsafe           bool
	At               time.Duration
	LatencyObjective time.Duration // from At
	Deadline         time.Duration // from At
	PriorityWeight   float64       // of an answer within the latency objective
	Outcome          Outcome
	OutcomeAt        time.Duration
	Detail           string // what else was heard: the refusal's advice, a wrong answer's beginning
	attempts         []*Attempt
}

// Attempt is one send of a request, as the fault bench's relays and servers see it.
type Attempt struct {
	RequestID string
	Server    string // uid
	Index     int    // of the server's place
	CrossZone bool   // between zones
	SentAt    time.Duration
	EndedAt   time.Duration // the node has its answer, or has closed the connection; 0: never
	Ran       bool          // its work began, or could not be told not to have
	EndReason string
}

// Excuse is a stretch in which what a node does not do is not its fault: it was killed, stopped, or starting.
type Outage struct {
	Node     int
	From, To time.Duration
}

// Breach is one rule that was broken.
type Breach struct {
	Rule   string // answer, once, drain or cold
	Call   string `json:",omitempty"`
	At     time.Duration
	Words  string
	Events []string `json:",omitempty"` // round it
}

func (b Breach) String() string {
	s := fmt.Sprintf("%v rule %q: %s", b.At.Round(time.Millisecond), b.Rule, b.Words)
	for _, e := range b.Events {
		s += "\n    " + e
	}
	return s
}

// Audit collects what happens. Its methods may be called from anywhere.
type Audit struct {
	mu            sync.Mutex
	requests      map[string]*Request
	orphans       []*Attempt // of requests that nobody made
	removals      map[int]map[string]time.Duration
	outages       []Outage
	breaches      []Breach
	samples       []Sample
	arrivals      []arrival
	slowStartLoad float64 // most that came to a server in slow start, of what the rule allows
}

type arrival struct {
	at    time.Duration
	index int
}

// New returns an Audit that knows nothing yet.
func New() *Audit {
	return &Audit{requests: map[string]*Request{}, removals: map[int]map[string]time.Duration{}}
}

// Ask notes that a client sends a request.
func (a *Audit) RecordRequest(c Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[c.ID] = &c
}

// Hear notes what its client heard, once a request; more is a breach.
func (a *Audit) RecordOutcome(id string, h Outcome, at time.Duration, says string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.requests[id]
	if c == nil {
		return
	}
	if c.OutcomeAt > 0 {
		h, says = WrongResponse, fmt.Sprintf("%v after %v", h, c.Outcome)
	}
	c.Outcome, c.OutcomeAt, c.Detail = h, at, says
}

// Send notes that the last byte of an attempt has come to a relay, and returns it for what follows.
func (a *Audit) RecordAttempt(request, server string, index int, cross bool, at time.Duration) *Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &Attempt{RequestID: request, Server: server, Index: index, CrossZone: cross, SentAt: at}
	a.arrivals = append(a.arrivals, arrival{at, index})
	c := a.requests[request]
	if c == nil {
		a.orphans = append(a.orphans, t)
		return t
	}
	if told, yes := a.removals[c.Node][server]; yes && at > told+DrainGrace {
		a.breaches = append(a.breaches, Breach{Rule: "drain", Call: request, At: at,
			Words: fmt.Sprintf("node %d sent %s to %s, %v after it was told that it drains or has gone", c.Node, request, server, (at - told).Round(time.Millisecond))})
	}
	c.attempts = append(c.attempts, t)
	return t
}

// Run notes that an attempt's work has begun, or that nobody can tell that it has not.
func (a *Audit) RecordRun(t *Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.Ran = true
}

// Over notes that the node has an attempt's answer, or has closed its connection. The first word holds.
func (a *Audit) RecordEnd(t *Attempt, at time.Duration, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.EndedAt == 0 {
		t.EndedAt, t.EndReason = at, how
	}
}

// Told notes that a node was told that a server drains or has gone.
func (a *Audit) RecordRemoval(node int, server string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.removals[node] == nil {
		a.removals[node] = map[string]time.Duration{}
	}
	if _, known := a.removals[node][server]; !known {
		a.removals[node][server] = at
	}
}

// Excuse notes a stretch in which a node was not at fault.
func (a *Audit) RecordOutage(e Outage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outages = append(a.outages, e)
}

// LifeOver notes what came to a server while it was cold, once its incarnation or the run is over.
func (a *Audit) RecordServerEnd(s *world.Server, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slowStartLoad = max(a.slowStartLoad, s.SlowStartLoad())
	if n := s.SlowStartOverloads(); n > 0 {
		a.breaches = append(a.breaches, Breach{Rule: "cold", At: at, Words: fmt.Sprintf("%s got more than it could bear while it was cold, %d times", s.ID, n)})
	}
}

// excused says that a node was not at fault at some instant of a stretch.
func (a *Audit) hadOutage(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(a.outages, func(e Outage) bool { return e.Node == node && e.From <= to && from <= e.To })
}

// Breaches judges all that was noted, in the order of time. late is by how much the fault bench itself lagged at most.
func (a *Audit) Breaches(late time.Duration) []Breach {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := slices.Clone(a.breaches)
	fault := func(rule string, c *Request, at time.Duration, format string, args ...any) {
		out = append(out, Breach{Rule: rule, Call: c.ID, At: at, Words: fmt.Sprintf(format, args...), Events: c.events()})
	}
	for _, c := range a.requests {
		due := c.At + c.Deadline + AnswerSlack + late
		switch {
		case c.Outcome == WrongResponse:
			fault("answer", c, c.OutcomeAt, "%s was answered wrongly: %s", c.ID, c.Detail)
		case c.Outcome == ClientLeft: // nothing is owed to it
		case a.hadOutage(c.Node, c.At-time.Second, due):
		case c.OutcomeAt == 0 || c.Outcome == NoResponse:
			fault("answer", c, due, "%s got no answer", c.ID)
		case c.OutcomeAt > due:
			fault("answer", c, c.OutcomeAt, "%s was answered %v after its time", c.ID, (c.OutcomeAt - c.At - c.Deadline).Round(time.Millisecond))
		case c.Outcome == Disconnected:
			fault("answer", c, c.OutcomeAt, "%s was taken, and its connection ended with no answer", c.ID)
		case c.Outcome == Refused && c.Detail == "":
			fault("answer", c, c.OutcomeAt, "%s was refused with no word of when to come back", c.ID)
		}
		ran := 0
		slices.SortStableFunc(c.attempts, func(x, y *Attempt) int { return int(x.SentAt - y.SentAt) })
		for i, t := range c.attempts {
			if t.Ran {
				ran++
			}
			for _, o := range c.attempts[:i] {
				if o.EndedAt == 0 || o.EndedAt > t.SentAt+ReorderTolerance+late {
					fault("once", c, t.SentAt, "%s was sent to %s while an attempt at %s was out", c.ID, t.Server, o.Server)
				}
			}
		}
		switch {
		case c.Unsafe && ran > 1:
			fault("once", c, c.At, "%s must not run twice, and ran %d times", c.ID, ran)
		case c.Unsafe && c.Outcome == Refused && ran > 0:
			fault("once", c, c.OutcomeAt, "%s was refused though it ran, and must not run twice", c.ID)
		case c.Outcome == Served && ran == 0:
			fault("answer", c, c.OutcomeAt, "%s was served, and no server ran it", c.ID)
		}
	}
	for _, t := range a.orphans {
		out = append(out, Breach{Rule: "answer", Call: t.RequestID, At: t.SentAt, Words: fmt.Sprintf("%s came to %s, and nobody asked for it", t.RequestID, t.Server)})
	}
	slices.SortFunc(out, func(x, y Breach) int {
		if x.At != y.At {
			return int(x.At - y.At)
		}
		return slices.Compare([]string{x.Rule, x.Call}, []string{y.Rule, y.Call})
	})
	return out
}

// story tells what happened to a request, in the order of time.
func (c *Request) events() []string {
	type line struct {
		at   time.Duration
		text string
	}
	lines := []line{{c.At, fmt.Sprintf("asked of node %d, time until %v", c.Node, (c.At + c.Deadline).Round(time.Millisecond))}}
	for i, t := range c.attempts {
		lines = append(lines, line{t.SentAt, fmt.Sprintf("attempt %d at %s", i, t.Server)})
		if t.EndedAt > 0 {
			lines = append(lines, line{t.EndedAt, fmt.Sprintf("attempt %d over: %s, ran: %v", i, t.EndReason, t.Ran)})
		}
	}
	if c.OutcomeAt > 0 {
		lines = append(lines, line{c.OutcomeAt, fmt.Sprintf("heard: %v %s", c.Outcome, c.Detail)})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return int(a.at - b.at) })
	var out []string
	for _, l := range lines {
		out = append(out, fmt.Sprintf("%v %s", l.at.Round(time.Millisecond), l.text))
	}
	return out
}

// Histogram is for latencies in microseconds, up to a minute, within one in a thousand.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
