package balancer

import (
	"fmt"
	"testing"
	"time"
)

const msec = time.Millisecond

// testSettings returns settings with one class of each effect.
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
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return list
}

// sends returns the Send actions among acts.
func sends(acts []Action) []Send {
	var list []Send
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			list = append(list, s)
		}
	}
	return list
}

// endOnlyAttempt ends the only attempt of a request.
func endOnlyAttempt(b *Balancer, now time.Duration, id string, s Send, e Result) []Action {
	return b.Handle(now, Outcome{ID: id, Server: s.Server, Result: e, Ended: e == Success})
}

// sendTraffic sends n requests one after another; resultOf returns the result of attempts at a server. It returns the
// number of first attempts per server in the second half.
func sendTraffic(b *Balancer, n int, class string, resultOf func(server string) Result) map[string]int {
	got := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				got[s.Server]++
			}
			for k := 0; k < 5; k++ {
				result := resultOf(s.Server)
				now += 10 * msec
				again := sends(b.Handle(now, Outcome{ID: id, Attempt: k, Server: s.Server, Result: result, Ended: result == Success}))
				if len(again) == 0 {
					break
				}
				s = again[0]
			}
		}
	}
	return got
}
