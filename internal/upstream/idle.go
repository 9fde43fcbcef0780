package upstream

import (
	"context"
	"slices"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
)

// connect returns an idle connection to a server, the one used last, or a fresh one. The error wraps errNoCapacity if the
// node itself is short of something.
func (p *Pool) connect(ctx context.Context, to discovery.Host, waiter chan reply) (c *conn, fresh bool, err error) {
	c, settles, err := p.take(to, waiter)
	if c == nil && err == nil {
		c, fresh, settles, err = p.dialOrReuse(ctx, to, waiter)
	}
	if settles > 0 {
		clock.Sleep(ctx, settles)
	}
	return c, fresh, err
}

// take returns an idle connection and how long it has yet to settle, or nil once a place to open one is reserved. One that
// has not settled is taken if it soon will have, or if no other can be opened. When short, idle connections to other servers
// are closed.
func (p *Pool) take(to discovery.Host, waiter chan reply) (c *conn, settles time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, settles = p.earliestUsable(to)
	if (c == nil || settles > c.maxSettleWait()) && p.reserve() {
		return nil, 0, nil
	}
	if c != nil {
		p.removeIdle(c)
		c.waiter = waiter
		c.stage = stageIdle
		return c, settles, nil
	}
	for p.discardOldestIdle() {
		if p.reserve() {
			return nil, 0, nil
		}
	}
	return nil, 0, errNoCapacity
}

// earliestUsable returns the idle connection to a host that is of use first, and how long it has yet to settle; nil: there is none.
// Of those that have settled it is the one used last: one that has been idle for longer is likelier to be closed by its server
// just then. Only where none has settled one is waited for, and rather one that may be. The caller holds mu.
func (p *Pool) earliestUsable(to discovery.Host) (c *conn, settles time.Duration) {
	now := p.clock.Now()
	mayWait := false // for c
	for _, candidate := range slices.Backward(p.idle[to]) {
		remaining := p.remainingSettleDelay(candidate, now)
		if remaining <= 0 {
			return candidate, 0
		}
		may := remaining <= candidate.maxSettleWait()
		if c == nil || may && !mayWait || may == mayWait && remaining < settles {
			c, settles, mayWait = candidate, remaining, may
		}
	}
	return c, settles
}

// remainingSettleDelay returns how long a connection has yet to settle at a clock time; not positive: it has. The caller holds mu.
func (p *Pool) remainingSettleDelay(c *conn, now time.Duration) time.Duration {
	return c.idleSince + p.limits.SettleDelay - now
}

// reserve takes a place for one more connection, if there is one. The caller holds mu.
func (p *Pool) reserve() bool {
	if p.open >= p.limits.MaxConnections || !p.share.TryAcquire() {
		return false
	}
	p.open++
	p.dialed++
	return true
}

// release gives a connection's place back. The caller holds mu.
func (p *Pool) release() {
	p.open--
	p.share.Release()
}

// putIdle keeps a connection for the next attempt, if its server is still the incarnation that it was opened to. The caller
// holds mu.
func (p *Pool) putIdle(c *conn) {
	if p.closed || !p.isReady(c.host) {
		p.discard(c)
		return
	}
	if p.deliverIdleConn(c) {
		return
	}
	p.idle[c.host] = append(p.idle[c.host], c)
}

// removeIdle takes a connection from the idle ones, if it is among them. The caller holds mu.
func (p *Pool) removeIdle(c *conn) {
	idle := p.idle[c.host]
	if i := slices.Index(idle, c); i >= 0 {
		p.idle[c.host] = slices.Delete(idle, i, i+1)
	}
	if len(p.idle[c.host]) == 0 {
		delete(p.idle, c.host)
	}
}

// discardOldestIdle closes the connection that has been idle for longest. It reports whether there was one. The caller holds mu.
func (p *Pool) discardOldestIdle() bool {
	var oldest *conn
	for _, idle := range p.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].idleSince < oldest.idleSince) {
			oldest = idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.discard(oldest)
	return true
}

// discardIdle closes the idle connections to a host. The caller holds mu.
func (p *Pool) discardIdle(h discovery.Host) {
	for idle := p.idle[h]; len(idle) > 0; idle = p.idle[h] {
		p.discard(idle[len(idle)-1])
	}
}
