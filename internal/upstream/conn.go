package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"damsontrestle/internal/discovery"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/netio"
)

// conn is a connection to a server. A goroutine of its own reads it as long as it is open, so that a connection closed by the
// server is removed from the idle ones at once.
type conn struct {
	net.Conn
	raw          syscall.RawConn // of Conn; nil: it has no socket
	host         discovery.Host
	number       int64 // identifies the connection in the log
	limited      *limitedReader
	reader       *bufio.Reader // reads from limited; empty between replies
	dialTime     time.Duration // duration of the connect, an upper bound of the time that a write takes to arrive
	idleSince    time.Duration // clock time at which its last reply ended
	startedAt    time.Duration // clock time at which the current request started
	writtenAt    time.Duration // clock time at which it was written completely
	exchangeTime time.Duration // from the start of the last request to the end of its reply

	// Guarded by Pool.mu.
	waiter    chan reply      // receives the reply for the current attempt; nil while idle
	attempt   *engine.Attempt // that wrote the current request; nil: a poll, or not written yet
	stage     stage
	written   chan struct{} // closed once the current request is written completely, or the connection is closed
	early     bool          // there was input before the current request was written completely
	discarded bool
	uploading bool // the body of the current request is still being received from its client
	progress  progress
	partial   *partialReply // a reply that is being received; nil: none
	streaming bool          // a replyStream reads the rest of a reply
	uses      int           // requests and polls that began to be written
	requestID string        // of the request that was written last; empty for a poll

	clientDeadline time.Duration // clock time until which the client of the current request waits
}

// Read retries transient failures.
func (c *conn) Read(p []byte) (int, error) { return netio.Read(c.Conn, p) }

// Write retries transient failures. The number of bytes written proves how much of the request was sent.
func (c *conn) Write(p []byte) (int, error) { return netio.Write(c.Conn, p) }

// stage is the progress of the request on a connection.
type stage int

const (
	stageIdle    stage = iota // no byte of a request is written: input is unsolicited
	stageWriting              // part of the request may be written
	stageWritten              // the request is written completely
)

// String implements fmt.Stringer.
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
	errNoCapacity   = errors.New("the node has no resources for a connection") // not caused by a server
	errUnsolicited  = errors.New("the server sent bytes or closed before a request was written")
	errUnattributed = errors.New("the input of the connection belongs to no request, or to an earlier one")
	errUnsettled    = errors.New("the connection has not settled since its last reply")
)

// newConn starts the reader of a new connection. waiter belongs to the attempt that waits for the connection, and is nil if there
// is none yet.
func (p *Pool) newConn(nc net.Conn, host discovery.Host, waiter chan reply) *conn {
	c := &conn{Conn: nc, raw: rawConn(nc), host: host, waiter: waiter, number: p.connNumbers.Add(1)}
	c.limited = &limitedReader{Reader: c}
	c.reader = bufio.NewReader(c.limited)
	go p.watchReplies(c)
	return c
}

// beginExchange prepares a connection for the request that its attempt writes next. If the server has closed it or sent bytes
// meanwhile, which cannot be a reply to a request not yet written, the connection is closed instead and the attempt needs another
// one. A poll has no request. The error is errUnsolicited, errNoCapacity if the state of the connection could not be read, or errUnsettled if its settle
// delay was extended meanwhile.
func (p *Pool) beginExchange(c *conn, waiter chan reply, request *engine.Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiter != waiter {
		return errUnsolicited
	}
	state := inputStateOf(c.raw, p.recvfrom)
	if state == inputNone && p.remainingSettleDelay(c, p.clock.Now()) > 0 {
		c.waiter = nil
		p.putIdle(c)
		return errUnsettled
	}
	if state == inputNone {
		c.stage = stageWriting
		c.written = make(chan struct{})
		c.early = false
		c.writtenAt = 0
		c.uploading = false
		c.progress = progress{}
		c.partial = nil
		c.attempt = nil
		c.startedAt = p.clock.Now()
		c.uses++
		c.requestID = ""
		c.clientDeadline = 0
		if request != nil {
			c.requestID = request.ID
			c.clientDeadline = request.Deadline
		}
		return nil
	}
	c.waiter = nil
	if state == inputUnknown {
		p.discard(c, closeInputUnknown)
		return errNoCapacity
	}
	p.discardUnsolicited(c, state)
	return errUnsolicited
}

// discardUnsolicited closes a connection that the server has closed or sent bytes on while no request was written. The caller
// holds mu.
func (p *Pool) discardUnsolicited(c *conn, state inputState) {
	if state == inputEnded {
		p.discard(c, closedByServer)
		return
	}
	if !c.discarded {
		p.recordUnattributed(c, inputWhileIdle)
	}
	p.discard(c, closeUnattributed)
}

// write writes a part of the current request. Right before and after, it records whether the connection has input: a reply that
// arrives before the last byte of a request is written does not belong to it.
func (p *Pool) write(c *conn, text []byte) (int, error) {
	lookedAt := p.clock.Now()
	before := inputStateOf(c.raw, p.recvfrom)
	n, err := c.Write(text)
	if before == inputPending || hasEarlyInput(c.raw, p.recvfrom, p.clock.Now()-lookedAt) {
		p.recordEarlyInput(c)
	}
	return n, err
}

// recordEarlyInput records that a connection has input before its request is written completely.
func (p *Pool) recordEarlyInput(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.early = true
}

// writeRequest writes a request whose text is complete, and closes the connection if that fails. If the connection has input or was
// closed, it writes nothing and returns errUnsolicited.
func (p *Pool) writeRequest(c *conn, waiter chan reply, text []byte) (sent int, err error) {
	lookedAt := p.clock.Now()
	switch inputStateOf(c.raw, p.recvfrom) {
	case inputPending:
		p.refuseInput(c, waiter, inputBeforeWrite)
		return 0, errUnsolicited
	case inputEnded:
		p.abandon(c, waiter, closedByServer)
		return 0, errUnsolicited
	}
	sent, err = c.Write(text)
	if hasEarlyInput(c.raw, p.recvfrom, p.clock.Now()-lookedAt) {
		p.recordEarlyInput(c)
	}
	if err != nil {
		p.abandon(c, waiter, closeWriteFailed)
		return sent, err
	}
	p.markWritten(c)
	return sent, nil
}

// refuseInput closes a connection whose input does not belong to the request of the attempt that waits for a reply.
func (p *Pool) refuseInput(c *conn, waiter chan reply, kind inputKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiter == waiter {
		p.refuseInputLocked(c, waiter, kind)
	}
}

// refuseInputLocked is refuseInput for a caller that holds mu and has checked that the attempt still waits.
func (p *Pool) refuseInputLocked(c *conn, waiter chan reply, kind inputKind) {
	c.waiter = nil
	p.recordUnattributed(c, kind)
	p.log.Warn("reply refused: it does not belong to the request",
		"request", c.requestID,
		"server", c.host.Server,
		"connection", c.number,
		"uses", c.uses,
		"kind", kind,
		"quiet", c.startedAt-c.idleSince,
		"settle_delay", p.settleDelay(c.host, p.clock.Now()),
		"started_at", c.startedAt,
		"written_after", c.writtenAt-c.startedAt,
		"input_after", p.clock.Now()-c.startedAt)
	p.discard(c, closeUnattributed)
	waiter <- reply{err: errUnattributed}
}

// setClientDeadline sets the clock time until which the client of the current request waits.
func (p *Pool) setClientDeadline(c *conn, deadline time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.clientDeadline = deadline
}

// markWritten records that a request is written completely, so that its reply is read.
func (p *Pool) markWritten(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.discarded {
		return
	}
	c.stage = stageWritten
	c.writtenAt = p.clock.Now()
	close(c.written)
}

// abandon closes the connection of an attempt that waits for a reply, unless the reply has arrived: then the connection may
// serve another attempt already.
func (p *Pool) abandon(c *conn, waiter chan reply, reason closeReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandonLocked(c, waiter, reason)
}

// abandonLocked is abandon for a caller that holds mu.
func (p *Pool) abandonLocked(c *conn, waiter chan reply, reason closeReason) {
	if c.waiter == waiter {
		c.waiter = nil
		p.discard(c, reason)
		waiter <- reply{err: context.Canceled}
	}
}

// discard closes a connection and removes it from the pool. The caller holds mu.
func (p *Pool) discard(c *conn, reason closeReason) {
	if c.discarded {
		return
	}
	c.discarded = true
	if c.stage == stageWriting {
		close(c.written)
	}
	p.counters.ServerConnectionClosed(string(reason))
	p.log.Debug("connection to a server closed", "server", c.host.Server, "connection", c.number, "uses", c.uses, "reason", reason)
	p.release()
	c.Close()
	p.removeIdle(c)
}
