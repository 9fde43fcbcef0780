package balancer

import (
	"testing"
	"time"
)

// A request under way is held to its class's terms as taken or as now, whichever are stricter: one whose class
// turns unsafe while an attempt is out fails when that may have run, and one that was taken as unsafe stays so.
func TestReconfigureAppliesStricterTermsToRequests(t *testing.T) {
	change := func(name string, with func(*Class)) Settings {
		set := testSettings()
		for i := range set.Classes {
			if set.Classes[i].Name == name {
				with(&set.Classes[i])
			}
		}
		return set
	}
	for _, c := range []struct {
		name, class string
		next        Settings
		ending      Result
		want        string
	}{
		{"as it was", "get", testSettings(), ConnectionLost, "send"},
		{"safe turns unsafe", "get", change("get", func(c *Class) { c.Effect = Unsafe }), ConnectionLost, "fail"},
		{"safe turns unsafe, and the attempt never ran", "get", change("get", func(c *Class) { c.Effect = Unsafe }), Unreachable, "send"},
		{"safe turns keyed", "get", change("get", func(c *Class) { c.Effect, c.Scope, c.Window = Keyed, ScopeAll, time.Second }), ConnectionLost, "fail"},
		{"unsafe turns safe", "pay", change("pay", func(c *Class) { c.Effect = Safe }), ConnectionLost, "fail"},
		{"keyed turns safe", "post", change("post", func(c *Class) { c.Effect, c.Scope = Safe, ScopeAll }), ConnectionLost, "send"},
		{"keyed turns unsafe", "post", change("post", func(c *Class) { c.Effect = Unsafe }), ConnectionLost, "fail"},
		{"the window gets shorter", "post", change("post", func(c *Class) { c.Window = msec }), ConnectionLost, "fail"},
		{"the window gets longer", "post", change("post", func(c *Class) { c.Window = time.Hour }), ConnectionLost, "send"},
		{"the class goes", "get", change("get", func(c *Class) { c.Name = "other" }), ConnectionLost, "fail"},
		{"fewer attempts", "get", func() Settings { s := testSettings(); s.MaxAttempts = 1; return s }(), ConnectionLost, "reject"},
		{"no settings at all", "get", Settings{}, ConnectionLost, "send"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(0, ServerList{Full: true, Servers: servers(8)})
			first := sends(b.Handle(msec, Request{ID: "r", Class: c.class, Deadline: 1400 * msec}))
			if len(first) != 1 {
				t.Fatalf("%d sends", len(first))
			}
			b.Handle(2*msec, Reconfigure{c.next})
			acts := b.Handle(20*msec, Outcome{ID: "r", Server: first[0].Server, Result: c.ending})
			got := "nothing"
			for _, a := range acts {
				switch a.(type) {
				case Send:
					got = "send"
				case Fail:
					got = "fail"
				case Reject:
					got = "reject"
				}
			}
			if got != c.want {
				t.Errorf("%s after the outcome, want %s", got, c.want)
			}
		})
	}
}

// What was learned of servers and of classes that stay is kept, and what is new of a class holds at once.
func TestReconfigureKeepsLearnedState(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(8)})
	now := time.Duration(0)
	for i := 0; i < 1000 && (i < 100 || b.failureShare(b.servers["s03"], b.classes["get"], b.classes["get"]) < 0.1); i++ {
		now += 5 * msec
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
			o := Outcome{ID: id, Server: s.Server, Result: Success, Ended: true}
			if s.Server == "s03" {
				o.Result, o.Ended = Failure, false
			}
			b.Handle(now+2*msec, o)
			b.Handle(now+2*msec, ClientDisconnected{ID: id})
		}
	}
	bad, get := b.servers["s03"], b.classes["get"]
	mean, samples, share := get.meanLatency, get.samples, b.failureShare(bad, get, get)
	if share < 0.1 || samples < 100 {
		t.Fatalf("a share of failures of %v after %d samples", share, samples)
	}
	next := testSettings()
	next.Classes[0].LatencyObjective, next.Classes[0].PriorityWeight = 300*msec, 9
	next.Classes = append(next.Classes[:1], Class{Name: "new", LatencyObjective: 100 * msec, Deadline: time.Second})
	b.Handle(now, Reconfigure{next})
	get = b.classes["get"]
	if get.meanLatency != mean || get.samples != samples || b.failureShare(bad, get, get) != share {
		t.Errorf("mean %v, %d samples, failing %v; want %v, %d, %v", get.meanLatency, get.samples, b.failureShare(bad, get, get), mean, samples, share)
	}
	if get.LatencyObjective != 300*msec || get.PriorityWeight != 9 || b.classes["pay"] != nil || b.classes["new"].meanLatency != float64(25*msec) || len(b.classOrder) != 3 {
		t.Errorf("latency objective %v, priority weight %v, %d classes", get.LatencyObjective, get.PriorityWeight, len(b.classOrder))
	}
}
