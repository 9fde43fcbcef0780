package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestProtocolRulesHoldOnRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		set := testSettings()
		set.Tier = int(seed % 2)
		set.PollDiscovery = seed%4 == 0
		if seed%3 == 0 {
			set.Tick = 10 * msec // coarse: half of the slack after a deadline
		}
		c := newRuleChecker(set)
		log, b := runRandomEvents(t, set, seed, 6000, c)
		for i, s := range c.violations {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, s)
			}
		}
		if len(log) < 1000 {
			t.Errorf("seed %d: only %d actions", seed, len(log))
		}
		if len(b.requests) > 0 || len(b.delayed) > 0 || b.inFlight != 0 {
			t.Errorf("seed %d: %d requests, %d delayed and %d requests are left over", seed, len(b.requests),
				len(b.delayed), b.inFlight)
		}
		for id, s := range b.servers {
			if !s.listed || s.inFlight != 0 || len(s.open) != 0 {
				t.Errorf("seed %d: server %s is left over", seed, id)
			}
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, _ := runRandomEvents(t, testSettings(), 5, 3000, nil)
	other, _ := New(testSettings(), 99) // a neighbour in the process changes nothing
	other.Handle(0, ServerList{Full: true, Servers: servers(3)})
	b, _ := runRandomEvents(t, testSettings(), 5, 3000, nil)
	if len(a) < 500 {
		t.Fatalf("only %d actions", len(a))
	}
	if strings.Join(a, "\n") != strings.Join(b, "\n") {
		t.Fatal("the same events and seed gave other actions")
	}
}

func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 1, 1, 0, 2, 2, 2, 250, 3, 17, 5, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		set := testSettings()
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, fleet := time.Duration(0), servers(4)
		for i, x := range data {
			id := fmt.Sprint("r", x%5)
			switch x % 7 {
			case 0:
				fleet[int(x/7)%4].State = ServerState(x % 3)
				b.Handle(now, ServerList{Full: x%2 == 0, Servers: fleet[:int(x)%5]})
			case 1, 2:
				b.Handle(now, Request{ID: id, Class: set.Classes[x%3].Name, Deadline: now + time.Duration(x)*msec})
			case 3:
				b.Handle(now, Outcome{ID: id, Attempt: int(x%4) - 1, Result: Result(x % 9), Ended: x%2 == 0})
			case 4:
				b.Handle(now, Timer{Token: "r:" + id})
			case 5:
				b.Handle(now, ClientDisconnected{ID: id})
			case 6:
				b.Handle(now, Started{ID: id, Attempt: i % 3})
				if x%3 == 0 {
					set.Classes[x%2].Effect = Effect(x % 4 % 3)
					b.Handle(now, Reconfigure{set})
				}
			}
			now += time.Duration(x) * msec / 4
		}
	})
}
