package upstream

import (
	"testing"
	"time"
)

// Of the settled idle connections of a server the one used last is taken at once. Only if none has settled, one is waited for
// whose wait is short compared with its last exchange; otherwise another is opened.
func TestSettledConnectionIsPreferred(t *testing.T) {
	const settle = time.Hour // longer than the test on any machine
	for _, c := range []struct {
		name string
		idle [][2]time.Duration // idle time and duration of the last exchange, oldest first
		want int
		wait bool
	}{
		{"the last used of two settled connections", [][2]time.Duration{{3 * settle}, {2 * settle}}, 1, false},
		{"a settled connection, not one that settles soon", [][2]time.Duration{{3 * settle}, {2 * settle}, {settle / 2, 4 * settle}}, 1, false},
		{"the only one within its maxSettleWait", [][2]time.Duration{{settle / 2}, {settle / 4, 4 * settle}}, 1, true},
		{"the first to settle of two within their maxSettleWait", [][2]time.Duration{{settle / 2, 4 * settle}, {settle / 4, 4 * settle}}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool := newTestPool(10)
			pool.limits.SettleDelay = settle
			host := listServer(pool, "127.0.0.1:1")
			var idle []*conn
			for _, times := range c.idle {
				idle = append(idle, &conn{host: host, idleSince: pool.clock.Now() - times[0], exchangeTime: times[1]})
			}
			pool.idle[host] = append(pool.idle[host], idle...)
			got, settleDelay, err := pool.take(host, nil)
			if err != nil || got != idle[c.want] || settleDelay > 0 != c.wait || pool.dialed != 0 {
				t.Errorf("take returned %v, settle delay %v, %v; %d dials", got, settleDelay, err, pool.dialed)
			}
		})
	}
}
