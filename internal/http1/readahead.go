package http1

import (
	"time"

	"damsontrestle/internal/netio"
	"damsontrestle/internal/validation"
)

// Bounds of what is read ahead, in bytes. What comes beyond is thrown away, and the response under way is the last.
const (
	maxConnReadAhead  = validation.MaxBufferedBody + maxHeaderBytes // of one connection: room for one complete request
	maxTotalReadAhead = 4 << 20                                     // of all connections of a front end
	readAheadChunk    = 4 << 10
)

// consumeReadAhead hands out what was read ahead, and then how reading ended, if it has.
func (c *clientConn) consumeReadAhead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.readAheadBuffer) == 0 {
		return 0, c.readErr
	}
	n := copy(p, c.readAheadBuffer)
	c.totalReadAhead.Add(int64(-n))
	if c.readAheadBuffer = c.readAheadBuffer[n:]; len(c.readAheadBuffer) == 0 {
		c.readAheadBuffer = nil
	}
	return n, nil
}

// appendReadAhead keeps what was read ahead as far as there is room.
func (c *clientConn) appendReadAhead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.readAheadBuffer)+len(p) > maxConnReadAhead || c.totalReadAhead.Load()+int64(len(p)) > maxTotalReadAhead {
		c.readAheadOverflow = true
	}
	if !c.readAheadOverflow {
		c.readAheadBuffer = append(c.readAheadBuffer, p...)
		c.totalReadAhead.Add(int64(len(p)))
	}
}

// discardReadAhead forgets what was read ahead.
func (c *clientConn) discardReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totalReadAhead.Add(int64(-len(c.readAheadBuffer)))
	c.readAheadBuffer = nil
}

// startReadAhead has what follows read ahead.
func (c *clientConn) startReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr == nil {
		c.readAheadDone = make(chan struct{})
		go c.readAheadLoop(c.readAheadDone)
	}
}

// stopReadAhead returns once nobody reads ahead any more.
func (c *clientConn) stopReadAhead() {
	c.mu.Lock()
	reader := c.readAheadDone
	c.readAheadDone = nil
	if reader != nil {
		c.stoppingReadAhead = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if reader == nil {
		return
	}
	<-reader
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stoppingReadAhead = false
	if !c.closing {
		c.Conn.SetReadDeadline(c.deadline)
	}
}

// readAheadLoop reads until the connection's end, or until it is stopped.
func (c *clientConn) readAheadLoop(done chan struct{}) {
	defer close(done)
	buf := make([]byte, readAheadChunk)
	for {
		n, err := netio.Read(c.Conn, buf)
		c.recordRead(buf[:n], err)
		c.appendReadAhead(buf[:n])
		if err != nil {
			return
		}
	}
}
