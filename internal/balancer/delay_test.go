package balancer

import (
	"testing"
	"time"
)

// A host rounds times; a timer that comes a fraction early must still lead to an answer in time.
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
			t.Fatalf("at %v neither an answer nor a timer", now)
		}
		now = max(now+2*msec, next.At-500) // half a microsecond early
		acts = b.Handle(now, Timer{Token: next.Token})
	}
	t.Fatal("no final answer in time")
}

// A marked retry is mostly past its objective already: while there is little room, first attempts go first.
func TestFirstAttemptsPrecedeRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	b.window = 1
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "retry", Class: "get", Deadline: time.Second, Retry: true})
	b.classes["get"].LateShare = 0.5
	b.inFlight = int(minWindowPerServer*b.serversPerNode()) + 2
	b.window = float64(b.inFlight) // one comes free by the next answer
	next := sends(endOnlyAttempt(b, 10*msec, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent", next)
	}
}
