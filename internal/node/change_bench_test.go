package node

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/route"
	"damsontrestle/internal/testpeer"
)

// BenchmarkLatencyWithAndWithoutChanges has 16 clients send requests for two seconds, first to a node without changes, then
// to one that is reconfigured every 10 ms: a pool and a route are added and removed, and the endpoint list of the serving
// pool changes.
func BenchmarkLatencyWithAndWithoutChanges(b *testing.B) {
	for _, changing := range []bool{false, true} {
		b.Run(fmt.Sprintf("changing=%v", changing), func(b *testing.B) {
			for range b.N {
				measureLatency(b, changing)
			}
		})
	}
}

func measureLatency(b *testing.B, changing bool) {
	var servers []*testpeer.Server
	for i := range 4 {
		server := testpeer.NewFaultyServer(testpeer.FaultyServerOptions{Name: fmt.Sprint("b", i), MeanServiceTime: 2 * time.Millisecond, Seed: uint64(i)})
		servers = append(servers, testpeer.NewServer(b, server.Serve))
	}
	configOf := func(i int) *config.Config {
		c := configWithPools(staticPool("stays", servers[0], servers[1], servers[2+i%2]), staticPool(fmt.Sprint("p", i%3), servers[3]))
		c.Routes = append(c.Routes, route.Route{Name: fmt.Sprint("r", i%3), Hosts: []string{"x"}, To: []route.Target{{Pool: c.Pools[1].Name, Weight: 1}}})
		return c
	}
	n, err := New(configOf(0), discardLog(), Options{schedule: &shutdownSchedule{answerAll: 100 * time.Millisecond, finish: testpeer.Limit}})
	if err != nil {
		b.Fatal(err)
	}
	incarnation, end := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(incarnation) }()
	audit := testpeer.NewAudit()
	ctx, cancel := context.WithTimeout(b.Context(), 2*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		testpeer.Load{Audit: audit, Clients: 16, Addresses: func() []string { return []string{n.Addr("main")} }, UnsafeShare: 0.5,
			Deadline: testpeer.Limit, Seed: 1}.Run(ctx)
		close(done)
	}()
	changes := 0
	var swaps []time.Duration
	for i := 1; changing && ctx.Err() == nil; i++ {
		c, err := n.Prepare(b.Context(), configOf(i), testpeer.Limit)
		if err != nil {
			b.Fatal(err)
		}
		begin := time.Now()
		if err := c.Commit(); err != nil {
			b.Fatal(err)
		}
		swaps = append(swaps, time.Since(begin))
		changes++
		time.Sleep(10 * time.Millisecond)
	}
	<-done
	end()
	if err := <-ended; err != nil {
		b.Fatal(err)
	}
	verdict := audit.Outcomes()
	slices.Sort(verdict.Latencies)
	slices.Sort(swaps)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(verdict.Requests), "calls")
	b.ReportMetric(float64(changes), "changes")
	b.ReportMetric(float64(verdict.Refused+verdict.Failed+verdict.NoResponse), "not-served")
	b.ReportMetric(float64(verdict.Latencies[len(verdict.Latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(verdict.Latencies[len(verdict.Latencies)*99/100].Microseconds()), "p99-us")
	if len(swaps) > 0 {
		b.ReportMetric(float64(swaps[len(swaps)/2].Microseconds()), "commit-p50-us")
	}
}
