package fastcgi

import (
	"time"

	"damsontrestle/internal/downstream"
)

// updatePhase sets the connection's phase in downstream.Set. The caller holds mu.
func (c *client) updatePhase() {
	for _, req := range c.requests {
		if req.dispatched != nil {
			return // Set.Begin has made the phase Open
		}
	}
	if len(c.requests) > 0 {
		c.front.clients.SetPhase(c, downstream.PhaseReading)
	} else {
		c.front.clients.SetPhase(c, downstream.PhaseIdle)
	}
}

// disconnectAll ends all open requests: the web server has disconnected, or the connection is unusable.
func (c *client) disconnectAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, req := range c.requests {
		if req.dispatched != nil {
			req.dispatched.Disconnect(c.front.clock.Now())
			c.front.counters.ClientDisconnected()
		}
		req.finished = true
		req.disconnected.Store(true)
		close(req.done)
	}
	clear(c.requests)
}

// CloseIdle implements downstream.Conn.
func (c *client) CloseIdle() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if !c.midRecord && c.incomplete == 0 {
		c.interrupted = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.interrupted
}

// Abort implements downstream.Conn.
func (c *client) Abort() error { return c.Conn.Close() }

// AbortRead implements downstream.Conn.
func (c *client) AbortRead() {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	c.interrupted, c.cutOff = true, true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// ReadAborted implements downstream.Conn.
func (c *client) ReadAborted() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return c.cutOff
}

// RequestStarted implements downstream.Conn.
func (c *client) RequestStarted() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return c.midRecord || c.incomplete > 0
}

// ResponsePending implements downstream.Conn.
func (c *client) ResponsePending() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return c.unanswered > 0
}

// SinceLastRead implements downstream.Conn.
func (c *client) SinceLastRead() time.Duration {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return time.Since(c.lastRead)
}
