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

// A hundred thousand requests under ids that are never seen again, and five thousand servers that come and go: the engine
// keeps nothing of finished requests and removed servers, timers included.
func TestFinishedRequestsLeaveNoState(t *testing.T) {
	s := newScript()
	e := newEngine(t, s, servers("s1", "s2", "s3", "s4"))
	go e.Run(t.Context())
	go func() {
		for {
			select {
			case <-s.attempts:
				(<-s.next) <- Outcome{Result: balancer.Success, At: e.clock.Now()}
			case <-e.Done():
				return
			}
		}
	}()
	var base int64
	const requests, at = 100_000, 50
	for i := 0; i < requests; i += at {
		old, next := fmt.Sprint("s", i/at-4), fmt.Sprint("s", i/at+5)
		if i == 0 {
			old = "s0"
		}
		e.UpdateList(discovery.List{Targets: []discovery.Target{
			{Server: balancer.Server{ID: old, State: balancer.Removed}}, {Server: balancer.Server{ID: next}, Endpoint: "127.0.0.1:1"}}})
		var open []*Request
		for k := range at {
			c := newRequest(e, fmt.Sprint("request-", i+k), "view")
			c.Deadline = c.At + 2*time.Minute
			e.Submit(c)
			open = append(open, c)
		}
		for _, c := range open {
			testpeer.Receive(t, c.Response(), "the response")
		}
		if i == requests/10 {
			base = reach.Reachable()
		}
	}
	// What the loop holds is looked at from within: it answers a Status once all before it is handled.
	e.Status()
	grown := reach.Reachable() - base
	if st := e.Status(); st.Open != 0 || st.Ready > 12 || st.Requests < requests {
		t.Errorf("%d requests are open and %d servers ready after %d requests", st.Open, st.Ready, st.Requests)
	}
	if grown > 1<<20 {
		t.Errorf("the heap grew by %d KiB from the tenth part of the day to its end", grown>>10)
	}
}
