package engine

import (
	"fmt"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/testpeer"
	reach "damsontrestle/internal/testpeer/heap"
)

// The engine keeps no state of finished requests and removed servers, timers included: after a hundred thousand requests with
// distinct ids, and two thousand servers that are listed and removed, the heap must not have grown by more than 1 MiB.
func TestFinishedRequestsLeaveNoState(t *testing.T) {
	backend := newFakeBackend()
	eng := newEngine(t, backend, servers("s1", "s2", "s3", "s4"))
	go eng.Run(t.Context())
	go func() {
		for {
			select {
			case <-backend.attempts:
				(<-backend.outcomes) <- Outcome{Result: balancer.Success, At: eng.clock.Now()}
			case <-eng.Done():
				return
			}
		}
	}()
	var baseline int64
	const requests, batch = 100_000, 50
	for i := 0; i < requests; i += batch {
		old, next := fmt.Sprint("s", i/batch-4), fmt.Sprint("s", i/batch+5)
		if i == 0 {
			old = "s0"
		}
		eng.UpdateList(discovery.List{Targets: []discovery.Target{
			{Server: balancer.Server{ID: old, State: balancer.Removed}}, {Server: balancer.Server{ID: next}, Endpoint: "127.0.0.1:1"}}})
		var open []*Request
		for k := range batch {
			request := newRequest(eng, fmt.Sprint("request-", i+k), "view")
			request.Deadline = request.At + 2*time.Minute
			eng.Submit(request)
			open = append(open, request)
		}
		for _, request := range open {
			testpeer.Receive(t, request.Response(), "the response")
		}
		if i == requests/10 {
			baseline = reach.Reachable()
		}
	}
	// Status returns after the loop has handled all earlier events.
	eng.Status()
	grown := reach.Reachable() - baseline
	if status := eng.Status(); status.Open != 0 || status.Ready > 12 || status.Requests < requests {
		t.Errorf("got %d open requests and %d ready servers after %d requests, want 0 and at most 12", status.Open, status.Ready, status.Requests)
	}
	if grown > 1<<20 {
		t.Errorf("heap grew by %d KiB over the last nine tenths of the run, want at most 1024", grown>>10)
	}
}
