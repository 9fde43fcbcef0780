package http1

import (
	"time"

	"damsontrestle/internal/netio"
	"damsontrestle/internal/validation"
)

// Bounds of what is read ahead, in bytes. What comes beyond is thrown away, and the answer under way is the last.
const (
	aheadMost  = validation.MaxBody + maxHeader // of one connection: room for one complete request
	aheadTotal = 4 << 20                        // of all connections of a front end
	aheadStep  = 4 << 10
)

// takeAhead hands out what was read ahead, and then how reading ended, if it has.
func (c *clientConn) takeAhead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		return 0, c.end
	}
	n := copy(p, c.ahead)
	c.aheadOfAll.Add(int64(-n))
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n, nil
}

// keepAhead keeps what was read ahead as far as there is room.
func (c *clientConn) keepAhead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead)+len(p) > aheadMost || c.aheadOfAll.Load()+int64(len(p)) > aheadTotal {
		c.flooded = true
	}
	if !c.flooded {
		c.ahead = append(c.ahead, p...)
		c.aheadOfAll.Add(int64(len(p)))
	}
}

// dropAhead forgets what was read ahead.
func (c *clientConn) dropAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aheadOfAll.Add(int64(-len(c.ahead)))
	c.ahead = nil
}

// startAhead has what follows read ahead.
func (c *clientConn) startAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == nil {
		c.reader = make(chan struct{})
		go c.readAhead(c.reader)
	}
}

// stopAhead returns once nobody reads ahead any more.
func (c *clientConn) stopAhead() {
	c.mu.Lock()
	reader := c.reader
	c.reader = nil
	if reader != nil {
		c.stopping = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if reader == nil {
		return
	}
	<-reader
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = false
	if !c.leaving {
		c.Conn.SetReadDeadline(c.deadline)
	}
}

// readAhead reads until the connection's end, or until it is stopped.
func (c *clientConn) readAhead(done chan struct{}) {
	defer close(done)
	buf := make([]byte, aheadStep)
	for {
		n, err := netio.Read(c.Conn, buf)
		c.note(buf[:n], err)
		c.keepAhead(buf[:n])
		if err != nil {
			return
		}
	}
}
