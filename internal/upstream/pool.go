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
	to     discovery.Host
	in     *bounded
	br     *bufio.Reader // over in; empty between answers
	waiter chan reply    // the attempt on it takes one reply here; nil while idle. Guarded by Pool.mu
	since  time.Duration
	way    time.Duration // that it took to come up: what is written takes less to arrive
	begun  time.Duration // when the request on it was begun
	took   time.Duration // from then to the end of its answer, the last time
	stage  stage         // guarded by Pool.mu
	dead   bool          // guarded by Pool.mu
	passed bool          // the rest of an answer is read by somebody else. Guarded by Pool.mu
}

// Read goes on through failures that pass.
func (c *conn) Read(p []byte) (int, error) { return netio.Read(c.Conn, p) }

// Write goes on through failures that pass. How much was written proves how far the request came.
func (c *conn) Write(p []byte) (int, error) { return netio.Write(c.Conn, p) }

// stage is how far the request on a connection is.
type stage int

const (
	resting stage = iota // no byte of a request is written: whatever comes in answers none
	writing
	written // whole
)

// Limits bound connections to servers, and tell what their answers say.
type Limits struct {
	Most           int           // open or being opened
	ConnectTimeout time.Duration // for one to come up
	Idle           time.Duration // a server closes one that has been idle for so long
	Settle         time.Duration // behind an answer, before the next request may follow: see DefaultSettle
	Busy           string        // name that X-Load has for the requests that a server holds; empty: none is read
	AskPath        string        // where servers answer with their report alone; empty: they are not asked
	From           net.IP        // that connections go out from; nil: any
}

// DefaultSettle is longer than a second answer comes behind the first where a server gives two, which is some
// milliseconds: written before it has come, the next request would get it for its own.
const DefaultSettle = 10 * time.Millisecond

// settleShare is the part of an exchange's time that the next one may wait for its connection to settle, rather than have
// one more opened: a handshake costs the server work, and may take longer than expected.
const settleShare = 0.25

// keep is how long a connection may be idle: closed a little before the server does, or a request might cross
// its close and end as a reset.
func (l Limits) keep() time.Duration { return l.Idle - l.Idle/10 }

// SetLimits changes the limits. Connections that are being opened go by the old ones; idle ones beyond the new
// ones are closed, the oldest first.
func (b *Pool) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
	for b.open > l.Most && b.dropOldest() {
	}
}

// Close closes the idle connections, and from now on every other once its attempt has ended.
func (b *Pool) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for b.dropOldest() {
	}
}

// errNoRoom says that the node is out of descriptors, which is no server's fault.
var errNoRoom = errors.New("no descriptor left for a connection")

// connect takes the idle connection used last, or opens a fresh one.
func (b *Pool) connect(ctx context.Context, to discovery.Host, waiter chan reply) (c *conn, fresh bool, err error) {
	c, settles, err := b.take(to, waiter)
	if c == nil && err == nil {
		return b.openOrBorrow(ctx, to, waiter)
	}
	if settles > 0 {
		clock.Sleep(ctx, settles)
	}
	return c, false, err
}

// watch starts the reader of a connection that an attempt is about to use.
func (b *Pool) watch(nc net.Conn, to discovery.Host, waiter chan reply) *conn {
	c := &conn{Conn: nc, to: to, waiter: waiter}
	c.in = &bounded{Reader: c}
	c.br = bufio.NewReader(c.in)
	go b.read(c)
	return c
}

// serves says that a server is the one that a host names, and takes requests. The caller holds mu.
func (b *Pool) serves(h discovery.Host) bool {
	t, listed := b.seen[h.Server]
	return listed && t.State == balancer.Ready && t.Host() == h
}

// take returns an idle connection and how long it has yet to settle, or nil once there is room to open one: one that soon
// will have settled, or any where no other can be opened. When short, idle connections to other servers are closed.
func (b *Pool) take(to discovery.Host, waiter chan reply) (c *conn, settles time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, settles = b.soonest(to)
	if (c == nil || settles > c.patience()) && b.reserve() {
		return nil, 0, nil
	}
	if c != nil {
		b.unlist(c)
		c.waiter, c.stage = waiter, resting
		return c, settles, nil
	}
	for b.dropOldest() {
		if b.reserve() {
			return nil, 0, nil
		}
	}
	return nil, 0, errNoRoom
}

// reserve takes a place for one more connection, if there is one. The caller holds mu.
func (b *Pool) reserve() bool {
	if b.open >= b.limits.Most || !b.share.Take() {
		return false
	}
	b.open++
	b.made++
	return true
}

// soonest is the idle connection to a host that is of use first, and how long it has yet to settle; nil: there is none. Of
// those that have settled it is the one used last: one that has been idle for longer is likelier to be closed by its server
// just then. Only where none has settled one is waited for, and rather one that may be. The caller holds mu.
func (b *Pool) soonest(to discovery.Host) (c *conn, settles time.Duration) {
	now := b.clock.Now()
	waits := false // c is one that may be waited for
	for _, free := range slices.Backward(b.idle[to]) {
		left := free.since + b.limits.Settle - now
		if left <= 0 {
			return free, 0
		}
		may := left <= free.patience()
		if c == nil || may && !waits || may == waits && left < settles {
			c, settles, waits = free, left, may
		}
	}
	return c, settles
}

// patience is how long a connection is waited for rather than another opened.
func (c *conn) patience() time.Duration {
	return max(c.way, time.Duration(settleShare*float64(c.took)))
}

// unlist takes a connection from the idle ones, if it is among them. The caller holds mu.
func (b *Pool) unlist(c *conn) {
	free := b.idle[c.to]
	if i := slices.Index(free, c); i >= 0 {
		b.idle[c.to] = slices.Delete(free, i, i+1)
	}
	if len(b.idle[c.to]) == 0 {
		delete(b.idle, c.to)
	}
}

// release gives a connection's place back. The caller holds mu.
func (b *Pool) release() {
	b.open--
	b.share.Give()
}

// dropOldest closes the connection that has been idle for longest, if there is one. The caller holds mu.
func (b *Pool) dropOldest() bool {
	var oldest *conn
	for _, free := range b.idle {
		if len(free) > 0 && (oldest == nil || free[0].since < oldest.since) {
			oldest = free[0]
		}
	}
	if oldest != nil {
		b.drop(oldest)
	}
	return oldest != nil
}

// drop closes a connection and forgets it. The caller holds mu.
func (b *Pool) drop(c *conn) {
	if c.dead {
		return
	}
	c.dead = true
	b.release()
	c.Close()
	b.unlist(c)
}

// giveUp closes a connection under the attempt that waits on it, unless its reply has come: then the
// connection may serve another attempt already.
func (b *Pool) giveUp(c *conn, waiter chan reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiter == waiter {
		c.waiter = nil
		b.drop(c)
		waiter <- reply{err: context.Canceled}
	}
}

// Connections is how many are open or being opened.
func (b *Pool) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// wrote notes that a request is written whole, and frees the connection if it is answered already.
func (b *Pool) wrote(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.stage = written
	if c.waiter == nil && !c.dead && !c.passed {
		b.rest(c)
	}
}

// rest keeps a connection for the next attempt, if its server is still the one that it was made to. The
// client holds mu.
func (b *Pool) rest(c *conn) {
	if b.closed || !b.serves(c.to) {
		b.drop(c)
		return
	}
	if b.lend(c) {
		return
	}
	b.idle[c.to] = append(b.idle[c.to], c)
}

// Servers follows the list: idle connections to a server that left, drains or started anew are closed.
func (b *Pool) Servers(targets []discovery.Target, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	named := map[string]bool{}
	for _, t := range targets {
		named[t.ID] = true
		old, known := b.seen[t.ID]
		b.seen[t.ID] = t
		if known && (t.State != balancer.Ready || t.Host() != old.Host()) {
			b.dropIdle(old.Host())
		}
		if t.State == balancer.Removed {
			delete(b.seen, t.ID)
		}
	}
	if !full {
		return
	}
	for id, t := range b.seen {
		if !named[id] {
			b.dropIdle(t.Host())
			delete(b.seen, id)
		}
	}
}

// CloseIdle implements engine.Backend.
func (b *Pool) CloseIdle(h discovery.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropIdle(h)
}

// dropIdle closes the idle connections to a host. The caller holds mu.
func (b *Pool) dropIdle(h discovery.Host) {
	for free := b.idle[h]; len(free) > 0; free = b.idle[h] {
		b.drop(free[len(free)-1])
	}
}

// Sweep closes connections that have been idle for too long, until ctx ends.
func (b *Pool) Sweep(ctx context.Context) {
	for {
		b.mu.Lock()
		keep := b.limits.keep()
		for _, free := range b.idle {
			for len(free) > 0 && b.clock.Now()-free[0].since >= keep {
				c := free[0]
				b.drop(c)
				free = b.idle[c.to]
			}
		}
		b.mu.Unlock()
		if clock.Sleep(ctx, max(keep/20, time.Millisecond)); ctx.Err() != nil {
			return
		}
	}
}
