package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/netio"
)

// conn is a connection to a server. Its reader watches it for as long as it is open, so that one
// closed by the server leaves the idle ones at once.
type conn struct {
	net.Conn
	host         discovery.Host
	limited      *limitedReader
	reader       *bufio.Reader // over in; empty between answers
	waiter       chan reply    // the attempt on it takes one reply here; nil while idle. Guarded by Pool.mu
	idleSince    time.Duration
	dialTime     time.Duration // that it took to come up: what is written takes less to arrive
	begunAt      time.Duration // when the request on it was begun
	exchangeTime time.Duration // from then to the end of its answer, the last time
	stage        stage         // guarded by Pool.mu
	discarded    bool          // guarded by Pool.mu
	streaming    bool          // the rest of an answer is read by somebody else. Guarded by Pool.mu
}

// Read goes on through failures that pass.
func (c *conn) Read(p []byte) (int, error) { return netio.Read(c.Conn, p) }

// Write goes on through failures that pass. How much was written proves how far the request came.
func (c *conn) Write(p []byte) (int, error) { return netio.Write(c.Conn, p) }

// stage is how far the request on a connection is.
type stage int

const (
	stageIdle stage = iota // no byte of a request is written: whatever comes in answers none
	stageWriting
	stageWritten // whole
)

// Limits bound connections to servers, and tell what their answers say.
type Limits struct {
	MaxConnections int           // open or being opened
	ConnectTimeout time.Duration // for one to come up
	IdleTimeout    time.Duration // a server closes one that has been idle for so long
	Settle         time.Duration // behind an answer, before the next request may follow: see DefaultSettle
	LoadField      string        // name that X-Load has for the requests that a server holds; empty: none is read
	PollPath       string        // where servers answer with their report alone; empty: they are not asked
	LocalIP        net.IP        // that connections go out from; nil: any
}

// DefaultSettle is longer than a second answer comes behind the first where a server gives two, which is some
// milliseconds: written before it has come, the next request would get it for its own.
const DefaultSettle = 10 * time.Millisecond

// maxSettleShare is the part of an exchange's time that the next one may wait for its connection to settle, rather than have
// one more opened: a handshake costs the server work, and may take longer than expected.
const maxSettleShare = 0.25

// maxIdle is how long a connection may be idle: closed a little before the server does, or a request might cross
// its close and end as a reset.
func (l Limits) maxIdle() time.Duration { return l.IdleTimeout - l.IdleTimeout/10 }

// SetLimits changes the limits. Connections that are being opened go by the old ones; idle ones beyond the new
// ones are closed, the oldest first.
func (p *Pool) SetLimits(l Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
	for p.open > l.MaxConnections && p.discardOldestIdle() {
	}
}

// Close closes the idle connections, and from now on every other once its attempt has ended.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for p.discardOldestIdle() {
	}
}

// errNoCapacity says that the node is out of descriptors, which is no server's fault.
var errNoCapacity = errors.New("no descriptor left for a connection")

// connect takes the idle connection used last, or opens a fresh one.
func (p *Pool) connect(ctx context.Context, to discovery.Host, waiter chan reply) (c *conn, fresh bool, err error) {
	c, settles, err := p.take(to, waiter)
	if c == nil && err == nil {
		return p.dialOrReuse(ctx, to, waiter)
	}
	if settles > 0 {
		clock.Sleep(ctx, settles)
	}
	return c, false, err
}

// newConn starts the reader of a connection that an attempt is about to use.
func (p *Pool) newConn(nc net.Conn, to discovery.Host, waiter chan reply) *conn {
	c := &conn{Conn: nc, host: to, waiter: waiter}
	c.limited = &limitedReader{Reader: c}
	c.reader = bufio.NewReader(c.limited)
	go p.watchReplies(c)
	return c
}

// isReady says that a server is the one that a host names, and takes requests. The caller holds mu.
func (p *Pool) isReady(h discovery.Host) bool {
	t, listed := p.listed[h.Server]
	return listed && t.State == balancer.Ready && t.Host() == h
}

// take returns an idle connection and how long it has yet to settle, or nil once there is room to open one: one that soon
// will have settled, or any where no other can be opened. When short, idle connections to other servers are closed.
func (p *Pool) take(to discovery.Host, waiter chan reply) (c *conn, settles time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, settles = p.soonest(to)
	if (c == nil || settles > c.maxSettleWait()) && p.reserve() {
		return nil, 0, nil
	}
	if c != nil {
		p.unlist(c)
		c.waiter, c.stage = waiter, stageIdle
		return c, settles, nil
	}
	for p.discardOldestIdle() {
		if p.reserve() {
			return nil, 0, nil
		}
	}
	return nil, 0, errNoCapacity
}

// reserve takes a place for one more connection, if there is one. The caller holds mu.
func (p *Pool) reserve() bool {
	if p.open >= p.limits.MaxConnections || !p.share.Take() {
		return false
	}
	p.open++
	p.dialed++
	return true
}

// soonest is the idle connection to a host that is of use first, and how long it has yet to settle; nil: there is none. Of
// those that have settled it is the one used last: one that has been idle for longer is likelier to be closed by its server
// just then. Only where none has settled one is waited for, and rather one that may be. The caller holds mu.
func (p *Pool) soonest(to discovery.Host) (c *conn, settles time.Duration) {
	now := p.clock.Now()
	waits := false // c is one that may be waited for
	for _, free := range slices.Backward(p.idle[to]) {
		left := free.idleSince + p.limits.Settle - now
		if left <= 0 {
			return free, 0
		}
		may := left <= free.maxSettleWait()
		if c == nil || may && !waits || may == waits && left < settles {
			c, settles, waits = free, left, may
		}
	}
	return c, settles
}

// maxSettleWait is how long a connection is waited for rather than another opened.
func (c *conn) maxSettleWait() time.Duration {
	return max(c.dialTime, time.Duration(maxSettleShare*float64(c.exchangeTime)))
}

// unlist takes a connection from the idle ones, if it is among them. The caller holds mu.
func (p *Pool) unlist(c *conn) {
	free := p.idle[c.host]
	if i := slices.Index(free, c); i >= 0 {
		p.idle[c.host] = slices.Delete(free, i, i+1)
	}
	if len(p.idle[c.host]) == 0 {
		delete(p.idle, c.host)
	}
}

// release gives a connection's place back. The caller holds mu.
func (p *Pool) release() {
	p.open--
	p.share.Give()
}

// discardOldestIdle closes the connection that has been idle for longest, if there is one. The caller holds mu.
func (p *Pool) discardOldestIdle() bool {
	var oldest *conn
	for _, free := range p.idle {
		if len(free) > 0 && (oldest == nil || free[0].idleSince < oldest.idleSince) {
			oldest = free[0]
		}
	}
	if oldest != nil {
		p.discard(oldest)
	}
	return oldest != nil
}

// discard closes a connection and forgets it. The caller holds mu.
func (p *Pool) discard(c *conn) {
	if c.discarded {
		return
	}
	c.discarded = true
	p.release()
	c.Close()
	p.unlist(c)
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

// Connections is how many are open or being opened.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// markWritten notes that a request is written whole, and frees the connection if it is answered already.
func (p *Pool) markWritten(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.stage = stageWritten
	if c.waiter == nil && !c.discarded && !c.streaming {
		p.putIdle(c)
	}
}

// putIdle keeps a connection for the next attempt, if its server is still the one that it was made to. The
// client holds mu.
func (p *Pool) putIdle(c *conn) {
	if p.closed || !p.isReady(c.host) {
		p.discard(c)
		return
	}
	if p.deliver(c) {
		return
	}
	p.idle[c.host] = append(p.idle[c.host], c)
}

// Servers follows the list: idle connections to a server that left, drains or started anew are closed.
func (p *Pool) Servers(targets []discovery.Target, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	named := map[string]bool{}
	for _, t := range targets {
		named[t.ID] = true
		old, known := p.listed[t.ID]
		p.listed[t.ID] = t
		if known && (t.State != balancer.Ready || t.Host() != old.Host()) {
			p.discardIdle(old.Host())
		}
		if t.State == balancer.Removed {
			delete(p.listed, t.ID)
		}
	}
	if !full {
		return
	}
	for id, t := range p.listed {
		if !named[id] {
			p.discardIdle(t.Host())
			delete(p.listed, id)
		}
	}
}

// CloseIdle implements engine.Backend.
func (p *Pool) CloseIdle(h discovery.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardIdle(h)
}

// discardIdle closes the idle connections to a host. The caller holds mu.
func (p *Pool) discardIdle(h discovery.Host) {
	for free := p.idle[h]; len(free) > 0; free = p.idle[h] {
		p.discard(free[len(free)-1])
	}
}

// Sweep closes connections that have been idle for too long, until ctx ends.
func (p *Pool) Sweep(ctx context.Context) {
	for {
		p.mu.Lock()
		keep := p.limits.maxIdle()
		for _, free := range p.idle {
			for len(free) > 0 && p.clock.Now()-free[0].idleSince >= keep {
				c := free[0]
				p.discard(c)
				free = p.idle[c.host]
			}
		}
		p.mu.Unlock()
		if clock.Sleep(ctx, max(keep/20, time.Millisecond)); ctx.Err() != nil {
			return
		}
	}
}
