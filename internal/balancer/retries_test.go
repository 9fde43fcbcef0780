package balancer

import (
	"math"
	"testing"
	"time"
)

// A retry of a keyed request carries the time by which it must start: within the window that begins with the first
// attempt that may have run, less two ticks. First attempts, retries of safe requests and retries after attempts that
// never ran have no limit.
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
			t.Fatalf("%s: the first attempt is %+v, want one without a start limit", c.class, first)
		}
		next := sends(b.Handle(100*msec, Outcome{ID: "r", Server: first[0].Server, Result: c.ending, Latency: 100 * msec}))
		if len(next) != 1 || next[0].NotAfter != c.want {
			t.Errorf("%s after %v: the next attempt is %+v, want a start limit of %v", c.class, c.ending, next, c.want)
		}
	}
}
