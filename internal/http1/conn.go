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
	set        *downstream.Set
	totalAhead *atomic.Int64 // bytes that all connections of the front end have read ahead

	mu            sync.Mutex
	scanner       requestScan
	served        int       // requests that net/http has brought to the front end
	answered      int       // of them
	begunAt       time.Time // when the first bytes of the request that is read were, or could have been
	lastRead      time.Time // when any were last
	lastWrite     time.Time // when bytes of a response were written last
	closing       bool
	cutOff        bool      // leaving, whatever still comes
	wroteAfterCut bool      // a response was written once it was cut
	deadline      time.Time // as net/http wants it

	ahead         []byte        // read ahead and not handed out yet
	aheadDone     chan struct{} // closed once the goroutine that reads ahead has ended; nil: none was started
	stoppingAhead bool          // it is told to end
	aheadOverflow bool          // more came than is read ahead
	readErr       error         // why nothing more can be read
	ended         chan struct{} // closed once end is known
	disconnected  chan struct{} // closed once hasDisconnected has said yes
}

func newClientConn(c net.Conn, set *downstream.Set, total *atomic.Int64) *clientConn {
	return &clientConn{Conn: c, set: set, totalAhead: total, ended: make(chan struct{}), disconnected: make(chan struct{})}
}

// Read hands out what was read ahead, or reads.
func (c *clientConn) Read(p []byte) (int, error) {
	c.stopAhead()
	n, err := c.takeAhead(p)
	if n == 0 && err == nil {
		n, err = netio.Read(c.Conn, p)
		c.noteRead(p[:n], err)
	}
	if n == 1 && len(p) == 1 { // net/http has its byte behind a request, and watches no more
		c.startAhead()
	}
	return n, err
}

// noteRead notes what a read brought, for the scan of requests and the connection's times.
func (c *clientConn) noteRead(p []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 0 {
		c.lastRead = time.Now()
		if !c.pending() {
			c.begunAt = c.lastRead
		}
		c.scanner.feed(p)
		if c.closing && !c.cutOff {
			c.closing = false
			c.Conn.SetReadDeadline(c.deadline)
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.finish(err)
	}
}

// finish notes that nothing more can be read. The caller holds mu.
func (c *clientConn) finish(err error) {
	if c.readErr == nil {
		c.readErr = err
		close(c.ended)
	}
}

// pending reports whether bytes of a request were read that is not answered. The caller holds mu.
func (c *clientConn) pending() bool { return c.scanner.begun > c.answered }

// hasEnded reports whether the other side has ended the connection, or its sending.
func (c *clientConn) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// hasDisconnected reports whether the other side has ended the connection, or its sending, by what the system knows: an end that
// nobody has read yet, or that stands behind bytes which nobody has, is one all the same.
func (c *clientConn) hasDisconnected() bool {
	if !c.hasEnded() && downstream.PeekSocket(c.Conn) != downstream.SocketClosed {
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
		c.answered = c.served
		if c.pending() {
			c.begunAt = c.lastWrite // the next one was not waited for before
		}
	}
	c.mu.Unlock()
	return netio.Write(c.Conn, p)
}

// SinceLastRead implements downstream.Conn.
func (c *clientConn) SinceLastRead() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastRead)
}

// Begun returns when the first bytes of the request that is read were.
func (c *clientConn) Begun() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begunAt
}

// takeHead reports whether the end of the body can be read in two ways, of the request that net/http has just read; see
// headScan.take.
func (c *clientConn) takeHead(coded bool) (unframed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served++
	return c.scanner.take(coded)
}

// SetReadDeadline implements net.Conn. While the connection is being
// closed, or reading ahead stopped, the deadline is kept for when it goes on.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.closing || c.stoppingAhead {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// reset has the connection's close tell that something was cut.
func (c *clientConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWrite = time.Time{}
}

// isLast reports whether the response under way may be the last on the connection, since no other request was read behind its
// own, and whether it must be, since more came than is read ahead.
func (c *clientConn) isLast() (may, must bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.begun <= c.served, c.aheadOverflow
}

// CloseIdle implements downstream.Conn.
func (c *clientConn) CloseIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pending() {
		c.closing = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.closing
}

// AbortRead implements downstream.Conn.
func (c *clientConn) AbortRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.cutOff = true, true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// ReadAborted implements downstream.Conn.
func (c *clientConn) ReadAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutOff
}

// RequestStarted implements downstream.Conn.
func (c *clientConn) RequestStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending()
}

// ResponsePending implements downstream.Conn.
func (c *clientConn) ResponsePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served > c.answered
}
