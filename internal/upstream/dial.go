package upstream

import (
	"context"
	"fmt"
	"net"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
)

// lateDialThreshold is the duration of a connect after which its attempt takes another connection that becomes idle. It is longer
// than a connect without packet loss takes, and as short as the settle delay.
const lateDialThreshold = 10 * time.Millisecond

// MaxDials is the maximum number of connects of one attempt. Only connects that failed for lack of local resources are retried.
const MaxDials = 4

// dialBackoff is the pause before the second connect; it doubles for each further one.
const dialBackoff = 5 * time.Millisecond

// dialResult is the result of opening a connection.
type dialResult struct {
	conn     net.Conn
	duration time.Duration
	err      error
}

// pendingDial is a connect in progress that ends with its attempt until it is detached from it.
type pendingDial struct {
	results chan dialResult
	detach  func() bool
}

// startDial opens a connection to a server for which take has reserved a place.
func (p *Pool) startDial(ctx context.Context, host discovery.Host) pendingDial {
	dialCtx, cancel := context.WithCancel(context.Background())
	dial := pendingDial{results: make(chan dialResult, 1), detach: context.AfterFunc(ctx, cancel)}
	go func() {
		defer cancel()
		dial.results <- p.dialWithRetries(dialCtx, ctx, host)
	}()
	return dial
}

// dialOrReuse opens a connection to a server for which take has reserved a place. If the connect is late, a connection to the same
// server that becomes idle and settles first is returned instead, with its remaining settle delay, and the late one is kept for
// another attempt: on a network that loses a handshake packet, a connect takes a second longer, by which time other replies have come.
func (p *Pool) dialOrReuse(ctx context.Context, host discovery.Host, waiter chan reply) (c *conn, fresh bool, settleDelay time.Duration, err error) {
	dial := p.startDial(ctx, host)
	lateTimer := time.NewTimer(lateDialThreshold)
	defer lateTimer.Stop()
	select {
	case result := <-dial.results:
		dial.detach()
		c, err = p.dialDone(result, host, waiter)
		return c, true, 0, err
	case <-lateTimer.C:
	}
	want := &wantConn{waiter: waiter, delivered: make(chan *conn, 1)}
	p.queueForIdleConn(host, want)
	select {
	case result := <-dial.results:
		dial.detach()
		p.cancelWantConn(host, want)
		c, err = p.dialDone(result, host, waiter)
		return c, true, 0, err
	case c = <-want.delivered:
		return p.dialOrSettle(dial, c, host, waiter)
	}
}

// dialOrSettle returns the connection of a late connect or one that was delivered meanwhile, whichever is usable first.
func (p *Pool) dialOrSettle(dial pendingDial, delivered *conn, host discovery.Host, waiter chan reply) (c *conn, fresh bool, settleDelay time.Duration, err error) {
	settled := time.NewTimer(p.timeToSettle(delivered))
	defer settled.Stop()
	select {
	case result := <-dial.results:
		dial.detach()
		if result.err != nil {
			return delivered, false, p.timeToSettle(delivered), nil
		}
		p.returnDelivered(delivered, waiter)
		c, err = p.dialDone(result, host, waiter)
		return c, true, 0, err
	case <-settled.C:
		dial.detach()
		go p.keepLateConn(dial.results, host)
		return delivered, false, p.timeToSettle(delivered), nil
	}
}

// timeToSettle returns how long a connection still has to settle.
func (p *Pool) timeToSettle(c *conn) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.remainingSettleDelay(c, p.clock.Now())
}

// isOver reports whether a context is done or its deadline has passed: in a process that is held up, that takes a while to end it.
func isOver(ctx context.Context) bool {
	deadline, has := ctx.Deadline()
	return ctx.Err() != nil || has && !time.Now().Before(deadline)
}

// dialWithRetries opens a connection for which reserve has taken a place, and releases the place if it fails. A lack of local
// resources is retried after a pause: dialing other servers would fail as well.
func (p *Pool) dialWithRetries(ctx, attemptCtx context.Context, host discovery.Host) dialResult {
	result := p.dialOnce(ctx, host)
	backoff := dialBackoff
	for dials := 1; dials < MaxDials && isLocalShortage(result.err); dials++ {
		clock.Sleep(ctx, backoff)
		if isOver(ctx) || isOver(attemptCtx) { // the end of the attempt takes a moment to cancel ctx
			break
		}
		backoff *= 2
		result = p.dialOnce(ctx, host)
	}
	if result.err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.release()
	}
	return result
}

func (p *Pool) dialOnce(ctx context.Context, host discovery.Host) dialResult {
	dial := p.dial
	if dial == nil {
		dial = p.netDialer().DialContext
	}
	start := p.clock.Now()
	nc, err := dial(ctx, "tcp", host.Endpoint)
	return dialResult{conn: nc, duration: p.clock.Now() - start, err: err}
}

// netDialer returns a dialer with the current limits.
func (p *Pool) netDialer() *net.Dialer {
	p.mu.Lock()
	defer p.mu.Unlock()
	dialer := &net.Dialer{Timeout: p.limits.ConnectTimeout, KeepAlive: -1}
	if p.limits.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.limits.LocalIP}
	}
	return dialer
}

// dialDone returns the connection that was opened for an attempt, or the error that wraps the failure.
func (p *Pool) dialDone(result dialResult, host discovery.Host, waiter chan reply) (*conn, error) {
	if isLocalShortage(result.err) {
		return nil, fmt.Errorf("connect to %s: %w: %w", host.Endpoint, errNoCapacity, result.err)
	}
	if result.err != nil {
		return nil, fmt.Errorf("connect to %s: %w", host.Endpoint, result.err)
	}
	c := p.newConn(result.conn, host, waiter)
	c.dialTime = result.duration
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordConnect(c)
	return c, nil
}

// recordConnect records the end of a connection's connect. The caller holds mu.
func (p *Pool) recordConnect(c *conn) {
	c.idleSince = p.clock.Now()
	record := p.record(c.host)
	record.connects++
	if record.minConnect == 0 || c.dialTime < record.minConnect {
		record.minConnect = c.dialTime
	}
}

// keepLateConn adds a connection to the idle ones whose connect completes after its attempt has taken another connection.
func (p *Pool) keepLateConn(dialed <-chan dialResult, host discovery.Host) {
	result := <-dialed
	if result.err != nil {
		return
	}
	c := p.newConn(result.conn, host, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.discarded {
		return
	}
	c.dialTime = result.duration
	p.recordConnect(c)
	p.putIdle(c)
}
