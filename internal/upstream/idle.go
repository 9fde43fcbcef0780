package upstream

import (
	"context"
	"slices"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
)

// connect returns the idle connection to a server that was used last, or a fresh one. The error wraps errNoCapacity if the node
// itself lacks resources.
func (p *Pool) connect(ctx context.Context, host discovery.Host, waiter chan reply) (c *conn, fresh bool, err error) {
	c, settleDelay, err := p.take(host, waiter)
	if c == nil && err == nil {
		c, fresh, settleDelay, err = p.dialOrReuse(ctx, host, waiter)
	}
	if settleDelay > 0 {
		clock.Sleep(ctx, settleDelay)
	}
	return c, fresh, err
}

// take returns an idle connection and its remaining settle delay, or nil once a place for a new connection is reserved. A
// connection that has not settled is taken if it will soon. If there is no place for another, it is replaced by a new one: waiting
// would let connections that settle limit the requests to a server. Without one, idle connections to other servers are closed.
func (p *Pool) take(host discovery.Host, waiter chan reply) (c *conn, settleDelay time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, settleDelay = p.earliestUsable(host)
	if (c == nil || settleDelay > p.maxSettleWait(c)) && p.reserve() {
		return nil, 0, nil
	}
	if c != nil && settleDelay > p.maxSettleWait(c) {
		p.discard(c, closeForCapacity)
		if p.reserve() {
			return nil, 0, nil
		}
		c = nil
	}
	if c != nil {
		p.removeIdle(c)
		c.waiter = waiter
		c.stage = stageIdle
		return c, settleDelay, nil
	}
	for p.discardOldestIdle(closeForCapacity) {
		if p.reserve() {
			return nil, 0, nil
		}
	}
	return nil, 0, errNoCapacity
}

// earliestUsable returns the idle connection to a host that is usable first and its remaining settle delay, or nil if there is
// none. Of the settled ones it is the one used last: the longer a connection has been idle, the likelier its server is about to
// close it. If none has settled, a connection whose wait is within its maxSettleWait is preferred, then the shortest wait. The
// caller holds mu.
func (p *Pool) earliestUsable(host discovery.Host) (c *conn, settleDelay time.Duration) {
	now := p.clock.Now()
	shortWait := false // c settles within its maxSettleWait
	for _, candidate := range slices.Backward(p.idle[host]) {
		remaining := p.remainingSettleDelay(candidate, now)
		if remaining <= 0 {
			return candidate, 0
		}
		short := remaining <= p.maxSettleWait(candidate)
		if c == nil || short && !shortWait || short == shortWait && remaining < settleDelay {
			c, settleDelay, shortWait = candidate, remaining, short
		}
	}
	return c, settleDelay
}

// reserve reserves a place for one more connection, and reports whether there was one. The caller holds mu.
func (p *Pool) reserve() bool {
	if p.open >= p.limits.MaxConnections || !p.share.TryAcquire() {
		return false
	}
	p.open++
	p.dialed++
	return true
}

// release frees the place of a connection. The caller holds mu.
func (p *Pool) release() {
	p.open--
	p.share.Release()
}

// putIdle delivers a connection to an attempt that waits for one, or keeps it idle for the next. It closes the connection if the
// pool is closed or the server is no longer ready as the incarnation that it was opened to. The caller holds mu.
func (p *Pool) putIdle(c *conn) {
	if p.closed {
		p.discard(c, closePoolClosed)
		return
	}
	if !p.isReady(c.host) {
		p.discard(c, closeServerNotReady)
		return
	}
	if p.deliverIdleConn(c) {
		return
	}
	p.idle[c.host] = append(p.idle[c.host], c)
}

// removeIdle removes a connection from the idle ones, if it is idle. The caller holds mu.
func (p *Pool) removeIdle(c *conn) {
	idle := p.idle[c.host]
	if i := slices.Index(idle, c); i >= 0 {
		p.idle[c.host] = slices.Delete(idle, i, i+1)
	}
	if len(p.idle[c.host]) == 0 {
		delete(p.idle, c.host)
	}
}

// discardOldestIdle closes the connection that has been idle for longest, and reports whether there was one. The caller holds
// mu.
func (p *Pool) discardOldestIdle(reason closeReason) bool {
	var oldest *conn
	for _, idle := range p.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].idleSince < oldest.idleSince) {
			oldest = idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.discard(oldest, reason)
	return true
}

// discardIdle closes the idle connections to a host. The caller holds mu.
func (p *Pool) discardIdle(h discovery.Host, reason closeReason) {
	for idle := p.idle[h]; len(idle) > 0; idle = p.idle[h] {
		p.discard(idle[len(idle)-1], reason)
	}
}
