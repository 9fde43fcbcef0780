package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const msec = time.Millisecond

// testSettings has one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "get", Effect: Safe, Scope: ScopeAll, LatencyObjective: 500 * msec, Deadline: 1500 * msec, PriorityWeight: 1},
			{Name: "post", Effect: Keyed, Scope: ScopeCell, Window: 900 * msec, LatencyObjective: 500 * msec,
				Deadline: 1500 * msec, PriorityWeight: 2},
			{Name: "pay", Effect: Unsafe, LatencyObjective: 500 * msec, Deadline: 1500 * msec, PriorityWeight: 3},
		},
		Balancers: 2, Tier: 0, TotalWeight: 0.6, ClassWeight: 0.3,
		MaxAttempts: 5, MayCancel: true, Tick: 2 * msec,
		PollInterval: 10 * time.Second, MaxRetryAfter: 2 * time.Second,
		SlowStartMinimum: 0.2, SlowStartWindow: 10 * time.Second,
	}
}

func newBalancer(t testing.TB, change func(*Settings)) *Balancer {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func servers(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return l
}

// sends returns the Send actions among acts.
func sends(acts []Action) []Send {
	var l []Send
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			l = append(l, s)
		}
	}
	return l
}

// What the page of the pick does not say: nothing is picked from nothing, and draws from a group are even.
func TestSelectionFollowsDesign(t *testing.T) {
	mk := func(requests ...int) []*server {
		var l []*server
		for i, c := range requests {
			l = append(l, &server{Server: Server{ID: fmt.Sprint(i, c)}, inFlight: c})
		}
		return l
	}
	b := newBalancer(t, nil)
	const n = 20000
	if b.pick(nil, nil) != nil {
		t.Error("picked from nothing")
	}
	left, count := mk(0, 0, 0, 0), map[*server]int{}
	for range n {
		count[b.pick(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("uniform draw gave a server %.3f", got)
		}
	}
}

func TestNodesShareServerOrder(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	l := servers(7)
	a.Handle(0, ServerList{Full: true, Servers: l})
	for i := len(l) - 1; i >= 0; i-- {
		b.Handle(0, ServerList{Servers: l[i : i+1]})
	}
	for i := range l {
		if a.ready[i].ID != b.ready[i].ID {
			t.Fatalf("order differs at %d: %s, %s", i, a.ready[i].ID, b.ready[i].ID)
		}
	}
}

// A host rounds times; a timer that comes a fraction early must still lead to an answer in time.
func TestDelayedRequestIsAnsweredDespiteEarlyTimers(t *testing.T) {
	b := newBalancer(t, nil)
	acts := b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1000 * msec})
	for now := time.Duration(0); now < 1000*msec; {
		var next SetTimer
		for _, a := range acts {
			switch a := a.(type) {
			case SetTimer:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v neither an answer nor a timer", now)
		}
		now = max(now+2*msec, next.At-500) // half a microsecond early
		acts = b.Handle(now, Timer{Token: next.Token})
	}
	t.Fatal("no final answer in time")
}

// settleWindow answers the single attempt of a request.
func settleWindow(b *Balancer, now time.Duration, id string, s Send, e Result) []Action {
	return b.Handle(now, Outcome{ID: id, Server: s.Server, Result: e, Ended: e == Success})
}

// traffic sends n requests one after another; fate decides how attempts at a server end. It
// returns how many first attempts each server got in the second half.
func traffic(b *Balancer, n int, class string, fate func(server string) Result) map[string]int {
	got := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				got[s.Server]++
			}
			for k := 0; k < 5; k++ {
				e := fate(s.Server)
				now += 10 * msec
				again := sends(b.Handle(now, Outcome{ID: id, Attempt: k, Server: s.Server, Result: e, Ended: e == Success}))
				if len(again) == 0 {
					break
				}
				s = again[0]
			}
		}
	}
	return got
}

// A server that errs at once drains its count; without ejection it would win every draw.
func TestFastErrorsAreEjected(t *testing.T) {
	for _, e := range []Result{Failure, Unreachable, ConnectionLost} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(10)})
		got := traffic(b, 600, "get", func(s string) Result {
			if s == "s03" {
				return e
			}
			return Success
		})
		if got["s03"] > 10 {
			t.Errorf("ending %d: the bad server got %d of 300 first tries", e, got["s03"])
		}
	}
}

// When every server fails alike the trouble is below them: nobody may be starved of requests.
func TestFailuresEverywhereEjectFew(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	got := traffic(b, 800, "get", func(string) Result { return Failure })
	if len(got) < 8 {
		t.Errorf("only %d of 10 servers are still used", len(got))
	}
}

// A machine gone quiet shows nothing but an old unanswered call while others answer.
func TestSilentServerIsSkipped(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	stuck, now := 0, time.Duration(0)
	for i := range 600 {
		id := fmt.Sprint(i)
		now += 20 * msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			if s.Server == "s03" {
				stuck++
			} else {
				settleWindow(b, now+10*msec, id, s, Success)
			}
		}
	}
	if stuck == 0 || stuck > 6 {
		t.Errorf("the silent server holds %d calls", stuck)
	}
}

// After an ejection the first trial must not be a request that cannot be repeated.
func TestProbeIsNeverUnsafeRequest(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	s := b.servers["s03"]
	s.ejectionLevel, s.ejectedUntil = 1, 0
	if got := traffic(b, 400, "pay", func(string) Result { return Success }); got["s03"] != 0 {
		t.Errorf("a server on trial got %d unsafe requests", got["s03"])
	}
	if got := traffic(b, 400, "get", func(string) Result { return Success }); got["s03"] == 0 {
		t.Error("the server was never tried again")
	}
}

// Below the first tier a server that holds several of our requests is passed over while others idle.
func TestOverloadedServerIsSkipped(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(6)})
	b.servers["s00"].inFlight, b.inFlight = 2, 2
	got := traffic(b, 300, "get", func(string) Result { return Success })
	if got["s00"] != 0 || len(got) != 5 {
		t.Errorf("draws: %v", got)
	}
}

// In overload the window must shrink, and never under its floor.
func TestWindowFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		took time.Duration
		grow bool
	}{{450 * msec, false}, {40 * msec, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		c := b.classes["get"] // known to answer in 40 ms when there is room
		c.samples, c.meanLatency, c.baseLatency = 100, float64(40*msec), float64(40*msec)
		b.window = 15 // less than its growth may reach with the ten requests that are out here
		start, now := b.window, time.Duration(0)
		var open []Send
		for i := range 3000 {
			now += 4 * msec
			open = append(open, sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
			for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+tc.took <= now {
				s := open[0]
				open = append(open[1:], sends(settleWindow(b, now, s.ID, s, Success))...)
			}
		}
		if grew := b.window > start; grew != tc.grow && tc.grow || b.window < windowFloor*b.serversPerNode() {
			t.Errorf("answers after %v: window %.1f from %.1f", tc.took, b.window, start)
		}
		if !tc.grow && b.window > windowFloor*b.serversPerNode()+1 {
			t.Errorf("late answers left the window at %.1f", b.window)
		}
	}
}

func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes is empty":  func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":   func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[1].Window": func(s *Settings) { s.Classes[1].Window = -1 },
		"Classes[2].Name":   func(s *Settings) { s.Classes[2].Name = "get" },
		"PriorityWeight":    func(s *Settings) { s.Classes[0].PriorityWeight = math.Inf(1) },
		"TotalWeight":       func(s *Settings) { s.TotalWeight = math.NaN() },
		"Index":             func(s *Settings) { s.Index = -1 },
		"SlowStartMinimum":  func(s *Settings) { s.SlowStartMinimum = 1.5 },
		"SlowStartWindow":   func(s *Settings) { s.SlowStartWindow = -1 },
		"LateShare":         func(s *Settings) { s.Classes[0].LateShare = 2 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// A marked repeat is mostly past its objective already: while there is little room, first attempts go first.
func TestFirstAttemptsPrecedeRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	b.window = 1
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "repeat", Class: "get", Deadline: time.Second, Retry: true})
	b.classes["get"].LateShare = 0.5
	b.inFlight = int(windowFloor*b.serversPerNode()) + 2
	b.window = float64(b.inFlight) // one comes free by the next answer
	next := sends(settleWindow(b, 10*msec, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent", next)
	}
}

// An unmarked repeat shows by a deadline shorter than other tries have.
func TestShortDeadlineMarksRetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 900*msec})
	if r := b.requests["first"]; r == nil || r.retry || r.arrived != 0 {
		t.Errorf("a first try was taken for a repeat: %+v", r)
	}
	// The repeat's objective of 500 ms ended 100 ms before it came: without a server it is still held.
	r := b.requests["again"]
	if r == nil || !r.retry || r.arrived != 5*time.Second-600*msec {
		t.Errorf("the repeat was not seen: %+v", r)
	}
}

// In overload every server is missed: the more is shed, the fewer may be ruled out for their health.
func TestSheddingEjectsFewerServers(t *testing.T) {
	for _, c := range []struct {
		shed float64
		want int
	}{{0, 4}, {0.5, 2}, {0.9, 0}} {
		b := newBalancer(t, nil)
		b.Handle(msec, ServerList{Full: true, Servers: servers(20)})
		for _, s := range b.ready[:10] {
			s.ejectedUntil = time.Minute
		}
		b.shedShare = c.shed
		out := 0
		b.excludeOutliers(b.allGroups, &request{class: b.classes["get"]}, true)
		for _, s := range b.ready {
			if s.excluded {
				out++
			}
		}
		if out != c.want {
			t.Errorf("shed %.1f: %d ruled out, want %d", c.shed, out, c.want)
		}
	}
}

// Connection tables filled by other copies refuse at once: a server that refused gets no more own
// requests than it had, however many others refuse too, and is tried again later.
func TestRejectingServerGetsNoMoreThanItHad(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Balancers = 1, 1 })
	b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
	now, id := msec, 0
	full := map[string]bool{"s00": true, "s02": true, "s03": true, "s05": true, "s06": true, "s08": true}
	refused := func(n int) (count int) {
		for range n {
			now += 5 * msec
			id++
			todo := sends(b.Handle(now, Request{ID: fmt.Sprint(id), Class: "get", Deadline: now + time.Second}))
			for try := 0; len(todo) > 0; try++ {
				end := Success
				if full[todo[0].Server] {
					end = Unreachable
					count++
				}
				now += 20 * msec
				todo = sends(b.Handle(now, Outcome{ID: fmt.Sprint(id), Attempt: try, Server: todo[0].Server,
					Result: end, Ended: end == Success}))
			}
		}
		return count
	}
	// Six of ten are full: without memory each request meets more than one refusal.
	if got := refused(24); got < 3 || got > 16 {
		t.Errorf("%d refusals of 24 requests: full servers are still drawn, or none was found", got)
	}
	now += time.Minute
	if refused(20) == 0 {
		t.Error("full servers were never tried again")
	}
}

// adjustedWindow is the window after many alike outcomes, each after share of what is aimed at, from 100.
func adjustedWindow(t *testing.T, shed float64, ending Result, after func(*class) float64) float64 {
	t.Helper()
	return adjustedWindowAmong(t, 100, shed, ending, after)
}

// adjustedWindowAmong is the same at one of so many nodes.
func adjustedWindowAmong(t *testing.T, copies int, shed float64, ending Result, after func(*class) float64) float64 {
	t.Helper()
	b := newBalancer(t, func(s *Settings) { s.Balancers = copies })
	b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
	b.window, b.meanInFlight = 100, 100
	r := &request{class: b.classes["get"], attempts: []*attempt{{sent: 0}}}
	for range 50 {
		b.shedShare = shed
		b.now, b.inFlight = time.Duration(after(r.class)), int(b.window)
		b.adjustWindow(r, Outcome{Result: ending})
	}
	return b.window
}

// While much is shed some servers choke for certain, so the window gets leaner.
func TestWindowIsSmallerWhileShedding(t *testing.T) {
	late := func(c *class) float64 { return 0.95 * c.targetLatency(0) }
	calm, shedding := adjustedWindow(t, 0, Success, late), adjustedWindow(t, 0.8, Success, late)
	if calm <= 100 || shedding >= 100 {
		t.Errorf("window from 100: nothing shed %.1f, want growth; much shed %.1f, want shrinking", calm, shedding)
	}
}

// Answers as quick as idle servers give them must open the window however much is shed, or shedding
// keeps itself up; spoilt answers and errors are no sign of a crowd.
func TestSheddingEndsWithOverload(t *testing.T) {
	idle := func(c *class) float64 { return 1.05 * c.baseLatency }
	if w := adjustedWindow(t, 1, Success, idle); w <= 100 {
		t.Errorf("idle servers' answers moved the window from 100 to %.1f", w)
	}
	for _, e := range []Result{ConnectionLost, Failure} {
		if w := adjustedWindow(t, 0, e, idle); w != 100 {
			t.Errorf("ending %v moved the window from 100 to %.1f", e, w)
		}
	}
}

// The tier below lets a request time out a little before this one would: its error, late as it is, tells of the crowd.
func TestLateErrorsShrinkTheWindow(t *testing.T) {
	if w := adjustedWindow(t, 0, Failure, func(c *class) float64 { return 0.9 * float64(c.LatencyObjective) }); w >= 60 {
		t.Errorf("fifty errors just before the aim moved the window from 100 to %.1f", w)
	}
}

// All nodes' windows together swing alike however many nodes there are: one of few moves its own with care, one of
// hundreds by up to a whole call an answer.
func TestWindowDynamicsAreIndependentOfFleetSize(t *testing.T) {
	moved := func(copies int) float64 {
		return 100 - adjustedWindowAmong(t, copies, 0, Success, func(c *class) float64 { return 1.5 * c.targetLatency(0) })
	}
	for copies, most := range map[int]float64{1: 5, 2: 7, 4: 10, 300: 26} {
		if got := moved(copies); got <= 0 || got > most {
			t.Errorf("at one of %d nodes fifty answers that came half too late moved the window by %.1f, want up to %.0f", copies, got, most)
		}
	}
	if one, four := moved(1), moved(4); math.Abs(four-2*one) > 0.2 {
		t.Errorf("a lone node's window moved by %.2f, one of four's by %.2f; want twice that", one, four)
	}
}

// A refused client is not sent away for long: it would come back when its objective is mostly over.
func TestRejectionsCarryShortRetryAfter(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, ServerList{Full: true, Servers: servers(2)})
	b.window, b.inFlight = 1, 1
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*msec, r)
	for _, a := range b.Handle(600*msec, Timer{Token: "r:a"}) {
		if f, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].LatencyObjective / 10; f.RetryAfter > limit {
				t.Errorf("RetryAfter %v, want at most %v", f.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("not refused")
}

// Slow servers of the fleet are drawn less, though each node's own counts sit at zero.
func TestSelectionFollowsSizeAndLatency(t *testing.T) {
	list := servers(4)
	for i := range list {
		list[i].Size = 1
	}
	list[0].Size = 2
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Balancers = 1, 1 })
	b.Handle(msec, ServerList{Full: true, Servers: list})
	b.servers["s02"].logLatencyRatio = math.Log(2)
	got := map[string]int{}
	for range 9000 {
		got[b.selectServer(&request{class: b.classes["get"]}).ID]++
	}
	// A pair's other side is drawn alike, so the zero tie leaves each its share of all weights.
	total := 2 + 0.25
	for id, weight := range map[string]float64{"s00": 1, "s01": 0.5, "s02": 0.25, "s03": 0.5} {
		if f := float64(got[id]) / 9000; math.Abs(f-weight/total) > 0.02 {
			t.Errorf("%s got %.3f of the draws, want %.3f", id, f, weight/total)
		}
	}
}

// The pools of many nodes cover each group evenly, and a busy node takes a wider one.
func TestSubsetsCoverGroupsEvenly(t *testing.T) {
	count := map[string]int{}
	const nodes = 60
	for i := range nodes {
		b := newBalancer(t, func(s *Settings) { s.Tier, s.Balancers, s.Index = 1, nodes, i })
		b.Handle(msec, ServerList{Full: true, Servers: servers(40)})
		b.selectServer(&request{class: b.classes["get"]})
		for _, s := range append(append([]*server{}, b.subset.left...), b.subset.right...) {
			count[s.ID]++
		}
		if idle := b.subsetSize; idle >= 20 {
			t.Fatalf("an idle node's pool has %d servers", idle)
		}
		b.meanInFlight = 8
		if b.fitSubset(); b.subsetSize < 12 {
			t.Fatalf("a busy node's pool has %d servers", b.subsetSize)
		}
	}
	least, most := nodes, 0
	for _, s := range servers(40) {
		least, most = min(least, count[s.ID]), max(most, count[s.ID])
	}
	if least < 4 || most-least > 3 {
		t.Errorf("servers are in %d to %d pools", least, most)
	}
}

// What answers first must not look fast against a guess of the latency, and then win every draw.
func TestFirstResponsesDoNotBiasLatency(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(msec, ServerList{Full: true, Servers: servers(8)})
	s := sends(b.Handle(msec, Request{ID: "a", Class: "get", Deadline: time.Second}))[0]
	settleWindow(b, 3*msec, "a", s, Success)
	if got := b.servers[s.Server].logLatencyRatio; got < -0.1 {
		t.Errorf("the first answer made its server look %.1f in log latency", got)
	}
}

// With hundreds of nodes a share of the servers is one request or less: a window that starts or stays
// there refuses requests that the fleet could carry, so it must open within seconds of good answers.
func TestWindowOpensInLargeFleet(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Balancers = 300 })
	b.Handle(0, ServerList{Full: true, Servers: servers(60)})
	var open []Send
	for i := range 150 { // thirty a second, answered in 100 ms: three in flight
		now := time.Duration(i) * 33 * msec
		for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+100*msec <= now {
			s := open[0]
			open = append(open[1:], sends(settleWindow(b, now, s.ID, s, Success))...)
		}
		open = append(open, sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
	}
	if b.window < 3 {
		t.Errorf("the window is %.1f after five seconds", b.window)
	}
}

// Work on an answer that comes too late to be worth anything takes the room of answers in time.
func TestAttemptsAreCancelledOnceTheirResponseHasNoValue(t *testing.T) {
	for _, c := range []struct {
		tier int
		late float64
		want time.Duration
	}{{0, 0, 500*msec - 4*msec}, {0, 0.5, 1500 * msec}, {1, 0, 1500 * msec}} {
		b := newBalancer(t, func(s *Settings) { s.Tier, s.Classes[0].LateShare = c.tier, c.late })
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		s := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1500 * msec}))[0]
		if s.Timeout != c.want {
			t.Errorf("tier %d, late share %v: time-out %v, want %v", c.tier, c.late, s.Timeout, c.want)
		}
		acts := b.Handle(c.want, Outcome{ID: "a", Result: TimedOut})
		if _, refused := acts[0].(Reject); len(acts) != 1 || !refused {
			t.Errorf("tier %d, late share %v: after the time-out %v", c.tier, c.late, acts)
		}
	}
}

// Repeats by clients make a jam last: they get only half of the window.
func TestRetriesLeaveCapacityForFirstAttempts(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	b.window, b.inFlight = 10, 6
	repeat := sends(b.Handle(msec, Request{ID: "again", Class: "get", Deadline: time.Second, Retry: true}))
	first := sends(b.Handle(msec, Request{ID: "first", Class: "get", Deadline: time.Second}))
	if len(repeat) != 0 || len(first) != 1 {
		t.Errorf("sent %v for a repeat and %v for a first try", repeat, first)
	}
}

// A choked server answers, but late: one overlong answer must be enough to pass it over for a while,
// for a node of many calls it too seldom to wait for a mean. Where overlong answers are common none is.
func TestOverlongResponseEjectsServer(t *testing.T) {
	for _, c := range []struct {
		common float64
		want   bool
	}{{0.02, true}, {0.5, false}} {
		b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
		b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
		traffic(b, 40, "get", func(string) Result { return Success })
		b.badShare = c.common
		now := b.now
		s := sends(b.Handle(now, Request{ID: "slow", Class: "get", Deadline: now + time.Second}))[0]
		settleWindow(b, now+400*msec, "slow", s, Success)
		if out := b.servers[s.Server].ejectedUntil > b.now; out != c.want {
			t.Errorf("with %.2f of answers overlong: ejected %v, want %v", c.common, out, c.want)
		}
	}
}

// After a loss a node's whole pool may come back cold. That must not set the thinning aside while the
// rest of the list is warm: many such nodes would push the servers in slow start over.
func TestSlowStartSubsetKeepsThinning(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Balancers = 1, 50 })
	list := servers(40)
	b.Handle(msec, ServerList{Full: true, Servers: list})
	b.selectServer(&request{class: b.classes["get"]})
	for _, s := range append(append([]*server{}, b.subset.left...), b.subset.right...) {
		for i := range list {
			if list[i].ID == s.ID {
				list[i].Boot = time.Second
			}
		}
	}
	b.Handle(time.Second, ServerList{Full: true, Servers: list})
	slowStarting := 0
	for range 1000 {
		if s := b.selectServer(&request{class: b.classes["get"]}); s.Boot > 0 {
			slowStarting++
		}
	}
	if got := float64(slowStarting) / 1000; got > 0.05 { // thinned to a fifth, and a few of forty
		t.Errorf("%.2f of the calls went to the cold pool", got)
	}
}

// Sizes that a host took from elsewhere may be odd: nobody is left without a draw for it.
func TestUnusualSizesAreSelectable(t *testing.T) {
	list := servers(4)
	for i, size := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		list[i].Size = size
	}
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: list})
	if got := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second})); len(got) != 1 {
		t.Errorf("sent %v", got)
	}
}

// In overload what is of least priority weight is refused first, also where too few wait for the hold to choose;
// with nothing shed every class may fill the window, and no class loses more than half of it.
func TestWindowReservesCapacityByPriorityWeight(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[0].PriorityWeight, s.Classes[2].PriorityWeight, s.ClassWeight = 1, 12, 0 })
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	for _, c := range b.classOrder {
		c.arrivals, c.served = 10, 5
	}
	low, high := &request{class: b.classes["get"]}, &request{class: b.classes["pay"]}
	if l, h := b.windowShare(low), b.windowShare(high); l != 1 || h != 1 {
		t.Errorf("nothing shed: parts of the window %.2f and %.2f, want 1", l, h)
	}
	b.shedShare = 0.6
	if l, h := b.windowShare(low), b.windowShare(high); l > 0.7 || l < 0.5 || h < 1.3 || h > 2 {
		t.Errorf("much shed: parts of the window %.2f for low worth and %.2f for high", l, h)
	}
}

// A coarse clock shows answers in no time at all: that must not make every server weigh nothing.
func TestInstantResponsesLeaveServersSelectable(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, ServerList{Full: true, Servers: servers(4)})
	for i := range 50 {
		id := fmt.Sprint(i)
		got := sends(b.Handle(msec, Request{ID: id, Class: "get", Deadline: time.Second}))
		if len(got) != 1 {
			t.Fatalf("request %d: sent %v", i, got)
		}
		settleWindow(b, msec, id, got[0], Success)
	}
}

// A request is cut short only where requests hang, where it may run again, and where another has time and budget.
func TestAttemptTimeoutIsShortenedOnlyIfRetryMayFollow(t *testing.T) {
	for _, c := range []struct {
		name            string
		tier            int
		class           string
		failing, tokens float64
		left, want      time.Duration
	}{
		{"calls hang", 1, "get", 0.2, 5, 800 * msec, 400 * msec},
		{"in the first tier", 0, "get", 0.2, 5, 400 * msec, 400 * msec},
		{"must not run twice", 1, "pay", 0.2, 5, 800 * msec, 800 * msec},
		{"none fails", 1, "get", 0, 5, 800 * msec, 800 * msec},
		{"the budget is spent", 1, "get", 0.2, 0, 800 * msec, 800 * msec},
		{"answers may take that long", 1, "get", 0.2, 5, 500 * msec, 500 * msec},
	} {
		b := newBalancer(t, func(s *Settings) { s.Tier = c.tier })
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		b.classes[c.class].failureShare, b.retryTokens = c.failing, c.tokens
		s := sends(b.Handle(0, Request{ID: "a", Class: c.class, Deadline: c.left}))[0]
		if s.Timeout != c.want {
			t.Errorf("%s: time-out %v, want %v", c.name, s.Timeout, c.want)
		}
	}
}

// A repeat of a keyed request says until when it may begin: inside the window that runs from the first attempt that may
// have run, less two ticks. Nothing bounds a first attempt, nor a repeat that is safe or of what never ran.
func TestRetryCarriesLatestStartTime(t *testing.T) {
	const none = time.Duration(math.MaxInt64)
	for _, c := range []struct {
		class  string
		ending Result
		want   time.Duration
	}{{"post", ConnectionLost, 900*msec - 2*2*msec}, {"post", Unreachable, none}, {"get", ConnectionLost, none}} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(6)})
		first := sends(b.Handle(0, Request{ID: "r", Class: c.class, Deadline: 1500 * msec}))
		if len(first) != 1 || first[0].NotAfter != none {
			t.Fatalf("%s: the first attempt is %+v", c.class, first)
		}
		next := sends(b.Handle(100*msec, Outcome{ID: "r", Server: first[0].Server, Result: c.ending, Latency: 100 * msec}))
		if len(next) != 1 || next[0].NotAfter != c.want {
			t.Errorf("%s after %v: the next attempt is %+v, want it to begin by %v", c.class, c.ending, next, c.want)
		}
	}
}

// However seldom a copy must ask, it asks again within a second of a failure: what it misses counts as told soon after
// discovery can be reached.
func TestDiscoveryIsPolledAgainSoon(t *testing.T) {
	for _, within := range []time.Duration{100 * msec, 10 * time.Second, time.Hour} {
		b := newBalancer(t, func(s *Settings) { s.PollDiscovery, s.PollInterval = true, within })
		for i := range 50 {
			now := time.Duration(i) * time.Minute
			for _, a := range b.Handle(now, ListFailed{}) {
				if w, ok := a.(SetTimer); ok && w.At-now > min(time.Second, within/4)+1 {
					t.Errorf("to ask within %v: asked again %v after failure %d", within, w.At-now, i+1)
				}
			}
		}
	}
}

// Whatever lists come, the shared order holds the listed servers in service by id, the module knows no server that is
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
			t.Fatalf("step %d: order %v, want %v; %d servers of %d; %d zones of %d", step, got, want, len(b.servers), len(listed), len(b.zones), len(zones))
		}
	}
}
