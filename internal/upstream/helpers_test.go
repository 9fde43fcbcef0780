package upstream

import (
	"net"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/descriptors"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/testpeer"
)

func newTestPool(most int) *Pool {
	return NewPool(clock.New(), descriptors.NewShare(most), &metrics.Set{}, Limits{MaxConnections: most, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute})
}

// listServer has the backend know a server that is named by its endpoint.
func listServer(pool *Pool, endpoint string) discovery.Host {
	t := discovery.Target{Server: balancer.Server{ID: endpoint, State: balancer.Ready}, Endpoint: endpoint}
	pool.Servers([]discovery.Target{t}, false)
	return t.Host()
}

// newTestAttempt is an attempt at an endpoint with all the time in the world.
func newTestAttempt(pool *Pool, endpoint string) *engine.Attempt {
	now := pool.clock.Now()
	c := engine.NewRequest("id", engine.Message{Method: "POST", Target: "/note/k", Body: []byte("body")})
	return engine.NewAttempt(c, 0, listServer(pool, endpoint), now, now+testpeer.Limit)
}

// runAttempt makes an attempt that must end within the testpeer.Limit.
func runAttempt(t *testing.T, pool *Pool, a *engine.Attempt) engine.Outcome {
	t.Helper()
	end := make(chan engine.Outcome, 1)
	go func() { end <- pool.Run(a) }()
	return testpeer.Receive(t, end, "the attempt's end")
}

// addIdle puts a connection among the idle ones.
func (p *Pool) addIdle(nc net.Conn, to discovery.Host) {
	waiter := make(chan reply, 1)
	p.open++
	p.share.TryAcquire()
	c := p.newConn(nc, to, waiter)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.waiter = nil
	p.idle[to] = append(p.idle[to], c)
}

// hasInput reports whether a connection has something to read, or has ended.
func hasInput(nc net.Conn) bool {
	return inputStateOf(nc, syscall.Recvfrom) == inputPending
}
