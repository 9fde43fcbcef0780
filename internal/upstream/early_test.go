package upstream

import (
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/testpeer"
)

// Guards against requests that wait for connections to settle although the node has no place for further ones.
func TestUnsettledConnectionIsReplacedAtTheLimit(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(1)
	pool.limits.SettleDelay = time.Hour
	for range 3 {
		if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success {
			t.Fatalf("result %d", r.Result)
		}
	}
	if pool.dialed != 3 || pool.Connections() != 1 {
		t.Errorf("%d dials, %d connections; want 3 and 1", pool.dialed, pool.Connections())
	}
}
