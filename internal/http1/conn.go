package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"woodpick/internal/callers"
	"woodpick/internal/intake"
)

// callerConn is a caller's connection that can be let go while it waits for a request, and only then.
//
// Close, in the gap between net/http's read of a request and its report of StateActive, would lose
// that request. A read deadline in the past ends the wait, or comes too late for it: the request is
// then either read and answered, or left unread, and its client sends it again. Whether one has
// begun to be read is noted here, since net/http reads ahead of the request that it serves.
//
// While a request is served net/http waits for one more byte, to see the connection's end. Once that byte has come it
// sees no end any more, so that what follows is read ahead here.
type callerConn struct {
	net.Conn
	set        *callers.Set
	aheadOfAll *atomic.Int64 // bytes that all connections of the front have read ahead

	mu       sync.Mutex
	scan     requestScan
	served   int       // requests that net/http has brought to the front
	answered int       // of them
	at       time.Time // when the first bytes of the request that is read were, or could have been
	heard    time.Time // when any were last
	told     time.Time // when bytes of an answer were written last
	leaving  bool
	cut      bool      // leaving, whatever still comes
	deadline time.Time // as net/http wants it

	ahead    []byte        // read ahead and not handed out yet
	reader   chan struct{} // closed once the goroutine that reads ahead has ended; nil: none was started
	stopping bool          // it is told to end
	flooded  bool          // more came than is read ahead
	end      error         // why nothing more can be read
	gone     chan struct{} // closed once end is known
}

// Bounds of what is read ahead, in bytes. What comes beyond is thrown away, and the answer under way is the last.
const (
	aheadMost  = intake.MaxBody + maxHeader // of one connection: room for one whole request
	aheadTotal = 4 << 20                    // of all connections of a front
	aheadStep  = 4 << 10
)

func newCallerConn(c net.Conn, set *callers.Set, total *atomic.Int64) *callerConn {
	return &callerConn{Conn: c, set: set, aheadOfAll: total, gone: make(chan struct{})}
}

// Read hands out what was read ahead, or reads.
func (c *callerConn) Read(p []byte) (int, error) {
	c.stopAhead()
	n, err := c.takeAhead(p)
	if n == 0 && err == nil {
		n, err = c.Conn.Read(p)
		c.note(p[:n], err)
	}
	if n == 1 && len(p) == 1 { // net/http has its byte behind a request, and watches no more
		c.startAhead()
	}
	return n, err
}

// takeAhead hands out what was read ahead, and then how reading ended, if it has.
func (c *callerConn) takeAhead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		return 0, c.end
	}
	n := copy(p, c.ahead)
	c.aheadOfAll.Add(int64(-n))
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n, nil
}

// keepAhead keeps what was read ahead as far as there is room.
func (c *callerConn) keepAhead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead)+len(p) > aheadMost || c.aheadOfAll.Load()+int64(len(p)) > aheadTotal {
		c.flooded = true
	}
	if !c.flooded {
		c.ahead = append(c.ahead, p...)
		c.aheadOfAll.Add(int64(len(p)))
	}
}

// dropAhead forgets what was read ahead.
func (c *callerConn) dropAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aheadOfAll.Add(int64(-len(c.ahead)))
	c.ahead = nil
}

// note keeps what a read brought.
func (c *callerConn) note(p []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 0 {
		c.heard = time.Now()
		if !c.pending() {
			c.at = c.heard
		}
		c.scan.feed(p)
		if c.leaving && !c.cut {
			c.leaving = false
			c.Conn.SetReadDeadline(c.deadline)
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.finish(err)
	}
}

// finish notes that nothing more can be read. The caller holds mu.
func (c *callerConn) finish(err error) {
	if c.end == nil {
		c.end = err
		close(c.gone)
	}
}

// pending says that bytes of a request were read that is not answered. The caller holds mu.
func (c *callerConn) pending() bool { return c.scan.begun > c.answered }

// startAhead has what follows read ahead.
func (c *callerConn) startAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == nil {
		c.reader = make(chan struct{})
		go c.readAhead(c.reader)
	}
}

// stopAhead returns once nobody reads ahead any more.
func (c *callerConn) stopAhead() {
	c.mu.Lock()
	reader := c.reader
	c.reader = nil
	if reader != nil {
		c.stopping = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if reader == nil {
		return
	}
	<-reader
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = false
	if !c.leaving {
		c.Conn.SetReadDeadline(c.deadline)
	}
}

// readAhead reads until the connection's end, or until it is stopped.
func (c *callerConn) readAhead(done chan struct{}) {
	defer close(done)
	buf := make([]byte, aheadStep)
	for {
		n, err := c.Conn.Read(buf)
		c.note(buf[:n], err)
		c.keepAhead(buf[:n])
		if err != nil {
			return
		}
	}
}

// isGone says that the other side has ended the connection, or its sending.
func (c *callerConn) isGone() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// Write begins before the client can have seen its answer.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.told = time.Now()
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 100 ")) { // the body that this asks for is still the request's
		c.answered = c.served
		if c.pending() {
			c.at = c.told // the next one was not waited for before
		}
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
	c.served++
	return c.scan.take(coded)
}

func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.leaving || c.stopping {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// reset has the connection's close tell that something was cut.
func (c *callerConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = time.Time{}
}

// isLast says that the answer under way is the last on the connection, if it may be: behind it no other request was read.
func (c *callerConn) isLast() (may, must bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scan.begun <= c.served, c.flooded
}

// Bounds of what is read and thrown away behind the last answer, before the connection is closed.
const (
	lingerAfter = time.Second // an answer that was written longer ago has arrived
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// Close ends the connection. A close over bytes that nobody has read resets it, and takes along an answer that is still
// on its way. So behind the last answer only the sending ends, and what still comes is read and thrown away until the
// other side has closed as well. One that is let go while it waits has no answer on its way: what crosses its close
// stays unread, so that its client may send it again.
func (c *callerConn) Close() error {
	c.stopAhead()
	c.dropAhead()
	c.mu.Lock()
	linger := time.Since(c.told) < lingerAfter && c.end == nil && !c.leaving
	c.mu.Unlock()
	if linger && c.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
}

// Abort implements callers.Conn.
func (c *callerConn) Abort() error { return c.Conn.Close() }

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
	if !c.pending() {
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
	return c.pending()
}

// callerListener makes callerConns.
type callerListener struct {
	net.Listener
	set   *callers.Set
	ahead *atomic.Int64
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.set.Accept(l.Listener)
	if err != nil {
		return nil, err
	}
	return newCallerConn(c, l.set, l.ahead), nil
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
