package http1

import (
	"errors"
	"io"
	"net"
	"time"

	"damsontrestle/internal/downstream"
)

// Bounds of what is read and thrown away behind the last response, before the connection is closed.
const (
	responseDeliveryTime = time.Second // a response that was written longer ago has arrived
	lingerTimeout        = 500 * time.Millisecond
	maxLingerBytes       = 1 << 20
)

// Close ends the connection. A close over bytes that nobody has read resets it, and takes along a response that is still
// on its way. So behind the last response only the sending ends, and what still comes is read and thrown away until the
// other side has closed as well. One that is closed while it waits has no response on its way: what crosses its close
// stays unread, so that its client may send it again. One that is cut off may have been sent a rejection, but its place
// is wanted: it lingers only over bytes that would reset it now.
func (c *clientConn) Close() error {
	c.stopReadAhead()
	c.discardReadAhead()
	c.mu.Lock()
	lingers := c.mayLoseResponse()
	c.mu.Unlock()
	if lingers && c.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	return c.Conn.Close()
}

// mayLoseResponse reports whether a response may be on its way that a close at once would take along. The caller holds mu.
func (c *clientConn) mayLoseResponse() bool {
	if time.Since(c.lastWrite) >= responseDeliveryTime || c.readErr != nil {
		return false
	}
	if !c.closing {
		return true
	}
	return c.wroteAfterCut && downstream.StateOf(c.Conn) == downstream.Unread
}

// Abort implements downstream.Conn.
func (c *clientConn) Abort() error { return c.Conn.Close() }

// CloseWrite lets net/http linger after a response to a request that it did not read completely: at once
// closed, the connection would be reset, and the response could be lost.
func (c *clientConn) CloseWrite() error {
	c.set.Move(c, downstream.Lingering)
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}
