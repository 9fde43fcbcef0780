package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// ruleChecker follows the events given to one Balancer and its actions, and notes every broken rule.
// It shares no code with the module.
type ruleChecker struct {
	set    Settings
	slack  time.Duration
	state  map[string]ServerState
	cells  map[string]int
	zones  map[string]string
	reqs   map[string]*requestTrace
	broken []string
}

type requestTrace struct {
	name     string
	under    []Class // its class as taken, and as it was reconfigured since
	deadline time.Duration
	ended    bool
	attempts []*attemptTrace
}

type attemptTrace struct {
	server string
	at     time.Duration
	over   bool
	ending Result
}

func newRuleChecker(set Settings) *ruleChecker {
	return &ruleChecker{set: set, slack: 20 * msec, state: map[string]ServerState{}, cells: map[string]int{},
		zones: map[string]string{}, reqs: map[string]*requestTrace{}}
}

// killed forgets what a killed copy held: it is the clients' to ask again.
func (c *ruleChecker) killed() {
	c.reqs, c.state = map[string]*requestTrace{}, map[string]ServerState{}
}

func (c *ruleChecker) fault(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// class is what a class is now; one that is not known is unsafe.
func (c *ruleChecker) class(name string) Class {
	for _, k := range c.set.Classes {
		if k.Name == name {
			return k
		}
	}
	return Class{Effect: Unsafe}
}

// keyless says that a request was taken with no key: it is no keyed one, whatever its class is by now.
func (t *requestTrace) keyless() bool { return t.under[0].Effect != Keyed }

func (t *attemptTrace) mayHaveRun() bool {
	return !t.over || (t.ending != Overloaded && t.ending != Unreachable && t.ending != NotStarted)
}

func (c *ruleChecker) event(now time.Duration, e Event) {
	switch e := e.(type) {
	case ServerList:
		if e.Full {
			for id := range c.state {
				c.state[id] = Removed
			}
		}
		for _, s := range e.Servers {
			c.state[s.ID], c.cells[s.ID], c.zones[s.ID] = s.State, s.Cell, s.Zone
		}
	case Request:
		if c.reqs[e.ID] == nil {
			c.reqs[e.ID] = &requestTrace{name: e.Class, under: []Class{c.class(e.Class)}, deadline: e.Deadline}
		}
	case Reconfigure:
		if validate(e.Settings) == nil {
			c.set = e.Settings
			for _, r := range c.reqs {
				r.under = append(r.under, c.class(r.name))
			}
		}
	case Outcome:
		if r := c.reqs[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			t := r.attempts[e.Attempt]
			if !t.over {
				t.over, t.ending = true, e.Result
				r.ended = r.ended || e.Ended
			}
		}
	case ClientDisconnected:
		if r := c.reqs[e.ID]; r != nil {
			r.ended = true
		}
	}
	for id, r := range c.reqs {
		if !r.ended && now > r.deadline+c.slack {
			c.fault("rule 1: %s has no answer %v after its deadline", id, now-r.deadline)
			r.ended = true
		}
	}
}

func (c *ruleChecker) actions(now time.Duration, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			c.send(now, a)
		case Reject:
			if r := c.final(a.ID); r != nil {
				for _, t := range r.attempts {
					for _, class := range r.under {
						loose := class.Effect == Safe || class.Effect == Keyed && class.Scope == ScopeAll && !r.keyless()
						if t.mayHaveRun() && !loose {
							c.fault("rule 2: %s refused though it may have run", a.ID)
						}
					}
				}
			}
		case Fail:
			c.final(a.ID)
		case Cancel:
			if r := c.reqs[a.ID]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
				c.fault("cancel of an attempt never made")
			}
			if !c.set.MayCancel {
				c.fault("cancel is not allowed")
			}
		}
	}
}

func (c *ruleChecker) final(id string) *requestTrace {
	r := c.reqs[id]
	if r == nil || r.ended {
		c.fault("rule 1: final answer for %s, which is over or unknown", id)
		return nil
	}
	r.ended = true
	return r
}

func (c *ruleChecker) send(now time.Duration, a Send) {
	r := c.reqs[a.ID]
	if r == nil || r.ended {
		c.fault("rule 1: sent %s, which is over or unknown", a.ID)
		return
	}
	state, known := c.state[a.Server]
	if !known || state != Ready {
		c.fault("rule 3: sent to %s, which drains, is gone or unknown", a.Server)
	}
	if len(r.attempts) >= c.set.MaxAttempts {
		c.fault("more than %d attempts", c.set.MaxAttempts)
	}
	for _, t := range r.attempts {
		if !t.over {
			c.fault("second copy of %s", a.ID)
		}
		if !t.mayHaveRun() {
			continue
		}
		for _, class := range r.under {
			switch class.Effect {
			case Unsafe:
				c.fault("rule 2: unsafe %s sent again", a.ID)
			case Keyed:
				if now > t.at+class.Window {
					c.fault("rule 2: %s sent again outside its window", a.ID)
				}
				if a.NotAfter > t.at+class.Window {
					c.fault("rule 2: %s may begin again outside its window", a.ID)
				}
				if class.Scope != ScopeAll && c.zones[t.server] != c.zones[a.Server] ||
					class.Scope == ScopeCell && c.cells[t.server] != c.cells[a.Server] {
					c.fault("rule 2: %s sent again outside its scope", a.ID)
				}
				if r.keyless() {
					c.fault("rule 2: %s sent again, with no key that its servers could know it by", a.ID)
				}
			}
		}
	}
	r.attempts = append(r.attempts, &attemptTrace{server: a.Server, at: now})
}

// unsafeSettings are the test's settings with the safe class unsafe.
func unsafeSettings() Settings {
	set := testSettings()
	set.Classes[0].Effect = Unsafe
	return set
}

// keyedSettings are the test's settings with the safe class keyed.
func keyedSettings() Settings {
	set := testSettings()
	set.Classes[0].Effect, set.Classes[0].Window = Keyed, time.Hour
	return set
}

// TestRuleCheckerReportsEachBreach gives the checker a trace that breaks each rule.
func TestRuleCheckerReportsEachBreach(t *testing.T) {
	list := ServerList{Full: true, Servers: []Server{{ID: "a", Cell: 0}, {ID: "b", Cell: 1}, {ID: "c", State: Draining}}}
	req := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * msec} }
	timedOut := Outcome{ID: "r", Attempt: 0, Result: TimedOut}
	for _, tc := range []struct {
		want  string
		steps []any
	}{
		{"rule 1: r has no answer", []any{list, req("get"), 2 * time.Second, Timer{}}},
		{"rule 1: final answer", []any{list, req("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"rule 1: sent r, which is over", []any{list, req("get"), Fail{ID: "r"}, Send{ID: "r", Server: "a"}}},
		{"rule 2: unsafe", []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Send{ID: "r", Server: "a"}}},
		{"rule 2: r refused", []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Reject{ID: "r"}}},
		{"outside its window", []any{list, req("post"), Send{ID: "r", Server: "a"}, 950 * msec, timedOut,
			Send{ID: "r", Server: "a"}}},
		{"begin again outside its window", []any{list, req("post"), Send{ID: "r", Server: "a"}, 100 * msec, timedOut,
			Send{ID: "r", Server: "a", NotAfter: 950 * msec}}},
		{"outside its scope", []any{list, req("post"), Send{ID: "r", Server: "a"}, timedOut, Send{ID: "r", Server: "b"}}},
		{"rule 3", []any{list, req("get"), Send{ID: "r", Server: "c"}}},
		{"rule 2: unsafe", []any{list, req("get"), Send{ID: "r", Server: "a"}, Reconfigure{unsafeSettings()}, timedOut,
			Send{ID: "r", Server: "a"}}},
		{"no key", []any{list, req("get"), Send{ID: "r", Server: "a"}, Reconfigure{keyedSettings()}, timedOut,
			Send{ID: "r", Server: "a"}}},
		{"never made", []any{list, req("get"), Cancel{ID: "r", Attempt: 0}}},
	} {
		c := newRuleChecker(testSettings())
		var now time.Duration
		for _, s := range tc.steps {
			switch s := s.(type) {
			case time.Duration:
				now = s
			case Event:
				c.event(now, s)
			case Action:
				c.actions(now, []Action{s})
			}
		}
		if !strings.Contains(strings.Join(c.broken, "\n"), tc.want) {
			t.Errorf("want %q among %q", tc.want, c.broken)
		}
	}
}

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
	var asked []Poll
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
					asked = append(asked, Poll{ID: a.ID, Servers: []string{s}})
				}
			}
		}
	}
	give(ServerList{Full: true, Cached: true, Servers: fleet})
	ended := map[string]bool{}
	for i := range steps {
		now += set.Tick
		if rng.IntN(700) == 0 { // a kill: everything held is void, and a fresh copy takes over
			out, timers, asked = nil, nil, nil
			if b, err = New(current, seed+uint64(i)); err != nil {
				t.Fatal(err)
			}
			if c != nil {
				c.killed()
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
		for k := 0; k < len(asked); k++ { // answers to an Ask come in any order, late, twice or not at all
			if rng.IntN(4) == 0 {
				a := asked[k]
				asked = append(asked[:k], asked[k+1:]...)
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
			t.Errorf("seed %d: %d requests, %d held and %d calls are left over", seed, len(b.requests),
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

const fallMultiple, fallFor = 3.0, 2 * time.Second // the budget of testSettings' site

// slowStartLoad has copies send at three quarters of what 6 servers can do, one of them fresh from second 1
// on. It tells how many requests the fresh one got, and the most that came in any fallFor against the
// budget of fallMultiple times what it can do then.
func slowStartLoad(set Settings, copies int, send func(copy int, now time.Duration, id string) string) (int, float64) {
	const capacity = 50.0 // a warm server's requests a second
	rng := rand.New(rand.NewPCG(3, 3))
	var slowStarting []time.Duration
	for i := range int(0.75 * 6 * capacity * 12) {
		now := time.Second + time.Duration(float64(i)/(0.75*6*capacity)*float64(time.Second))
		if send(rng.IntN(copies), now, fmt.Sprint(i)) == "s02" {
			slowStarting = append(slowStarting, now)
		}
	}
	worst := 0.0
	for i := range slowStarting {
		n := 0
		for _, at := range slowStarting[i:] {
			if at < slowStarting[i]+fallFor {
				n++
			}
		}
		grown := float64(slowStarting[i]-time.Second) / float64(set.SlowStartWindow)
		budget := fallMultiple * capacity * min(1, set.SlowStartMinimum+(1-set.SlowStartMinimum)*grown) * fallFor.Seconds()
		worst = max(worst, float64(n)/budget)
	}
	return len(slowStarting), worst
}

func TestServerInSlowStartIsNotOverloaded(t *testing.T) {
	set := testSettings()
	for _, copies := range []int{12, 200} {
		set.Tier, set.Balancers = 1, copies
		list := servers(6)
		list[2].Boot = time.Second
		var bs []*Balancer
		for i := range copies {
			set.Index = i
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, ServerList{Full: true, Servers: list})
			bs = append(bs, b)
		}
		requests, worst := slowStartLoad(set, copies, func(copy int, now time.Duration, id string) string {
			s := sends(bs[copy].Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))[0]
			bs[copy].Handle(now+20*msec, Outcome{ID: id, Server: s.Server, Result: Success, Ended: true})
			return s.Server
		})
		if requests < 20 || worst > 1 {
			t.Errorf("%d copies: %d calls to the cold server, %.2f of its budget", copies, requests, worst)
		}
	}
	// The check can fail: a policy that sends everything to the fresh server breaks the budget.
	_, worst := slowStartLoad(set, 12, func(int, time.Duration, string) string { return "s02" })
	if worst <= 1 {
		t.Errorf("all calls to the cold server are %.2f of its budget", worst)
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
