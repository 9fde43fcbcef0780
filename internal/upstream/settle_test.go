package upstream

import (
	"testing"
	"time"
)

// Of a server's idle connections one that has settled is taken at once, and of these the one used last. One that has not is
// waited for only where none has, and rather one whose wait is short against its exchanges than have another opened.
func TestSettledConnectionIsPreferred(t *testing.T) {
	const settle = time.Hour // however slow the machine
	for _, c := range []struct {
		name  string
		idle  [][2]time.Duration // for how long, and what the exchange before took; the oldest first
		takes int
		waits bool
	}{
		{"the one used last of two that have settled", [][2]time.Duration{{3 * settle}, {2 * settle}}, 1, false},
		{"one that has settled, not one that soon will have", [][2]time.Duration{{3 * settle}, {2 * settle}, {settle / 2, 4 * settle}}, 1, false},
		{"the only one that may be waited for", [][2]time.Duration{{settle / 2}, {settle / 4, 4 * settle}}, 1, true},
		{"the one that has settled first of two that may be waited for", [][2]time.Duration{{settle / 2, 4 * settle}, {settle / 4, 4 * settle}}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool := newTestPool(10)
			pool.limits.SettleDelay = settle
			h := listServer(pool, "127.0.0.1:1")
			var idle []*conn
			for _, i := range c.idle {
				idle = append(idle, &conn{host: h, idleSince: pool.clock.Now() - i[0], exchangeTime: i[1]})
			}
			pool.idle[h] = append(pool.idle[h], idle...)
			got, settles, err := pool.take(h, nil)
			if err != nil || got != idle[c.takes] || settles > 0 != c.waits || pool.dialed != 0 {
				t.Errorf("took %v to wait for %v, %v; %d opened", got, settles, err, pool.dialed)
			}
		})
	}
}
