package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/testpeer"
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
				idle = append(idle, &conn{host: host, uses: 1, idleSince: pool.clock.Now() - times[0], exchangeTime: times[1]})
			}
			pool.idle[host] = append(pool.idle[host], idle...)
			got, settleDelay, err := pool.take(host, nil)
			if err != nil || got != idle[c.want] || settleDelay > 0 != c.wait || pool.dialed != 0 {
				t.Errorf("take returned %v, settle delay %v, %v; %d dials", got, settleDelay, err, pool.dialed)
			}
		})
	}
}

// secondReply is the reply of a test server to a request, sent once more.
const secondReply = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"

// sendSecondReplies returns a server that sends secondReply behind each reply once release is called.
func sendSecondReplies(t *testing.T) (server *testpeer.Server, release func()) {
	t.Helper()
	proceed := make(chan struct{}, 100)
	server = testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if !testpeer.Echo(c, r, body) {
			return false
		}
		<-proceed
		_, err := io.WriteString(c, secondReply)
		return err == nil
	})
	return server, func() { proceed <- struct{}{} }
}

// Guards against a server's second replies that come later than the settle delay: once one was seen, connections to
// that server and to others of its pool settle for longer than it, and for longer than a retransmission takes.
func TestSecondReplyExtendsSettleDelay(t *testing.T) {
	server, release := sendSecondReplies(t)
	pool := newTestPool(10)
	host, other := listServer(pool, server.Address()), listServer(pool, "127.0.0.1:1")
	delays := func(after time.Duration) (own, others time.Duration) {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		now := pool.clock.Now() + after
		return pool.settleDelay(host, now), pool.settleDelay(other, now)
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success {
		t.Fatalf("result %d", r.Result)
	}
	const gap = 200 * time.Millisecond
	time.Sleep(gap)
	release()
	testpeer.Until(t, "the second reply to be recorded", func() bool { return unattributedInput(pool, server.Address(), inputWhileIdle) == 1 })
	if own, others := delays(0); own < max(suspectSettleDelay, suspectGapFactor*gap) || others < max(suspectSettleDelay, pooledGapFactor*gap) {
		t.Errorf("settle delays %v and %v after a gap of %v", own, others, gap)
	}
	if own, others := delays(suspectPeriod); own != pool.limits.SettleDelay || others != pool.limits.SettleDelay {
		t.Errorf("settle delays %v and %v once the suspect period is over, want %v", own, others, pool.limits.SettleDelay)
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success || string(r.Reply.Body) != "for id" {
		t.Errorf("result %d, body %q", r.Result, r.Reply.Body)
	}
}

// Guards against a request that is written on a connection whose settle delay was extended while the request waited for its end.
func TestSettleDelayThatIsExtendedMeanwhileIsHeeded(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	pool.limits.SettleDelay = 20 * time.Millisecond
	host := listServer(pool, server.Address())
	runAttempt(t, pool, newTestAttempt(pool, server.Address()))
	pool.mu.Lock()
	c := pool.idle[host][0]
	pool.mu.Unlock()
	waiter := make(chan reply, 1)
	testpeer.Until(t, "the connection to settle", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return pool.remainingSettleDelay(c, pool.clock.Now()) <= 0
	})
	taken, _, err := pool.take(host, waiter)
	if taken != c || err != nil {
		t.Fatalf("take returned another connection, %v", err)
	}
	pool.mu.Lock()
	pool.recordGap(c, 0)
	pool.mu.Unlock()
	if err := pool.beginExchange(c, waiter, nil); err != errUnsettled || pool.idleCount() != 1 {
		t.Errorf("beginExchange: %v, %d idle connections; want errUnsettled and the connection idle again", err, pool.idleCount())
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success || pool.dialed != 2 {
		t.Errorf("result %d after %d dials, want success on a second connection", r.Result, pool.dialed)
	}
}

// What a server has shown stays known when it restarts, and is forgotten with the server.
func TestRecordsFollowTheServerList(t *testing.T) {
	pool := newTestPool(10)
	host := listServer(pool, "127.0.0.1:1")
	pool.mu.Lock()
	pool.recordGap(&conn{host: host}, time.Millisecond)
	pool.mu.Unlock()
	target := pool.listed[host.Server]
	target.Boot = time.Second
	pool.Servers([]discovery.Target{target}, true)
	if pool.records[target.Host()] == nil || !pool.records[target.Host()].gaps.seen || len(pool.records) != 1 {
		t.Errorf("records after a restart: %v", pool.records)
	}
	pool.Servers(nil, true)
	if len(pool.records) != 0 {
		t.Errorf("records of removed servers: %v", pool.records)
	}
}
