package engine

import (
	"context"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/testpeer"
)

// Stats returns what was counted, without servers that are no longer listed.
func TestStatsCountEvents(t *testing.T) {
	s := newScript()
	l := servers("a")
	l.Rev, l.Targets[0].Zone = 7, "z"
	o := options(s, settings())
	o.Count = true
	e := newEngineWith(t, o)
	e.RestoreList(l)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.Run(ctx)
	c := NewRequest("1", Message{})
	c.Class, c.At = "view", e.clock.Now()
	c.Deadline = c.At + testpeer.Limit
	e.Submit(c)
	a, end := s.expect(t)
	is := e.Stats()
	if is.Rev != 7 || is.Classes["view"] != (ClassStats{Requests: 1, InFlight: 1}) || is.Servers["a"].InFlight != 1 ||
		is.Zones["z"].Ready != 1 || is.Zones["z"].WarmedUp != 1 {
		t.Errorf("with an attempt in flight: %+v", is)
	}
	end <- Outcome{Result: balancer.Success, At: a.Sent + 3*time.Millisecond}
	testpeer.Receive(t, c.Response(), "the response")
	is = e.Stats()
	zone := is.Zones["z"]
	if zone.Ended != 1 || zone.Failures != 0 || zone.TotalLatency != 3*time.Millisecond || is.LatencyHistogram[12] != 1 ||
		is.Classes["view"].InFlight != 0 || is.Servers["a"].InFlight != 0 {
		t.Errorf("after its response: %+v", is)
	}
	e.UpdateList(discovery.List{Full: true, Rev: 8})
	if is = e.Stats(); len(is.Servers) != 0 || len(is.Zones) != 0 || is.Rev != 8 {
		t.Errorf("with no server listed: %+v", is)
	}
	cancel()
	<-e.Done()
	if is = e.Stats(); is.Classes != nil {
		t.Errorf("after Run has returned: %+v", is)
	}
}
