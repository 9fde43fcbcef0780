package link

import (
	"io"
	"net"
	"sync"
	"time"
)

// piece is what goes through a link in one go.
type piece struct {
	data    []byte
	arrived time.Time // when it came into the link
	due     time.Time
	onSent  func(time.Time) // told when it has gone out
}

// Conn is the far side of a connection. One goroutine reads, and one writes.
type Conn struct {
	relay  *Relay
	source string // IP address of the near side
	tcp    *net.TCPConn

	mu             sync.Mutex
	pieces         []piece // that came from the near side
	buffered       int     // bytes of them
	nearClosed     bool    // the near side has closed; nothing more comes
	broken         bool    // by the relay: what was under way is lost
	nearClosedAt   time.Time
	forward        delayLine
	backward       delayLine
	wake           chan struct{}
	closeDelivered chan struct{} // closed when the far side sees the near side's end
	lastArrival    time.Time
	outgoing       chan piece
	once           sync.Once
}

// most that a connection holds in one direction.
const maxBuffered = 256 << 10

// Gone is closed once the far side sees that the near side has closed.
func (c *Conn) CloseDelivered() <-chan struct{} { return c.closeDelivered }

// Stamp is when the bytes that were read last had come into the link.
func (c *Conn) LastArrival() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastArrival
}

// Ended is when the near side closed the connection, whether the far side can know yet or not; zero: it has not.
func (c *Conn) NearClosedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nearClosedAt
}

// state is the shape of the link for this connection.
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

// pass waits until a piece is due and its direction is open. false: the relay has closed.
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

// read takes what the near side sends into the link.
func (c *Conn) read() {
	defer c.relay.work.Done()
	buf := make([]byte, 16<<10)
	for {
		n, err := c.tcp.Read(buf)
		now := time.Now()
		s, _, _ := c.currentShape()
		c.mu.Lock()
		due := c.forward.deliveryTime(now, n, s, c.relay.dice)
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
		for full { // nobody reads: the near side has to wait
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
			if len(c.pieces) == 0 { // broken meanwhile
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

// Send has bytes go to the near side; after is told when the last has been handed to its socket. It blocks only when
// much is under way.
func (c *Conn) Send(data []byte, after func(time.Time)) error {
	s, changed, closed := c.currentShape()
	if closed {
		return net.ErrClosed
	}
	now := time.Now()
	c.mu.Lock()
	due := c.backward.deliveryTime(now, len(data), s, c.relay.dice)
	c.mu.Unlock()
	p := piece{data: append([]byte(nil), data...), arrived: now, due: due, onSent: after}
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

// write hands what the far side sends to the near side, and closes it at the end.
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

// Break resets the connection, once all before it has gone out.
func (c *Conn) Reset() {
	s, _, _ := c.currentShape()
	c.mu.Lock()
	due := c.backward.deliveryTime(time.Now(), 0, s, c.relay.dice)
	c.mu.Unlock()
	select {
	case c.outgoing <- piece{due: due}:
	default:
	}
	c.Close()
}

// Close ends the connection in order, once all before it has gone out. Nothing may be sent afterwards.
func (c *Conn) Close() { c.once.Do(func() { close(c.outgoing) }) }
