package balancer

import (
	"testing"
	"time"
)

// A request taken over from another host continues where that one stopped: its attempts count, its servers are not
// tried again, and whether it may be sent again depends on the class's effect and on what is known of the attempts.
func TestTakenOverRequestContinuesAfterPriorAttempts(t *testing.T) {
	const now = 100 * time.Second
	priorAttempts := func(neverRan bool, servers ...string) (list []PriorAttempt) {
		for _, s := range servers {
			list = append(list, PriorAttempt{Server: s, Zone: "z", Cell: int(s[2]-'0') % 2, SentAt: now - 100*msec, NeverRan: neverRan})
		}
		return list
	}
	for _, c := range []struct {
		name    string
		class   string
		earlier []PriorAttempt
		cells   string // cells of the servers that it may be sent to; empty: it is not sent
		refused bool
	}{
		{"safe, may have run", "get", priorAttempts(false, "s00"), "01", false},
		{"safe, all attempts used", "get", priorAttempts(false, "s00", "s01", "s02", "s03", "s04"), "", true},
		{"unsafe, may have run", "pay", priorAttempts(false, "s00"), "", false},
		{"unsafe, never ran", "pay", priorAttempts(true, "s00"), "01", false},
		{"unsafe, never ran, all attempts used", "pay", priorAttempts(true, "s00", "s01", "s02", "s03", "s04"), "", true},
		{"keyed, may have run: its cell discards duplicates", "post", priorAttempts(false, "s02"), "0", false},
		{"keyed, duplicate window over", "post", []PriorAttempt{{Server: "s02", Zone: "z", SentAt: now - time.Second}}, "", false},
		{"keyed, attempt at a removed server", "post", []PriorAttempt{{Server: "gone", Zone: "z", Cell: 1, SentAt: now - 100*msec}}, "1", false},
	} {
		seen := map[string]bool{}
		for seed := range uint64(40) {
			b, err := New(testSettings(), seed)
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(now-time.Second, ServerList{Full: true, Servers: servers(8)})
			acts := b.Handle(now, Request{ID: "r", Class: c.class, Deadline: now + time.Second, PriorAttempts: c.earlier})
			sent := sends(acts)
			if c.cells == "" {
				if len(sent) > 0 || len(acts) != 1 {
					t.Fatalf("%s: actions %+v, want one response", c.name, acts)
				}
				if _, rejected := acts[0].(Reject); rejected != c.refused {
					t.Fatalf("%s: response %+v, want rejected %v", c.name, acts[0], c.refused)
				}
				continue
			}
			if len(sent) != 1 {
				t.Fatalf("%s: actions %+v, want one Send", c.name, acts)
			}
			seen[string(rune('0'+int(sent[0].Server[2]-'0')%2))] = true
			for _, e := range c.earlier {
				if e.Server == sent[0].Server {
					t.Fatalf("%s: sent to %s again", c.name, e.Server)
				}
			}
			// Attempt numbers continue after the prior attempts.
			acts = b.Handle(now+msec, Outcome{ID: "r", Attempt: len(c.earlier), Server: sent[0].Server, Result: Success, Ended: true})
			if len(b.requests) != 0 || len(acts) != 0 {
				t.Fatalf("%s: %d requests are left over, actions %+v", c.name, len(b.requests), acts)
			}
		}
		if len(seen) != len(c.cells) || c.cells != "" && !seen[c.cells[:1]] {
			t.Errorf("%s: sent to cells %v, want %q", c.name, seen, c.cells)
		}
	}
}
