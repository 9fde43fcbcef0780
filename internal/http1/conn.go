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

// clientConn is a client connection that can be closed while it waits for a request without losing one.
//
// Calling Close between net/http's read of a request and its report of StateActive would lose that request. Setting a read
// deadline in the past instead either ends the wait or takes effect too late: the request is then either read and answered,
// or left unread, and the client sends it again. clientConn itself tracks whether a request has started to arrive, since
// net/http reads beyond the request that it serves.
//
// While a request is served, net/http reads one more byte to detect the end of the connection. Once it has received that
// byte it no longer detects the end, so clientConn reads ahead itself from there.
type clientConn struct {
	net.Conn
	set            *downstream.Set
	pace           *downstream.Pace // of work that serves no request
	received       atomic.Int64     // bytes read from the connection
	unserved       atomic.Int64     // work that serves no request, in bytes, to be paced before the next read
	ended          chan struct{}    // closed once the connection is about to be closed
	markEnded      func()
	totalReadAhead *atomic.Int64 // bytes read ahead by all connections of the front end

	mu                sync.Mutex
	scanner           requestScanner
	requestsReceived  int       // requests that net/http has passed to the front end
	requestsAnswered  int       // requests whose response has begun
	responsesFinished int       // requests until whose response, inclusive, all were sent completely
	requestStart      time.Time // when the first bytes of the current request arrived, or could have been read
	lastRead          time.Time // when bytes were last read
	lastWrite         time.Time // when bytes of a response were last written
	closing           bool
	cutOff            bool          // AbortRead was called: further bytes don't reverse closing
	wroteAfterCut     bool          // the last write came after AbortRead
	deadline          time.Time     // the read deadline that net/http has set
	writeStall        time.Duration // longest time in which the client takes nothing of a write; 0: no limit

	readAheadBuffer   []byte                       // bytes read ahead that Read has not returned yet
	readAheadDone     chan struct{}                // closed when the read-ahead goroutine has ended; nil: none is running
	stoppingReadAhead bool                         // the read-ahead goroutine is being stopped
	inputDropped      bool                         // bytes were dropped: beyond the read-ahead limits, or behind a head that was refused
	headMemory        *downstream.InputReservation // of an incomplete head; nil: none
	headReserved      int                          // bytes of headMemory
	readErr           error                        // the error that ended reading
	readEnded         chan struct{}                // closed when readErr is set
	disconnected      chan struct{}                // closed when hasDisconnected has reported true
}

func newClientConn(conn net.Conn, set *downstream.Set, totalReadAhead *atomic.Int64) *clientConn {
	c := &clientConn{
		Conn:           conn,
		set:            set,
		pace:           set.Pacer().NewPace(),
		totalReadAhead: totalReadAhead,
		readEnded:      make(chan struct{}),
		disconnected:   make(chan struct{}),
		ended:          make(chan struct{}),
	}
	c.markEnded = sync.OnceFunc(func() { close(c.ended) })
	return c
}

// Read returns bytes that were read ahead, or else reads from the connection.
func (c *clientConn) Read(p []byte) (int, error) {
	if work := c.unserved.Load(); work > 0 && len(p) > 1 { // not for the one-byte read: a request is being served meanwhile
		c.unserved.Add(-work)
		c.pace.Spend(int(work), c.ended)
	}
	c.stopReadAhead()
	n, err := c.consumeReadAhead(p)
	if n == 0 && err == nil && c.hasDroppedInput() {
		return c.readBehindDropped(p)
	}
	if n == 0 && err == nil {
		n, err = netio.Read(c.Conn, p)
		n = c.recordRead(p[:n], err)
		c.reserveHead()
	}
	if n == 1 && len(p) == 1 { // net/http's one-byte read behind a request: it no longer detects the end of the connection
		c.startReadAhead()
	}
	return n, err
}

// recordRead passes the bytes of a read to the request scanner and updates the times and the read error. It returns how many of them
// may be passed on; the others count as dropped.
func (c *clientConn) recordRead(p []byte, err error) (accepted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received.Add(int64(len(p)))
	if len(p) > 0 {
		c.lastRead = time.Now()
		if !c.hasUnansweredRequest() {
			c.requestStart = c.lastRead
		}
		accepted = c.scanner.feed(p)
		c.inputDropped = c.inputDropped || accepted < len(p)
		if c.closing && !c.cutOff {
			c.closing = false
			c.Conn.SetReadDeadline(c.deadline)
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.setReadErr(err)
	}
	return accepted
}

// setReadErr records the error that ended reading. The caller holds mu.
func (c *clientConn) setReadErr(err error) {
	if c.readErr == nil {
		c.readErr = err
		close(c.readEnded)
	}
}

// hasUnansweredRequest reports whether bytes of a request without a response were read. The caller holds mu.
func (c *clientConn) hasUnansweredRequest() bool {
	return c.scanner.requestsStarted > c.requestsAnswered
}

// hasEnded reports whether reading has ended: the client has closed the connection or its write side, or the connection has
// failed.
func (c *clientConn) hasEnded() bool {
	select {
	case <-c.readEnded:
		return true
	case <-c.disconnected: // the end was not read yet
		return true
	default:
		return false
	}
}

// hasDisconnected reports whether the client has closed the connection or its write side, according to the operating system:
// an end that has not been read yet counts, also one behind unread bytes.
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

// Write implements net.Conn. It records the response before any byte of it can reach the client.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.lastWrite = time.Now()
	c.wroteAfterCut = c.cutOff
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 100 ")) { // the body sent after 100 Continue belongs to the same request
		c.requestsAnswered = c.requestsReceived
		if c.hasUnansweredRequest() {
			c.requestStart = c.lastWrite // the node did not wait for the next request until now
		}
	}
	stall := c.writeStall
	c.mu.Unlock()
	write := func(part []byte) (int, error) { return netio.Write(c.Conn, part) }
	if stall == 0 {
		return write(p)
	}
	return netio.WriteWhileTaken(c.Conn, p, stall, write)
}

// SetWriteDeadline implements net.Conn. The time until the deadline limits how long the client may take nothing, not a write: a client
// that reads slowly is waited for.
func (c *clientConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStall = 0
	if !t.IsZero() {
		c.writeStall = max(time.Until(t), time.Nanosecond)
	}
	return c.Conn.SetWriteDeadline(t)
}

// SinceLastRead implements downstream.Conn.
func (c *clientConn) SinceLastRead() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastRead)
}

// requestStartTime returns when the first bytes of the current request arrived.
func (c *clientConn) requestStartTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestStart
}

// consumeHead reports whether the end of the body of the request that net/http has just read can be determined in two ways;
// see headScanner.consume.
func (c *clientConn) consumeHead(hasTransferCoding bool) (ambiguousLength bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestsReceived++
	return c.scanner.consumeHead(hasTransferCoding)
}

// SetReadDeadline implements net.Conn. While the connection is closing or reading ahead is being stopped, the deadline is
// only stored, to be set if reading continues.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.closing || c.stoppingReadAhead {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// resetOnClose makes Close reset the connection, so that the client can tell that the response is truncated.
func (c *clientConn) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWrite = time.Time{}
}

// mayCloseAfterResponse reports whether the current response may be the last on the connection, since no further request was
// read.
func (c *clientConn) mayCloseAfterResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.requestsStarted <= c.requestsReceived
}

// CloseIdle implements downstream.Conn.
func (c *clientConn) CloseIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasUnansweredRequest() {
		c.markEnded()
		c.closing = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.closing
}

// AbortRead implements downstream.Conn.
func (c *clientConn) AbortRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markEnded()
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
	return c.hasUnansweredRequest()
}

// ResponsePending implements downstream.Conn.
func (c *clientConn) ResponsePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestsReceived > c.requestsAnswered
}
