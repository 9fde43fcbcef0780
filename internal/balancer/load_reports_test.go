package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// newReportingNode is a node of many, with servers that say what they hold.
func newReportingNode(t *testing.T, pollChoices int, busy ...float64) *Balancer {
	t.Helper()
	b := newBalancer(t, func(s *Settings) { s.Balancers, s.PollChoices, s.Tier = 1, pollChoices, 1 })
	l := ServerList{Full: true}
	for k := range busy {
		l.Servers = append(l.Servers, Server{ID: fmt.Sprintf("s%d", k)})
	}
	b.Handle(time.Second, l)
	for k, v := range busy {
		b.Handle(time.Second, LoadUpdate{Loads: []ServerLoad{{Server: fmt.Sprintf("s%d", k), Busy: v}}})
	}
	return b
}

// sendsTo asks a node to place safe requests one after another, each answered before the next, and counts by server.
func sendsTo(t *testing.T, b *Balancer, at time.Duration, n int) map[string]int {
	t.Helper()
	sent := map[string]int{}
	for i := range n {
		id := fmt.Sprint(at, i)
		for _, a := range b.Handle(at, Request{ID: id, Class: "get", Deadline: at + time.Second}) {
			if s, ok := a.(Send); ok {
				sent[s.Server]++
				b.Handle(at, Outcome{ID: id, Server: s.Server, Result: Success, Ended: true})
			}
		}
	}
	return sent
}

// Servers that say they hold much get little, as long as that report is young.
func TestLoadReportsDecay(t *testing.T) {
	busy := []float64{9, 0, 0, 9, 0, 0}
	b := newReportingNode(t, 0, busy...)
	now := sendsTo(t, b, time.Second+msec, 600)
	if now["s0"]+now["s3"] > 30 {
		t.Errorf("the two that hold most get %d and %d of 600", now["s0"], now["s3"])
	}
	b = newReportingNode(t, 0, busy...)
	later := sendsTo(t, b, 100*time.Second, 600)
	if n := later["s0"] + later["s3"]; n < 100 {
		t.Errorf("after a hundred seconds they still get %d of 600 only", n)
	}
	b.Handle(100*time.Second, LoadUpdate{Loads: []ServerLoad{{Server: "s0", Busy: 50, Age: 90 * time.Second}, {Server: "nobody", Busy: 1}, {Server: "s1", Busy: -1}}})
	if s := b.servers["s0"]; s.reportedLoad != 50 || b.now-s.reportedAt != 90*time.Second {
		t.Errorf("a report of 90 s ago: %v, reported %v ago", s.reportedLoad, b.now-s.reportedAt)
	}
	b.Handle(100*time.Second, LoadUpdate{Loads: []ServerLoad{{Server: "s0", Busy: 1, Age: 95 * time.Second}}})
	if s := b.servers["s0"]; s.reportedLoad != 50 {
		t.Error("an older report took the place of a younger one")
	}
}

// A request waits until those that were polled have said what they hold, and goes to the one that holds least.
func TestRequestGoesToLeastLoadedPolledServer(t *testing.T) {
	b := newReportingNode(t, 4, 0, 0, 0, 0, 0, 0, 0, 0)
	at := 10 * time.Second
	acts := b.Handle(at, Request{ID: "x", Class: "get", Deadline: at + time.Second})
	poll, ok := acts[0].(Poll)
	if !ok || len(poll.Servers) != 4 || len(acts) != 2 {
		t.Fatalf("actions %+v; want four servers polled, and a SetTimer", acts)
	}
	left := 0
	for _, s := range poll.Servers {
		if slices.ContainsFunc(b.subset.left, func(o *server) bool { return o.ID == s }) {
			left++
		}
	}
	if left != 2 {
		t.Errorf("%d of those polled are of the left group; want one draw from each for either", left)
	}
	for i, s := range poll.Servers {
		busy := 3.0
		if i == 2 {
			busy = 0
		}
		acts = b.Handle(at+msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: s, Busy: busy}}})
		if i < 3 && len(acts) > 0 {
			t.Fatalf("after %d answers: %+v", i+1, acts)
		}
	}
	if len(acts) != 1 || acts[0].(Send).Server != poll.Servers[2] {
		t.Errorf("actions %+v; want it sent to %s", acts, poll.Servers[2])
	}
	if acts = b.Handle(at+2*msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: poll.Servers[0], Busy: 0}}}); len(acts) > 0 {
		t.Errorf("a report that comes late has it do %+v", acts)
	}
}

// Where some say nothing, the request waits for a part of the time that an answer takes and goes to one of those that have;
// where nobody does, it goes by what is known.
func TestRequestDoesNotWaitForUnreportedLoad(t *testing.T) {
	for _, answers := range []int{1, 0} {
		b := newReportingNode(t, 4, 1, 1, 1, 1, 1, 1, 1, 1)
		at := 10 * time.Second
		acts := b.Handle(at, Request{ID: "x", Class: "get", Deadline: at + time.Second})
		poll, wake := acts[0].(Poll), acts[1].(SetTimer)
		if poll.Timeout <= 0 || wake.At != at+poll.Timeout || poll.Timeout > time.Duration(b.classes["get"].meanLatency) {
			t.Fatalf("it waits %v, until %v", poll.Timeout, wake.At)
		}
		for _, s := range poll.Servers[:answers] {
			b.Handle(at+msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: s, Busy: 7}}})
		}
		acts = b.Handle(wake.At, Timer{Token: wake.Token})
		if len(acts) != 1 {
			t.Fatalf("%d answers: %+v", answers, acts)
		}
		if to := acts[0].(Send).Server; answers == 1 && to != poll.Servers[0] {
			t.Errorf("it goes to %s, and only %s has answered", to, poll.Servers[0])
		}
		if b.requests["x"].polling != 0 {
			t.Error("it still waits for reports")
		}
	}
}

// A client that leaves while servers are polled has nothing sent for it.
func TestNothingIsSentForClientDisconnectedWhilePolling(t *testing.T) {
	b := newReportingNode(t, 2, 0, 0, 0, 0)
	at := 10 * time.Second
	poll := b.Handle(at, Request{ID: "x", Class: "get", Deadline: at + time.Second})[0].(Poll)
	b.Handle(at+msec, ClientDisconnected{ID: "x"})
	for _, s := range poll.Servers {
		if acts := b.Handle(at+2*msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: s, Busy: 0}}}); len(acts) > 0 {
			t.Errorf("%+v", acts)
		}
	}
	if len(b.requests) != 0 {
		t.Error("its request is kept")
	}
}
