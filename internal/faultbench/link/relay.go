package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Relay listens at one address of a link's near side. Each connection that comes up there is handed to Serve as a Conn,
// the far side of the link.
type Relay struct {
	addr  string
	dice  *Random
	serve func(*Conn)

	mu            sync.Mutex
	shape         Shape
	sourceShapes  map[string]Shape // on top, for connections from an IP address
	changed       chan struct{}    // closed at each change
	ln            *net.TCPListener
	backlogFiller net.Conn // fills the accept queue while the link is cut
	conns         map[*Conn]bool
	closed        bool
	work          sync.WaitGroup
}

// backlog of a listener that takes connections.
const backlog = 1024

// Listen opens a relay at an address; port 0 lets the system choose. serve runs on a goroutine of its own for each connection.
func Listen(addr string, dice *Random, serve func(*Conn)) (*Relay, error) {
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
		for r.shape.hasCut() && !r.closed && r.ln == ln {
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
		r.handleConn(c)
	}
}

func (r *Relay) handleConn(c *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.backlogFiller != nil && c.RemoteAddr().String() == r.backlogFiller.LocalAddr().String() {
		r.backlogFiller.Close()
		r.backlogFiller = nil
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
	if r.sourceShapes[source].Reset {
		c.SetLinger(0)
		c.Close()
		return
	}
	k := &Conn{relay: r, source: source, tcp: c, closeDelivered: make(chan struct{}), wake: make(chan struct{}, 1), outgoing: make(chan piece, 64)}
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
		r.closeBacklogFiller()
		r.ln.Close()
		r.ln = nil
	case !s.Refuse && was.Refuse:
		if err := r.open(); err != nil {
			return err
		}
		if s.hasCut() {
			return r.fillBacklog()
		}
	case s.Refuse:
	case s.hasCut() && !was.hasCut():
		return r.fillBacklog()
	case !s.hasCut() && was.hasCut():
		r.ln.SetDeadline(time.Time{})
		if err := r.setBacklog(backlog); err != nil {
			return err
		}
	}
	return nil
}

// SetFrom gives the link another shape for what comes from one IP address, on top of Set's. A connection that is cut so does
// come up, and says nothing.
func (r *Relay) SetForSource(ip string, s Shape) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.sourceShapes[ip] == s {
		return
	}
	if r.sourceShapes == nil {
		r.sourceShapes = map[string]Shape{}
	}
	was := r.sourceShapes[ip]
	r.sourceShapes[ip] = s
	close(r.changed)
	r.changed = make(chan struct{})
	if s.Reset && !was.Reset {
		r.resetFrom(ip)
	}
}

// fill keeps new connections from coming up: the accept loop stops, the queue gets room for one, and that one is ours.
// The caller holds mu.
func (r *Relay) fillBacklog() error {
	r.ln.SetDeadline(time.Unix(1, 0)) // until the cut is over: the runtime forgets one that is taken back at once
	if err := r.setBacklog(0); err != nil {
		return err
	}
	c, err := net.DialTimeout("tcp4", r.addr, 100*time.Millisecond)
	if err == nil {
		r.backlogFiller = c
	}
	return nil // a queue that is full already needs no filler
}

// dropFiller is called with mu held.
func (r *Relay) closeBacklogFiller() {
	if r.backlogFiller != nil {
		r.backlogFiller.Close()
		r.backlogFiller = nil
	}
}

// reset breaks all connections, with all that was under way on them. The caller holds mu.
func (r *Relay) reset() { r.resetFrom("") }

// breakFrom breaks the connections from an address; empty: all. The caller holds mu.
func (r *Relay) resetFrom(ip string) {
	for c := range r.conns {
		if ip != "" && c.source != ip {
			continue
		}
		c.mu.Lock()
		c.pieces, c.buffered, c.broken = nil, 0, true
		c.mu.Unlock()
		c.tcp.SetLinger(0)
		c.tcp.Close()
		c.notify()
	}
}

// Break resets all connections, as a machine does that is back and knows nothing of them.
func (r *Relay) ResetAll() {
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
		r.closeBacklogFiller()
		if r.ln != nil {
			r.ln.Close()
		}
		r.reset()
	}
	r.mu.Unlock()
	r.work.Wait()
}
