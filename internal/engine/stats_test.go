package engine

import (
	"context"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/testpeer"
)

// Stats returns the counts of requests and attempts, without servers that are no longer listed.
func TestStatsCountEvents(t *testing.T) {
	backend := newFakeBackend()
	list := servers("a")
	list.Rev, list.Targets[0].Zone = 7, "z"
	opts := options(backend, settings())
	opts.CollectStats = true
	eng := newEngineWith(t, opts)
	eng.RestoreList(list)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go eng.Run(ctx)
	request := NewRequest("1", Message{})
	request.Class, request.At = "view", eng.clock.Now()
	request.Deadline = request.At + testpeer.Limit
	eng.Submit(request)
	attempt, outcome := backend.expectAttempt(t)
	stats := eng.Stats()
	if stats.ListRevision != 7 || stats.Classes["view"] != (ClassStats{Requests: 1, InFlight: 1}) || stats.Servers["a"].InFlight != 1 ||
		stats.Zones["z"].Ready != 1 || stats.Zones["z"].WarmedUp != 1 {
		t.Errorf("with an attempt in flight: unexpected stats %+v", stats)
	}
	outcome <- Outcome{Result: balancer.Success, At: attempt.SentAt + 3*time.Millisecond}
	testpeer.Receive(t, request.Response(), "the response")
	stats = eng.Stats()
	zone := stats.Zones["z"]
	if zone.Ended != 1 || zone.Failures != 0 || zone.TotalLatency != 3*time.Millisecond || stats.LatencyHistogram[12] != 1 ||
		stats.Classes["view"].InFlight != 0 || stats.Servers["a"].InFlight != 0 {
		t.Errorf("after the response: unexpected stats %+v", stats)
	}
	eng.UpdateList(discovery.List{Full: true, Rev: 8})
	if stats = eng.Stats(); len(stats.Servers) != 0 || len(stats.Zones) != 0 || stats.ListRevision != 8 {
		t.Errorf("with no server listed: unexpected stats %+v", stats)
	}
	cancel()
	<-eng.Done()
	if stats = eng.Stats(); stats.Classes != nil {
		t.Errorf("after Run has returned: got stats %+v, want the zero value", stats)
	}
}
