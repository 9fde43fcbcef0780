package discovery

import (
	"fmt"
	"math"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
)

// bootEpoch is the start of the tests by the clock that writes boot_ms.
const bootEpoch = 1_700_000_000 * time.Second

// clockOffsets are offsets of the node's clock from the clock that writes boot_ms.
var clockOffsets = []struct {
	name string
	off  time.Duration
}{
	{"right", 0}, {"an hour ahead", time.Hour}, {"an hour behind", -time.Hour},
	{"5 s ahead", 5 * time.Second}, {"5 s behind", -5 * time.Second},
}

// readyTarget returns a ready server that started at a time after bootEpoch by the clock that writes boot_ms; negative: it
// started long ago (boot_ms 0).
func readyTarget(id string, started time.Duration) Target {
	t := Target{Server: balancer.Server{ID: id}}
	if started >= 0 {
		t.Boot = bootEpoch + started
	}
	return t
}

const slowStart = 3 * time.Second

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

// sharePerSecond simulates five seconds of requests and returns the share of each second's requests that a server got.
func sharePerSecond(b *balancer.Balancer, now time.Duration, server string) (out [5]float64) {
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

func serverListOf(l List) balancer.ServerList {
	e := balancer.ServerList{Full: l.Full}
	for _, t := range l.Targets {
		e.Servers = append(e.Servers, t.Server)
	}
	return e
}

// The share of a newly listed server does not depend on the offset of the node's clock: it is small during slow start and
// half of the requests afterwards.
func TestSlowStartOfNewServerIsIndependentOfNodeClock(t *testing.T) {
	var right [5]float64
	for _, c := range clockOffsets {
		b, starts := newBalancer(t), StartTimes{}
		now := bootEpoch + 2*time.Hour + c.off
		b.Handle(now, serverListOf(starts.Localize(List{Full: true, Targets: []Target{readyTarget("old", -1)}}, false, now, slowStart)))
		now += time.Minute
		b.Handle(now, serverListOf(starts.Localize(List{Targets: []Target{readyTarget("new", 2*time.Hour+time.Minute)}}, false, now, slowStart)))
		got := sharePerSecond(b, now, "new")
		t.Logf("%s: %.2f", c.name, got)
		if c.off == 0 {
			right = got
		}
		for i, part := range got {
			if math.Abs(part-right[i]) > 1e-9 || i < 2 && part > 0.3 || i >= 3 && part < 0.45 {
				t.Errorf("%s: share %.2f in second %d, want %.2f as without an offset, up to 0.3 in seconds 0 and 1 and from 0.45 in seconds 3 and 4", c.name, part, i, right[i])
			}
		}
	}
}

// The first list of a new process has servers of any age. Whatever the node's clock shows, a server that has just started
// is in slow start and one that has been running for a while is not. The same holds if a cached list of an earlier
// process, written under another clock, comes first.
func TestStartTimesOfFirstList(t *testing.T) {
	const listedAt = 2 * time.Hour // of the clock that writes boot_ms
	list := List{Full: true, Targets: []Target{readyTarget("long ago", -1), readyTarget("an hour", listedAt-time.Hour), readyTarget("a minute", listedAt-time.Minute),
		readyTarget("two seconds", listedAt-2*time.Second), readyTarget("now", listedAt)}}
	for _, c := range clockOffsets {
		for _, cached := range []List{
			{Full: true},
			{Full: true, Targets: []Target{readyTarget("long ago", -1), readyTarget("an hour", listedAt-time.Hour)}},
			{Full: true, Targets: []Target{readyTarget("now", listedAt-time.Hour), readyTarget("a minute", listedAt-time.Minute)}},
			list,
		} {
			starts, now := StartTimes{}, bootEpoch+listedAt+c.off
			starts.Localize(cached, true, now, slowStart)
			for _, e := range starts.Localize(list, false, now, slowStart).Targets {
				age := now - e.Boot
				slowStarting := e.ID == "now" || e.ID == "two seconds"
				if e.Boot == 0 {
					age = slowStart
				}
				// By the cached list alone, the newest of its servers may have started just now.
				exempt := len(cached.Targets) == 2 && (e.ID == "an hour" || e.ID == "a minute")
				if (age < slowStart) != slowStarting && !exempt || age < 0 {
					t.Errorf("%s, %d cached: age of %q is %v", c.name, len(cached.Targets), e.ID, age)
				}
				if e.ID == "two seconds" && age > 2*time.Second {
					t.Errorf("%s, %d cached: age of %q is %v, want at most 2s", c.name, len(cached.Targets), e.ID, age)
				}
			}
		}
	}
}

// Servers that were all started together long ago are past slow start in a new process whose clock is right. If the clock is
// behind the starts, they are in slow start, for its normal duration at most.
func TestStartTimesOfFleetStartedTogether(t *testing.T) {
	list := List{Full: true, Targets: []Target{readyTarget("a", 0), readyTarget("b", time.Second), readyTarget("c", 2*time.Second)}}
	for _, c := range []struct {
		name      string
		at        time.Duration
		slowStart bool
	}{{"ten minutes later", 10 * time.Minute, false}, {"by a clock that is behind", -50 * time.Minute, true}} {
		var starts StartTimes
		now := bootEpoch + c.at
		for _, e := range starts.Localize(list, false, now, slowStart).Targets {
			age := now - e.Boot
			if (age < slowStart) != c.slowStart || age < 0 {
				t.Errorf("%s: age of %q is %v", c.name, e.ID, age)
			}
		}
	}
}

// A server keeps its start time while its boot_ms stays the same, even if it is not listed for a while, and gets a new one
// with each different boot_ms, whether that is before the last one, in the future, or received at the same time.
func TestOnlyChangedBootTimeIsARestart(t *testing.T) {
	var starts StartTimes
	now := bootEpoch + time.Hour
	localStart := func(full bool, list ...Target) time.Duration {
		out := starts.Localize(List{Full: full, Targets: list}, false, now, slowStart)
		for _, e := range out.Targets {
			if e.ID == "s" {
				return e.Boot
			}
		}
		return 0
	}
	first := localStart(true, readyTarget("s", 0), readyTarget("other", time.Hour))
	now += time.Minute
	localStart(true, readyTarget("other", time.Hour))
	now += time.Minute
	if got := localStart(true, readyTarget("s", 0), readyTarget("other", time.Hour)); got != first || now-got < time.Hour {
		t.Errorf("listed again with the same boot_ms: start time %v, want %v as before", got, first)
	}
	last := first
	for _, boot := range []time.Duration{time.Hour, time.Minute, 5 * time.Hour, 2 * time.Minute} {
		got := localStart(false, readyTarget("s", boot))
		if got <= last || got > now+time.Millisecond || now-got > 0 {
			t.Errorf("boot at %v: started at %v, now is %v", boot, got, now)
		}
		last = got
	}
	if got := localStart(false, readyTarget("s", -1)); got != 0 {
		t.Errorf("listed as started long ago: start time %v, want 0", got)
	}
}

// Servers that are no longer listed are evicted.
func TestUnlistedServersAreEvicted(t *testing.T) {
	var starts StartTimes
	for n := range 1000 {
		starts.Localize(List{Full: true, Targets: []Target{readyTarget(fmt.Sprint(n), 0)}}, false, bootEpoch, slowStart)
	}
	if kept := len(starts.starts); kept > 100 {
		t.Errorf("%d entries are kept for one listed server, want at most 100", kept)
	}
}
