package downstream

import (
	"sync"
	"testing"
	"time"
)

// Guards against connections that take the processor by work that serves nobody: beyond a burst they share a rate, however many there are,
// and one that causes little of it never pauses.
func TestPacedConnectionsShareARate(t *testing.T) {
	const connections, cost, span = 50, 4 << 10, time.Second
	var pacer Pacer
	var mu sync.Mutex
	var spent int
	var spending sync.WaitGroup
	until := time.Now().Add(span)
	for range connections {
		spending.Go(func() {
			pace := pacer.NewPace()
			pace.Spend(paceBurst, nil)
			for time.Now().Before(until) {
				pace.Spend(cost, nil)
				mu.Lock()
				spent += cost
				mu.Unlock()
			}
		})
	}
	usual := pacer.NewPace()
	begin := time.Now()
	usual.Spend(paceBurst/2, nil)
	if took := time.Since(begin); took > span/10 {
		t.Errorf("a connection within its allowance paused for %v", took)
	}
	spending.Wait()
	if limit := 2*paceTotal + connections*(paceFree+cost); spent > limit {
		t.Errorf("%d bytes in %v, want at most %d", spent, span, limit)
	}
}

// A pause ends when its request does.
func TestPauseEndsWithDone(t *testing.T) {
	var pacer Pacer
	pace := pacer.NewPace()
	done := make(chan struct{})
	close(done)
	begin := time.Now()
	pace.Spend(100*paceTotal, done)
	if took := time.Since(begin); took > maxPause/2 {
		t.Errorf("paused for %v", took)
	}
}
