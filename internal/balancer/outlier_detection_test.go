package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A server that errs at once drains its count; without ejection it would win every draw.
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
			t.Errorf("ending %d: the outlier got %d of 300 first attempts", e, got["s03"])
		}
	}
}

// When every server fails alike the trouble is below them: nobody may be starved of requests.
func TestFailuresOnAllServersEjectFew(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	got := sendTraffic(b, 800, "get", func(string) Result { return Failure })
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
				endOnlyAttempt(b, now+10*msec, id, s, Success)
			}
		}
	}
	if stuck == 0 || stuck > 6 {
		t.Errorf("the silent server holds %d requests", stuck)
	}
}

// After an ejection the first probe must not be a request that cannot be repeated.
func TestProbeIsNeverUnsafeRequest(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	s := b.servers["s03"]
	s.ejectionLevel, s.ejectedUntil = 1, 0
	if got := sendTraffic(b, 400, "pay", func(string) Result { return Success }); got["s03"] != 0 {
		t.Errorf("a server on probation got %d unsafe requests", got["s03"])
	}
	if got := sendTraffic(b, 400, "get", func(string) Result { return Success }); got["s03"] == 0 {
		t.Error("the server was never tried again")
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

// Connection tables filled by other nodes reject at once: a server that rejected gets no more own
// requests than it had, however many others reject too, and is tried again later.
func TestFullServerGetsNoMoreRequestsThanItHeld(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Balancers = 1, 1 })
	b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
	now, id := msec, 0
	full := map[string]bool{"s00": true, "s02": true, "s03": true, "s05": true, "s06": true, "s08": true}
	rejected := func(n int) (count int) {
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
	// Six of ten are full: without memory each request meets more than one rejection.
	if got := rejected(24); got < 3 || got > 16 {
		t.Errorf("%d rejections of 24 requests: full servers are still drawn, or none was found", got)
	}
	now += time.Minute
	if rejected(20) == 0 {
		t.Error("full servers were never tried again")
	}
}

// What answers first must not look fast against a guess of the latency, and then win every draw.
func TestFirstResponsesDoNotBiasLatency(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(msec, ServerList{Full: true, Servers: servers(8)})
	s := sends(b.Handle(msec, Request{ID: "a", Class: "get", Deadline: time.Second}))[0]
	endOnlyAttempt(b, 3*msec, "a", s, Success)
	if got := b.servers[s.Server].logLatencyRatio; got < -0.1 {
		t.Errorf("the first answer made its server look %.1f in log latency", got)
	}
}

// A choked server answers, but late: one overlong answer must be enough to pass it over for a while,
// for a node of many sends to it too seldom to wait for a mean. Where overlong answers are common none is.
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
			t.Errorf("with %.2f of answers overlong: ejected %v, want %v", c.common, out, c.want)
		}
	}
}
