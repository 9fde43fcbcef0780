package http1

import (
	"time"

	"damsontrestle/internal/netio"
	"damsontrestle/internal/validation"
)

// Bounds of what is read ahead, in bytes. What comes beyond is thrown away, and the response under way is the last.
const (
	maxConnAhead  = validation.MaxBody + maxHeaderBytes // of one connection: room for one complete request
	maxTotalAhead = 4 << 20                             // of all connections of a front end
	aheadBuffer   = 4 << 10
)

// takeAhead hands out what was read ahead, and then how reading ended, if it has.
func (c *clientConn) takeAhead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		return 0, c.readErr
	}
	n := copy(p, c.ahead)
	c.totalAhead.Add(int64(-n))
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n, nil
}

// keepAhead keeps what was read ahead as far as there is room.
func (c *clientConn) keepAhead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead)+len(p) > maxConnAhead || c.totalAhead.Load()+int64(len(p)) > maxTotalAhead {
		c.aheadOverflow = true
	}
	if !c.aheadOverflow {
		c.ahead = append(c.ahead, p...)
		c.totalAhead.Add(int64(len(p)))
	}
}

// dropAhead forgets what was read ahead.
func (c *clientConn) dropAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totalAhead.Add(int64(-len(c.ahead)))
	c.ahead = nil
}

// startAhead has what follows read ahead.
func (c *clientConn) startAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr == nil {
		c.aheadDone = make(chan struct{})
		go c.readAhead(c.aheadDone)
	}
}

// stopAhead returns once nobody reads ahead any more.
func (c *clientConn) stopAhead() {
	c.mu.Lock()
	reader := c.aheadDone
	c.aheadDone = nil
	if reader != nil {
		c.stoppingAhead = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if reader == nil {
		return
	}
	<-reader
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stoppingAhead = false
	if !c.closing {
		c.Conn.SetReadDeadline(c.deadline)
	}
}

// readAhead reads until the connection's end, or until it is stopped.
func (c *clientConn) readAhead(done chan struct{}) {
	defer close(done)
	buf := make([]byte, aheadBuffer)
	for {
		n, err := netio.Read(c.Conn, buf)
		c.noteRead(buf[:n], err)
		c.keepAhead(buf[:n])
		if err != nil {
			return
		}
	}
}
