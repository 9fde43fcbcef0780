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
		c.front.callers.Move(c, downstream.Reading)
	} else {
		c.front.callers.Move(c, downstream.Idle)
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

// CutOff implements downstream.Conn.
func (c *client) CutOff() {
	c.state.Lock()
	defer c.state.Unlock()
	c.leaving, c.cut = true, true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// IsCut implements downstream.Conn.
func (c *client) IsCut() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.cut
}

// HasBegun implements downstream.Conn.
func (c *client) HasBegun() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.midway || c.reading > 0
}

// Owes implements downstream.Conn.
func (c *client) Owes() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.owed > 0
}

// Quiet implements downstream.Conn.
func (c *client) Quiet() time.Duration {
	c.state.Lock()
	defer c.state.Unlock()
	return time.Since(c.heard)
}
