package audit

import (
	"slices"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/world"
)

const ms = time.Millisecond

// recordServed records a request that was served by the only server it was sent to.
func recordServed(a *Audit, id string, unsafe bool) *Attempt {
	a.RecordRequest(Request{ID: id, Unsafe: unsafe, At: 10 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
	t := a.RecordAttempt(id, "s1", 0, false, 20*ms)
	a.RecordRun(t)
	a.RecordEnd(t, 50*ms, "served")
	a.RecordOutcome(id, Served, 51*ms, "")
	return t
}

// Each case adds one breach to a run without breaches. It must be found exactly once.
func TestBreachesFindsEachRuleViolation(t *testing.T) {
	for name, c := range map[string]struct {
		plant func(*Audit)
		rule  string
		words string
	}{
		"none": {func(*Audit) {}, "", ""},
		"no answer": {func(a *Audit) {
			a.RecordRequest(Request{ID: "x", At: 10 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
		}, "answer", "x received no response"},
		"late": {func(a *Audit) {
			a.RecordRequest(Request{ID: "x", At: 10 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
			a.RecordOutcome("x", Failed, 800*ms, "")
		}, "answer", "after its deadline"},
		"two responses": {func(a *Audit) {
			recordServed(a, "x", false)
			a.RecordOutcome("x", Refused, 60*ms, "1")
		}, "answer", "refused after served"},
		"connection ended": {func(a *Audit) {
			a.RecordRequest(Request{ID: "x", At: 10 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
			a.RecordOutcome("x", Disconnected, 20*ms, "EOF")
		}, "answer", "its connection ended"},
		"refusal without Retry-After": {func(a *Audit) {
			a.RecordRequest(Request{ID: "x", At: 10 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
			a.RecordOutcome("x", Refused, 20*ms, "")
		}, "answer", "refused without Retry-After"},
		"served but not run": {func(a *Audit) {
			a.RecordRequest(Request{ID: "x", At: 10 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
			a.RecordOutcome("x", Served, 20*ms, "")
		}, "answer", "no server ran it"},
		"unknown request": {func(a *Audit) { a.RecordAttempt("x", "s1", 0, false, 20*ms) }, "answer", "no client sent it"},
		"unsafe twice": {func(a *Audit) {
			recordServed(a, "x", true)
			a.RecordRun(a.RecordAttempt("x", "s2", 1, false, 90*ms))
		}, "once", "ran 2 times"},
		"concurrent attempts": {func(a *Audit) {
			recordServed(a, "x", false)
			second := a.RecordAttempt("x", "s2", 1, false, 25*ms)
			a.RecordEnd(second, 60*ms, "served")
		}, "once", "while an attempt at s1 was in progress"},
		"concurrent attempts, the later one recorded first": {func(a *Audit) {
			a.RecordRequest(Request{ID: "x", At: 10 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
			later := a.RecordAttempt("x", "s2", 1, false, 100*ms)
			a.RecordRun(later)
			a.RecordEnd(later, 120*ms, "served")
			held := a.RecordAttempt("x", "s1", 0, false, 20*ms) // it was held in a link that was cut
			a.RecordEnd(held, 150*ms, "given up")
			a.RecordOutcome("x", Served, 121*ms, "")
		}, "once", "sent to s2 while an attempt at s1"},
		"refused although it ran": {func(a *Audit) {
			a.RecordRequest(Request{ID: "x", Unsafe: true, At: 10 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
			r := a.RecordAttempt("x", "s1", 0, false, 20*ms)
			a.RecordRun(r)
			a.RecordEnd(r, 50*ms, "error")
			a.RecordOutcome("x", Refused, 51*ms, "1")
		}, "once", "refused although it ran"},
		"sent to a draining server": {func(a *Audit) {
			a.RecordRemoval(0, "s1", 10*ms)
			a.RecordRequest(Request{ID: "x", At: 2000 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
			r := a.RecordAttempt("x", "s1", 0, false, 2000*ms)
			a.RecordRun(r)
			a.RecordEnd(r, 2010*ms, "served")
			a.RecordOutcome("x", Served, 2011*ms, "")
		}, "drain", "after it was notified"},
		"overload in slow start": {func(a *Audit) {
			s := world.NewServer(experiment.Servers{Slots: 1, Service: 100 * ms, SlowStartMinimum: 0.2, SlowStartWindow: time.Minute}, "s1", "a", 0, 1)
			for range 30 {
				s.Arrive(ms, &world.Job{})
			}
			a.RecordServerEnd(s, 10*ms)
		}, "cold", "s1 received more than the slow start rule allows"},
	} {
		a := New()
		recordServed(a, "fine", true)
		a.RecordRemoval(0, "s1", 15*ms) // within DrainGrace, no breach
		c.plant(a)
		got := a.Breaches(0)
		if c.rule == "" && len(got) > 0 || c.rule != "" && (len(got) != 1 || got[0].Rule != c.rule || !strings.Contains(got[0].Words, c.words)) {
			t.Errorf("%s: found breaches %v; want one of rule %q with %q", name, got, c.rule, c.words)
		}
	}
}

// An outage of a node excuses missing responses, but not a request that runs twice.
func TestOutageExcusesOnlyMissingResponses(t *testing.T) {
	a := New()
	a.RecordOutage(Outage{Node: 1, From: 100 * ms, To: 300 * ms})
	a.RecordRequest(Request{ID: "x", Node: 1, At: 150 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
	a.RecordRequest(Request{ID: "y", Node: 2, At: 150 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
	a.RecordRequest(Request{ID: "z", Node: 1, Unsafe: true, At: 150 * ms, LatencyObjective: 100 * ms, Deadline: 200 * ms})
	for _, at := range []time.Duration{160 * ms, 200 * ms} {
		r := a.RecordAttempt("z", "s1", 0, false, at)
		a.RecordRun(r)
		a.RecordEnd(r, at+5*ms, "reset")
	}
	got := a.Breaches(0)
	if len(got) != 2 || got[0].Call != "z" || got[1].Call != "y" {
		t.Errorf("found breaches %v; want z, which ran twice, and y, which received no response", got)
	}
}

// Guards against an auditor that misses an attempt that begins after its client has left, or reports one that a cut has held.
func TestAttemptAfterClientLeft(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   time.Duration
		undated bool
		want    int
	}{
		{name: "within the grace", after: DisconnectGrace},
		{name: "later", after: DisconnectGrace + time.Millisecond, want: 1},
		{name: "held by a cut", after: time.Second, undated: true},
	} {
		a := New()
		a.RecordRequest(Request{ID: "r", At: time.Second, Deadline: 3 * time.Second})
		left := 2 * time.Second
		a.RecordOutcome("r", ClientLeft, left, "")
		attempt := a.RecordAttempt("r", "s", 0, false, left+c.after)
		if c.undated {
			a.RecordUndated(attempt)
		}
		if got := a.Breaches(0); len(got) != c.want {
			t.Errorf("%s: breaches %v, want %d", c.name, got, c.want)
		}
	}
}

// Guards against an auditor that does not find a node which cuts a reply in progress, or takes one that it may end for that.
func TestCutOfReplyInProgressIsFound(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(a *Audit)
		found   bool
	}{
		{"while its client waits", func(a *Audit) { a.RecordOutcome("c0.1", Failed, time.Second, "") }, true},
		{"after its client has left", func(a *Audit) { a.RecordOutcome("c0.1", ClientLeft, 900*time.Millisecond, "") }, false},
		{"as the process ends", func(a *Audit) { a.RecordProcessEnd(0, 1200*time.Millisecond) }, false},
		{"long before the process ends", func(a *Audit) { a.RecordProcessEnd(0, 3*time.Second) }, true},
		{"in an outage", func(a *Audit) { a.RecordOutage(Outage{Node: 0, From: 0, To: 2 * time.Second}) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := New()
			a.RecordRequest(Request{ID: "c0.1", At: time.Millisecond, Deadline: 2 * time.Second})
			attempt := a.RecordAttempt("c0.1", "s1", 0, false, 10*time.Millisecond)
			a.RecordRun(attempt)
			a.RecordSlow(attempt)
			a.RecordCut(attempt, time.Second)
			a.RecordEnd(attempt, time.Second, "closed by the node within a reply")
			c.prepare(a)
			found := slices.ContainsFunc(a.Breaches(0), func(b Breach) bool { return strings.Contains(b.Words, "cut a reply in progress") })
			if found != c.found {
				t.Errorf("found: %v, want %v; %v", found, c.found, a.Breaches(0))
			}
		})
	}
}

// Guards against an auditor that does not find a late answer: the time of a slow upload counts from its last byte, and an answer that is
// sent slowly is in time if it begins in time.
func TestLateAnswerIsFound(t *testing.T) {
	for _, c := range []struct {
		name              string
		slow              bool
		first, last, sent time.Duration
		found             bool
	}{
		{"in time", false, 900 * time.Millisecond, 900 * time.Millisecond, 0, false},
		{"within the slack", false, 1500 * time.Millisecond, 1500 * time.Millisecond, 0, false},
		{"late", false, 1600 * time.Millisecond, 1600 * time.Millisecond, 0, true},
		{"begun in time, sent slowly", true, 900 * time.Millisecond, 3 * time.Second, 0, false},
		{"begun late, sent slowly", true, 1600 * time.Millisecond, 3 * time.Second, 0, true},
		{"in time after a slow upload", false, 2900 * time.Millisecond, 2900 * time.Millisecond, 2 * time.Second, false},
		{"late after a slow upload", false, 3600 * time.Millisecond, 3600 * time.Millisecond, 2 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := New()
			a.RecordRequest(Request{ID: "c0.1", At: 0, Deadline: time.Second})
			attempt := a.RecordAttempt("c0.1", "s1", 0, false, 10*time.Millisecond)
			a.RecordRun(attempt)
			if c.slow {
				a.RecordSlow(attempt)
			}
			if c.sent > 0 {
				a.RecordSent("c0.1", c.sent)
			}
			a.RecordFirstByte("c0.1", c.first)
			a.RecordEnd(attempt, c.last, "served")
			a.RecordOutcome("c0.1", Served, c.last, "")
			found := slices.ContainsFunc(a.Breaches(0), func(b Breach) bool { return strings.Contains(b.Words, "more than 0.5 s after its time") })
			if found != c.found {
				t.Errorf("found: %v, want %v; %v", found, c.found, a.Breaches(0))
			}
		})
	}
}
