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
	lingerAfter = time.Second // a response that was written longer ago has arrived
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// Close ends the connection. A close over bytes that nobody has read resets it, and takes along a response that is still
// on its way. So behind the last response only the sending ends, and what still comes is read and thrown away until the
// other side has closed as well. One that is closed while it waits has no response on its way: what crosses its close
// stays unread, so that its client may send it again. One that is cut off may have been sent a rejection, but its place
// is wanted: it lingers only over bytes that would reset it now.
func (c *clientConn) Close() error {
	c.stopAhead()
	c.dropAhead()
	c.mu.Lock()
	lingers := c.mustLinger()
	c.mu.Unlock()
	if lingers && c.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
}

// mustLinger reports whether a response may be on its way that a close at once would take along. The caller holds mu.
func (c *clientConn) mustLinger() bool {
	if time.Since(c.lastWrite) >= lingerAfter || c.readErr != nil {
		return false
	}
	if !c.closing {
		return true
	}
	return c.wroteAfterCut && downstream.PeekSocket(c.Conn) == downstream.SocketUnread
}

// Abort implements downstream.Conn.
func (c *clientConn) Abort() error { return c.Conn.Close() }

// CloseWrite lets net/http linger after a response to a request that it did not read completely: at once
// closed, the connection would be reset, and the response could be lost.
func (c *clientConn) CloseWrite() error {
	c.set.SetPhase(c, downstream.PhaseLingering)
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}
