package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// newReportingNode returns a node that sends to a lower tier, with servers that have reported their load.
func newReportingNode(t *testing.T, pollChoices int, busy ...float64) *Balancer {
	t.Helper()
	b := newBalancer(t, func(s *Settings) { s.Balancers, s.PollChoices, s.Tier = 1, pollChoices, 1 })
	list := ServerList{Full: true}
	for k := range busy {
		list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("s%d", k)})
	}
	b.Handle(time.Second, list)
	for k, load := range busy {
		b.Handle(time.Second, LoadUpdate{Loads: []ServerLoad{{Server: fmt.Sprintf("s%d", k), Busy: load}}})
	}
	return b
}

// countSends sends safe requests one after another, each answered before the next, and counts them by server.
func countSends(t *testing.T, b *Balancer, at time.Duration, n int) map[string]int {
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

// Servers that report high load get few requests while the report is recent.
func TestLoadReportsDecay(t *testing.T) {
	busy := []float64{9, 0, 0, 9, 0, 0}
	b := newReportingNode(t, 0, busy...)
	withFreshReports := countSends(t, b, time.Second+msec, 600)
	if withFreshReports["s0"]+withFreshReports["s3"] > 30 {
		t.Errorf("the two most loaded servers got %d and %d of 600 requests, want at most 30 together", withFreshReports["s0"], withFreshReports["s3"])
	}
	b = newReportingNode(t, 0, busy...)
	withOldReports := countSends(t, b, 100*time.Second, 600)
	if n := withOldReports["s0"] + withOldReports["s3"]; n < 100 {
		t.Errorf("100 s after the reports, the two most loaded servers got %d of 600 requests, want at least 100", n)
	}
	b.Handle(100*time.Second, LoadUpdate{Loads: []ServerLoad{{Server: "s0", Busy: 50, Age: 90 * time.Second}, {Server: "nobody", Busy: 1}, {Server: "s1", Busy: -1}}})
	if s := b.servers["s0"]; s.reportedLoad != 50 || b.now-s.reportedAt != 90*time.Second {
		t.Errorf("after a report 90 s old: load %v, reported %v ago", s.reportedLoad, b.now-s.reportedAt)
	}
	b.Handle(100*time.Second, LoadUpdate{Loads: []ServerLoad{{Server: "s0", Busy: 1, Age: 95 * time.Second}}})
	if s := b.servers["s0"]; s.reportedLoad != 50 {
		t.Error("an older report replaced a newer one")
	}
}

// A request waits until the polled servers have reported their load and goes to the least loaded one.
func TestRequestGoesToLeastLoadedPolledServer(t *testing.T) {
	b := newReportingNode(t, 4, 0, 0, 0, 0, 0, 0, 0, 0)
	at := 10 * time.Second
	acts := b.Handle(at, Request{ID: "x", Class: "get", Deadline: at + time.Second})
	poll, ok := acts[0].(Poll)
	if !ok || len(poll.Servers) != 4 || len(acts) != 2 {
		t.Fatalf("actions %+v, want a Poll of four servers and a SetTimer", acts)
	}
	left := 0
	for _, s := range poll.Servers {
		if slices.ContainsFunc(b.subset.left, func(o *server) bool { return o.ID == s }) {
			left++
		}
	}
	if left != 2 {
		t.Errorf("%d of the polled servers are in the left group, want 2", left)
	}
	for i, s := range poll.Servers {
		busy := 3.0
		if i == 2 {
			busy = 0
		}
		acts = b.Handle(at+msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: s, Busy: busy}}})
		if i < 3 && len(acts) > 0 {
			t.Fatalf("after %d reports: actions %+v, want none", i+1, acts)
		}
	}
	if len(acts) != 1 || acts[0].(Send).Server != poll.Servers[2] {
		t.Errorf("actions %+v, want a Send to %s", acts, poll.Servers[2])
	}
	if acts = b.Handle(at+2*msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: poll.Servers[0], Busy: 0}}}); len(acts) > 0 {
		t.Errorf("a late report caused %+v", acts)
	}
}

// If some polled servers do not report, the request waits for a fraction of the mean latency and goes to one that has
// reported; if none reports, earlier load decides.
func TestRequestDoesNotWaitForUnreportedLoad(t *testing.T) {
	for _, answers := range []int{1, 0} {
		b := newReportingNode(t, 4, 1, 1, 1, 1, 1, 1, 1, 1)
		at := 10 * time.Second
		acts := b.Handle(at, Request{ID: "x", Class: "get", Deadline: at + time.Second})
		poll, wake := acts[0].(Poll), acts[1].(SetTimer)
		if poll.Timeout <= 0 || wake.At != at+poll.Timeout || poll.Timeout > time.Duration(b.classes["get"].meanLatency) {
			t.Fatalf("the poll times out after %v and its timer fires at %v", poll.Timeout, wake.At)
		}
		for _, s := range poll.Servers[:answers] {
			b.Handle(at+msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: s, Busy: 7}}})
		}
		acts = b.Handle(wake.At, Timer{Token: wake.Token})
		if len(acts) != 1 {
			t.Fatalf("%d reports: actions %+v, want one Send", answers, acts)
		}
		if to := acts[0].(Send).Server; answers == 1 && to != poll.Servers[0] {
			t.Errorf("sent to %s, but only %s has reported", to, poll.Servers[0])
		}
		if b.requests["x"].polling != 0 {
			t.Error("the request still waits for reports")
		}
	}
}

// A client that disconnects while servers are polled must not cause a Send.
func TestNothingIsSentForClientDisconnectedWhilePolling(t *testing.T) {
	b := newReportingNode(t, 2, 0, 0, 0, 0)
	at := 10 * time.Second
	poll := b.Handle(at, Request{ID: "x", Class: "get", Deadline: at + time.Second})[0].(Poll)
	b.Handle(at+msec, ClientDisconnected{ID: "x"})
	for _, s := range poll.Servers {
		if acts := b.Handle(at+2*msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: s, Busy: 0}}}); len(acts) > 0 {
			t.Errorf("actions after the client disconnected: %+v", acts)
		}
	}
	if len(b.requests) != 0 {
		t.Error("the request is kept")
	}
}
