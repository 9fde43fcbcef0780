package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/testpeer"
)

// delayLaterDials delays every dial but the first until release is called or the attempt ends.
func delayLaterDials(pool *Pool) (dialing <-chan struct{}, release func()) {
	started, proceed := make(chan struct{}, 10), make(chan struct{})
	first := true
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if first {
			first = false
			return net.Dial(network, address)
		}
		started <- struct{}{}
		select {
		case <-proceed:
			return net.Dial(network, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return started, func() { close(proceed) }
}

// holdFirstRequest returns a server that holds its first request until it is released. afterReply is called once the reply is
// written.
func holdFirstRequest(t *testing.T, afterReply func(net.Conn) bool) (s *testpeer.Server, received <-chan struct{}, release func()) {
	arrived, proceed := make(chan struct{}, 1), make(chan struct{})
	first := true
	s = testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if !first {
			return testpeer.Echo(c, r, body)
		}
		first = false
		arrived <- struct{}{}
		<-proceed
		return testpeer.Echo(c, r, body) && afterReply(c)
	})
	return s, arrived, func() { close(proceed) }
}

// wantConnCount returns the number of attempts that wait for an idle connection because their connect is late.
func (p *Pool) wantConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return total(p.wantConns)
}

func (p *Pool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return total(p.idle)
}

// total returns the number of entries of all hosts.
func total[T any](byHost map[discovery.Host][]T) (n int) {
	for _, list := range byHost {
		n += len(list)
	}
	return n
}

// An attempt whose connect is late takes another connection to the same server once that is idle. The late one serves the next
// attempt.
func TestIdleConnectionIsTakenWhileDialIsLate(t *testing.T) {
	server, received, release := holdFirstRequest(t, func(net.Conn) bool { return true })
	pool := newTestPool(10)
	dialing, releaseDials := delayLaterDials(pool)
	outcomes := make(chan engine.Outcome, 2)
	attempt := func() { outcomes <- pool.Run(newTestAttempt(pool, server.Address())) }
	go attempt()
	testpeer.Receive(t, received, "the first request at the server")
	go attempt()
	testpeer.Receive(t, dialing, "the second attempt to dial")
	testpeer.Until(t, "the second connect to be late", func() bool { return pool.wantConnCount() == 1 })
	release()
	for range 2 {
		if r := testpeer.Receive(t, outcomes, "a reply while the second connect is pending"); r.Result != balancer.Success {
			t.Errorf("result %d", r.Result)
		}
	}
	if server.AcceptedConnections() != 1 {
		t.Errorf("%d connections opened, want 1", server.AcceptedConnections())
	}
	releaseDials()
	testpeer.Until(t, "the late connection to be kept", func() bool { return pool.idleCount() == 2 })
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success || pool.Connections() != 2 || pool.dialed != 2 {
		t.Errorf("result %d with %d connections, %d dials; want 2 each", r.Result, pool.Connections(), pool.dialed)
	}
}

// An attempt that ends during its connect releases the connection's place, and takes no other connection.
func TestDialEndsWithItsAttempt(t *testing.T) {
	server, received, release := holdFirstRequest(t, func(net.Conn) bool { return true })
	pool := newTestPool(10)
	dialing, _ := delayLaterDials(pool)
	first, second := make(chan engine.Outcome, 1), make(chan engine.Outcome, 1)
	go func() { first <- pool.Run(newTestAttempt(pool, server.Address())) }()
	testpeer.Receive(t, received, "the first request at the server")
	attempt := newTestAttempt(pool, server.Address())
	go func() { second <- pool.Run(attempt) }()
	testpeer.Receive(t, dialing, "the second attempt to dial")
	testpeer.Until(t, "the second connect to be late", func() bool { return pool.wantConnCount() == 1 })
	attempt.Cancel()
	if r := testpeer.Receive(t, second, "the second attempt's end"); r.Result != balancer.Cancelled {
		t.Errorf("result %d", r.Result)
	}
	if pool.wantConnCount() != 0 || pool.Connections() != 1 {
		t.Errorf("%d attempts wait for an idle connection, %d connections; want 0, 1", pool.wantConnCount(), pool.Connections())
	}
	release()
	if r := testpeer.Receive(t, first, "the first reply"); r.Result != balancer.Success || server.RequestCount() != 1 {
		t.Errorf("result %d, %d requests at the server", r.Result, server.RequestCount())
	}
}

// A connection that is delivered when the attempt's own connect has just succeeded becomes idle, and serves another attempt.
func TestUnneededDeliveredConnectionIsIdleAgain(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	runAttempt(t, pool, newTestAttempt(pool, server.Address()))
	testpeer.Until(t, "the connection to be idle", func() bool { return pool.idleCount() == 1 })
	host := listServer(pool, server.Address())
	want := &wantConn{waiter: make(chan reply, 1), delivered: make(chan *conn, 1)}
	pool.queueForIdleConn(host, want)
	if pool.idleCount() != 0 || len(want.delivered) != 1 {
		t.Fatal("the idle connection was not delivered")
	}
	pool.cancelWantConn(host, want)
	if pool.idleCount() != 1 || pool.wantConnCount() != 0 {
		t.Errorf("%d idle connections, %d waiting attempts; want 1, 0", pool.idleCount(), pool.wantConnCount())
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success || pool.dialed != 1 {
		t.Errorf("result %d, %d dials", r.Result, pool.dialed)
	}
}

// A connection that the server closes right after the reply, when it is delivered already, carries no other request.
func TestBrokenDeliveredConnectionIsNotUsed(t *testing.T) {
	server, received, release := holdFirstRequest(t, func(net.Conn) bool { return false })
	pool := newTestPool(10)
	dialing, _ := delayLaterDials(pool)
	first := make(chan engine.Outcome, 1)
	go func() { first <- pool.Run(newTestAttempt(pool, server.Address())) }()
	testpeer.Receive(t, received, "the first request at the server")
	waiter, delivered := make(chan reply, 1), make(chan *conn, 1)
	if c, _, err := pool.take(listServer(pool, server.Address()), waiter); c != nil || err != nil {
		t.Fatalf("take returned %v, %v; want a reserved place", c, err)
	}
	go func() {
		c, _, _, _ := pool.dialOrReuse(t.Context(), listServer(pool, server.Address()), waiter)
		delivered <- c
	}()
	testpeer.Receive(t, dialing, "the second attempt to dial")
	testpeer.Until(t, "the second connect to be late", func() bool { return pool.wantConnCount() == 1 })
	release()
	c := testpeer.Receive(t, delivered, "the first attempt's connection")
	testpeer.Until(t, "the close by the server to be noticed", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return c.discarded
	})
	if pool.beginExchange(c, waiter, nil) == nil {
		t.Error("beginExchange accepted a connection that the server had closed")
	}
	if r := testpeer.Receive(t, first, "the first reply"); r.Result != balancer.Success {
		t.Errorf("result %d", r.Result)
	}
}

// Guards against an attempt that waits for a delivered connection to settle although its own connect is done.
func TestOwnConnectPrecedesSettlingOfDeliveredConnection(t *testing.T) {
	server, received, release := holdFirstRequest(t, func(net.Conn) bool { return true })
	pool := newTestPool(10)
	pool.limits.SettleDelay = time.Hour
	dialing, releaseDials := delayLaterDials(pool)
	outcomes := make(chan engine.Outcome, 2)
	attempt := func() { outcomes <- pool.Run(newTestAttempt(pool, server.Address())) }
	go attempt()
	testpeer.Receive(t, received, "the first request at the server")
	go attempt()
	testpeer.Receive(t, dialing, "the second attempt to dial")
	testpeer.Until(t, "the second connect to be late", func() bool { return pool.wantConnCount() == 1 })
	release()
	testpeer.Receive(t, outcomes, "the first outcome")
	testpeer.Until(t, "the idle connection to be delivered", func() bool { return pool.wantConnCount() == 0 })
	releaseDials()
	if r := testpeer.Receive(t, outcomes, "the second outcome"); r.Result != balancer.Success {
		t.Errorf("result %d", r.Result)
	}
	if pool.idleCount() != 2 {
		t.Errorf("%d idle connections, want 2", pool.idleCount())
	}
}

// Guards against an attempt that ends because a connection that was delivered to it and not used was closed: the end would be taken
// for that of the connection which the attempt has opened itself.
func TestCloseOfUnusedDeliveredConnectionDoesNotEndAttempt(t *testing.T) {
	server := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	reuseConnection(t, pool, server)
	host := listServer(pool, server.Address())
	want := &wantConn{waiter: make(chan reply, 1), delivered: make(chan *conn, 1)}
	pool.queueForIdleConn(host, want)
	c := <-want.delivered
	want.delivered <- c
	c.Close()
	testpeer.Until(t, "the close to be noticed", func() bool { return pool.Connections() == 0 })
	pool.cancelWantConn(host, want)
	if len(want.waiter) != 0 {
		t.Error("the attempt was told of the close")
	}
}
