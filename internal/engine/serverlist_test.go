package engine

import (
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// A full snapshot that names what is known already is not passed to the balancer: it would draw its subset anew and
// open connections for nothing.
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
			t.Errorf("list %d: %d updates, want %d", i, backend.updates, test.want)
		}
	}
}

// A full snapshot that names one server less is an update, also where it names as many entries as are known because one of
// them was removed long ago.
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
	}{{"the same", same, 2}, {"one less, and one that was removed", fewer, 1}} {
		if eng.UpdateList(test.list); eng.Status().Ready != test.ready {
			t.Errorf("%s: %d ready, want %d", test.name, eng.Status().Ready, test.ready)
		}
	}
}

// A server that is listed anew is in slow start whatever the clock that wrote its start shows, and its start stays the same
// while it is listed with the same boot_ms: the same list again is no update, and connections stay open.
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
		eng.Stats() // the first list has been taken
		list.Targets = append(list.Targets, servers("new").Targets...)
		list.Targets[1].Boot = eng.clock.Now() + offset
		eng.UpdateList(list)
		if zone := eng.Stats().Zones[""]; zone.Ready != 2 || zone.WarmedUp != 1 {
			t.Errorf("listed as started %v from now: %d servers, %d warmed up, want 2 and 1", offset, zone.Ready, zone.WarmedUp)
		}
		listed := eng.servers["new"]
		eng.UpdateList(list)
		if eng.Stats(); eng.servers["new"] != listed {
			t.Errorf("listed once more: %v, was %v", eng.servers["new"], listed)
		}
	}
}
