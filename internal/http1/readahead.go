package http1

import (
	"time"

	"damsontrestle/internal/netio"
	"damsontrestle/internal/validation"
)

// Limits of reading ahead, in bytes. Bytes beyond them are dropped, and the current response is the last on its connection.
const (
	maxConnReadAhead  = validation.MaxBufferedBody + maxHeaderBytes // of one connection: enough for one complete request
	maxTotalReadAhead = 4 << 20                                     // of all connections of a front end
	readAheadChunk    = 4 << 10
)

// consumeReadAhead returns bytes that were read ahead or, if there are none, the error that ended reading, if any.
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

// appendReadAhead buffers bytes read ahead and returns them or, beyond the limits, nil: what is dropped must not be scanned.
func (c *clientConn) appendReadAhead(p []byte) (kept []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.readAheadBuffer)+len(p) > maxConnReadAhead || c.totalReadAhead.Load()+int64(len(p)) > maxTotalReadAhead {
		c.readAheadOverflow = true
	}
	if c.readAheadOverflow {
		return nil
	}
	c.readAheadBuffer = append(c.readAheadBuffer, p...)
	c.totalReadAhead.Add(int64(len(p)))
	return p
}

// discardReadAhead discards the bytes read ahead.
func (c *clientConn) discardReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totalReadAhead.Add(int64(-len(c.readAheadBuffer)))
	c.readAheadBuffer = nil
}

// startReadAhead starts reading ahead, unless reading has ended.
func (c *clientConn) startReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr == nil {
		c.readAheadDone = make(chan struct{})
		go c.readAheadLoop(c.readAheadDone)
	}
}

// stopReadAhead stops reading ahead and waits until the goroutine has ended.
func (c *clientConn) stopReadAhead() {
	c.mu.Lock()
	done := c.readAheadDone
	c.readAheadDone = nil
	if done != nil {
		c.stoppingReadAhead = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if done == nil {
		return
	}
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stoppingReadAhead = false
	if !c.closing {
		c.Conn.SetReadDeadline(c.deadline)
	}
}

// readAheadLoop reads ahead until the connection ends or stopReadAhead is called.
func (c *clientConn) readAheadLoop(done chan struct{}) {
	defer close(done)
	buf := make([]byte, readAheadChunk)
	for {
		n, err := netio.Read(c.Conn, buf)
		c.recordRead(c.appendReadAhead(buf[:n]), err)
		if err != nil {
			return
		}
	}
}
