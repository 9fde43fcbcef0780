package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"damsontrestle/internal/discovery"
	"damsontrestle/internal/netio"
)

// conn is a connection to a server. A goroutine of its own reads it for as long as it is open, so that one that the server
// closes leaves the idle ones at once.
type conn struct {
	net.Conn
	host         discovery.Host
	limited      *limitedReader
	reader       *bufio.Reader // over limited; empty between replies
	dialTime     time.Duration // that it took to come up: what is written takes less to arrive
	idleSince    time.Duration // clock time of its last reply's end
	startedAt    time.Duration // clock time at which the request on it was begun
	exchangeTime time.Duration // from there to the end of the reply, the last time

	// Guarded by Pool.mu.
	waiter    chan reply // takes the one reply for the attempt on it; nil while idle
	stage     stage
	discarded bool
	streaming bool // the rest of a reply is read by a replyStream
}

// Read goes on through failures that pass.
func (c *conn) Read(p []byte) (int, error) { return netio.Read(c.Conn, p) }

// Write goes on through failures that pass. How much was written proves how far the request came.
func (c *conn) Write(p []byte) (int, error) { return netio.Write(c.Conn, p) }

// stage is how far the request on a connection is.
type stage int

const (
	stageIdle    stage = iota // no byte of a request is written: whatever comes in answers none
	stageWriting              // some of the request may be written
	stageWritten              // all of it is
)

// String names the stage.
func (s stage) String() string {
	switch s {
	case stageIdle:
		return "idle"
	case stageWriting:
		return "writing"
	case stageWritten:
		return "written"
	}
	return "stage " + strconv.Itoa(int(s))
}

// Errors of connections that carry no request.
var (
	errNoCapacity  = errors.New("the node has no resources left for a connection") // which is no server's fault
	errUnsolicited = errors.New("the server sent bytes or closed before a request was written")
)

// newConn starts the reader of a connection that has come up, for the attempt that waits on it or, with nil, for none yet.
func (p *Pool) newConn(nc net.Conn, host discovery.Host, waiter chan reply) *conn {
	c := &conn{Conn: nc, host: host, waiter: waiter}
	c.limited = &limitedReader{Reader: c}
	c.reader = bufio.NewReader(c.limited)
	go p.watchReplies(c)
	return c
}

// maxSettleWait is how long the connection is waited for to settle rather than another opened.
func (c *conn) maxSettleWait() time.Duration {
	return max(c.dialTime, time.Duration(maxSettleFraction*float64(c.exchangeTime)))
}

// beginExchange has a request written next, unless the server has closed the connection or sent something meanwhile, which can be
// no reply to it: then the connection is closed, and another will do. The error is errUnsolicited, or errNoCapacity where the
// system could not tell.
func (p *Pool) beginExchange(c *conn, waiter chan reply) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiter != waiter {
		return errUnsolicited
	}
	err := errUnsolicited
	switch inputStateOf(c.Conn, p.recvfrom) {
	case inputNone:
		c.stage = stageWriting
		c.startedAt = p.clock.Now()
		return nil
	case inputUnknown:
		err = errNoCapacity
	}
	c.waiter = nil
	p.discard(c)
	return err
}

// markWritten notes that a request is written completely, and frees the connection if its reply has come already.
func (p *Pool) markWritten(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.stage = stageWritten
	if c.waiter == nil && !c.discarded && !c.streaming {
		p.putIdle(c)
	}
}

// abandon closes a connection under the attempt that waits on it, unless its reply has come: then the
// connection may serve another attempt already.
func (p *Pool) abandon(c *conn, waiter chan reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiter == waiter {
		c.waiter = nil
		p.discard(c)
		waiter <- reply{err: context.Canceled}
	}
}

// discard closes a connection and forgets it. The caller holds mu.
func (p *Pool) discard(c *conn) {
	if c.discarded {
		return
	}
	c.discarded = true
	p.release()
	c.Close()
	p.removeIdle(c)
}
