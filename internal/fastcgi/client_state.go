package fastcgi

import (
	"time"

	"damsontrestle/internal/downstream"
)

// phase tells downstream.Set what the connection does. The caller holds mu.
func (c *client) phase() {
	for _, r := range c.calls {
		if r.with != nil {
			return // Open, by Begin
		}
	}
	if len(c.calls) > 0 {
		c.front.callers.SetPhase(c, downstream.PhaseReading)
	} else {
		c.front.callers.SetPhase(c, downstream.PhaseIdle)
	}
}

// leave ends all that is open: the web server has gone, or can't be talked to any more.
func (c *client) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.calls {
		if r.with != nil {
			r.with.Disconnect(c.front.clock.Now())
			c.front.figures.ClientDisconnected()
		}
		r.over = true
		r.left.Store(true)
		close(r.gone)
	}
	clear(c.calls)
}

// CloseIdle implements downstream.Conn.
func (c *client) CloseIdle() bool {
	c.state.Lock()
	defer c.state.Unlock()
	if !c.midway && c.reading == 0 {
		c.leaving = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.leaving
}

// Abort implements downstream.Conn.
func (c *client) Abort() error { return c.Conn.Close() }

// AbortRead implements downstream.Conn.
func (c *client) AbortRead() {
	c.state.Lock()
	defer c.state.Unlock()
	c.leaving, c.cut = true, true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// ReadAborted implements downstream.Conn.
func (c *client) ReadAborted() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.cut
}

// RequestStarted implements downstream.Conn.
func (c *client) RequestStarted() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.midway || c.reading > 0
}

// ResponsePending implements downstream.Conn.
func (c *client) ResponsePending() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.owed > 0
}

// SinceLastRead implements downstream.Conn.
func (c *client) SinceLastRead() time.Duration {
	c.state.Lock()
	defer c.state.Unlock()
	return time.Since(c.heard)
}
