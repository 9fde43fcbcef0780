package discovery

import (
	"fmt"
	"math"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
)

// Clocks of the tests: what the node's clock shows, against the one that writes boot_ms, whose time begins at epoch.
const epoch = 1_700_000_000 * time.Second

var clockSteps = []struct {
	name string
	off  time.Duration
}{

	{"right", 0}, {"an hour ahead", time.Hour}, {"an hour behind", -time.Hour},
	{"5 s ahead", 5 * time.Second}, {"5 s behind", -5 * time.Second},
}

// entry is a ready server that started at a time of the clock that writes boot_ms; negative: long ago, as 0 says.
func entry(id string, started time.Duration) Target {
	t := Target{Server: balancer.Server{ID: id}}
	if started >= 0 {
		t.Boot = epoch + started
	}
	return t
}

const slowStart = 3 * time.Second

// newBalancer decides by the clock of a node.
func newBalancer(t *testing.T) *balancer.Balancer {
	t.Helper()
	b, err := balancer.New(balancer.Settings{Balancers: 1, MaxAttempts: 2, Tick: time.Millisecond, SlowStartMinimum: 0.1, SlowStartWindow: slowStart,
		MaxRetryAfter: time.Second, Classes: []balancer.Class{{Name: "view", Effect: balancer.Safe, LatencyObjective: 100 * time.Millisecond,
			Deadline: time.Second, PriorityWeight: 1, LateShare: 0.5}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// shares plays five seconds of requests, and tells the part of each second's that a server got.
func shares(b *balancer.Balancer, now time.Duration, server string) (out [5]float64) {
	const each, took = 10 * time.Millisecond, 8 * time.Millisecond
	const perSecond = int(time.Second / each)
	for n := range 5 * perSecond {
		id := fmt.Sprint(n)
		for _, a := range b.Handle(now, balancer.Request{ID: id, Class: "view", Deadline: now + time.Second}) {
			s, ok := a.(balancer.Send)
			if !ok {
				continue
			}
			if s.Server == server {
				out[n/perSecond] += 1 / float64(perSecond)
			}
			b.Handle(now+took, balancer.Outcome{ID: id, Server: s.Server, Result: balancer.Success, Latency: took, Ended: true})
		}
		now += each
	}
	return out
}

func listOf(l List) balancer.ServerList {
	e := balancer.ServerList{Full: l.Full}
	for _, t := range l.Targets {
		e.Servers = append(e.Servers, t.Server)
	}
	return e
}

// A server that is listed anew gets what it gets with right clocks, whatever the node's clock shows: little for as long as
// slow start takes, and its half from then on.
func TestSlowStartOfNewServerIsTheSameUnderAnyClock(t *testing.T) {
	var right [5]float64
	for _, c := range clockSteps {
		b, starts := newBalancer(t), Starts{}
		now := epoch + 2*time.Hour + c.off
		b.Handle(now, listOf(starts.Local(List{Full: true, Targets: []Target{entry("old", -1)}}, false, now, slowStart)))
		now += time.Minute
		b.Handle(now, listOf(starts.Local(List{Targets: []Target{entry("new", 2*time.Hour+time.Minute)}}, false, now, slowStart)))
		got := shares(b, now, "new")
		t.Logf("%s: %.2f", c.name, got)
		if c.off == 0 {
			right = got
		}
		for i, part := range got {
			if math.Abs(part-right[i]) > 1e-9 || i < 2 && part > 0.3 || i >= 3 && part < 0.45 {
				t.Errorf("%s: %.2f in second %d, want what right clocks give, %.2f", c.name, part, i, right[i])
			}
		}
	}
}

// The first list of a new process names servers of any age. One that has just started is in slow start whatever the node's
// clock shows, and such as have been running for a while are not. So too where the list is compared with an earlier
// process's, written under another clock.
func TestStartTimesOfFirstList(t *testing.T) {
	const listedAt = 2 * time.Hour // of the clock that writes boot_ms
	list := List{Full: true, Targets: []Target{entry("long ago", -1), entry("an hour", listedAt-time.Hour), entry("a minute", listedAt-time.Minute),
		entry("two seconds", listedAt-2*time.Second), entry("now", listedAt)}}
	for _, c := range clockSteps {
		for _, known := range []List{
			{Full: true},
			{Full: true, Targets: []Target{entry("long ago", -1), entry("an hour", listedAt-time.Hour)}},
			{Full: true, Targets: []Target{entry("now", listedAt-time.Hour), entry("a minute", listedAt-time.Minute)}},
			list,
		} {
			starts, now := Starts{}, epoch+listedAt+c.off
			starts.Local(known, true, now, slowStart)
			for _, e := range starts.Local(list, false, now, slowStart).Targets {
				age := now - e.Boot
				slowStarting := e.ID == "now" || e.ID == "two seconds"
				if e.Boot == 0 {
					age = slowStart
				}
				// Of an earlier process's servers the newest may have started just now, as far as that list tells.
				spared := len(known.Targets) == 2 && (e.ID == "an hour" || e.ID == "a minute")
				if (age < slowStart) != slowStarting && !spared || age < 0 {
					t.Errorf("%s, %d known: %q is taken for %v old", c.name, len(known.Targets), e.ID, age)
				}
				if e.ID == "two seconds" && age > 2*time.Second {
					t.Errorf("%s, %d known: %q is taken for %v old, more than it is", c.name, len(known.Targets), e.ID, age)
				}
			}
		}
	}
}

// Servers that were all started at once long ago are warmed up for a new process whose clock is right; where that lies behind the
// starts, slow start takes its time and no longer.
func TestStartTimesOfFleetStartedTogether(t *testing.T) {
	list := List{Full: true, Targets: []Target{entry("a", 0), entry("b", time.Second), entry("c", 2*time.Second)}}
	for _, c := range []struct {
		name      string
		at        time.Duration
		slowStart bool
	}{{"ten minutes later", 10 * time.Minute, false}, {"by a clock that lies behind", -50 * time.Minute, true}} {
		var starts Starts
		now := epoch + c.at
		for _, e := range starts.Local(list, false, now, slowStart).Targets {
			age := now - e.Boot
			if (age < slowStart) != c.slowStart || age < 0 {
				t.Errorf("%s: %q is taken for %v old", c.name, e.ID, age)
			}
		}
	}
}

// A server keeps its start while its boot_ms stays the same, also over a time in which it is not listed, and gets a new
// one with each other boot_ms, whether that lies before the last, ahead of now, or comes in the same moment.
func TestOnlyChangedBootTimeIsARestart(t *testing.T) {
	var starts Starts
	now := epoch + time.Hour
	tell := func(full bool, list ...Target) time.Duration {
		out := starts.Local(List{Full: full, Targets: list}, false, now, slowStart)
		for _, e := range out.Targets {
			if e.ID == "s" {
				return e.Boot
			}
		}
		return 0
	}
	first := tell(true, entry("s", 0), entry("other", time.Hour))
	now += time.Minute
	tell(true, entry("other", time.Hour))
	now += time.Minute
	if got := tell(true, entry("s", 0), entry("other", time.Hour)); got != first || now-got < time.Hour {
		t.Errorf("listed again as it was: started at %v, %v before", got, first)
	}
	last := first
	for _, boot := range []time.Duration{time.Hour, time.Minute, 5 * time.Hour, 2 * time.Minute} {
		got := tell(false, entry("s", boot))
		if got <= last || got > now+time.Millisecond || now-got > 0 {
			t.Errorf("boot at %v: started at %v, now is %v", boot, got, now)
		}
		last = got
	}
	if got := tell(false, entry("s", -1)); got != 0 {
		t.Errorf("listed as started long ago: %v", got)
	}
}

// Servers that are no longer listed are not kept for ever.
func TestStartsForgetUnlistedServers(t *testing.T) {
	var starts Starts
	for n := range 1000 {
		starts.Local(List{Full: true, Targets: []Target{entry(fmt.Sprint(n), 0)}}, false, epoch, slowStart)
	}
	if held := len(starts.starts); held > 100 {
		t.Errorf("%d starts are kept for one server", held)
	}
}
