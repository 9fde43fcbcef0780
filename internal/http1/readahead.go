package http1

import (
	"errors"
	"time"

	"damsontrestle/internal/netio"
	"damsontrestle/internal/validation"
)

// Limits of reading ahead, in bytes. Bytes beyond them are dropped: reading goes on, since the end of a connection can't be
// detected behind unread bytes. Requests that were read completely are answered; the connection ends with the one that was not.
const (
	maxConnReadAhead  = validation.MaxBufferedBody + maxHeaderBytes // of one connection: enough for one complete request
	maxTotalReadAhead = 4 << 20                                     // of all connections of a front end, or less; see InputBudget.ReadAheadLimit
	readAheadChunk    = 4 << 10
	dropBurst         = 64 << 10 // after which dropping pauses, so that a client that floods leaves the processor to others
)

// dropPause is how long dropping pauses.
const dropPause = time.Millisecond

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

// errInputDropped is returned by reads behind bytes that were dropped: what follows is the end of another request.
var errInputDropped = errors.New("read from client: bytes were dropped, beyond a limit on what is read ahead or on a head")

// withinReadAheadLimits returns bytes read ahead or, once the limits were exceeded, nil: what is dropped must not be scanned. Nothing is
// dropped once the response was sent completely: its client may rightly send the next request.
func (c *clientConn) withinReadAheadLimits(p []byte) (kept []byte) {
	totalLimit := c.set.Input().ReadAheadLimit(maxTotalReadAhead)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isResponseFinished() && !c.inputDropped {
		return p
	}
	if len(c.readAheadBuffer)+len(p) > maxConnReadAhead || c.totalReadAhead.Load()+int64(len(p)) > totalLimit {
		c.inputDropped = true
	}
	if c.inputDropped {
		return nil
	}
	return p
}

// appendReadAhead buffers bytes read ahead.
func (c *clientConn) appendReadAhead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAheadBuffer = append(c.readAheadBuffer, p...)
	c.totalReadAhead.Add(int64(len(p)))
}

// hasDroppedInput reports whether bytes were dropped, so that nothing more may be read from the connection.
func (c *clientConn) hasDroppedInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inputDropped
}

// readBehindDropped is Read behind bytes that were dropped. net/http's one-byte read, which detects the end of the connection while
// a request is served, drops bytes until then.
func (c *clientConn) readBehindDropped(p []byte) (int, error) {
	if len(p) != 1 {
		return 0, errInputDropped
	}
	buf := make([]byte, readAheadChunk)
	var pace dropPace
	for {
		n, err := netio.Read(c.Conn, buf)
		if err != nil {
			c.recordRead(nil, err)
			return 0, err
		}
		pace.drop(n)
	}
}

// dropPace slows down the dropping of input. Its zero value is ready to use.
type dropPace struct{ bytes int }

// drop counts dropped bytes, and pauses after each burst.
func (d *dropPace) drop(n int) {
	if d.bytes += n; d.bytes >= dropBurst {
		d.bytes = 0
		time.Sleep(dropPause)
	}
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

// readAheadLoop reads ahead until the response was sent completely, the connection ends or stopReadAhead is called.
func (c *clientConn) readAheadLoop(done chan struct{}) {
	defer close(done)
	buf := make([]byte, readAheadChunk)
	var pace dropPace
	for {
		n, err := netio.Read(c.Conn, buf)
		kept := c.withinReadAheadLimits(buf[:n])
		c.appendReadAhead(kept[:c.recordRead(kept, err)])
		if err != nil || c.mayStopReadingAhead() {
			return
		}
		if len(kept) < n {
			pace.drop(n)
		}
	}
}

// mayStopReadingAhead reports whether no client waits for a response, so that its disconnect need not be detected.
func (c *clientConn) mayStopReadingAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isResponseFinished() && !c.inputDropped
}

// finishResponse records that the last byte of the current response is about to be written.
func (c *clientConn) finishResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsesFinished = c.requestsReceived
}

// isResponseFinished reports whether the last byte of the current response may have been written. The caller holds mu.
func (c *clientConn) isResponseFinished() bool { return c.responsesFinished == c.requestsReceived }
