package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// run drives a Balancer with random legal events and odd ones, and returns all its actions.
func run(t testing.TB, set Settings, seed uint64, steps int, c *ruleChecker) (log []string, b *Balancer) {
	rng := rand.New(rand.NewPCG(seed, 1))
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	type pending struct {
		id      string
		n       int
		server  string
		due     time.Duration
		timeout bool
	}
	var out []pending
	var timers []SetTimer
	var polled []Poll
	var ids []string
	fleet := servers(8)
	now := time.Duration(0)
	current := set
	give := func(e Event) {
		if r, ok := e.(Reconfigure); ok && validate(r.Settings) == nil {
			current = r.Settings
		}
		if c != nil {
			c.event(now, e)
		}
		acts := b.Handle(now, e)
		if c != nil {
			c.actions(now, acts)
		}
		for _, a := range acts {
			log = append(log, fmt.Sprintf("%v %T%v", now, a, a))
			switch a := a.(type) {
			case Send:
				n := 0
				for _, p := range out {
					if p.id == a.ID && p.n >= n {
						n = p.n + 1
					}
				}
				if r := b.requests[a.ID]; r != nil {
					n = len(r.attempts) - 1
				}
				took := time.Duration(rng.ExpFloat64() * float64(120*msec))
				p := pending{a.ID, n, a.Server, now + took, false}
				if rng.IntN(8) == 0 || took > a.Timeout {
					p.due, p.timeout = now+a.Timeout, true
				}
				out = append(out, p)
			case SetTimer:
				timers = append(timers, a)
			case Poll:
				for _, s := range a.Servers {
					polled = append(polled, Poll{ID: a.ID, Servers: []string{s}})
				}
			}
		}
	}
	give(ServerList{Full: true, Cached: true, Servers: fleet})
	ended := map[string]bool{}
	for i := range steps {
		now += set.Tick
		if rng.IntN(700) == 0 { // a kill: everything held is void, and a fresh node takes over
			out, timers, polled = nil, nil, nil
			if b, err = New(current, seed+uint64(i)); err != nil {
				t.Fatal(err)
			}
			if c != nil {
				c.restart()
			}
			var listed []Server
			for _, s := range fleet {
				if s.State != Removed {
					listed = append(listed, s)
				}
			}
			give(ServerList{Full: true, Cached: true, Servers: listed})
		}
		for k := 0; k < len(timers); k++ {
			if w := timers[k]; w.At <= now {
				timers = append(timers[:k], timers[k+1:]...)
				k--
				give(Timer{Token: w.Token})
				if rng.IntN(20) == 0 {
					give(Timer{Token: w.Token})
				}
			}
		}
		for k := 0; k < len(out); k++ {
			p := out[k]
			if p.due > now {
				continue
			}
			out = append(out[:k], out[k+1:]...)
			k--
			e := Outcome{ID: p.id, Attempt: p.n, Server: p.server, Result: Success}
			switch {
			case p.timeout:
				e.Result = TimedOut
			case rng.IntN(3) == 0:
				e.Result = Result(1 + rng.IntN(int(NotStarted)))
			}
			if r := b.requests[p.id]; e.Result == Success || r == nil || r.answered {
				ended[p.id] = true
			}
			e.Ended = ended[p.id]
			give(e)
			if rng.IntN(10) == 0 {
				give(e)
			}
			if rng.IntN(30) == 0 {
				give(ClientDisconnected{ID: p.id})
				ended[p.id] = true
			}
		}
		if i < steps*3/4 && rng.IntN(3) == 0 {
			id := fmt.Sprint("r", i)
			class := []string{"get", "post", "pay", "odd"}[rng.IntN(4)]
			ids = append(ids, id)
			give(Request{ID: id, Class: class, Deadline: now + time.Duration(1+rng.IntN(1500))*msec})
		}
		if rng.IntN(60) == 0 {
			s := &fleet[rng.IntN(len(fleet))]
			s.State = ServerState(rng.IntN(3))
			if rng.IntN(2) == 0 {
				s.State, s.Boot = Ready, now
			}
			switch rng.IntN(4) {
			case 0:
				var l []Server
				for _, s := range fleet {
					if s.State != Removed {
						l = append(l, s)
					}
				}
				give(ServerList{Full: true, Servers: l})
			case 1:
				give(ListFailed{})
				give(ServerList{Servers: []Server{*s}})
			default:
				give(ServerList{Servers: []Server{*s}})
			}
		}
		for k := 0; k < len(polled); k++ { // answers to a Poll come in any order, late, twice or not at all
			if rng.IntN(4) == 0 {
				a := polled[k]
				polled = append(polled[:k], polled[k+1:]...)
				if rng.IntN(5) > 0 {
					e := LoadUpdate{ID: a.ID, Loads: []ServerLoad{{Server: a.Servers[0], Busy: float64(rng.IntN(12) - 1), Age: time.Duration(rng.IntN(300)) * msec}}}
					give(e)
					if rng.IntN(10) == 0 {
						give(e)
					}
				}
			}
		}
		if rng.IntN(150) == 0 {
			give(Reconfigure{changedSettings(rng, set)})
		}
		if rng.IntN(40) == 0 {
			give(LoadUpdate{ID: "nobody", Loads: []ServerLoad{{Server: "nobody", Busy: 1}}})
			give(Outcome{ID: "nobody", Attempt: 3, Result: Success})
			give(Timer{Token: "r:nobody"})
			give(Timer{Token: "x"})
			give(ClientDisconnected{ID: "nobody"})
		}
		if rng.IntN(50) == 0 && len(ids) > 0 {
			id := ids[rng.IntN(len(ids))]
			give(ClientDisconnected{ID: id})
			ended[id] = true
		}
	}
	return log, b
}

// changedSettings are other settings for the same place: classes of other effects, one more or one fewer, other bounds.
// Now and then they are none that a Balancer could have.
func changedSettings(rng *rand.Rand, set Settings) Settings {
	next := set
	next.Classes = append([]Class(nil), set.Classes...)
	for i := range next.Classes {
		c := &next.Classes[i]
		if rng.IntN(3) == 0 {
			c.Effect, c.Scope, c.Window = Effect(rng.IntN(3)), Scope(rng.IntN(3)), time.Duration(1+rng.IntN(1500))*msec
		}
	}
	switch rng.IntN(5) {
	case 0:
		next.Classes = next.Classes[:1+rng.IntN(len(next.Classes))]
	case 1:
		next.Classes = append(next.Classes, Class{Name: "odd", Effect: Keyed, Window: time.Second, LatencyObjective: 400 * msec, Deadline: time.Second})
	case 2:
		next.MaxAttempts, next.Index, next.Balancers, next.PollChoices = 1+rng.IntN(5), rng.IntN(3), 3, rng.IntN(6)
	case 3:
		next.Classes = nil
	}
	return next
}

func TestProtocolRulesHoldOnRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		set := testSettings()
		set.Tier = int(seed % 2)
		set.PollDiscovery = seed%4 == 0
		if seed%3 == 0 {
			set.Tick = 10 * msec // coarse: half of the slack after a deadline
		}
		c := newRuleChecker(set)
		log, b := run(t, set, seed, 6000, c)
		for i, s := range c.broken {
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
	a, _ := run(t, testSettings(), 5, 3000, nil)
	other, _ := New(testSettings(), 99) // a neighbour in the process changes nothing
	other.Handle(0, ServerList{Full: true, Servers: servers(3)})
	b, _ := run(t, testSettings(), 5, 3000, nil)
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
