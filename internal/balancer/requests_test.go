package balancer

import (
	"testing"
	"time"
)

// An unmarked retry shows by a deadline shorter than other attempts have.
func TestShortDeadlineMarksRetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 900*msec})
	if r := b.requests["first"]; r == nil || r.retry || r.arrived != 0 {
		t.Errorf("a first attempt was taken for a retry: %+v", r)
	}
	// The retry's objective of 500 ms ended 100 ms before it came: without a server it is still held.
	r := b.requests["again"]
	if r == nil || !r.retry || r.arrived != 5*time.Second-600*msec {
		t.Errorf("the retry was not seen: %+v", r)
	}
}

// A rejected client is not made to wait for long: it would come back when its objective is mostly over.
func TestRejectionsCarryShortRetryAfter(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, ServerList{Full: true, Servers: servers(2)})
	b.window, b.inFlight = 1, 1
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*msec, r)
	for _, a := range b.Handle(600*msec, Timer{Token: "r:a"}) {
		if f, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].LatencyObjective / 10; f.RetryAfter > limit {
				t.Errorf("RetryAfter %v, want at most %v", f.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("not rejected")
}

// Work on an answer that comes too late to be worth anything takes the room of answers in time.
func TestAttemptTimesOutWhenReplyHasNoValue(t *testing.T) {
	for _, c := range []struct {
		tier int
		late float64
		want time.Duration
	}{{0, 0, 500*msec - 4*msec}, {0, 0.5, 1500 * msec}, {1, 0, 1500 * msec}} {
		b := newBalancer(t, func(s *Settings) { s.Tier, s.Classes[0].LateShare = c.tier, c.late })
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		s := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1500 * msec}))[0]
		if s.Timeout != c.want {
			t.Errorf("tier %d, late share %v: time-out %v, want %v", c.tier, c.late, s.Timeout, c.want)
		}
		acts := b.Handle(c.want, Outcome{ID: "a", Result: TimedOut})
		if _, rejected := acts[0].(Reject); len(acts) != 1 || !rejected {
			t.Errorf("tier %d, late share %v: after the time-out %v", c.tier, c.late, acts)
		}
	}
}

// A request is cut short only where requests hang, where it may run again, and where another has time and budget.
func TestAttemptTimeoutIsShortenedOnlyIfRetryMayFollow(t *testing.T) {
	for _, c := range []struct {
		name            string
		tier            int
		class           string
		failing, tokens float64
		left, want      time.Duration
	}{
		{"requests hang", 1, "get", 0.2, 5, 800 * msec, 400 * msec},
		{"in the first tier", 0, "get", 0.2, 5, 400 * msec, 400 * msec},
		{"must not run twice", 1, "pay", 0.2, 5, 800 * msec, 800 * msec},
		{"none fails", 1, "get", 0, 5, 800 * msec, 800 * msec},
		{"the budget is spent", 1, "get", 0.2, 0, 800 * msec, 800 * msec},
		{"answers may take that long", 1, "get", 0.2, 5, 500 * msec, 500 * msec},
	} {
		b := newBalancer(t, func(s *Settings) { s.Tier = c.tier })
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		b.classes[c.class].failureShare, b.retryTokens = c.failing, c.tokens
		s := sends(b.Handle(0, Request{ID: "a", Class: c.class, Deadline: c.left}))[0]
		if s.Timeout != c.want {
			t.Errorf("%s: time-out %v, want %v", c.name, s.Timeout, c.want)
		}
	}
}
