package balancer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"damsontrestle/internal/testpeer/heap"
)

// Plays 100,000 requests with IDs that are used once, and 10,000 servers that replace one another in 20 slots, in 200
// zones of which two exist at a time. No state of removed servers, zones or requests may be kept.
func TestRemovedServersAndRequestsLeaveNoState(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.PollChoices = 2 })
	now := time.Second
	slots := make([]Server, 20)
	for i := range slots {
		slots[i] = Server{ID: fmt.Sprintf("first-%d", i), Zone: "z"}
	}
	b.Handle(now, ServerList{Full: true, Servers: slots})
	var base int64
	const requests, requestsPerReplacement = 100_000, 10 // requests per replaced server
	for i := range requests {
		now += msec
		if i%requestsPerReplacement == 0 {
			k := i / requestsPerReplacement % len(slots)
			removed := slots[k]
			removed.State = Removed
			slots[k] = Server{ID: fmt.Sprintf("server-%d", i), Zone: fmt.Sprint("zone-", i/500)}
			b.Handle(now, ServerList{Servers: []Server{removed, slots[k]}})
		}
		id := fmt.Sprint("request-", i)
		acts := b.Handle(now, Request{ID: id, Class: []string{"get", "post", "pay"}[i%3], Deadline: now + time.Second})
		for len(acts) > 0 {
			a := acts[0]
			acts = acts[1:]
			switch a := a.(type) {
			case Poll:
				for _, s := range a.Servers {
					acts = append(acts, b.Handle(now, LoadUpdate{ID: a.ID, Loads: []ServerLoad{{Server: s, Busy: 1}}})...)
				}
			case Send:
				switch i % 7 {
				case 0:
					acts = append(acts, b.Handle(now, ClientDisconnected{ID: id})...)
					b.Handle(now, Outcome{ID: id, Server: a.Server, Result: Cancelled, Ended: true})
				case 1:
					acts = append(acts, b.Handle(now, Outcome{ID: id, Attempt: len(b.requests[id].attempts) - 1, Server: a.Server, Result: Unreachable})...)
				default:
					b.Handle(now, Outcome{ID: id, Attempt: len(b.requests[id].attempts) - 1, Server: a.Server, Result: Success, Ended: true})
				}
			}
		}
		if i == requests/10 {
			base = heap.Reachable()
		}
	}
	if len(b.requests) > 0 || len(b.delayed) > 0 {
		t.Errorf("%d requests and %d delayed requests are kept, want none", len(b.requests), len(b.delayed))
	}
	if len(b.servers) != len(slots) || len(b.ready) != len(slots) || len(b.zones) > 3 {
		t.Errorf("%d servers and %d zones are kept; %d servers are listed in at most 3 zones", len(b.servers), len(b.zones), len(slots))
	}
	for _, s := range b.servers {
		if len(s.open) > 0 || len(s.failures) > len(b.classes) {
			t.Errorf("%s keeps %d open attempts and %d classes", s.ID, len(s.open), len(s.failures))
		}
	}
	if grown := heap.Reachable() - base; grown > 256<<10 {
		t.Errorf("the heap grew by %d KiB after the first tenth of the requests, want at most 256", grown>>10)
	}
	runtime.KeepAlive(b)
}
