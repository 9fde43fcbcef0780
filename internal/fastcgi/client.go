package fastcgi

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/downstream"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/validation"
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

// call is a request that is open.
type call struct {
	id   uint16
	head validation.Head
	in   validation.Request
	body []byte
	with *engine.Request // once the module has it
	over bool            // its answer has been given, or nobody waits for it
	left atomic.Bool     // aborted, or its connection has ended
	gone chan struct{}
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
		c.front.callers.Move(c, downstream.Lingering)
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
		state := downstream.StateOf(c.Conn)
		switch {
		case r.left.Load() || state == downstream.Ended:
			return true
		case waits && state == downstream.Quiet || time.Now().After(until):
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
		c.CutOff() // its reader ends, and closes it
	}
	return err
}

func (c *client) event(r *call, e Event) {
	switch e.Kind {
	case Called:
		c.called(r, e.Params)
	case Body:
		switch {
		case len(r.body)+len(e.Data) > validation.MaxBody:
			c.reject(r, errTooLong)
		case r.head.Length >= 0 && int64(len(r.body)+len(e.Data)) > r.head.Length:
			c.reject(r, errLength)
		default:
			r.body = append(r.body, e.Data...)
		}
	case BodyEnd:
		if r.head.Length >= 0 && int64(len(r.body)) != r.head.Length {
			c.reject(r, errLength)
			return
		}
		r.head.Length = int64(len(r.body))
		c.whole()
		c.ask(r)
	case Aborted:
		r.left.Store(true)
		if r.with == nil {
			c.whole()
		} else {
			r.with.Disconnect(c.front.clock.Now())
			c.front.figures.Left()
		}
		c.finish(r, End{App: 1})
	}
}

// called looks at a request's head.
func (c *client) called(r *call, params []Param) {
	head, no := headOf(c.front.listener, params)
	if no != nil {
		c.reject(r, no)
		return
	}
	r.head = head
	if path, _, _ := strings.Cut(head.Target, "?"); path == "/health/ready" {
		c.whole()
		c.health(r)
		return
	}
	view := c.front.calls.Snapshot()
	probe := head
	probe.Length = max(0, head.Length)
	in, err := validation.Check(view, &probe)
	switch {
	case err != nil:
		c.reject(r, err)
	case head.Length > validation.MaxBody:
		c.reject(r, errTooLong)
	}
	r.in = in
}

// ask has a request taken.
func (c *client) ask(r *call) {
	f := c.front
	f.figures.Begin()
	view := f.calls.Snapshot()
	if !f.callers.Begin(c) {
		c.answer(r, engine.Response{Kind: engine.Rejected, RetryAfter: view.RetryAfter()})
		f.callers.End(c)
		return
	}
	r.in.Request.Gone = func() bool { return c.hasLeft(r) }
	with, err := validation.Take(f.calls, view, &r.head, r.in, r.body, nil, f.clock.Now())
	if err != nil {
		f.figures.End(r.in.Class, metrics.Faulted)
		c.say(r, wordsOf(err))
		f.callers.End(c)
		c.phase()
		return
	}
	r.with = with
	c.owes(1)
	go c.wait(r)
}

// owes follows how many requests wait for an answer.
func (c *client) owes(more int) {
	c.state.Lock()
	defer c.state.Unlock()
	c.owed += more
}

// wait gives a request its answer, unless nobody waits for it any more.
func (c *client) wait(r *call) {
	f := c.front
	select {
	case a := <-r.with.Response():
		if a.Reply.Rest != nil {
			c.owes(-1)
			c.pass(r, a)
			break
		}
		c.mu.Lock()
		if !r.over {
			c.answer(r, a)
			c.flush()
		}
		c.mu.Unlock()
		c.owes(-1)
	case <-r.gone:
		c.owes(-1)
	}
	f.callers.End(c)
	c.mu.Lock()
	c.phase()
	c.mu.Unlock()
}

// answer gives a request an answer that is complete. The caller holds mu.
func (c *client) answer(r *call, a engine.Response) {
	c.front.figures.End(r.in.Class, validation.Result(a))
	if a.Kind != engine.Served {
		status, words := validation.Text(a)
		c.say(r, said{status, words, validation.RetryAfter(a)})
		return
	}
	c.out.Stream(Stdout, r.id, headText(200, a.Reply.ContentType, int64(len(a.Reply.Body)), ""))
	c.out.Stream(Stdout, r.id, a.Reply.Body)
	c.finish(r, End{})
}

// pass gives a request a long answer as it comes. One that breaks off ends with a status of the application that is
// not 0, and short of its length if it had one, so that the web server can tell.
func (c *client) pass(r *call, a engine.Response) {
	defer a.Reply.Rest.Close()
	put := func(p []byte) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if r.over {
			return false
		}
		c.patience = stall
		defer func() { c.patience = writeTimeout }()
		return errors.Join(c.out.Stream(Stdout, r.id, p), c.out.Flush()) == nil
	}
	on := put(headText(200, a.Reply.ContentType, a.Reply.Length, "")) && put(a.Reply.Body)
	buf := make([]byte, passSize)
	var err error
	for on && err == nil {
		var n int
		n, err = a.Reply.Rest.Read(buf)
		on = put(buf[:n])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.over:
		return // an abort or the connection's end has counted it
	case on && err == io.EOF:
		c.front.figures.End(r.in.Class, metrics.Fulfilled)
		c.finish(r, End{})
	default:
		c.front.figures.End(r.in.Class, metrics.Faulted)
		c.finish(r, End{App: 1})
	}
	c.flush()
}

// reject ends a request that can't be used; what still comes of it is passed over. The caller holds mu.
func (c *client) reject(r *call, err error) {
	c.whole()
	c.say(r, wordsOf(err))
}

// say answers a request with a few words. The caller holds mu.
func (c *client) say(r *call, s said) {
	text := s.words + "\n"
	c.out.Stream(Stdout, r.id, headText(s.status, "text/plain; charset=utf-8", int64(len(text)), s.retryAfter))
	c.out.Stream(Stdout, r.id, []byte(text))
	c.finish(r, End{})
}

// finish ends a request, and the connection if it is not to be kept. The caller holds mu.
func (c *client) finish(r *call, e End) {
	r.over = true
	close(r.gone)
	delete(c.calls, r.id)
	keep, err := c.app.Finish(r.id, e)
	if !keep || c.front.closing.Load() || c.front.callers.NearLimit() {
		c.ended = true
	}
	if err != nil || c.ended && len(c.calls) == 0 {
		c.flush()
		c.CutOff() // its reader ends, and closes it
	}
	c.phase()
}

// phase tells downstream.Set what the connection does. The caller holds mu.
func (c *client) phase() {
	for _, r := range c.calls {
		if r.with != nil {
			return // Open, by Begin
		}
	}
	if len(c.calls) > 0 {
		c.front.callers.Move(c, downstream.Reading)
	} else {
		c.front.callers.Move(c, downstream.Idle)
	}
}

// leave ends all that is open: the web server has gone, or can't be talked to any more.
func (c *client) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.calls {
		if r.with != nil {
			r.with.Disconnect(c.front.clock.Now())
			c.front.figures.Left()
		}
		r.over = true
		r.left.Store(true)
		close(r.gone)
	}
	clear(c.calls)
}

// CloseIdle implements downstream.Conn.
func (c *client) CloseIdle() bool {
	c.state.Lock()
	defer c.state.Unlock()
	if !c.midway && c.reading == 0 {
		c.leaving = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.leaving
}

// Abort implements downstream.Conn.
func (c *client) Abort() error { return c.Conn.Close() }

// CutOff implements downstream.Conn.
func (c *client) CutOff() {
	c.state.Lock()
	defer c.state.Unlock()
	c.leaving, c.cut = true, true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// IsCut implements downstream.Conn.
func (c *client) IsCut() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.cut
}

// HasBegun implements downstream.Conn.
func (c *client) HasBegun() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.midway || c.reading > 0
}

// Owes implements downstream.Conn.
func (c *client) Owes() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.owed > 0
}

// Quiet implements downstream.Conn.
func (c *client) Quiet() time.Duration {
	c.state.Lock()
	defer c.state.Unlock()
	return time.Since(c.heard)
}
