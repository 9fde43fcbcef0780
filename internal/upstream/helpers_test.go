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

func newTestPool(limit int) *Pool {
	return NewPool(clock.New(), descriptors.NewShare(limit), &metrics.Recorder{}, Limits{MaxConnections: limit, ConnectTimeout: testpeer.Limit, IdleTimeout: time.Minute})
}

// listServer adds a server that is named by its endpoint to the pool's endpoint list.
func listServer(pool *Pool, endpoint string) discovery.Host {
	t := discovery.Target{Server: balancer.Server{ID: endpoint, State: balancer.Ready}, Endpoint: endpoint}
	pool.Servers([]discovery.Target{t}, false)
	return t.Host()
}

// newTestAttempt returns an attempt at an endpoint with a deadline after testpeer.Limit.
func newTestAttempt(pool *Pool, endpoint string) *engine.Attempt {
	now := pool.clock.Now()
	request := engine.NewRequest("id", engine.Message{Method: "POST", Target: "/note/k", Body: []byte("body")})
	request.At = now
	request.Deadline = now + testpeer.Limit
	return engine.NewAttempt(request, 0, listServer(pool, endpoint), now, now+testpeer.Limit)
}

// runAttempt runs an attempt, which must end within testpeer.Limit.
func runAttempt(t *testing.T, pool *Pool, attempt *engine.Attempt) engine.Outcome {
	t.Helper()
	outcome := make(chan engine.Outcome, 1)
	go func() { outcome <- pool.Run(attempt) }()
	return testpeer.Receive(t, outcome, "the outcome of the attempt")
}

// addIdle adds an idle connection.
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

// hasInput reports whether a connection has unread input or was closed.
func hasInput(nc net.Conn) bool {
	state := inputStateOf(rawConn(nc), syscall.Recvfrom)
	return state == inputPending || state == inputEnded
}
