package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A server that fails fast has few requests in flight; without ejection it would win every draw.
func TestFastErrorsAreEjected(t *testing.T) {
	for _, e := range []Result{Failure, Unreachable, ConnectionLost} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(10)})
		got := sendTraffic(b, 600, "get", func(s string) Result {
			if s == "s03" {
				return e
			}
			return Success
		})
		if got["s03"] > 10 {
			t.Errorf("result %d: the outlier got %d of 300 first attempts, want at most 10", e, got["s03"])
		}
	}
}

// If every server fails alike, the fault is in the tier below: no server may be starved of requests.
func TestFailuresOnAllServersEjectFew(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	got := sendTraffic(b, 800, "get", func(string) Result { return Failure })
	if len(got) < 8 {
		t.Errorf("only %d of 10 servers are still used, want at least 8", len(got))
	}
}

// A hanging machine shows no sign other than an old unanswered request while others reply.
func TestSilentServerIsSkipped(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	unanswered, now := 0, time.Duration(0)
	for i := range 600 {
		id := fmt.Sprint(i)
		now += 20 * msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			if s.Server == "s03" {
				unanswered++
			} else {
				endOnlyAttempt(b, now+10*msec, id, s, Success)
			}
		}
	}
	if unanswered == 0 || unanswered > 6 {
		t.Errorf("the hanging server holds %d requests, want 1 to 6", unanswered)
	}
}

// After an ejection the first probe must not be an unsafe request.
func TestProbeIsNeverUnsafeRequest(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	s := b.servers["s03"]
	s.ejectionLevel, s.ejectedUntil = 1, 0
	if got := sendTraffic(b, 400, "pay", func(string) Result { return Success }); got["s03"] != 0 {
		t.Errorf("a server on probation got %d unsafe requests", got["s03"])
	}
	if got := sendTraffic(b, 400, "get", func(string) Result { return Success }); got["s03"] == 0 {
		t.Error("the server got no request after its ejection")
	}
}

// In overload every server is needed: the more load is shed, the fewer servers may be excluded as outliers.
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
		excluded := 0
		b.excludeOutliers(b.allGroups, &request{class: b.classes["get"]}, true)
		for _, s := range b.ready {
			if s.excluded {
				excluded++
			}
		}
		if excluded != c.want {
			t.Errorf("shed %.1f: %d servers excluded, want %d", c.shed, excluded, c.want)
		}
	}
}

// A server whose connection table is filled by other nodes rejects immediately. It gets no more own requests than it
// had at the rejection, however many others reject too, and is tried again later.
func TestFullServerGetsNoMoreRequestsThanItHeld(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Balancers = 1, 1 })
	b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
	now, id := msec, 0
	full := map[string]bool{"s00": true, "s02": true, "s03": true, "s05": true, "s06": true, "s08": true}
	countRejections := func(n int) (count int) {
		for range n {
			now += 5 * msec
			id++
			pending := sends(b.Handle(now, Request{ID: fmt.Sprint(id), Class: "get", Deadline: now + time.Second}))
			for number := 0; len(pending) > 0; number++ {
				result := Success
				if full[pending[0].Server] {
					result = Unreachable
					count++
				}
				now += 20 * msec
				pending = sends(b.Handle(now, Outcome{ID: fmt.Sprint(id), Attempt: number, Server: pending[0].Server,
					Result: result, Ended: result == Success}))
			}
		}
		return count
	}
	// Six of ten servers are full: without memory of rejections each request would meet more than one.
	if got := countRejections(24); got < 3 || got > 16 {
		t.Errorf("%d rejections of 24 requests, want 3 to 16", got)
	}
	now += time.Minute
	if countRejections(20) == 0 {
		t.Error("full servers were not tried again")
	}
}

// The first server to reply must not look fast against the initial latency estimate and then win every draw.
func TestFirstResponsesDoNotBiasLatency(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(msec, ServerList{Full: true, Servers: servers(8)})
	s := sends(b.Handle(msec, Request{ID: "a", Class: "get", Deadline: time.Second}))[0]
	endOnlyAttempt(b, 3*msec, "a", s, Success)
	if got := b.servers[s.Server].logLatencyRatio; got < -0.1 {
		t.Errorf("the first reply set its server's log latency ratio to %.1f, want at least -0.1", got)
	}
}

// An overloaded server replies, but late: one overlong reply must eject it, because a node among many sends it too
// few requests to wait for a mean. If overlong replies are common, none is ejected.
func TestOverlongResponseEjectsServer(t *testing.T) {
	for _, c := range []struct {
		common float64
		want   bool
	}{{0.02, true}, {0.5, false}} {
		b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
		b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
		sendTraffic(b, 40, "get", func(string) Result { return Success })
		b.badResultShare = c.common
		now := b.now
		s := sends(b.Handle(now, Request{ID: "slow", Class: "get", Deadline: now + time.Second}))[0]
		endOnlyAttempt(b, now+400*msec, "slow", s, Success)
		if out := b.servers[s.Server].ejectedUntil > b.now; out != c.want {
			t.Errorf("with %.2f of replies overlong: ejected %v, want %v", c.common, out, c.want)
		}
	}
}
