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
	"damsontrestle/internal/netio"
)

// Limits on how long the node waits for a web server.
const (
	progressTimeout    = 2800 * time.Millisecond // for the next bytes of an incomplete request
	requestTimeout     = 30 * time.Second        // for a complete request
	idleTimeout        = time.Minute             // for the next request on a connection without one
	writeTimeout       = 5 * time.Second         // for each write of a response
	streamWriteTimeout = 10 * time.Second        // for each write of a streamed response
	streamBufferSize   = 16 << 10                // bytes of a streamed response held at once
	unreadTimeout      = 10 * time.Millisecond   // for received bytes, which may hold an abort, to be read before an attempt starts
	unreadPollInterval = 100 * time.Microsecond
	lingerTimeout      = 500 * time.Millisecond // for the web server to close after the last response
	lingerBytes        = 1 << 20
)

// client is a web server's connection.
type client struct {
	net.Conn
	front *Front
	in    *bufio.Reader

	// mu guards the protocol state. It is held during writes; downstream.Set never waits for it.
	mu       sync.Mutex
	app      *Application
	out      *Writer
	requests map[uint16]*request
	closing  bool // the connection ends once the open requests are answered

	writeTimeout  time.Duration // of each write
	blockedInRead atomic.Bool   // the reader is in Conn.Read

	// unwritable is closed by the first write that fails, after which no response can be sent.
	unwritable     chan struct{}
	markUnwritable func()

	// stateMu guards the state that downstream.Set queries. It is never held during reads or writes.
	stateMu      sync.Mutex
	midRecord    bool      // bytes of an incomplete record may have been read
	incomplete   int       // requests whose STDIN has not ended
	unanswered   int       // dispatched requests whose response has no byte written
	readStart    time.Time // start of the requestTimeout of incomplete requests
	lastRead     time.Time
	interrupted  bool // the read deadline is in the past so that the reader returns
	cutOff       bool // interrupted for good: bytes that still arrive do not undo it
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
			f.log.Debug("closing FastCGI connection after an error", "from", conn.RemoteAddr(), "error", err)
		}
		if timedOut || isMalformed(err) {
			c.awaitOpenRequests()
		}
		c.disconnectAll()
		return
	}
}

// isMalformed reports whether the web server has sent an invalid record and may still be connected.
func isMalformed(err error) bool {
	var recordErr *Error
	var netErr net.Error
	return errors.As(err, &recordErr) && !errors.Is(err, ErrTruncated) && !errors.As(err, &netErr)
}

// awaitOpenRequests waits until all dispatched requests are answered or a write has failed. After a timeout or an
// invalid record nothing more can be read, but the web server is still connected: an incomplete request or a bad
// record must not cost the other requests on the connection their responses.
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

// close closes the connection. Closing with unread bytes would reset it and lose a response in flight. After the last
// response it therefore closes the sending side only, and discards input for up to lingerTimeout and lingerBytes.
func (c *client) close() {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if closing && ok && halfCloser.CloseWrite() == nil {
		c.front.clients.SetPhase(c, downstream.PhaseLingering)
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	c.Conn.Close()
}

// connReader reads from the connection and records when bytes arrive.
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

// connWriter limits how long the web server may take nothing of a write: a response that does not fit into the Writer's buffer is
// written in part before it is flushed.
type connWriter struct{ c *client }

func (w connWriter) Write(p []byte) (int, error) {
	return netio.WriteWhileTaken(w.c.Conn, p, w.c.writeTimeout, w.c.Conn.Write)
}

// setReadDeadline sets the deadline of the next record.
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
		if limit := c.readStart.Add(requestTimeout); limit.Before(c.readDeadline) {
			c.readDeadline = limit
		}
	case open > 0:
		c.readDeadline = time.Time{} // no deadline: the end of the connection cancels the open requests
	default:
		c.readDeadline = now.Add(idleTimeout)
	}
	if !c.interrupted {
		c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// isDisconnected reports whether a request was aborted or its connection has ended. Received bytes that are still
// unread may hold an abort, so it waits up to Front.unreadTimeout for them to be read.
func (c *client) isDisconnected(req *request) bool {
	for deadline := time.Now().Add(c.front.unreadTimeout); ; time.Sleep(unreadPollInterval) {
		blocked := c.blockedInRead.Load()
		state := downstream.PeekSocket(c.Conn)
		switch {
		case req.disconnected.Load() || state == downstream.SocketClosed:
			return true
		case blocked && state == downstream.SocketOpen || time.Now().After(deadline):
			return req.disconnected.Load()
		}
	}
}

// startReading counts another incomplete request, and starts the requestTimeout for the first one.
func (c *client) startReading() {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if c.incomplete++; c.incomplete == 1 {
		c.readStart = time.Now()
	}
}

// finishReading counts an incomplete request as complete, rejected or aborted, and restarts the requestTimeout of the
// others.
func (c *client) finishReading() {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if c.incomplete--; c.incomplete > 0 {
		c.readStart = time.Now()
	}
}

// handleRecord processes a record. An error ends the connection.
func (c *client) handleRecord(rec Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.app.Open()
	event, err := c.app.HandleRecord(rec)
	if err != nil {
		return err
	}
	if c.app.Open() > before {
		c.requests[rec.ID] = &request{id: rec.ID, done: make(chan struct{})}
		c.startReading()
		c.updatePhase()
	}
	if req := c.requests[event.ID]; event.Kind != NoEvent && req != nil {
		c.handleEvent(req, event)
	}
	return c.flush()
}

// flush writes buffered records. If that fails the connection ends, as it can carry no further response. The caller
// holds mu.
func (c *client) flush() error {
	err := c.out.Flush()
	if err != nil {
		c.markUnwritable()
		c.AbortRead() // the reader returns, and serve closes the connection
	}
	return err
}
