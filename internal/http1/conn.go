package http1

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"woodpick/internal/callers"
)

// callerConn is a caller's connection that can be let go while it waits for a request, and only then.
//
// Close, in the gap between net/http's read of a request and its report of StateActive, would lose
// that request. A read deadline in the past ends the wait, or comes too late for it: the request is
// then either read and answered, or left unread, and its client sends it again. Whether one has
// begun to be read is noted here, since net/http reads its first byte early when the client is quick:
// behind an answer, before it reports StateIdle.
type callerConn struct {
	net.Conn
	mu       sync.Mutex
	begun    bool      // bytes were read since the last answer
	at       time.Time // when the first of them were
	heard    time.Time // when any were last
	scan     headScan
	leaving  bool
	cut      bool      // leaving, whatever still comes
	deadline time.Time // as net/http wants it

	set *callers.Set
}

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.heard = time.Now()
		if !c.begun {
			c.at = c.heard
		}
		c.begun = true
		c.scan.feed(p[:n])
		if c.leaving && !c.cut {
			c.leaving = false
			c.Conn.SetReadDeadline(c.deadline)
		}
	}
	return n, err
}

// Write begins before the client can have sent its next request.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 100 ")) { // the body that this asks for is no next request
		c.begun = false
		c.scan.again()
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Quiet implements callers.Conn.
func (c *callerConn) Quiet() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.heard)
}

// Begun is when the first bytes of the request that is read were.
func (c *callerConn) Begun() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// takeHead tells of the head of the request that net/http has just read; see headScan.take.
func (c *callerConn) takeHead(coded bool) (unframed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scan.take(coded)
}

func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.leaving {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// reset has the connection's close tell that something was cut.
func (c *callerConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// CloseWrite lets net/http linger after an answer to a request that it did not read whole: at once
// closed, the connection would be reset, and the answer could be lost.
func (c *callerConn) CloseWrite() error {
	c.set.Move(c, callers.Lingering)
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// LetGo implements callers.Conn.
func (c *callerConn) LetGo() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		c.leaving = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.leaving
}

// CutOff implements callers.Conn.
func (c *callerConn) CutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving, c.cut = true, true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// IsCut implements callers.Conn.
func (c *callerConn) IsCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// HasBegun implements callers.Conn.
func (c *callerConn) HasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// callerListener makes callerConns.
type callerListener struct {
	net.Listener
	set *callers.Set
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.set.Accept(l.Listener)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, set: l.set}, nil
}

// Close leaves the listener to whoever opened it: net/http closes what it has accepted from.
func (callerListener) Close() error { return nil }

type connKey struct{}

// withConn has a request's context tell its connection.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

// track follows what net/http tells of a connection.
func (f *Front) track(nc net.Conn, state http.ConnState) {
	c := nc.(*callerConn)
	switch state {
	case http.StateNew:
		f.callers.Add(c, f)
	case http.StateActive:
		f.callers.Move(c, callers.Reading)
	case http.StateIdle:
		f.callers.Move(c, callers.Idle)
	default:
		f.callers.Remove(c)
	}
}
