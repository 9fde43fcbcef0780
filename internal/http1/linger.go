package http1

import (
	"errors"
	"io"
	"net"
	"time"

	"damsontrestle/internal/downstream"
	"damsontrestle/internal/fairqueue"
)

// Limits on reading and discarding bytes after the last response, before the connection is closed.
const (
	responseDeliveryTime = time.Second // a response written longer ago is taken to have reached the client
	lingerTimeout        = 500 * time.Millisecond
	maxLingerBytes       = 1 << 20
)

// Close closes the connection. Closing with unread bytes resets the connection, and the client can lose a response that is
// still in flight. So after the last response Close shuts down only the write side, and reads and discards what arrives until
// the client closes too. A connection closed while it waits for a request has no response in flight: bytes that cross the
// close stay unread, so that the client can send them again. A connection that was cut off may have been sent a rejection, but
// its slot is needed: it lingers only if unread bytes would reset it now.
func (c *clientConn) Close() error {
	c.stopReadAhead()
	c.discardReadAhead()
	c.releaseHead()
	c.mu.Lock()
	linger := c.mayLoseResponse()
	c.mu.Unlock()
	if linger && c.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		discardInTurn(c.Conn, maxLingerBytes)
	}
	return c.Conn.Close()
}

// discardInTurn reads and drops a number of bytes, part by part in turn with other transfers, until the first error.
func discardInTurn(source io.Reader, bytes int) {
	transfer := fairqueue.Process.Begin(0)
	defer transfer.End()
	buffer := bodyParts.Get().(*[bodyPartSize]byte)
	defer bodyParts.Put(buffer)
	for bytes > 0 {
		transfer.Wait(bodyPartSize, nil)
		n, err := source.Read(buffer[:min(bytes, bodyPartSize)])
		if err != nil {
			return
		}
		bytes -= n
	}
}

// mayLoseResponse reports whether an immediate close could lose a response in flight. The caller holds mu.
func (c *clientConn) mayLoseResponse() bool {
	if time.Since(c.lastWrite) >= responseDeliveryTime || c.readErr != nil {
		return false
	}
	if !c.closing {
		return true
	}
	return c.wroteAfterCut && downstream.PeekSocket(c.Conn) == downstream.SocketUnread
}

// Abort implements downstream.Conn.
func (c *clientConn) Abort() error { return c.Conn.Close() }

// CloseWrite closes the write side. net/http calls it to linger after the response to a request that it did not read
// completely: an immediate close would reset the connection, and the response could be lost.
func (c *clientConn) CloseWrite() error {
	c.set.SetPhase(c, downstream.PhaseLingering)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}
