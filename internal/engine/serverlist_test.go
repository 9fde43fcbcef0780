package engine

import (
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// A full snapshot that names what is known already is not passed to the balancer: it would draw its subset anew and
// open connections for nothing.
func TestUnchangedFullListChangesNothing(t *testing.T) {
	s := newScript()
	e := newEngine(t, s, servers("s1"))
	s.updates = 0
	terminating, moved := servers("s1"), servers("s1")
	terminating.Targets[0].State = balancer.Draining
	moved.Targets[0].Endpoint = "127.0.0.1:2"
	for i, c := range []struct {
		list discovery.List
		want int
	}{{servers("s1"), 0}, {terminating, 1}, {moved, 2}, {servers(), 3}} {
		if e.handleEvent(listUpdated{c.list}); s.updates != c.want {
			t.Errorf("list %d: %d updates, want %d", i, s.updates, c.want)
		}
	}
}

// A full snapshot that names one server less is an update, also where it names as many entries as are known because one of
// them was removed long ago.
func TestFullListWithoutServerIsAnUpdate(t *testing.T) {
	s := newScript()
	e := newEngine(t, s, servers("s1", "s2"))
	go e.Run(t.Context())
	same := servers("s1", "s2")
	less := servers("s1", "s3")
	less.Targets[1].State = balancer.Removed
	for _, c := range []struct {
		name  string
		list  discovery.List
		ready int
	}{{"the same", same, 2}, {"one less, and one that was removed", less, 1}} {
		if e.UpdateList(c.list); e.Status().Ready != c.ready {
			t.Errorf("%s: %d ready, want %d", c.name, e.Status().Ready, c.ready)
		}
	}
}

// A server that is listed anew is in slow start whatever the clock that wrote its start shows, and its start stays the same
// while it is listed with the same boot_ms: the same list again is no update, and connections stay open.
func TestNewlyListedServerIsInSlowStartUnderAnyClock(t *testing.T) {
	for _, off := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		s := newScript()
		set := settings()
		set.SlowStartWindow = 3 * time.Second
		o := options(s, set)
		o.Count = true
		e := newEngineWith(t, o)
		go e.Run(t.Context())
		l := servers("old")
		e.UpdateList(l)
		e.Stats() // the first list has been taken
		l.Targets = append(l.Targets, servers("new").Targets...)
		l.Targets[1].Boot = e.clock.Now() + off
		e.UpdateList(l)
		if z := e.Stats().Zones[""]; z.Ready != 2 || z.WarmedUp != 1 {
			t.Errorf("listed as started %v from now: %d servers, %d warmed up, want 2 and 1", off, z.Ready, z.WarmedUp)
		}
		is := e.servers["new"]
		e.UpdateList(l)
		if e.Stats(); e.servers["new"] != is {
			t.Errorf("listed once more: %v, was %v", e.servers["new"], is)
		}
	}
}
