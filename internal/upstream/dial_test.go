package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/testpeer"
)

// delayLaterDials has all connections but the first come up only when the test lets them, or when their attempt ends.
func delayLaterDials(pool *Pool) (dialing <-chan struct{}, let func()) {
	begun, up := make(chan struct{}, 10), make(chan struct{})
	first := true
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if first {
			first = false
			return net.Dial(network, address)
		}
		begun <- struct{}{}
		select {
		case <-up:
			return net.Dial(network, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return begun, func() { close(up) }
}

// holdFirstRequest is a server that keeps its first request until it is released. behind is run once its answer is written.
func holdFirstRequest(t *testing.T, behind func(net.Conn) bool) (s *testpeer.Server, got <-chan struct{}, release func()) {
	came, let := make(chan struct{}, 1), make(chan struct{})
	first := true
	s = testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if !first {
			return testpeer.Echo(c, r, body)
		}
		first = false
		came <- struct{}{}
		<-let
		return testpeer.Echo(c, r, body) && behind(c)
	})
	return s, came, func() { close(let) }
}

// wantCount counts the attempts that would take another connection than their own.
func (p *Pool) wantConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return total(p.wantConns)
}

// idleCount counts the idle connections.
func (p *Pool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return total(p.idle)
}

// total counts the entries of all hosts.
func total[T any](byHost map[discovery.Host][]T) (n int) {
	for _, list := range byHost {
		n += len(list)
	}
	return n
}

// An attempt whose connection is late goes over another to the same server once that is free. The late one serves the next.
func TestIdleConnectionIsTakenWhileDialIsLate(t *testing.T) {
	s, got, release := holdFirstRequest(t, func(net.Conn) bool { return true })
	pool := newTestPool(10)
	dialing, let := delayLaterDials(pool)
	ends := make(chan engine.Outcome, 2)
	attempt := func() { ends <- pool.Run(newTestAttempt(pool, s.Address())) }
	go attempt()
	testpeer.Receive(t, got, "the first request at its server")
	go attempt()
	testpeer.Receive(t, dialing, "the second attempt to dial")
	testpeer.Until(t, "the second attempt's connection to be late", func() bool { return pool.wantConnCount() == 1 })
	release()
	for range 2 {
		if r := testpeer.Receive(t, ends, "an answer, with the second connection still on its way"); r.Result != balancer.Success {
			t.Errorf("result %d", r.Result)
		}
	}
	if s.Opened() != 1 {
		t.Errorf("%d connections were opened, want 1", s.Opened())
	}
	let()
	testpeer.Until(t, "the late connection to be kept", func() bool { return pool.idleCount() == 2 })
	if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.Success || pool.Connections() != 2 || pool.dialed != 2 {
		t.Errorf("result %d over %d connections, %d made; want two", r.Result, pool.Connections(), pool.dialed)
	}
}

// An attempt that ends while its connection is on its way gives the connection's place back, and takes no other one.
func TestDialEndsWithItsAttempt(t *testing.T) {
	s, got, release := holdFirstRequest(t, func(net.Conn) bool { return true })
	pool := newTestPool(10)
	dialing, _ := delayLaterDials(pool)
	first, second := make(chan engine.Outcome, 1), make(chan engine.Outcome, 1)
	go func() { first <- pool.Run(newTestAttempt(pool, s.Address())) }()
	testpeer.Receive(t, got, "the first request at its server")
	a := newTestAttempt(pool, s.Address())
	go func() { second <- pool.Run(a) }()
	testpeer.Receive(t, dialing, "the second attempt to dial")
	testpeer.Until(t, "its connection to be late", func() bool { return pool.wantConnCount() == 1 })
	a.Cancel()
	if r := testpeer.Receive(t, second, "the second attempt's end"); r.Result != balancer.Cancelled {
		t.Errorf("result %d", r.Result)
	}
	if pool.wantConnCount() != 0 || pool.Connections() != 1 {
		t.Errorf("%d would borrow, %d connections; want none, 1", pool.wantConnCount(), pool.Connections())
	}
	release()
	if r := testpeer.Receive(t, first, "the first answer"); r.Result != balancer.Success || s.Seen() != 1 {
		t.Errorf("result %d, %d requests at the server", r.Result, s.Seen())
	}
}

// A connection that is lent in the moment in which the attempt's own comes up goes back, and serves another.
func TestUnneededDeliveredConnectionIsIdleAgain(t *testing.T) {
	s := testpeer.NewServer(t, testpeer.Echo)
	pool := newTestPool(10)
	runAttempt(t, pool, newTestAttempt(pool, s.Address()))
	testpeer.Until(t, "the connection to rest", func() bool { return pool.idleCount() == 1 })
	to := listServer(pool, s.Address())
	w := &wantConn{waiter: make(chan reply, 1), delivered: make(chan *conn, 1)}
	pool.queueForIdleConn(to, w)
	if pool.idleCount() != 0 || len(w.delivered) != 1 {
		t.Fatal("the idle connection was not lent")
	}
	pool.cancelWantConn(to, w)
	if pool.idleCount() != 1 || pool.wantConnCount() != 0 {
		t.Errorf("%d rest, %d borrow; want 1, 0", pool.idleCount(), pool.wantConnCount())
	}
	if r := runAttempt(t, pool, newTestAttempt(pool, s.Address())); r.Result != balancer.Success || pool.dialed != 1 {
		t.Errorf("result %d, %d connections made", r.Result, pool.dialed)
	}
}

// A connection that its server closes right behind the answer, when it is lent already, carries no other request.
func TestBrokenDeliveredConnectionIsNotUsed(t *testing.T) {
	s, got, release := holdFirstRequest(t, func(net.Conn) bool { return false })
	pool := newTestPool(10)
	dialing, _ := delayLaterDials(pool)
	first := make(chan engine.Outcome, 1)
	go func() { first <- pool.Run(newTestAttempt(pool, s.Address())) }()
	testpeer.Receive(t, got, "the first request at its server")
	waiter, lent := make(chan reply, 1), make(chan *conn, 1)
	if c, _, err := pool.take(listServer(pool, s.Address()), waiter); c != nil || err != nil {
		t.Fatalf("%v, %v; want room for another connection", c, err)
	}
	go func() {
		c, _, _, _ := pool.dialOrReuse(t.Context(), listServer(pool, s.Address()), waiter)
		lent <- c
	}()
	testpeer.Receive(t, dialing, "the second attempt to dial")
	testpeer.Until(t, "its connection to be late", func() bool { return pool.wantConnCount() == 1 })
	release()
	c := testpeer.Receive(t, lent, "the first attempt's connection")
	testpeer.Until(t, "the connection's end to be seen", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return c.discarded
	})
	if pool.beginExchange(c, waiter) == nil {
		t.Error("a request was to be written to a connection that its server had closed")
	}
	if r := testpeer.Receive(t, first, "the first answer"); r.Result != balancer.Success {
		t.Errorf("result %d", r.Result)
	}
}
