package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestNodesShareServerOrder(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	list := servers(7)
	a.Handle(0, ServerList{Full: true, Servers: list})
	for i := len(list) - 1; i >= 0; i-- {
		b.Handle(0, ServerList{Servers: list[i : i+1]})
	}
	for i := range list {
		if a.ready[i].ID != b.ready[i].ID {
			t.Fatalf("order differs at %d: %s, %s", i, a.ready[i].ID, b.ready[i].ID)
		}
	}
}

// A node polls discovery again within a second of a failure, however long its poll interval is, so that a missed
// change becomes known soon after discovery is reachable.
func TestFailedDiscoveryIsRetriedWithinASecond(t *testing.T) {
	for _, within := range []time.Duration{100 * msec, 10 * time.Second, time.Hour} {
		b := newBalancer(t, func(s *Settings) { s.PollDiscovery, s.PollInterval = true, within })
		for i := range 50 {
			now := time.Duration(i) * time.Minute
			for _, a := range b.Handle(now, ListFailed{}) {
				if w, ok := a.(SetTimer); ok && w.At-now > min(time.Second, within/4)+1 {
					t.Errorf("poll interval %v: next poll %v after failure %d", within, w.At-now, i+1)
				}
			}
		}
	}
}

// After any sequence of lists, the shared order holds the ready servers sorted by ID, and no server is kept that is
// neither listed nor busy, and no zone without servers.
func TestServerOrderFollowsEndpointList(t *testing.T) {
	b := newBalancer(t, nil)
	rng := rand.New(rand.NewPCG(1, 2))
	listed := map[string]Server{}
	for step := range 2000 {
		e := ServerList{Full: rng.IntN(20) == 0}
		if e.Full {
			clear(listed)
		}
		for range rng.IntN(6) {
			s := Server{ID: fmt.Sprint("s", rng.IntN(40)), Zone: fmt.Sprint("z", rng.IntN(5)), State: ServerState(rng.IntN(3)), Boot: time.Duration(rng.IntN(2))}
			if listed[s.ID] = s; s.State == Removed {
				delete(listed, s.ID)
			}
			e.Servers = append(e.Servers, s)
		}
		b.Handle(time.Duration(step)*msec, e)
		var want, got []string
		zones := map[string]bool{}
		for id, s := range listed {
			if zones[s.Zone] = true; s.State == Ready {
				want = append(want, id)
			}
		}
		slices.Sort(want)
		for _, s := range b.ready {
			got = append(got, s.ID)
		}
		if !slices.Equal(got, want) || len(b.servers) != len(listed) || len(b.zones) != len(zones) {
			t.Fatalf("step %d: order %v, want %v; %d servers, want %d; %d zones, want %d", step, got, want, len(b.servers), len(listed), len(b.zones), len(zones))
		}
	}
}
