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

// Relay listens at an address on the near side of a link. It passes each accepted connection to serve as a Conn, the far
// side of the link.
type Relay struct {
	addr   string
	random *Random
	serve  func(*Conn)

	mu            sync.Mutex
	shape         Shape
	sourceShapes  map[string]Shape // additional shapes by source IP address
	changed       chan struct{}    // closed and replaced at each change
	ln            *net.TCPListener
	backlogFiller net.Conn // fills the accept queue while the link is cut
	conns         map[*Conn]bool
	accepted      int
	cutEndedAt    time.Time // end of the last cut
	closed        bool
	work          sync.WaitGroup
}

// acceptDelay is longer than it takes to accept the connections that were established before or during a cut once that ends.
const acceptDelay = 100 * time.Millisecond

// backlog of a listener that accepts connections.
const backlog = 1024

// Listen opens a relay at an address; port 0 selects a free port. serve runs in a separate goroutine for each connection.
func Listen(addr string, random *Random, serve func(*Conn)) (*Relay, error) {
	r := &Relay{addr: addr, random: random, serve: serve, changed: make(chan struct{}), conns: map[*Conn]bool{}}
	if err := r.open(); err != nil {
		return nil, err
	}
	return r, nil
}

// Addr returns the address the relay listens at.
func (r *Relay) Addr() string { return r.addr }

// open starts listening. The caller must hold mu or have exclusive access.
func (r *Relay) open() error {
	// Go listeners use Multipath TCP by default, which does not allow another listen call to change the backlog.
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
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return fmt.Errorf("link: %w", err)
	}
	return listenErr
}

// accept accepts connections while the link is not cut.
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
		stopped := r.closed || r.ln != ln
		r.mu.Unlock()
		if stopped {
			return
		}
		c, err := ln.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // woken by the deadline because the shape changed
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
	conn := &Conn{relay: r, source: source, tcp: c, closeDelivered: make(chan struct{}), wake: make(chan struct{}, 1), outgoing: make(chan piece, 64), heldByCut: time.Since(r.cutEndedAt) < acceptDelay}
	r.conns[conn] = true
	r.accepted++
	r.work.Add(3)
	go conn.read()
	go conn.write()
	go func() {
		defer r.work.Done()
		r.serve(conn)
		conn.Close()
	}()
}

// Connections returns the number of open connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Accepted returns the number of connections that were established over the link so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Set changes the shape of the link. Data in transit during a cut is held and delivered once the cut ends, as TCP would
// retransmit it.
func (r *Relay) Set(s Shape) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || s == r.shape {
		return nil
	}
	old := r.shape
	r.shape = s
	close(r.changed)
	r.changed = make(chan struct{})
	if s.Reset && !old.Reset {
		r.reset()
	}
	switch {
	case s.Refuse && !old.Refuse:
		r.closeBacklogFiller()
		r.ln.Close()
		r.ln = nil
	case !s.Refuse && old.Refuse:
		if err := r.open(); err != nil {
			return err
		}
		if s.hasCut() {
			return r.fillBacklog()
		}
	case s.Refuse:
	case s.hasCut() && !old.hasCut():
		return r.fillBacklog()
	case !s.hasCut() && old.hasCut():
		r.cutEndedAt = time.Now()
		r.ln.SetDeadline(time.Time{})
		if err := r.setBacklog(backlog); err != nil {
			return err
		}
	}
	return nil
}

// SetForSource sets a shape for connections from one IP address, in addition to the shape given to Set. With a cut, such
// connections are still established but carry no data.
func (r *Relay) SetForSource(ip string, s Shape) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.sourceShapes[ip] == s {
		return
	}
	if r.sourceShapes == nil {
		r.sourceShapes = map[string]Shape{}
	}
	old := r.sourceShapes[ip]
	r.sourceShapes[ip] = s
	close(r.changed)
	r.changed = make(chan struct{})
	if s.Reset && !old.Reset {
		r.resetFrom(ip)
	}
}

// fillBacklog keeps new connections from being established: it stops the accept loop, shrinks the accept queue to one
// entry and occupies that entry with a connection of its own. The caller must hold mu.
func (r *Relay) fillBacklog() error {
	r.ln.SetDeadline(time.Unix(1, 0)) // kept until the cut ends: the runtime ignores a deadline that is cleared immediately
	if err := r.setBacklog(0); err != nil {
		return err
	}
	c, err := net.DialTimeout("tcp4", r.addr, 100*time.Millisecond)
	if err == nil {
		r.backlogFiller = c
	}
	return nil // on failure the queue is already full
}

// closeBacklogFiller frees the accept queue entry taken by fillBacklog. The caller must hold mu.
func (r *Relay) closeBacklogFiller() {
	if r.backlogFiller != nil {
		r.backlogFiller.Close()
		r.backlogFiller = nil
	}
}

// reset resets all connections and discards their data in transit. The caller must hold mu.
func (r *Relay) reset() { r.resetFrom("") }

// resetFrom resets the connections from an IP address, or all if it is empty. The caller must hold mu.
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

// ResetAll resets all connections, as a rebooted machine does that has lost their state.
func (r *Relay) ResetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
}

// Close closes the relay, resets its connections and waits for its goroutines.
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
