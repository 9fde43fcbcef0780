package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Relay listens at one address of a link's near side. Each connection that comes up there is handed to Serve as a Conn,
// the far side of the link.
type Relay struct {
	addr  string
	dice  *Dice
	serve func(*Conn)

	mu      sync.Mutex
	shape   Shape
	from    map[string]Shape // on top, for connections from an IP address
	changed chan struct{}    // closed at each change
	ln      *net.TCPListener
	filler  net.Conn // fills the accept queue while the link is cut
	conns   map[*Conn]bool
	closed  bool
	work    sync.WaitGroup
}

// backlog of a listener that takes connections.
const backlog = 1024

// Listen opens a relay at an address; port 0 lets the system choose. serve runs on a goroutine of its own for each connection.
func Listen(addr string, dice *Dice, serve func(*Conn)) (*Relay, error) {
	r := &Relay{addr: addr, dice: dice, serve: serve, changed: make(chan struct{}), conns: map[*Conn]bool{}}
	if err := r.open(); err != nil {
		return nil, err
	}
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.addr }

// open begins to listen. The caller holds mu, or is alone.
func (r *Relay) open() error {
	// Go's listeners are of Multipath TCP by default, which refuses to listen anew with another backlog.
	lc := net.ListenConfig{}
	lc.SetMultipathTCP(false)
	ln, err := lc.Listen(context.Background(), "tcp4", r.addr)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	r.ln = ln.(*net.TCPListener)
	r.addr = ln.Addr().String()
	if err := r.setBacklog(backlog); err != nil {
		return err
	}
	r.work.Add(1)
	go r.accept(r.ln)
	return nil
}

func (r *Relay) setBacklog(n int) error {
	raw, err := r.ln.SyscallConn()
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	var did error
	if err := raw.Control(func(fd uintptr) { did = syscall.Listen(int(fd), n) }); err != nil {
		return fmt.Errorf("link: %w", err)
	}
	return did
}

// accept takes connections while the link is not cut.
func (r *Relay) accept(ln *net.TCPListener) {
	defer r.work.Done()
	for {
		r.mu.Lock()
		for r.shape.silent() && !r.closed && r.ln == ln {
			changed := r.changed
			r.mu.Unlock()
			<-changed
			r.mu.Lock()
		}
		over := r.closed || r.ln != ln
		r.mu.Unlock()
		if over {
			return
		}
		c, err := ln.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // woken for a change
		}
		r.take(c)
	}
}

func (r *Relay) take(c *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.filler != nil && c.RemoteAddr().String() == r.filler.LocalAddr().String() {
		r.filler.Close()
		r.filler = nil
		c.Close()
		return
	}
	if r.shape.Reset || r.closed {
		c.SetLinger(0)
		c.Close()
		return
	}
	source := ""
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		source = a.IP.String()
	}
	if r.from[source].Reset {
		c.SetLinger(0)
		c.Close()
		return
	}
	k := &Conn{relay: r, source: source, tcp: c, gone: make(chan struct{}), wake: make(chan struct{}, 1), out: make(chan piece, 64)}
	r.conns[k] = true
	r.work.Add(3)
	go k.read()
	go k.write()
	go func() {
		defer r.work.Done()
		r.serve(k)
		k.Close()
	}()
}

// Connections is how many are open.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Set gives the link another shape. What is under way in a cut waits, as retransmissions would, and comes once it is over.
func (r *Relay) Set(s Shape) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || s == r.shape {
		return nil
	}
	was := r.shape
	r.shape = s
	close(r.changed)
	r.changed = make(chan struct{})
	if s.Reset && !was.Reset {
		r.reset()
	}
	switch {
	case s.Refuse && !was.Refuse:
		r.dropFiller()
		r.ln.Close()
		r.ln = nil
	case !s.Refuse && was.Refuse:
		if err := r.open(); err != nil {
			return err
		}
		if s.silent() {
			return r.fill()
		}
	case s.Refuse:
	case s.silent() && !was.silent():
		return r.fill()
	case !s.silent() && was.silent():
		r.ln.SetDeadline(time.Time{})
		if err := r.setBacklog(backlog); err != nil {
			return err
		}
	}
	return nil
}

// SetFrom gives the link another shape for what comes from one IP address, on top of Set's. A connection that is cut so does
// come up, and says nothing.
func (r *Relay) SetFrom(ip string, s Shape) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.from[ip] == s {
		return
	}
	if r.from == nil {
		r.from = map[string]Shape{}
	}
	was := r.from[ip]
	r.from[ip] = s
	close(r.changed)
	r.changed = make(chan struct{})
	if s.Reset && !was.Reset {
		r.breakFrom(ip)
	}
}

// fill keeps new connections from coming up: the accept loop stops, the queue gets room for one, and that one is ours.
// The caller holds mu.
func (r *Relay) fill() error {
	r.ln.SetDeadline(time.Unix(1, 0)) // until the cut is over: the runtime forgets one that is taken back at once
	if err := r.setBacklog(0); err != nil {
		return err
	}
	c, err := net.DialTimeout("tcp4", r.addr, 100*time.Millisecond)
	if err == nil {
		r.filler = c
	}
	return nil // a queue that is full already needs no filler
}

// dropFiller is called with mu held.
func (r *Relay) dropFiller() {
	if r.filler != nil {
		r.filler.Close()
		r.filler = nil
	}
}

// reset breaks all connections, with all that was under way on them. The caller holds mu.
func (r *Relay) reset() { r.breakFrom("") }

// breakFrom breaks the connections from an address; empty: all. The caller holds mu.
func (r *Relay) breakFrom(ip string) {
	for c := range r.conns {
		if ip != "" && c.source != ip {
			continue
		}
		c.mu.Lock()
		c.pieces, c.held, c.broken = nil, 0, true
		c.mu.Unlock()
		c.tcp.SetLinger(0)
		c.tcp.Close()
		c.ring()
	}
}

// Break resets all connections, as a machine does that is back and knows nothing of them.
func (r *Relay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.changed)
		r.changed = make(chan struct{})
		close(r.changed)
		r.dropFiller()
		if r.ln != nil {
			r.ln.Close()
		}
		r.reset()
	}
	r.mu.Unlock()
	r.work.Wait()
}

// piece is what goes through a link in one go.
type piece struct {
	data  []byte
	in    time.Time // when it came into the link
	due   time.Time
	after func(time.Time) // told when it has gone out
}

// Conn is the far side of a connection. One goroutine reads, and one writes.
type Conn struct {
	relay  *Relay
	source string // IP address of the near side
	tcp    *net.TCPConn

	mu      sync.Mutex
	pieces  []piece // that came from the near side
	held    int     // bytes of them
	ended   bool    // the near side has closed; nothing more comes
	broken  bool    // by the relay: what was under way is lost
	endedAt time.Time
	there   lane
	back    lane
	wake    chan struct{}
	gone    chan struct{} // closed when the far side sees the near side's end
	stamp   time.Time
	out     chan piece
	once    sync.Once
}

// most that a connection holds in one direction.
const most = 256 << 10

// Gone is closed once the far side sees that the near side has closed.
func (c *Conn) Gone() <-chan struct{} { return c.gone }

// Stamp is when the bytes that were read last had come into the link.
func (c *Conn) Stamp() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stamp
}

// Ended is when the near side closed the connection, whether the far side can know yet or not; zero: it has not.
func (c *Conn) Ended() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endedAt
}

// state is the shape of the link for this connection.
func (c *Conn) state() (Shape, <-chan struct{}, bool) {
	r := c.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.shape
	if own, ok := r.from[c.source]; ok {
		s = s.Over(own)
	}
	return s, r.changed, r.closed
}

// pass waits until a piece is due and its direction is open. false: the relay has closed.
func (c *Conn) pass(due time.Time, cut func(Shape) bool) bool {
	for {
		s, changed, closed := c.state()
		if closed {
			return false
		}
		if cut(s) {
			<-changed
			continue
		}
		wait := time.Until(due)
		if wait <= 0 {
			return true
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-changed:
		}
		t.Stop()
	}
}

func cutThere(s Shape) bool { return s.CutThere }
func cutBack(s Shape) bool  { return s.CutBack }

// read takes what the near side sends into the link.
func (c *Conn) read() {
	defer c.relay.work.Done()
	buf := make([]byte, 16<<10)
	for {
		n, err := c.tcp.Read(buf)
		now := time.Now()
		s, _, _ := c.state()
		c.mu.Lock()
		due := c.there.due(now, n, s, c.relay.dice)
		if n > 0 && !c.broken {
			c.pieces = append(c.pieces, piece{data: append([]byte(nil), buf[:n]...), in: now, due: due})
			c.held += n
		}
		if err != nil {
			c.ended, c.endedAt = true, now
		}
		full := c.held > most
		c.mu.Unlock()
		c.ring()
		if err != nil {
			if c.pass(due, cutThere) {
				close(c.gone)
				c.ring()
			}
			return
		}
		for full { // nobody reads: the near side has to wait
			time.Sleep(5 * time.Millisecond)
			c.mu.Lock()
			full = c.held > most && !c.ended
			c.mu.Unlock()
			if _, _, closed := c.state(); closed {
				return
			}
		}
	}
}

func (c *Conn) ring() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Read implements io.Reader for the far side.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if len(c.pieces) > 0 {
			due := c.pieces[0].due
			c.mu.Unlock()
			if !c.pass(due, cutThere) {
				return 0, net.ErrClosed
			}
			c.mu.Lock()
			if len(c.pieces) == 0 { // broken meanwhile
				c.mu.Unlock()
				continue
			}
			first := &c.pieces[0]
			n := copy(p, first.data)
			first.data = first.data[n:]
			c.held -= n
			c.stamp = first.in
			if len(first.data) == 0 {
				c.pieces = c.pieces[1:]
			}
			c.mu.Unlock()
			return n, nil
		}
		ended, broken := c.ended, c.broken
		c.mu.Unlock()
		if broken {
			return 0, net.ErrClosed
		}
		if _, changed, closed := c.state(); closed {
			return 0, net.ErrClosed
		} else if ended {
			select {
			case <-c.gone:
				return 0, io.EOF
			case <-changed:
			}
			continue
		} else {
			select {
			case <-c.wake:
			case <-changed:
			}
		}
	}
}

// Send has bytes go to the near side; after is told when the last has been handed to its socket. It blocks only when
// much is under way.
func (c *Conn) Send(data []byte, after func(time.Time)) error {
	s, changed, closed := c.state()
	if closed {
		return net.ErrClosed
	}
	now := time.Now()
	c.mu.Lock()
	due := c.back.due(now, len(data), s, c.relay.dice)
	c.mu.Unlock()
	p := piece{data: append([]byte(nil), data...), in: now, due: due, after: after}
	for {
		select {
		case c.out <- p:
			return nil
		case <-changed:
			if _, changed, closed = c.state(); closed {
				return net.ErrClosed
			}
		}
	}
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.Send(p, nil); err != nil {
		return 0, err
	}
	return len(p), nil
}

// write hands what the far side sends to the near side, and closes it at the end.
func (c *Conn) write() {
	defer c.relay.work.Done()
	defer func() {
		c.tcp.Close()
		c.relay.mu.Lock()
		delete(c.relay.conns, c)
		c.relay.mu.Unlock()
	}()
	for p := range c.out {
		if !c.pass(p.due, cutBack) {
			for range c.out {
			}
			return
		}
		if p.data == nil {
			c.tcp.SetLinger(0)
			continue
		}
		if _, err := c.tcp.Write(p.data); err == nil && p.after != nil {
			p.after(time.Now())
		}
	}
	c.pass(time.Time{}, cutBack)
}

// Break resets the connection, once all before it has gone out.
func (c *Conn) Break() {
	s, _, _ := c.state()
	c.mu.Lock()
	due := c.back.due(time.Now(), 0, s, c.relay.dice)
	c.mu.Unlock()
	select {
	case c.out <- piece{due: due}:
	default:
	}
	c.Close()
}

// Close ends the connection in order, once all before it has gone out. Nothing may be sent afterwards.
func (c *Conn) Close() { c.once.Do(func() { close(c.out) }) }
