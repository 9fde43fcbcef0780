// Package audit compares the outcomes seen by clients with the requests run by servers and finds every breach of four rules:
// one response in time; no unsafe request run twice and no two concurrent attempts of a request; no requests to draining
// servers; no overload of a server in slow start. It also computes the metrics of a run. It does no I/O and has no clock.
package audit

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"damsontrestle/internal/faultbench/world"
)

// Outcome is the result of a request as seen by its client.
type Outcome int

// Outcomes.
const (
	NoResponse    Outcome = iota // no response until the time limit
	Served                       // received the response made for this request
	Refused                      // rejected; safe to retry
	Failed                       // failed; may have run
	NotAccepted                  // no connection was established, or it ended before the request was accepted
	Disconnected                 // the connection ended after the request was accepted
	WrongResponse                // received a response to another request, or two responses
	ClientLeft                   // the client disconnected before a response
	UploadCut                    // the node took a slow upload for an incomplete request
)

var outcomeNames = [...]string{"nothing", "served", "refused", "failed", "not accepted", "a broken connection", "a wrong response", "nothing before the client disconnected", "a refusal of its upload"}

func (h Outcome) String() string { return outcomeNames[h] }

// AnswerSlack is the tolerance that the protocol adds to a deadline. DrainGrace is how long a node may still send requests
// to a server after it was notified that the server drains.
const (
	AnswerSlack = 550 * time.Millisecond // a response up to 500 ms late is no breach; it only counts as late
	DrainGrace  = 1050 * time.Millisecond
)

// DisconnectGrace is how long after its client has left an attempt may still begin: 0.1 s, and 0.15 s for which a node may be held
// up.
const DisconnectGrace = 250 * time.Millisecond

// ReorderTolerance is the tolerance for the order of two events of a node, which arrive on separate connections.
const ReorderTolerance = 20 * time.Millisecond

// Request is a request as seen by its client.
type Request struct {
	ID               string
	FirstID          string // ID of the first request, for a client retry; empty: this is the first
	Node             int
	Class            int
	Unsafe           bool
	At               time.Duration
	LatencyObjective time.Duration // from At
	Deadline         time.Duration // from At
	PriorityWeight   float64       // of a response within the latency objective
	Outcome          Outcome
	OutcomeAt        time.Duration
	FirstByteAt      time.Duration // of the response; 0: none came
	SlowClient       bool          // it reads the response slowly
	Detail           string        // Retry-After of a rejection, or the beginning of a wrong response
	attempts         []*Attempt
}

// Attempt is one attempt of a request as seen by the relays and servers of the fault bench.
type Attempt struct {
	RequestID string
	Server    string // uid
	Index     int    // of the server
	CrossZone bool   // between zones
	SentAt    time.Duration
	EndedAt   time.Duration // when the node received the reply or closed the connection; 0: never
	Undated   bool          // it may have been sent earlier than SentAt
	Slow      bool          // the server sends its reply slowly
	CutAt     time.Duration // when the node closed the connection while the reply was arriving; 0: it did not
	Ran       bool          // service started, or may have started
	EndReason string
}

// Outage is a period in which missing responses of a node are no breach, as it was killed, stopped or starting.
type Outage struct {
	Node     int
	From, To time.Duration
}

// Breach is a violation of one of the rules.
type Breach struct {
	Rule   string // answer, once, drain or cold
	Call   string `json:",omitempty"`
	At     time.Duration
	Words  string
	Events []string `json:",omitempty"` // of the request
}

func (b Breach) String() string {
	s := fmt.Sprintf("%v rule %q: %s", b.At.Round(time.Millisecond), b.Rule, b.Words)
	for _, e := range b.Events {
		s += "\n    " + e
	}
	return s
}

// Audit records the events of a run. It is safe for concurrent use.
type Audit struct {
	mu            sync.Mutex
	requests      map[string]*Request
	orphans       []*Attempt // attempts of unknown requests
	removals      map[int]map[string]time.Duration
	outages       []Outage
	processEnds   map[int][]time.Duration // by node: when processes ended after SIGTERM
	breaches      []Breach
	samples       []Sample
	arrivals      []arrival
	slowStartLoad float64 // maximum load of a server in slow start, relative to what the rule allows
}

type arrival struct {
	at    time.Duration
	index int
}

// New returns an empty Audit.
func New() *Audit {
	return &Audit{requests: map[string]*Request{}, removals: map[int]map[string]time.Duration{}, processEnds: map[int][]time.Duration{}}
}

// RecordRequest records that a client sends a request.
func (a *Audit) RecordRequest(c Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[c.ID] = &c
}

// RecordOutcome records the outcome of a request. A second outcome of the same request is recorded as WrongResponse.
func (a *Audit) RecordOutcome(id string, outcome Outcome, at time.Duration, detail string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	req := a.requests[id]
	if req == nil {
		return
	}
	if req.OutcomeAt > 0 {
		outcome, detail = WrongResponse, fmt.Sprintf("%v after %v", outcome, req.Outcome)
	}
	req.Outcome, req.OutcomeAt, req.Detail = outcome, at, detail
}

// RecordSent records that the last byte of a request was sent, which its deadline counts from.
func (a *Audit) RecordSent(id string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if req := a.requests[id]; req != nil {
		req.At = at
	}
}

// RecordFirstByte records that the response to a request has begun.
func (a *Audit) RecordFirstByte(id string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if req := a.requests[id]; req != nil {
		req.FirstByteAt = at
	}
}

// RecordSlow records that a server sends its reply slowly.
func (a *Audit) RecordSlow(t *Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.Slow = true
}

// RecordCut records that a node closed the connection to a server while a reply was arriving on it.
func (a *Audit) RecordCut(t *Attempt, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.CutAt = at
}

// RecordProcessEnd records that a node's process ended after SIGTERM.
func (a *Audit) RecordProcessEnd(node int, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.processEnds[node] = append(a.processEnds[node], at)
}

// RecordAttempt records that the last byte of an attempt has reached a relay. The returned Attempt is passed to RecordRun
// and RecordEnd.
func (a *Audit) RecordAttempt(request, server string, index int, cross bool, at time.Duration) *Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempt := &Attempt{RequestID: request, Server: server, Index: index, CrossZone: cross, SentAt: at}
	a.arrivals = append(a.arrivals, arrival{at, index})
	req := a.requests[request]
	if req == nil {
		a.orphans = append(a.orphans, attempt)
		return attempt
	}
	if removedAt, yes := a.removals[req.Node][server]; yes && at > removedAt+DrainGrace {
		a.breaches = append(a.breaches, Breach{Rule: "drain", Call: request, At: at,
			Words: fmt.Sprintf("node %d sent %s to %s, %v after it was notified that the server drains or was removed", req.Node, request, server, (at - removedAt).Round(time.Millisecond))})
	}
	req.attempts = append(req.attempts, attempt)
	return attempt
}

// RecordUndated records that an attempt may have been sent earlier than the relay could see.
func (a *Audit) RecordUndated(t *Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.Undated = true
}

// RecordRun records that the service of an attempt has started or may have started.
func (a *Audit) RecordRun(t *Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.Ran = true
}

// RecordEnd records that the node received the reply to an attempt or closed its connection. Only the first call counts.
func (a *Audit) RecordEnd(t *Attempt, at time.Duration, reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.EndedAt == 0 {
		t.EndedAt, t.EndReason = at, reason
	}
}

// RecordRemoval records that a node was notified that a server drains or was removed.
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

// RecordOutage records an outage of a node.
func (a *Audit) RecordOutage(e Outage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outages = append(a.outages, e)
}

// RecordServerEnd records the slow start load of a server at the end of its incarnation or of the run.
func (a *Audit) RecordServerEnd(s *world.Server, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slowStartLoad = max(a.slowStartLoad, s.SlowStartLoad())
	if n := s.SlowStartOverloads(); n > 0 {
		a.breaches = append(a.breaches, Breach{Rule: "cold", At: at, Words: fmt.Sprintf("%s received more than the slow start rule allows, %d times", s.ID, n)})
	}
}

// hadOutage reports whether a node had an outage at any time in a period.
func (a *Audit) hadOutage(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(a.outages, func(e Outage) bool { return e.Node == node && e.From <= to && from <= e.To })
}

// Breaches checks all records and returns the breaches in time order. late is the maximum lag of the fault bench itself,
// which is tolerated.
func (a *Audit) Breaches(late time.Duration) []Breach {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := slices.Clone(a.breaches)
	addBreach := func(rule string, req *Request, at time.Duration, format string, args ...any) {
		out = append(out, Breach{Rule: rule, Call: req.ID, At: at, Words: fmt.Sprintf(format, args...), Events: req.events()})
	}
	for _, req := range a.requests {
		deadline := req.At + req.Deadline + AnswerSlack + late
		switch {
		case req.Outcome == UploadCut && a.mayCut(req, req.OutcomeAt-slowClientLag, late): // the node's last call
		case req.Outcome == UploadCut:
			addBreach("answer", req, req.OutcomeAt, "%s: the node cut an upload in progress: %s", req.ID, req.Detail)
		case req.Outcome == WrongResponse:
			addBreach("answer", req, req.OutcomeAt, "%s received a wrong response: %s", req.ID, req.Detail)
		case req.Outcome == ClientLeft: // no response is required
			for _, attempt := range req.attempts {
				if !attempt.Undated && attempt.SentAt > req.OutcomeAt+DisconnectGrace+late {
					addBreach("answer", req, attempt.SentAt, "an attempt of %s began %v after its client had left", req.ID, (attempt.SentAt - req.OutcomeAt).Round(time.Millisecond))
				}
			}
		case a.hadOutage(req.Node, req.At-time.Second, deadline):
		case req.OutcomeAt == 0 || req.Outcome == NoResponse:
			addBreach("answer", req, deadline, "%s received no response", req.ID)
		case req.answeredAt() > deadline:
			addBreach("answer", req, req.OutcomeAt, "%s received its answer more than 0.5 s after its time: %v after its deadline", req.ID, (req.answeredAt() - req.At - req.Deadline).Round(time.Millisecond))
		case req.Outcome == Disconnected:
			addBreach("answer", req, req.OutcomeAt, "%s was accepted, but its connection ended without a response", req.ID)
		case req.Outcome == Refused && req.Detail == "":
			addBreach("answer", req, req.OutcomeAt, "%s was refused without Retry-After", req.ID)
		}
		for _, attempt := range req.attempts {
			if attempt.CutAt > 0 && !a.mayCut(req, attempt.CutAt, late) {
				addBreach("answer", req, attempt.CutAt, "%s: the node cut a reply in progress", req.ID)
			}
		}
		runs := 0
		slices.SortStableFunc(req.attempts, func(x, y *Attempt) int { return int(x.SentAt - y.SentAt) })
		for i, attempt := range req.attempts {
			if attempt.Ran {
				runs++
			}
			for _, earlier := range req.attempts[:i] {
				if earlier.EndedAt == 0 || earlier.EndedAt > attempt.SentAt+ReorderTolerance+late {
					addBreach("once", req, attempt.SentAt, "%s was sent to %s while an attempt at %s was in progress", req.ID, attempt.Server, earlier.Server)
				}
			}
		}
		switch {
		case req.Unsafe && runs > 1:
			addBreach("once", req, req.At, "%s is unsafe and ran %d times", req.ID, runs)
		case req.Unsafe && req.Outcome == Refused && runs > 0:
			addBreach("once", req, req.OutcomeAt, "%s is unsafe and was refused although it ran", req.ID)
		case req.Outcome == Served && runs == 0:
			addBreach("answer", req, req.OutcomeAt, "%s was served, but no server ran it", req.ID)
		}
	}
	for _, attempt := range a.orphans {
		out = append(out, Breach{Rule: "answer", Call: attempt.RequestID, At: attempt.SentAt, Words: fmt.Sprintf("%s reached %s, but no client sent it", attempt.RequestID, attempt.Server)})
	}
	slices.SortFunc(out, func(x, y Breach) int {
		if x.At != y.At {
			return int(x.At - y.At)
		}
		return slices.Compare([]string{x.Rule, x.Call}, []string{y.Rule, y.Call})
	})
	return out
}

// slowClientLag is how long after its response a client that sends slowly may see it.
const slowClientLag = 100 * time.Millisecond

// lastCall is how long before the end of a node's process it may give up what can't be finished.
const lastCall = 500 * time.Millisecond

// mayCut reports whether a node may close the connection of a reply in progress: nobody waits for it, or the process ends. late is the
// maximum lag of the fault bench.
func (a *Audit) mayCut(req *Request, at, late time.Duration) bool {
	tolerance := ReorderTolerance + late
	switch {
	case a.hadOutage(req.Node, req.At, at+tolerance):
		return true
	case req.OutcomeAt > 0 && req.OutcomeAt <= at+tolerance && (req.Outcome == ClientLeft || req.Outcome == NoResponse):
		return true
	}
	return slices.ContainsFunc(a.processEnds[req.Node], func(end time.Duration) bool { return at >= end-lastCall-late && at <= end+tolerance })
}

// answeredAt returns when the client got its answer: its last byte or, where the server sends or the client reads it slowly, its first.
func (c *Request) answeredAt() time.Duration {
	slow := c.SlowClient || slices.ContainsFunc(c.attempts, func(t *Attempt) bool { return t.Slow })
	if slow && c.FirstByteAt > 0 {
		return c.FirstByteAt
	}
	return c.OutcomeAt
}

// events lists the events of a request in time order.
func (c *Request) events() []string {
	type line struct {
		at   time.Duration
		text string
	}
	lines := []line{{c.At, fmt.Sprintf("sent to node %d, deadline %v", c.Node, (c.At + c.Deadline).Round(time.Millisecond))}}
	for i, attempt := range c.attempts {
		lines = append(lines, line{attempt.SentAt, fmt.Sprintf("attempt %d at %s", i, attempt.Server)})
		if attempt.EndedAt > 0 {
			lines = append(lines, line{attempt.EndedAt, fmt.Sprintf("attempt %d ended: %s, ran: %v", i, attempt.EndReason, attempt.Ran)})
		}
	}
	if c.OutcomeAt > 0 {
		lines = append(lines, line{c.OutcomeAt, fmt.Sprintf("outcome: %v %s", c.Outcome, c.Detail)})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return int(a.at - b.at) })
	var out []string
	for _, l := range lines {
		out = append(out, fmt.Sprintf("%v %s", l.at.Round(time.Millisecond), l.text))
	}
	return out
}

// NewHistogram returns a histogram of latencies in microseconds, up to one minute, with three significant digits.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
