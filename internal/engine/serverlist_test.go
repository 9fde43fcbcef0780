package engine

import (
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// A full list without changes is not passed to the balancer, which would select its subset again and open connections
// unnecessarily.
func TestUnchangedFullListIsNotPassedOn(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1"))
	backend.updates = 0
	terminating, moved := servers("s1"), servers("s1")
	terminating.Targets[0].State = balancer.Draining
	moved.Targets[0].Endpoint = "127.0.0.1:2"
	for i, test := range []struct {
		list discovery.List
		want int
	}{{servers("s1"), 0}, {terminating, 1}, {moved, 2}, {servers(), 3}} {
		if eng.handleEvent(listUpdated{test.list}); backend.updates != test.want {
			t.Errorf("list %d: got %d updates, want %d", i, backend.updates, test.want)
		}
	}
}

// A full list without one of the known servers is passed on, even if it has as many entries as servers are known because
// one of its entries is a removed server.
func TestFullListWithFewerServersIsPassedOn(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1", "s2"))
	go eng.Run(t.Context())
	same := servers("s1", "s2")
	fewer := servers("s1", "s3")
	fewer.Targets[1].State = balancer.Removed
	for _, test := range []struct {
		name  string
		list  discovery.List
		ready int
	}{{"the same", same, 2}, {"one server missing, one entry removed", fewer, 1}} {
		if eng.UpdateList(test.list); eng.Status().Ready != test.ready {
			t.Errorf("%s: got %d ready servers, want %d", test.name, eng.Status().Ready, test.ready)
		}
	}
}

// A newly listed server is in slow start whatever the offset of the clock that wrote its boot_ms, and its start time stays
// the same while its boot_ms does: receiving the same list again is not an update, and connections stay open.
func TestNewlyListedServerIsInSlowStartUnderAnyClock(t *testing.T) {
	for _, offset := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		backend := newFakeBackend()
		balancerSettings := settings()
		balancerSettings.SlowStartWindow = 3 * time.Second
		opts := options(backend, balancerSettings)
		opts.CollectStats = true
		eng := newEngineWith(t, opts)
		go eng.Run(t.Context())
		list := servers("old")
		eng.UpdateList(list)
		eng.Stats() // returns after the loop has handled the first list
		list.Targets = append(list.Targets, servers("new").Targets...)
		list.Targets[1].Boot = eng.clock.Now() + offset
		eng.UpdateList(list)
		if zone := eng.Stats().Zones[""]; zone.Ready != 2 || zone.WarmedUp != 1 {
			t.Errorf("boot time %v from now: got %d ready and %d warmed-up servers, want 2 and 1", offset, zone.Ready, zone.WarmedUp)
		}
		listed := eng.servers["new"]
		eng.UpdateList(list)
		if eng.Stats(); eng.servers["new"] != listed {
			t.Errorf("same list again: got entry %v, want %v", eng.servers["new"], listed)
		}
	}
}
