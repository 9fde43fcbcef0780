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
type Heard int

// What clients hear.
const (
	Nothing  Heard = iota // until the time was up
	Served                // with the answer that a server made for it
	Refused               // trying again is harmless
	Failed                // promises nothing
	NotTaken              // no connection came up, or it ended before the request was taken
	Broken                // the connection ended after it was taken
	Wrong                 // an answer that is none to this request, or two
	Gone                  // its client left with nothing
)

var heardNames = [...]string{"nothing", "served", "refused", "failed", "not taken", "a broken connection", "a wrong answer", "nothing before its caller left"}

func (h Heard) String() string { return heardNames[h] }

// Slack is what the protocol adds to each limit of time, and DrainGrace how long after it was told a node may still
// send to a server that drains.
const (
	AnswerSlack = 550 * time.Millisecond // up to half a second an answer only earns nothing
	DrainGrace  = 1050 * time.Millisecond
)

// Race is by how much the fault bench may see two things of one node in the wrong order: they come on two connections.
const Race = 20 * time.Millisecond

// Call is one request, as its client sees it.
type Call struct {
	ID       string
	First    string // of its client's first attempt, which a retry belongs to; empty: this is it
	Node     int
	Class    int
	Unsafe   bool
	At       time.Duration
	Aim      time.Duration // from At
	Deadline time.Duration // from At
	Worth    float64       // of an answer within the latency objective
	Heard    Heard
	HeardAt  time.Duration
	Says     string // what else was heard: the refusal's advice, a wrong answer's beginning
	attempts []*Attempt
}

// Attempt is one send of a request, as the fault bench's relays and servers see it.
type Attempt struct {
	Call   string
	Server string // uid
	Index  int    // of the server's place
	Cross  bool   // between zones
	Out    time.Duration
	Back   time.Duration // the node has its answer, or has closed the connection; 0: never
	Ran    bool          // its work began, or could not be told not to have
	End    string
}

// Excuse is a stretch in which what a node does not do is not its fault: it was killed, stopped, or starting.
type Excuse struct {
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
	mu       sync.Mutex
	calls    map[string]*Call
	orphans  []*Attempt // of requests that nobody made
	told     map[int]map[string]time.Duration
	excuses  []Excuse
	breaches []Breach
	samples  []Sample
	arrivals []arrival
	cold     float64 // most that came to a server in slow start, of what the rule allows
}

type arrival struct {
	at    time.Duration
	index int
}

// New returns an Audit that knows nothing yet.
func New() *Audit {
	return &Audit{calls: map[string]*Call{}, told: map[int]map[string]time.Duration{}}
}

// Ask notes that a client sends a request.
func (a *Audit) Ask(c Call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls[c.ID] = &c
}

// Hear notes what its client heard, once a request; more is a breach.
func (a *Audit) Hear(id string, h Heard, at time.Duration, says string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.calls[id]
	if c == nil {
		return
	}
	if c.HeardAt > 0 {
		h, says = Wrong, fmt.Sprintf("%v after %v", h, c.Heard)
	}
	c.Heard, c.HeardAt, c.Says = h, at, says
}

// Send notes that the last byte of an attempt has come to a relay, and returns it for what follows.
func (a *Audit) Send(request, server string, index int, cross bool, at time.Duration) *Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &Attempt{Call: request, Server: server, Index: index, Cross: cross, Out: at}
	a.arrivals = append(a.arrivals, arrival{at, index})
	c := a.calls[request]
	if c == nil {
		a.orphans = append(a.orphans, t)
		return t
	}
	if told, yes := a.told[c.Node][server]; yes && at > told+DrainGrace {
		a.breaches = append(a.breaches, Breach{Rule: "drain", Call: request, At: at,
			Words: fmt.Sprintf("node %d sent %s to %s, %v after it was told that it drains or has gone", c.Node, request, server, (at - told).Round(time.Millisecond))})
	}
	c.attempts = append(c.attempts, t)
	return t
}

// Run notes that an attempt's work has begun, or that nobody can tell that it has not.
func (a *Audit) Run(t *Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.Ran = true
}

// Over notes that the node has an attempt's answer, or has closed its connection. The first word holds.
func (a *Audit) Over(t *Attempt, at time.Duration, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.Back == 0 {
		t.Back, t.End = at, how
	}
}

// Told notes that a node was told that a server drains or has gone.
func (a *Audit) Told(node int, server string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.told[node] == nil {
		a.told[node] = map[string]time.Duration{}
	}
	if _, known := a.told[node][server]; !known {
		a.told[node][server] = at
	}
}

// Excuse notes a stretch in which a node was not at fault.
func (a *Audit) Excuse(e Excuse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.excuses = append(a.excuses, e)
}

// LifeOver notes what came to a server while it was cold, once its incarnation or the run is over.
func (a *Audit) LifeOver(s *world.Server, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold = max(a.cold, s.Pressed())
	if n := s.PushedOver(); n > 0 {
		a.breaches = append(a.breaches, Breach{Rule: "cold", At: at, Words: fmt.Sprintf("%s got more than it could bear while it was cold, %d times", s.ID, n)})
	}
}

// excused says that a node was not at fault at some instant of a stretch.
func (a *Audit) excused(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(a.excuses, func(e Excuse) bool { return e.Node == node && e.From <= to && from <= e.To })
}

// Breaches judges all that was noted, in the order of time. late is by how much the fault bench itself lagged at most.
func (a *Audit) Breaches(late time.Duration) []Breach {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := slices.Clone(a.breaches)
	fault := func(rule string, c *Call, at time.Duration, format string, args ...any) {
		out = append(out, Breach{Rule: rule, Call: c.ID, At: at, Words: fmt.Sprintf(format, args...), Events: c.story()})
	}
	for _, c := range a.calls {
		due := c.At + c.Deadline + AnswerSlack + late
		switch {
		case c.Heard == Wrong:
			fault("answer", c, c.HeardAt, "%s was answered wrongly: %s", c.ID, c.Says)
		case c.Heard == Gone: // nothing is owed to it
		case a.excused(c.Node, c.At-time.Second, due):
		case c.HeardAt == 0 || c.Heard == Nothing:
			fault("answer", c, due, "%s got no answer", c.ID)
		case c.HeardAt > due:
			fault("answer", c, c.HeardAt, "%s was answered %v after its time", c.ID, (c.HeardAt - c.At - c.Deadline).Round(time.Millisecond))
		case c.Heard == Broken:
			fault("answer", c, c.HeardAt, "%s was taken, and its connection ended with no answer", c.ID)
		case c.Heard == Refused && c.Says == "":
			fault("answer", c, c.HeardAt, "%s was refused with no word of when to come back", c.ID)
		}
		ran := 0
		slices.SortStableFunc(c.attempts, func(x, y *Attempt) int { return int(x.Out - y.Out) })
		for i, t := range c.attempts {
			if t.Ran {
				ran++
			}
			for _, o := range c.attempts[:i] {
				if o.Back == 0 || o.Back > t.Out+Race+late {
					fault("once", c, t.Out, "%s was sent to %s while an attempt at %s was out", c.ID, t.Server, o.Server)
				}
			}
		}
		switch {
		case c.Unsafe && ran > 1:
			fault("once", c, c.At, "%s must not run twice, and ran %d times", c.ID, ran)
		case c.Unsafe && c.Heard == Refused && ran > 0:
			fault("once", c, c.HeardAt, "%s was refused though it ran, and must not run twice", c.ID)
		case c.Heard == Served && ran == 0:
			fault("answer", c, c.HeardAt, "%s was served, and no server ran it", c.ID)
		}
	}
	for _, t := range a.orphans {
		out = append(out, Breach{Rule: "answer", Call: t.Call, At: t.Out, Words: fmt.Sprintf("%s came to %s, and nobody asked for it", t.Call, t.Server)})
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
func (c *Call) story() []string {
	type line struct {
		at   time.Duration
		text string
	}
	lines := []line{{c.At, fmt.Sprintf("asked of node %d, time until %v", c.Node, (c.At + c.Deadline).Round(time.Millisecond))}}
	for i, t := range c.attempts {
		lines = append(lines, line{t.Out, fmt.Sprintf("attempt %d at %s", i, t.Server)})
		if t.Back > 0 {
			lines = append(lines, line{t.Back, fmt.Sprintf("attempt %d over: %s, ran: %v", i, t.End, t.Ran)})
		}
	}
	if c.HeardAt > 0 {
		lines = append(lines, line{c.HeardAt, fmt.Sprintf("heard: %v %s", c.Heard, c.Says)})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return int(a.at - b.at) })
	var out []string
	for _, l := range lines {
		out = append(out, fmt.Sprintf("%v %s", l.at.Round(time.Millisecond), l.text))
	}
	return out
}

// Histogram is for latencies in microseconds, up to a minute, within one in a thousand.
func Histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
