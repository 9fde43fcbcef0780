package link

import (
	"io"
	"net"
	"sync"
	"time"
)

// piece is a chunk of data that passes through a link as a unit.
type piece struct {
	data    []byte
	arrived time.Time // when it entered the link
	due     time.Time
	onSent  func(time.Time) // called after it has been written
}

// Conn is the far side of a connection. At most one goroutine may read and one may write.
type Conn struct {
	relay  *Relay
	source string // IP address of the near side
	tcp    *net.TCPConn

	heldByCut bool // it may have been established before a cut and accepted after it

	mu             sync.Mutex
	pieces         []piece // received from the near side
	buffered       int     // bytes in pieces
	nearClosed     bool    // the near side has closed the connection
	broken         bool    // reset by the relay; data in transit is lost
	nearClosedAt   time.Time
	forward        delayLine
	backward       delayLine
	wake           chan struct{}
	closeDelivered chan struct{} // closed once the far side may see that the near side has closed
	lastArrival    time.Time
	outgoing       chan piece
	once           sync.Once
}

// maxBuffered is the maximum number of bytes a connection buffers from the near side.
const maxBuffered = 256 << 10

// CloseDelivered returns a channel that is closed once the close of the near side reaches the far side.
func (c *Conn) CloseDelivered() <-chan struct{} { return c.closeDelivered }

// HeldByCut reports whether the connection may have been established before a cut and accepted after it. The near side may have
// sent its first bytes at any time in between; LastArrival is the time of the accept then.
func (c *Conn) HeldByCut() bool { return c.heldByCut }

// Broken reports whether the relay has reset the connection.
func (c *Conn) Broken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// SetReadBuffer sets the size of the kernel's buffer for what the near side sends.
func (c *Conn) SetReadBuffer(bytes int) { c.tcp.SetReadBuffer(bytes) }

// LastArrival returns when the bytes read last entered the link.
func (c *Conn) LastArrival() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastArrival
}

// NearClosedAt returns when the near side closed the connection, even if that has not reached the far side; zero if open.
func (c *Conn) NearClosedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nearClosedAt
}

// currentShape returns the shape of the link for this connection, a channel closed at the next change, and whether the
// relay is closed.
func (c *Conn) currentShape() (Shape, <-chan struct{}, bool) {
	r := c.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.shape
	if own, ok := r.sourceShapes[c.source]; ok {
		s = s.Combine(own)
	}
	return s, r.changed, r.closed
}

// waitUntilOpen waits until a piece is due and its direction is not cut. It returns false if the relay is closed.
func (c *Conn) waitUntilOpen(due time.Time, cut func(Shape) bool) bool {
	for {
		s, changed, closed := c.currentShape()
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

func cutThere(s Shape) bool { return s.CutForward }

func cutBack(s Shape) bool { return s.CutReturn }

// read moves data from the near side's socket into the link.
func (c *Conn) read() {
	defer c.relay.work.Done()
	buf := make([]byte, 16<<10)
	for {
		n, err := c.tcp.Read(buf)
		now := time.Now()
		s, _, _ := c.currentShape()
		c.mu.Lock()
		due := c.forward.deliveryTime(now, n, s, c.relay.random)
		if n > 0 && !c.broken {
			c.pieces = append(c.pieces, piece{data: append([]byte(nil), buf[:n]...), arrived: now, due: due})
			c.buffered += n
		}
		if err != nil {
			c.nearClosed, c.nearClosedAt = true, now
		}
		full := c.buffered > maxBuffered
		c.mu.Unlock()
		c.notify()
		if err != nil {
			if c.waitUntilOpen(due, cutThere) {
				close(c.closeDelivered)
				c.notify()
			}
			return
		}
		for full { // the far side is not reading: apply backpressure to the near side
			time.Sleep(5 * time.Millisecond)
			c.mu.Lock()
			full = c.buffered > maxBuffered && !c.nearClosed
			c.mu.Unlock()
			if _, _, closed := c.currentShape(); closed {
				return
			}
		}
	}
}

func (c *Conn) notify() {
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
			if !c.waitUntilOpen(due, cutThere) {
				return 0, net.ErrClosed
			}
			c.mu.Lock()
			if len(c.pieces) == 0 { // reset in the meantime
				c.mu.Unlock()
				continue
			}
			first := &c.pieces[0]
			n := copy(p, first.data)
			first.data = first.data[n:]
			c.buffered -= n
			c.lastArrival = first.arrived
			if len(first.data) == 0 {
				c.pieces = c.pieces[1:]
			}
			c.mu.Unlock()
			return n, nil
		}
		ended, broken := c.nearClosed, c.broken
		c.mu.Unlock()
		if broken {
			return 0, net.ErrClosed
		}
		if _, changed, closed := c.currentShape(); closed {
			return 0, net.ErrClosed
		} else if ended {
			select {
			case <-c.closeDelivered:
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

// Send queues data for the near side. onSent, if not nil, is called once the data has been written to the near side's
// socket. Send blocks only while the queue is full.
func (c *Conn) Send(data []byte, onSent func(time.Time)) error {
	s, changed, closed := c.currentShape()
	if closed {
		return net.ErrClosed
	}
	now := time.Now()
	c.mu.Lock()
	due := c.backward.deliveryTime(now, len(data), s, c.relay.random)
	c.mu.Unlock()
	p := piece{data: append([]byte(nil), data...), arrived: now, due: due, onSent: onSent}
	for {
		select {
		case c.outgoing <- p:
			return nil
		case <-changed:
			if _, changed, closed = c.currentShape(); closed {
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

// write sends queued pieces to the near side and closes its socket at the end.
func (c *Conn) write() {
	defer c.relay.work.Done()
	defer func() {
		c.tcp.Close()
		c.relay.mu.Lock()
		delete(c.relay.conns, c)
		c.relay.mu.Unlock()
	}()
	for p := range c.outgoing {
		if !c.waitUntilOpen(p.due, cutBack) {
			for range c.outgoing {
			}
			return
		}
		if p.data == nil {
			c.tcp.SetLinger(0)
			continue
		}
		if _, err := c.tcp.Write(p.data); err == nil && p.onSent != nil {
			p.onSent(time.Now())
		}
	}
	c.waitUntilOpen(time.Time{}, cutBack)
}

// Reset resets the connection after the queued data has been sent.
func (c *Conn) Reset() {
	s, _, _ := c.currentShape()
	c.mu.Lock()
	due := c.backward.deliveryTime(time.Now(), 0, s, c.relay.random)
	c.mu.Unlock()
	select {
	case c.outgoing <- piece{due: due}:
	default:
	}
	c.Close()
}

// Close closes the connection after the queued data has been sent. Send must not be called afterwards.
func (c *Conn) Close() { c.once.Do(func() { close(c.outgoing) }) }
