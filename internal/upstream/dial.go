package upstream

import (
	"context"
	"fmt"
	"net"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
)

// lateDialThreshold is how long a connect may take before its attempt takes another connection that is free. It is longer than
// any takes that comes up at once, and as short as a wait for one to settle.
const lateDialThreshold = 10 * time.Millisecond

// MaxDials is how many connects one attempt makes at most, the further ones after failures for want of something on this
// machine.
const MaxDials = 4

// dialBackoff is the pause before the second connect; it doubles with each.
const dialBackoff = 5 * time.Millisecond

// dialResult is how the opening of a connection ended.
type dialResult struct {
	conn     net.Conn
	duration time.Duration
	err      error
}

// dialOrReuse opens a connection to a server in a place that take has reserved. Where that is late to come up, one to the same
// server that is free sooner is taken instead, with the time that it has yet to settle, and the late one is kept for another
// attempt: on a network that loses a handshake it comes up a second later than the replies of others take.
func (p *Pool) dialOrReuse(ctx context.Context, to discovery.Host, waiter chan reply) (c *conn, fresh bool, settles time.Duration, err error) {
	dialCtx, cancel := context.WithCancel(context.Background())
	detach := context.AfterFunc(ctx, cancel) // the dial ends with the attempt, unless another connection has taken its place
	up := make(chan dialResult, 1)
	go func() {
		defer cancel()
		up <- p.dialWithRetries(dialCtx, ctx, to)
	}()
	late := time.NewTimer(lateDialThreshold)
	defer late.Stop()
	select {
	case d := <-up:
		detach()
		c, err = p.dialDone(d, to, waiter)
		return c, true, 0, err
	case <-late.C:
	}
	want := &wantConn{waiter: waiter, delivered: make(chan *conn, 1)}
	p.queueForIdleConn(to, want)
	select {
	case d := <-up:
		detach()
		p.cancelWantConn(to, want)
		c, err = p.dialDone(d, to, waiter)
		return c, true, 0, err
	case c = <-want.delivered:
	}
	detach()
	go p.keepLateConn(up, to)
	p.mu.Lock()
	defer p.mu.Unlock()
	return c, false, p.remainingSettleDelay(c, p.clock.Now()), nil
}

// dialWithRetries opens a connection in a place that reserve has taken, and gives the place back if it can't. What the node
// itself is short of for a moment is waited for: other servers would be dialed in vain as well.
func (p *Pool) dialWithRetries(ctx, attempt context.Context, to discovery.Host) dialResult {
	d := p.dialOnce(ctx, to)
	backoff := dialBackoff
	for dials := 1; dials < MaxDials && isLocalShortage(d.err); dials++ {
		clock.Sleep(ctx, backoff)
		if ctx.Err() != nil || attempt.Err() != nil { // an attempt's end takes a moment to reach its dial
			break
		}
		backoff *= 2
		d = p.dialOnce(ctx, to)
	}
	if d.err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.release()
	}
	return d
}

// dialOnce makes one connect.
func (p *Pool) dialOnce(ctx context.Context, to discovery.Host) dialResult {
	dial := p.dial
	if dial == nil {
		dial = p.netDialer().DialContext
	}
	begin := p.clock.Now()
	nc, err := dial(ctx, "tcp", to.Endpoint)
	return dialResult{conn: nc, duration: p.clock.Now() - begin, err: err}
}

// netDialer returns a dialer within the limits of now.
func (p *Pool) netDialer() *net.Dialer {
	p.mu.Lock()
	defer p.mu.Unlock()
	dialer := &net.Dialer{Timeout: p.limits.ConnectTimeout, KeepAlive: -1}
	if p.limits.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.limits.LocalIP}
	}
	return dialer
}

// dialDone returns the connection that has come up for an attempt, or why there is none.
func (p *Pool) dialDone(d dialResult, to discovery.Host, waiter chan reply) (*conn, error) {
	if isLocalShortage(d.err) {
		return nil, fmt.Errorf("connect to %s: %w: %w", to.Endpoint, errNoCapacity, d.err)
	}
	if d.err != nil {
		return nil, fmt.Errorf("connect to %s: %w", to.Endpoint, d.err)
	}
	c := p.newConn(d.conn, to, waiter)
	c.dialTime = d.duration
	return c, nil
}

// keepLateConn keeps a connection that comes up when its attempt has gone on by another.
func (p *Pool) keepLateConn(up <-chan dialResult, to discovery.Host) {
	d := <-up
	if d.err != nil {
		return
	}
	c := p.newConn(d.conn, to, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.discarded {
		return
	}
	c.dialTime = d.duration
	c.idleSince = p.clock.Now()
	p.putIdle(c)
}
