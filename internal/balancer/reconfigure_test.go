package balancer

import (
	"testing"
	"time"
)

// An open request follows the terms of its class as accepted or as they are now, whichever are stricter: one whose
// class becomes unsafe during an attempt fails if the attempt may have run, and one accepted as unsafe stays unsafe.
func TestReconfigureAppliesStricterTermsToRequests(t *testing.T) {
	change := func(name string, edit func(*Class)) Settings {
		set := testSettings()
		for i := range set.Classes {
			if set.Classes[i].Name == name {
				edit(&set.Classes[i])
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
		{"unchanged", "get", testSettings(), ConnectionLost, "send"},
		{"safe becomes unsafe", "get", change("get", func(c *Class) { c.Effect = Unsafe }), ConnectionLost, "fail"},
		{"safe becomes unsafe, and the attempt never ran", "get", change("get", func(c *Class) { c.Effect = Unsafe }), Unreachable, "send"},
		{"safe becomes keyed", "get", change("get", func(c *Class) { c.Effect, c.Scope, c.Window = Keyed, ScopeAll, time.Second }), ConnectionLost, "fail"},
		{"unsafe becomes safe", "pay", change("pay", func(c *Class) { c.Effect = Safe }), ConnectionLost, "fail"},
		{"keyed becomes safe", "post", change("post", func(c *Class) { c.Effect, c.Scope = Safe, ScopeAll }), ConnectionLost, "send"},
		{"keyed becomes unsafe", "post", change("post", func(c *Class) { c.Effect = Unsafe }), ConnectionLost, "fail"},
		{"shorter window", "post", change("post", func(c *Class) { c.Window = msec }), ConnectionLost, "fail"},
		{"longer window", "post", change("post", func(c *Class) { c.Window = time.Hour }), ConnectionLost, "send"},
		{"class removed", "get", change("get", func(c *Class) { c.Name = "other" }), ConnectionLost, "fail"},
		{"fewer attempts", "get", func() Settings { s := testSettings(); s.MaxAttempts = 1; return s }(), ConnectionLost, "reject"},
		{"invalid settings", "get", Settings{}, ConnectionLost, "send"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(0, ServerList{Full: true, Servers: servers(8)})
			first := sends(b.Handle(msec, Request{ID: "r", Class: c.class, Deadline: 1400 * msec}))
			if len(first) != 1 {
				t.Fatalf("%d sends, want 1", len(first))
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

// The statistics of servers and of remaining classes are kept, and changed class settings apply at once.
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
		t.Fatalf("share of failures %v after %d samples, want at least 0.1 after 100", share, samples)
	}
	next := testSettings()
	next.Classes[0].LatencyObjective, next.Classes[0].PriorityWeight = 300*msec, 9
	next.Classes = append(next.Classes[:1], Class{Name: "new", LatencyObjective: 100 * msec, Deadline: time.Second})
	b.Handle(now, Reconfigure{next})
	get = b.classes["get"]
	if get.meanLatency != mean || get.samples != samples || b.failureShare(bad, get, get) != share {
		t.Errorf("mean latency %v, %d samples, share of failures %v; want %v, %d, %v", get.meanLatency, get.samples, b.failureShare(bad, get, get), mean, samples, share)
	}
	if get.LatencyObjective != 300*msec || get.PriorityWeight != 9 || b.classes["pay"] != nil || b.classes["new"].meanLatency != float64(25*msec) || len(b.classOrder) != 3 {
		t.Errorf("latency objective %v, priority weight %v, %d classes", get.LatencyObjective, get.PriorityWeight, len(b.classOrder))
	}
}
