package upstream

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
)

// lateDialAfter is how long a connection may take to come up before its attempt borrows another. It is longer than any that comes up
// at once takes, and as short as a wait for one to settle.
const lateDialAfter = 10 * time.Millisecond

// MaxDials is how many connects one attempt makes at most, the further ones after failures for want of something on this
// machine.
const MaxDials = 4

// dialBackoff is the backoff before the second connect; it doubles with each.
const dialBackoff = 5 * time.Millisecond

// dialResult is how the opening of a connection ended.
type dialResult struct {
	conn net.Conn
	took time.Duration // that it took to come up
	err  error
}

// wantConn is an attempt whose own connection is late to come up. Until it is, the attempt takes one to the same server whose
// exchange has ended.
type wantConn struct {
	waiter    chan reply
	delivered chan *conn // takes one
}

// dialOrReuse opens a connection to a server. Where that is late to come up, one to the same server that is free sooner is
// taken instead, and the late one is kept for another attempt: on a network that loses a handshake it comes up a second later
// than the answers of others take.
func (p *Pool) dialOrReuse(ctx context.Context, to discovery.Host, waiter chan reply) (c *conn, fresh bool, err error) {
	opening, cancel := context.WithCancel(context.Background())
	detach := context.AfterFunc(ctx, cancel) // it ends with the attempt, unless another connection has taken its place
	up := make(chan dialResult, 1)
	go func() {
		defer cancel()
		up <- p.dialWithRetries(opening, to)
	}()
	late := time.NewTimer(lateDialAfter)
	defer late.Stop()
	select {
	case d := <-up:
		detach()
		return p.dialDone(d, to, waiter)
	case <-late.C:
	}
	w := &wantConn{waiter: waiter, delivered: make(chan *conn, 1)}
	p.queueWant(to, w)
	select {
	case d := <-up:
		detach()
		p.cancelWant(to, w)
		return p.dialDone(d, to, waiter)
	case c = <-w.delivered:
	}
	detach()
	go p.keepLateConn(up, to)
	clock.Sleep(ctx, p.settles(c))
	return c, false, nil
}

// dialWithRetries opens a connection in a place that reserve has taken. What the node itself is short of for a moment is waited for: other
// servers would be dialed in vain as well.
func (p *Pool) dialWithRetries(ctx context.Context, to discovery.Host) dialResult {
	d := p.dialOnce(ctx, to)
	pause := dialBackoff
	for try := 1; try < MaxDials && isLocalShortage(d.err); try++ {
		if clock.Sleep(ctx, pause); ctx.Err() != nil {
			break
		}
		pause *= 2
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
	p.mu.Lock()
	dialer := net.Dialer{Timeout: p.limits.ConnectTimeout, KeepAlive: -1}
	if p.limits.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.limits.LocalIP}
	}
	p.mu.Unlock()
	dial := dialer.DialContext
	if p.dial != nil {
		dial = p.dial
	}
	begin := p.clock.Now()
	nc, err := dial(ctx, "tcp", to.Endpoint)
	return dialResult{nc, p.clock.Now() - begin, err}
}

// dialDone is a connection that has come up for an attempt, or why there is none.
func (p *Pool) dialDone(d dialResult, to discovery.Host, waiter chan reply) (c *conn, fresh bool, err error) {
	if d.err == nil {
		c = p.newConn(d.conn, to, waiter)
		c.dialTime = d.took
		return c, true, nil
	}
	if isLocalShortage(d.err) {
		return nil, true, fmt.Errorf("connect: %w: %w", errNoCapacity, d.err)
	}
	return nil, true, fmt.Errorf("connect: %w", d.err)
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
	c.dialTime, c.idleSince = d.took, p.clock.Now()
	p.putIdle(c)
}

// queueWant has an attempt take a connection to a server as soon as one is of use.
func (p *Pool) queueWant(to discovery.Host, w *wantConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanting[to] = append(p.wanting[to], w)
	if c, _ := p.soonest(to); c != nil {
		p.unlist(c)
		p.deliver(c)
	}
}

// deliver gives a free connection to the attempt that has waited for longest, if one does. The caller holds mu.
func (p *Pool) deliver(c *conn) bool {
	if len(p.wanting[c.host]) == 0 {
		return false
	}
	w := p.wanting[c.host][0]
	p.removeWant(c.host, w)
	c.waiter, c.stage = w.waiter, stageIdle
	w.delivered <- c
	return true
}

// cancelWant says that an attempt needs no other connection any more. One that it was lent meanwhile is free again.
func (p *Pool) cancelWant(to discovery.Host, w *wantConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeWant(to, w)
	select {
	case c := <-w.delivered:
		if c.waiter == w.waiter {
			c.waiter = nil
			p.putIdle(c)
		}
	default:
	}
}

// removeWant takes an attempt from those that wait. The caller holds mu.
func (p *Pool) removeWant(to discovery.Host, w *wantConn) {
	p.wanting[to] = slices.DeleteFunc(p.wanting[to], func(other *wantConn) bool { return other == w })
	if len(p.wanting[to]) == 0 {
		delete(p.wanting, to)
	}
}

// settles is how long a connection has yet to settle.
func (p *Pool) settles(c *conn) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.idleSince + p.limits.Settle - p.clock.Now()
}
