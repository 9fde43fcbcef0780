package fastcgi

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/downstream"
)

// Limits on what a web server may make the node wait for.
const (
	progressTimeout    = 2800 * time.Millisecond // for the next bytes of a request that has begun
	requestTimeout     = 30 * time.Second        // for all of it
	idleTimeout        = time.Minute             // a connection on which nothing is asked is closed
	writeTimeout       = 5 * time.Second         // for a part of an answer to be taken
	streamWriteTimeout = 10 * time.Second        // the same of an answer that passes through
	streamBufferSize   = 16 << 10                // of such an answer held at once
	unreadTimeout      = 10 * time.Millisecond   // for what has come, which may hold an abort, to be read before an attempt begins
	unreadPollInterval = 100 * time.Microsecond
	lingerTimeout      = 500 * time.Millisecond // behind the last answer, for the web server to close
	lingerBytes        = 1 << 20
)

// client is a web server's connection.
type client struct {
	net.Conn
	front *Front
	in    *bufio.Reader

	// The protocol's state. Held while something is written; downstream.Set never waits for it.
	mu       sync.Mutex
	app      *Application
	out      *Writer
	requests map[uint16]*request
	closing  bool

	writeTimeout  time.Duration // with which a write is waited for
	blockedInRead atomic.Bool   // its reader waits for the next bytes

	// unwritable is closed by the first write that fails: no answer can follow it.
	unwritable     chan struct{}
	markUnwritable func()

	// What downstream.Set asks for. Never held while something is read or written.
	stateMu      sync.Mutex
	midRecord    bool // within a record, as far as is known
	incomplete   int  // requests that have begun and are not complete
	unanswered   int  // requests that are complete and of whose answers no byte is written
	readStart    time.Time
	lastRead     time.Time
	interrupted  bool
	cutOff       bool
	readDeadline time.Time
}

func (f *Front) serve(conn net.Conn) {
	c := &client{Conn: conn, front: f, requests: map[uint16]*request{}, writeTimeout: writeTimeout, unwritable: make(chan struct{})}
	c.markUnwritable = sync.OnceFunc(func() { close(c.unwritable) })
	c.out = NewWriter(connWriter{c})
	c.app = NewApplication(f.limits, c.out)
	c.in = bufio.NewReader(connReader{c})
	f.clients.Add(c, f)
	defer f.clients.Remove(c)
	defer c.close()
	records := NewReader(c.in)
	for {
		c.setReadDeadline()
		rec, err := records.Next()
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		if err == nil {
			err = c.handleRecord(rec)
		}
		if err == nil {
			continue
		}
		var recordErr *Error
		if errors.As(err, &recordErr) && !errors.Is(err, ErrTruncated) {
			f.log.Debug("a FastCGI connection ends", "from", conn.RemoteAddr(), "error", err)
		}
		if timedOut || isMalformed(err) {
			c.awaitOpenRequests()
		}
		c.disconnectAll()
		return
	}
}

// isMalformed says that a web server has sent what can't be understood, and is still there.
func isMalformed(err error) bool {
	var recordErr *Error
	var netErr net.Error
	return errors.As(err, &recordErr) && !errors.Is(err, ErrTruncated) && !errors.As(err, &netErr)
}

// settle returns once all that the module has is answered, or no answer can be written any more. No record can be read any more, but the web server is still there:
// a request that stopped in its middle, or a record that makes no sense, costs the others on its connection nothing.
func (c *client) awaitOpenRequests() {
	c.mu.Lock()
	var open []*request
	for _, req := range c.requests {
		if req.dispatched != nil {
			open = append(open, req)
		}
	}
	c.closing = c.closing || len(open) > 0
	c.mu.Unlock()
	for _, req := range open {
		select {
		case <-req.done:
		case <-c.unwritable:
			return
		}
	}
}

// close ends the connection. Closed over bytes that nobody has read it would be reset, and an answer on its way with it: so
// behind the last answer only the sending ends, and what still comes is thrown away for a while.
func (c *client) close() {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if closing && ok && half.CloseWrite() == nil {
		c.front.clients.Move(c, downstream.Lingering)
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	c.Conn.Close()
}

// reads notes what is read.
type connReader struct{ c *client }

func (r connReader) Read(p []byte) (int, error) {
	c := r.c
	c.blockedInRead.Store(true)
	n, err := c.Conn.Read(p)
	c.blockedInRead.Store(false)
	if n > 0 {
		c.stateMu.Lock()
		defer c.stateMu.Unlock()
		c.midRecord, c.lastRead = true, time.Now()
		if c.interrupted && !c.cutOff {
			c.interrupted = false
			c.Conn.SetReadDeadline(c.readDeadline)
		}
	}
	return n, err
}

// writes gives each write its time: what does not fit in with the rest of an answer is written before the answer is flushed.
type connWriter struct{ c *client }

func (w connWriter) Write(p []byte) (int, error) {
	w.c.Conn.SetWriteDeadline(time.Now().Add(w.c.writeTimeout))
	return w.c.Conn.Write(p)
}

// await sets until when the next record may come.
func (c *client) setReadDeadline() {
	c.mu.Lock()
	open := len(c.requests)
	c.mu.Unlock()
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if c.in.Buffered() == 0 {
		c.midRecord = false
	}
	now := time.Now()
	switch {
	case c.incomplete > 0:
		c.readDeadline = now.Add(c.front.progressTimeout)
		if last := c.readStart.Add(requestTimeout); last.Before(c.readDeadline) {
			c.readDeadline = last
		}
	case open > 0:
		c.readDeadline = time.Time{} // its end tells that nobody waits any more
	default:
		c.readDeadline = now.Add(idleTimeout)
	}
	if !c.interrupted {
		c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// hasLeft says that a request was aborted, or that its connection has ended. What the system holds unread may say so too:
// it is waited for until that is read.
func (c *client) isDisconnected(req *request) bool {
	for until := time.Now().Add(c.front.unreadTimeout); ; time.Sleep(unreadPollInterval) {
		blocked := c.blockedInRead.Load()
		state := downstream.StateOf(c.Conn)
		switch {
		case req.disconnected.Load() || state == downstream.Ended:
			return true
		case blocked && state == downstream.Quiet || time.Now().After(until):
			return req.disconnected.Load()
		}
	}
}

// begins and whole follow how many requests are being read.
func (c *client) startReading() {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if c.incomplete++; c.incomplete == 1 {
		c.readStart = time.Now()
	}
}

func (c *client) finishReading() {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if c.incomplete--; c.incomplete > 0 {
		c.readStart = time.Now()
	}
}

// take does what a record comes to. An error ends the connection.
func (c *client) handleRecord(rec Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.app.Open()
	e, err := c.app.HandleRecord(rec)
	if err != nil {
		return err
	}
	if c.app.Open() > before {
		c.requests[rec.ID] = &request{id: rec.ID, done: make(chan struct{})}
		c.startReading()
		c.updatePhase()
	}
	if req := c.requests[e.ID]; e.Kind != NoEvent && req != nil {
		c.handleEvent(req, e)
	}
	return c.flush()
}

// flush writes what is kept. A connection on which that fails carries no other answer, so that it ends. The caller holds mu.
func (c *client) flush() error {
	err := c.out.Flush()
	if err != nil {
		c.markUnwritable()
		c.CutOff() // its reader ends, and closes it
	}
	return err
}
