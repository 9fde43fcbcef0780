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
	partTimeout  = 2800 * time.Millisecond // for the next bytes of a request that has begun
	wholeTimeout = 30 * time.Second        // for all of it
	idleTimeout  = time.Minute             // a connection on which nothing is asked is closed
	writeTimeout = 5 * time.Second         // for a part of an answer to be taken
	stall        = 10 * time.Second        // the same of an answer that passes through
	passSize     = 16 << 10                // of such an answer held at once
	unreadMost   = 10 * time.Millisecond   // for what has come, which may hold an abort, to be read before an attempt begins
	unreadStep   = 100 * time.Microsecond
	lingerTime   = 500 * time.Millisecond // behind the last answer, for the web server to close
	lingerBytes  = 1 << 20
)

// client is a web server's connection.
type client struct {
	net.Conn
	front *Front
	in    *bufio.Reader

	// The protocol's state. Held while something is written; downstream.Set never waits for it.
	mu    sync.Mutex
	app   *Application
	out   *Writer
	calls map[uint16]*call
	ended bool

	patience time.Duration // with which a write is waited for
	inRead   atomic.Bool   // its reader waits for the next bytes

	// unwritable is closed by the first write that fails: no answer can follow it.
	unwritable     chan struct{}
	markUnwritable func()

	// What downstream.Set asks for. Never held while something is read or written.
	state    sync.Mutex
	midway   bool // within a record, as far as is known
	reading  int  // requests that have begun and are not complete
	owed     int  // requests that are complete and of whose answers no byte is written
	oldest   time.Time
	heard    time.Time
	leaving  bool
	cut      bool
	deadline time.Time
}

func (f *Front) serve(nc net.Conn) {
	c := &client{Conn: nc, front: f, calls: map[uint16]*call{}, patience: writeTimeout, unwritable: make(chan struct{})}
	c.markUnwritable = sync.OnceFunc(func() { close(c.unwritable) })
	c.out = NewWriter(writes{c})
	c.app = NewApplication(f.bounds, c.out)
	c.in = bufio.NewReader(reads{c})
	f.callers.Add(c, f)
	defer f.callers.Remove(c)
	defer c.close()
	records := NewReader(c.in)
	for {
		c.await()
		rec, err := records.Next()
		stuck := errors.Is(err, os.ErrDeadlineExceeded)
		if err == nil {
			err = c.take(rec)
		}
		if err == nil {
			continue
		}
		var named *Error
		if errors.As(err, &named) && !errors.Is(err, ErrCut) {
			f.log.Debug("a FastCGI connection ends", "from", nc.RemoteAddr(), "error", err)
		}
		if stuck || isMalformed(err) {
			c.settle()
		}
		c.leave()
		return
	}
}

// isMalformed says that a web server has sent what can't be understood, and is still there.
func isMalformed(err error) bool {
	var named *Error
	var network net.Error
	return errors.As(err, &named) && !errors.Is(err, ErrCut) && !errors.As(err, &network)
}

// settle returns once all that the module has is answered, or no answer can be written any more. No record can be read any more, but the web server is still there:
// a request that stopped in its middle, or a record that makes no sense, costs the others on its connection nothing.
func (c *client) settle() {
	c.mu.Lock()
	var open []*call
	for _, r := range c.calls {
		if r.with != nil {
			open = append(open, r)
		}
	}
	c.ended = c.ended || len(open) > 0
	c.mu.Unlock()
	for _, r := range open {
		select {
		case <-r.gone:
		case <-c.unwritable:
			return
		}
	}
}

// close ends the connection. Closed over bytes that nobody has read it would be reset, and an answer on its way with it: so
// behind the last answer only the sending ends, and what still comes is thrown away for a while.
func (c *client) close() {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ended && ok && half.CloseWrite() == nil {
		c.front.callers.SetPhase(c, downstream.PhaseLingering)
		c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	c.Conn.Close()
}

// reads notes what is read.
type reads struct{ c *client }

func (r reads) Read(p []byte) (int, error) {
	c := r.c
	c.inRead.Store(true)
	n, err := c.Conn.Read(p)
	c.inRead.Store(false)
	if n > 0 {
		c.state.Lock()
		defer c.state.Unlock()
		c.midway, c.heard = true, time.Now()
		if c.leaving && !c.cut {
			c.leaving = false
			c.Conn.SetReadDeadline(c.deadline)
		}
	}
	return n, err
}

// writes gives each write its time: what does not fit in with the rest of an answer is written before the answer is flushed.
type writes struct{ c *client }

func (w writes) Write(p []byte) (int, error) {
	w.c.Conn.SetWriteDeadline(time.Now().Add(w.c.patience))
	return w.c.Conn.Write(p)
}

// await sets until when the next record may come.
func (c *client) await() {
	c.mu.Lock()
	open := len(c.calls)
	c.mu.Unlock()
	c.state.Lock()
	defer c.state.Unlock()
	if c.in.Buffered() == 0 {
		c.midway = false
	}
	now := time.Now()
	switch {
	case c.reading > 0:
		c.deadline = now.Add(c.front.part)
		if last := c.oldest.Add(wholeTimeout); last.Before(c.deadline) {
			c.deadline = last
		}
	case open > 0:
		c.deadline = time.Time{} // its end tells that nobody waits any more
	default:
		c.deadline = now.Add(idleTimeout)
	}
	if !c.leaving {
		c.Conn.SetReadDeadline(c.deadline)
	}
}

// hasLeft says that a request was aborted, or that its connection has ended. What the system holds unread may say so too:
// it is waited for until that is read.
func (c *client) hasLeft(r *call) bool {
	for until := time.Now().Add(c.front.unread); ; time.Sleep(unreadStep) {
		waits := c.inRead.Load()
		state := downstream.PeekSocket(c.Conn)
		switch {
		case r.left.Load() || state == downstream.SocketClosed:
			return true
		case waits && state == downstream.SocketOpen || time.Now().After(until):
			return r.left.Load()
		}
	}
}

// begins and whole follow how many requests are being read.
func (c *client) begins() {
	c.state.Lock()
	defer c.state.Unlock()
	if c.reading++; c.reading == 1 {
		c.oldest = time.Now()
	}
}

func (c *client) whole() {
	c.state.Lock()
	defer c.state.Unlock()
	if c.reading--; c.reading > 0 {
		c.oldest = time.Now()
	}
}

// take does what a record comes to. An error ends the connection.
func (c *client) take(rec Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.app.Open()
	e, err := c.app.Take(rec)
	if err != nil {
		return err
	}
	if c.app.Open() > before {
		c.calls[rec.ID] = &call{id: rec.ID, gone: make(chan struct{})}
		c.begins()
		c.phase()
	}
	if r := c.calls[e.ID]; e.Kind != Nothing && r != nil {
		c.event(r, e)
	}
	return c.flush()
}

// flush writes what is kept. A connection on which that fails carries no other answer, so that it ends. The caller holds mu.
func (c *client) flush() error {
	err := c.out.Flush()
	if err != nil {
		c.markUnwritable()
		c.AbortRead() // its reader ends, and closes it
	}
	return err
}
