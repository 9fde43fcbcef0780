package woodpick_test

import (
	"fmt"
	"testing"
	"time"

	"woodpick"
)

// One Balancer driven by hand: a list, a request, an attempt that never ran, and its answer.
func Example() {
	b, err := woodpick.New(woodpick.Settings{
		Classes: []woodpick.Class{{Name: "read", Effect: woodpick.Safe, Scope: woodpick.ScopeAll,
			Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1}},
		Balancers: 1, MaxAttempts: 3, Tick: time.Millisecond,
		ColdFrom: 0.2, WarmAfter: 10 * time.Second,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Handle(0, woodpick.ServerList{Full: true, Servers: []woodpick.Server{{ID: "a:80"}, {ID: "b:80"}}})

	now := 5 * time.Millisecond
	acts := b.Handle(now, woodpick.Request{ID: "r1", Class: "read", Deadline: now + time.Second})
	first := acts[0].(woodpick.Send)
	fmt.Println("sent", first.ID, "with a time-out of", first.Timeout)

	now += 3 * time.Millisecond
	acts = b.Handle(now, woodpick.Outcome{ID: "r1", Attempt: 0, Server: first.Server,
		Ending: woodpick.Unreachable, Latency: 3 * time.Millisecond})
	second := acts[0].(woodpick.Send)
	fmt.Println("sent again to another server:", second.Server != first.Server)

	now += 20 * time.Millisecond
	acts = b.Handle(now, woodpick.Outcome{ID: "r1", Attempt: 1, Server: second.Server,
		Ending: woodpick.Success, Latency: 20 * time.Millisecond, Ended: true})
	fmt.Println("left to do:", len(acts))
	// Output:
	// sent r1 with a time-out of 198ms
	// sent again to another server: true
	// left to do: 0
}

func BenchmarkHandle(bench *testing.B) {
	for _, n := range []int{100, 1000} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) { benchmarkHandle(bench, n) })
	}
}

// benchmarkHandle plays a request and its answer at one of 100 copies.
func benchmarkHandle(bench *testing.B, n int) {
	b, err := woodpick.New(woodpick.Settings{
		Classes: []woodpick.Class{{Name: "read", Effect: woodpick.Safe, Aim: time.Second,
			Deadline: time.Second, Worth: 1}},
		Balancers: 100, MaxAttempts: 3, Tick: time.Millisecond,
	}, 1)
	if err != nil {
		bench.Fatal(err)
	}
	var list []woodpick.Server
	for i := range n {
		list = append(list, woodpick.Server{ID: fmt.Sprint("s", i)})
	}
	b.Handle(0, woodpick.ServerList{Full: true, Servers: list})
	bench.ReportAllocs()
	for i := 0; bench.Loop(); i++ {
		now, id := time.Duration(i)*time.Millisecond, fmt.Sprint(i)
		s := b.Handle(now, woodpick.Request{ID: id, Class: "read", Deadline: now + time.Second})[0].(woodpick.Send)
		b.Handle(now, woodpick.Outcome{ID: id, Server: s.Server, Ending: woodpick.Success, Ended: true})
	}
}
