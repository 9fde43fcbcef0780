package balancer

import (
	"testing"
	"time"
)

// An unmarked retry is detected by a deadline shorter than that of other attempts.
func TestShortDeadlineMarksRetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 900*msec})
	if r := b.requests["first"]; r == nil || r.retry || r.arrived != 0 {
		t.Errorf("a first attempt was classified as a retry: %+v", r)
	}
	// The retry's latency objective of 500 ms passed 100 ms before it arrived; without a server it is delayed
	// nevertheless.
	r := b.requests["again"]
	if r == nil || !r.retry || r.arrived != 5*time.Second-600*msec {
		t.Errorf("the retry was not detected: %+v", r)
	}
}

// A rejected client is not asked to wait long, because most of its latency objective would have passed on its return.
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
	t.Error("the request was not rejected")
}

// Work on a reply that is too late to have any value takes the capacity of replies in time.
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
			t.Errorf("tier %d, late share %v: timeout %v, want %v", c.tier, c.late, s.Timeout, c.want)
		}
		acts := b.Handle(c.want, Outcome{ID: "a", Result: TimedOut})
		if _, rejected := acts[0].(Reject); len(acts) != 1 || !rejected {
			t.Errorf("tier %d, late share %v: actions after the timeout are %v, want one Reject", c.tier, c.late, acts)
		}
	}
}

// An attempt's timeout is shortened only if requests hang, the request may run again, and time and budget for a retry
// remain.
func TestAttemptTimeoutIsShortenedOnlyIfRetryMayFollow(t *testing.T) {
	for _, c := range []struct {
		name            string
		tier            int
		class           string
		failing, tokens float64
		left, want      time.Duration
	}{
		{"requests hang", 1, "get", 0.2, 5, 800 * msec, 400 * msec},
		{"first tier", 0, "get", 0.2, 5, 400 * msec, 400 * msec},
		{"unsafe", 1, "pay", 0.2, 5, 800 * msec, 800 * msec},
		{"no failures", 1, "get", 0, 5, 800 * msec, 800 * msec},
		{"no retry budget", 1, "get", 0.2, 0, 800 * msec, 800 * msec},
		{"replies may take that long", 1, "get", 0.2, 5, 500 * msec, 500 * msec},
	} {
		b := newBalancer(t, func(s *Settings) { s.Tier = c.tier })
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		b.classes[c.class].failureShare, b.retryTokens = c.failing, c.tokens
		s := sends(b.Handle(0, Request{ID: "a", Class: c.class, Deadline: c.left}))[0]
		if s.Timeout != c.want {
			t.Errorf("%s: timeout %v, want %v", c.name, s.Timeout, c.want)
		}
	}
}
