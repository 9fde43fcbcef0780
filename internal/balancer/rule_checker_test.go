package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// ruleChecker checks the events and actions of one Balancer against the protocol rules and collects violations. It
// shares no code with the package.
type ruleChecker struct {
	set        Settings
	slack      time.Duration
	state      map[string]ServerState
	cells      map[string]int
	zones      map[string]string
	requests   map[string]*requestTrace
	violations []string
}

type requestTrace struct {
	name     string
	terms    []Class // its class when accepted and after each Reconfigure
	deadline time.Duration
	ended    bool
	attempts []*attemptTrace
}

type attemptTrace struct {
	server string
	at     time.Duration
	ended  bool
	result Result
}

func newRuleChecker(set Settings) *ruleChecker {
	return &ruleChecker{set: set, slack: 20 * msec, state: map[string]ServerState{}, cells: map[string]int{},
		zones: map[string]string{}, requests: map[string]*requestTrace{}}
}

// restart drops all state, as a killed node does; clients have to retry.
func (c *ruleChecker) restart() {
	c.requests, c.state = map[string]*requestTrace{}, map[string]ServerState{}
}

func (c *ruleChecker) reportf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// currentClass returns the current class of a name; an unknown one is unsafe.
func (c *ruleChecker) currentClass(name string) Class {
	for _, k := range c.set.Classes {
		if k.Name == name {
			return k
		}
	}
	return Class{Effect: Unsafe}
}

// acceptedWithoutKey reports whether the request was accepted without a key, so that it can't be treated as keyed
// whatever its class is now.
func (t *requestTrace) acceptedWithoutKey() bool { return t.terms[0].Effect != Keyed }

func (t *attemptTrace) mayHaveRun() bool {
	return !t.ended || (t.result != Overloaded && t.result != Unreachable && t.result != NotStarted)
}

func (c *ruleChecker) checkEvent(now time.Duration, e Event) {
	switch e := e.(type) {
	case ServerList:
		if e.Full {
			for id := range c.state {
				c.state[id] = Removed
			}
		}
		for _, s := range e.Servers {
			c.state[s.ID], c.cells[s.ID], c.zones[s.ID] = s.State, s.Cell, s.Zone
		}
	case Request:
		if c.requests[e.ID] == nil {
			c.requests[e.ID] = &requestTrace{name: e.Class, terms: []Class{c.currentClass(e.Class)}, deadline: e.Deadline}
		}
	case Reconfigure:
		if validate(e.Settings) == nil {
			c.set = e.Settings
			for _, r := range c.requests {
				r.terms = append(r.terms, c.currentClass(r.name))
			}
		}
	case Outcome:
		if r := c.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			t := r.attempts[e.Attempt]
			if !t.ended {
				t.ended, t.result = true, e.Result
				r.ended = r.ended || e.Ended
			}
		}
	case ClientDisconnected:
		if r := c.requests[e.ID]; r != nil {
			r.ended = true
		}
	}
	for id, r := range c.requests {
		if !r.ended && now > r.deadline+c.slack {
			c.reportf("rule 1: %s has no response %v after its deadline", id, now-r.deadline)
			r.ended = true
		}
	}
}

func (c *ruleChecker) checkActions(now time.Duration, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			c.checkSend(now, a)
		case Reject:
			if req := c.checkResponse(a.ID); req != nil {
				for _, attempt := range req.attempts {
					for _, class := range req.terms {
						harmless := class.Effect == Safe || class.Effect == Keyed && class.Scope == ScopeAll && !req.acceptedWithoutKey()
						if attempt.mayHaveRun() && !harmless {
							c.reportf("rule 2: %s rejected though it may have run", a.ID)
						}
					}
				}
			}
		case Fail:
			c.checkResponse(a.ID)
		case Cancel:
			if req := c.requests[a.ID]; req == nil || a.Attempt < 0 || a.Attempt >= len(req.attempts) {
				c.reportf("cancelled an attempt that was never made")
			}
			if !c.set.MayCancel {
				c.reportf("cancelled an attempt although MayCancel is false")
			}
		}
	}
}

func (c *ruleChecker) checkResponse(id string) *requestTrace {
	r := c.requests[id]
	if r == nil || r.ended {
		c.reportf("rule 1: response to %s, which has one or is unknown", id)
		return nil
	}
	r.ended = true
	return r
}

func (c *ruleChecker) checkSend(now time.Duration, a Send) {
	req := c.requests[a.ID]
	if req == nil || req.ended {
		c.reportf("rule 1: sent %s, which has a response or is unknown", a.ID)
		return
	}
	state, known := c.state[a.Server]
	if !known || state != Ready {
		c.reportf("rule 3: sent to %s, which is draining, removed or unknown", a.Server)
	}
	if len(req.attempts) >= c.set.MaxAttempts {
		c.reportf("more than %d attempts", c.set.MaxAttempts)
	}
	for _, prior := range req.attempts {
		if !prior.ended {
			c.reportf("second attempt of %s in flight", a.ID)
		}
		if !prior.mayHaveRun() {
			continue
		}
		for _, class := range req.terms {
			switch class.Effect {
			case Unsafe:
				c.reportf("rule 2: unsafe %s sent again", a.ID)
			case Keyed:
				if now > prior.at+class.Window {
					c.reportf("rule 2: %s sent again outside its window", a.ID)
				}
				if a.NotAfter > prior.at+class.Window {
					c.reportf("rule 2: %s may start again outside its window", a.ID)
				}
				if class.Scope != ScopeAll && c.zones[prior.server] != c.zones[a.Server] ||
					class.Scope == ScopeCell && c.cells[prior.server] != c.cells[a.Server] {
					c.reportf("rule 2: %s sent again outside its scope", a.ID)
				}
				if req.acceptedWithoutKey() {
					c.reportf("rule 2: %s sent again with no key for its servers to detect the duplicate", a.ID)
				}
			}
		}
	}
	req.attempts = append(req.attempts, &attemptTrace{server: a.Server, at: now})
}

// unsafeSettings returns the test settings with the safe class made unsafe.
func unsafeSettings() Settings {
	set := testSettings()
	set.Classes[0].Effect = Unsafe
	return set
}

// keyedSettings returns the test settings with the safe class made keyed.
func keyedSettings() Settings {
	set := testSettings()
	set.Classes[0].Effect, set.Classes[0].Window = Keyed, time.Hour
	return set
}

// TestRuleCheckerReportsEachViolation checks that a trace that breaks a rule is reported.
func TestRuleCheckerReportsEachViolation(t *testing.T) {
	list := ServerList{Full: true, Servers: []Server{{ID: "a", Cell: 0}, {ID: "b", Cell: 1}, {ID: "c", State: Draining}}}
	req := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * msec} }
	timedOut := Outcome{ID: "r", Attempt: 0, Result: TimedOut}
	for _, tc := range []struct {
		want  string
		steps []any
	}{
		{"rule 1: r has no response", []any{list, req("get"), 2 * time.Second, Timer{}}},
		{"rule 1: response to r", []any{list, req("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"rule 1: sent r, which has a response", []any{list, req("get"), Fail{ID: "r"}, Send{ID: "r", Server: "a"}}},
		{"rule 2: unsafe", []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Send{ID: "r", Server: "a"}}},
		{"rule 2: r rejected", []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Reject{ID: "r"}}},
		{"outside its window", []any{list, req("post"), Send{ID: "r", Server: "a"}, 950 * msec, timedOut,
			Send{ID: "r", Server: "a"}}},
		{"may start again outside its window", []any{list, req("post"), Send{ID: "r", Server: "a"}, 100 * msec, timedOut,
			Send{ID: "r", Server: "a", NotAfter: 950 * msec}}},
		{"outside its scope", []any{list, req("post"), Send{ID: "r", Server: "a"}, timedOut, Send{ID: "r", Server: "b"}}},
		{"rule 3", []any{list, req("get"), Send{ID: "r", Server: "c"}}},
		{"rule 2: unsafe", []any{list, req("get"), Send{ID: "r", Server: "a"}, Reconfigure{unsafeSettings()}, timedOut,
			Send{ID: "r", Server: "a"}}},
		{"with no key", []any{list, req("get"), Send{ID: "r", Server: "a"}, Reconfigure{keyedSettings()}, timedOut,
			Send{ID: "r", Server: "a"}}},
		{"that was never made", []any{list, req("get"), Cancel{ID: "r", Attempt: 0}}},
	} {
		checker := newRuleChecker(testSettings())
		var now time.Duration
		for _, s := range tc.steps {
			switch s := s.(type) {
			case time.Duration:
				now = s
			case Event:
				checker.checkEvent(now, s)
			case Action:
				checker.checkActions(now, []Action{s})
			}
		}
		if !strings.Contains(strings.Join(checker.violations, "\n"), tc.want) {
			t.Errorf("want a violation with %q, got %q", tc.want, checker.violations)
		}
	}
}
