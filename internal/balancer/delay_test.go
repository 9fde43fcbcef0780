package balancer

import (
	"testing"
	"time"
)

// The host rounds times; a timer that fires slightly early must still lead to a response in time.
func TestDelayedRequestIsAnsweredDespiteEarlyTimers(t *testing.T) {
	b := newBalancer(t, nil)
	acts := b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1000 * msec})
	for now := time.Duration(0); now < 1000*msec; {
		var next SetTimer
		for _, a := range acts {
			switch a := a.(type) {
			case SetTimer:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v there is neither a response nor a timer", now)
		}
		now = max(now+2*msec, next.At-500) // half a microsecond early
		acts = b.Handle(now, Timer{Token: next.Token})
	}
	t.Fatal("no response in time")
}

// Most of a marked retry's latency objective has passed: while capacity is short, first attempts take precedence.
func TestFirstAttemptsPrecedeRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	b.window = 1
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "retry", Class: "get", Deadline: time.Second, Retry: true})
	b.classes["get"].LateShare = 0.5
	b.inFlight = int(minWindowPerServer*b.serversPerNode()) + 2
	b.window = float64(b.inFlight) // the next reply frees one place
	next := sends(endOnlyAttempt(b, 10*msec, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after a reply %v was sent, want the new request", next)
	}
}
