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
			set.Tick = 10 * msec // coarse: half of the checker's slack after a deadline
		}
		checker := newRuleChecker(set)
		log, b := runRandomEvents(t, set, seed, 6000, checker)
		for i, s := range checker.violations {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, s)
			}
		}
		if len(log) < 1000 {
			t.Errorf("seed %d: only %d actions, want at least 1000", seed, len(log))
		}
		if len(b.requests) > 0 || len(b.delayed) > 0 || b.inFlight != 0 {
			t.Errorf("seed %d: %d requests, %d delayed and %d in flight are left over", seed, len(b.requests),
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
	other, _ := New(testSettings(), 99) // another Balancer in the process must have no effect
	other.Handle(0, ServerList{Full: true, Servers: servers(3)})
	b, _ := runRandomEvents(t, testSettings(), 5, 3000, nil)
	if len(a) < 500 {
		t.Fatalf("only %d actions, want at least 500", len(a))
	}
	if strings.Join(a, "\n") != strings.Join(b, "\n") {
		t.Fatal("the same events and seed returned different actions")
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
		for i, op := range data {
			id := fmt.Sprint("r", op%5)
			switch op % 7 {
			case 0:
				fleet[int(op/7)%4].State = ServerState(op % 3)
				b.Handle(now, ServerList{Full: op%2 == 0, Servers: fleet[:int(op)%5]})
			case 1, 2:
				b.Handle(now, Request{ID: id, Class: set.Classes[op%3].Name, Deadline: now + time.Duration(op)*msec})
			case 3:
				b.Handle(now, Outcome{ID: id, Attempt: int(op%4) - 1, Result: Result(op % 9), Ended: op%2 == 0})
			case 4:
				b.Handle(now, Timer{Token: "r:" + id})
			case 5:
				b.Handle(now, ClientDisconnected{ID: id})
			case 6:
				b.Handle(now, Started{ID: id, Attempt: i % 3})
				if op%3 == 0 {
					set.Classes[op%2].Effect = Effect(op % 4 % 3)
					b.Handle(now, Reconfigure{set})
				}
			}
			now += time.Duration(op) * msec / 4
		}
	})
}
