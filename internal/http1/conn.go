package http1

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/downstream"
	"damsontrestle/internal/netio"
)

// clientConn is a client's connection that can be closed while it waits for a request, and only then.
//
// Close, in the gap between net/http's read of a request and its report of StateActive, would lose
// that request. A read deadline in the past ends the wait, or comes too late for it: the request is
// then either read and answered, or left unread, and its client sends it again. Whether one has
// begun to be read is noted here, since net/http reads ahead of the request that it serves.
//
// While a request is served net/http waits for one more byte, to see the connection's end. Once that byte has come it
// sees no end any more, so that what follows is read ahead here.
type clientConn struct {
	net.Conn
	set            *downstream.Set
	totalReadAhead *atomic.Int64 // bytes that all connections of the front end have read ahead

	mu               sync.Mutex
	scanner          requestScanner
	requestsReceived int       // requests that net/http has brought to the front end
	requestsAnswered int       // of them
	requestStart     time.Time // when the first bytes of the request that is read were, or could have been
	lastRead         time.Time // when any were last
	lastWrite        time.Time // when bytes of a response were written last
	closing          bool
	cutOff           bool      // leaving, whatever still comes
	wroteAfterCut    bool      // a response was written once it was cut
	deadline         time.Time // as net/http wants it

	readAheadBuffer   []byte        // read ahead and not handed out yet
	readAheadDone     chan struct{} // closed once the goroutine that reads ahead has ended; nil: none was started
	stoppingReadAhead bool          // it is told to end
	readAheadOverflow bool          // more came than is read ahead
	readErr           error         // why nothing more can be read
	readEnded         chan struct{} // closed once end is known
	disconnected      chan struct{} // closed once hasDisconnected has said yes
}

func newClientConn(c net.Conn, set *downstream.Set, total *atomic.Int64) *clientConn {
	return &clientConn{Conn: c, set: set, totalReadAhead: total, readEnded: make(chan struct{}), disconnected: make(chan struct{})}
}

// Read hands out what was read ahead, or reads.
func (c *clientConn) Read(p []byte) (int, error) {
	c.stopReadAhead()
	n, err := c.consumeReadAhead(p)
	if n == 0 && err == nil {
		n, err = netio.Read(c.Conn, p)
		c.recordRead(p[:n], err)
	}
	if n == 1 && len(p) == 1 { // net/http has its byte behind a request, and watches no more
		c.startReadAhead()
	}
	return n, err
}

// recordRead notes what a read brought, for the scan of requests and the connection's times.
func (c *clientConn) recordRead(p []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 0 {
		c.lastRead = time.Now()
		if !c.hasUnansweredRequest() {
			c.requestStart = c.lastRead
		}
		c.scanner.feed(p)
		if c.closing && !c.cutOff {
			c.closing = false
			c.Conn.SetReadDeadline(c.deadline)
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.setReadErr(err)
	}
}

// setReadErr notes that nothing more can be read. The caller holds mu.
func (c *clientConn) setReadErr(err error) {
	if c.readErr == nil {
		c.readErr = err
		close(c.readEnded)
	}
}

// hasUnansweredRequest reports whether bytes of a request were read that is not answered. The caller holds mu.
func (c *clientConn) hasUnansweredRequest() bool {
	return c.scanner.requestsStarted > c.requestsAnswered
}

// hasEnded reports whether the other side has ended the connection, or its sending.
func (c *clientConn) hasEnded() bool {
	select {
	case <-c.readEnded:
		return true
	default:
		return false
	}
}

// hasDisconnected reports whether the other side has ended the connection, or its sending, by what the system knows: an end that
// nobody has read yet, or that stands behind bytes which nobody has, is one all the same.
func (c *clientConn) hasDisconnected() bool {
	if !c.hasEnded() && downstream.StateOf(c.Conn) != downstream.Ended {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.disconnected:
	default:
		close(c.disconnected)
	}
	return true
}

// Write begins before the client can have seen its response.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.lastWrite = time.Now()
	c.wroteAfterCut = c.cutOff
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 100 ")) { // the body that this asks for is still the request's
		c.requestsAnswered = c.requestsReceived
		if c.hasUnansweredRequest() {
			c.requestStart = c.lastWrite // the next one was not waited for before
		}
	}
	c.mu.Unlock()
	return netio.Write(c.Conn, p)
}

// Quiet implements downstream.Conn.
func (c *clientConn) Quiet() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastRead)
}

// requestStartTime returns when the first bytes of the request that is read were.
func (c *clientConn) requestStartTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestStart
}

// consumeHead reports whether the end of the body can be read in two ways, of the request that net/http has just read; see
// headScanner.consume.
func (c *clientConn) consumeHead(coded bool) (unframed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestsReceived++
	return c.scanner.consumeHead(coded)
}

// SetReadDeadline implements net.Conn. While the connection is being
// closed, or reading ahead stopped, the deadline is kept for when it goes on.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.closing || c.stoppingReadAhead {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// resetOnClose has the connection's close tell that something was cut.
func (c *clientConn) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWrite = time.Time{}
}

// isLastResponse reports whether the response under way may be the last on the connection, since no other request was read behind its
// own, and whether it must be, since more came than is read ahead.
func (c *clientConn) isLastResponse() (may, must bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.requestsStarted <= c.requestsReceived, c.readAheadOverflow
}

// CloseIdle implements downstream.Conn.
func (c *clientConn) CloseIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasUnansweredRequest() {
		c.closing = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.closing
}

// CutOff implements downstream.Conn.
func (c *clientConn) CutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.cutOff = true, true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// IsCut implements downstream.Conn.
func (c *clientConn) IsCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutOff
}

// HasBegun implements downstream.Conn.
func (c *clientConn) HasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasUnansweredRequest()
}

// Owes implements downstream.Conn.
func (c *clientConn) Owes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestsReceived > c.requestsAnswered
}
