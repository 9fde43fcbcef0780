package upstream

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
)

// lateAfter is how long a connection may take to come up before its attempt borrows another. It is longer than any that comes up
// at once takes, and as short as a wait for one to settle.
const lateAfter = 10 * time.Millisecond

// MaxDials is how many connects one attempt makes at most, the further ones after failures for want of something on this
// machine.
const MaxDials = 4

// dialPause is the backoff before the second connect; it doubles with each.
const dialPause = 5 * time.Millisecond

// dialed is how the opening of a connection ended.
type dialed struct {
	nc  net.Conn
	way time.Duration // that it took to come up
	err error
}

// borrower is an attempt whose own connection is late to come up. Until it is, the attempt takes one to the same server whose
// exchange has ended.
type borrower struct {
	waiter chan reply
	lent   chan *conn // takes one
}

// openOrBorrow opens a connection to a server. Where that is late to come up, one to the same server that is free sooner is
// taken instead, and the late one is kept for another attempt: on a network that loses a handshake it comes up a second later
// than the answers of others take.
func (b *Pool) openOrBorrow(ctx context.Context, to discovery.Host, waiter chan reply) (c *conn, fresh bool, err error) {
	opening, cancel := context.WithCancel(context.Background())
	detach := context.AfterFunc(ctx, cancel) // it ends with the attempt, unless another connection has taken its place
	up := make(chan dialed, 1)
	go func() {
		defer cancel()
		up <- b.dialOne(opening, to)
	}()
	late := time.NewTimer(lateAfter)
	defer late.Stop()
	select {
	case d := <-up:
		detach()
		return b.opened(d, to, waiter)
	case <-late.C:
	}
	w := &borrower{waiter: waiter, lent: make(chan *conn, 1)}
	b.borrow(to, w)
	select {
	case d := <-up:
		detach()
		b.giveBack(to, w)
		return b.opened(d, to, waiter)
	case c = <-w.lent:
	}
	detach()
	go b.keepLate(up, to)
	clock.Sleep(ctx, b.settles(c))
	return c, false, nil
}

// dialOne opens a connection in a place that reserve has taken. What the node itself is short of for a moment is waited for: other
// servers would be dialed in vain as well.
func (b *Pool) dialOne(ctx context.Context, to discovery.Host) dialed {
	d := b.dialOnce(ctx, to)
	pause := dialPause
	for try := 1; try < MaxDials && isOwnShortage(d.err); try++ {
		if clock.Sleep(ctx, pause); ctx.Err() != nil {
			break
		}
		pause *= 2
		d = b.dialOnce(ctx, to)
	}
	if d.err != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.release()
	}
	return d
}

// dialOnce makes one connect.
func (b *Pool) dialOnce(ctx context.Context, to discovery.Host) dialed {
	b.mu.Lock()
	dialer := net.Dialer{Timeout: b.limits.ConnectTimeout, KeepAlive: -1}
	if b.limits.From != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: b.limits.From}
	}
	b.mu.Unlock()
	dial := dialer.DialContext
	if b.dial != nil {
		dial = b.dial
	}
	begin := b.clock.Now()
	nc, err := dial(ctx, "tcp", to.Endpoint)
	return dialed{nc, b.clock.Now() - begin, err}
}

// opened is a connection that has come up for an attempt, or why there is none.
func (b *Pool) opened(d dialed, to discovery.Host, waiter chan reply) (c *conn, fresh bool, err error) {
	if d.err == nil {
		c = b.watch(d.nc, to, waiter)
		c.way = d.way
		return c, true, nil
	}
	if isOwnShortage(d.err) {
		return nil, true, fmt.Errorf("connect: %w: %w", errNoRoom, d.err)
	}
	return nil, true, fmt.Errorf("connect: %w", d.err)
}

// keepLate keeps a connection that comes up when its attempt has gone on by another.
func (b *Pool) keepLate(up <-chan dialed, to discovery.Host) {
	d := <-up
	if d.err != nil {
		return
	}
	c := b.watch(d.nc, to, nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.dead {
		return
	}
	c.way, c.since = d.way, b.clock.Now()
	b.rest(c)
}

// borrow has an attempt take a connection to a server as soon as one is of use.
func (b *Pool) borrow(to discovery.Host, w *borrower) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.borrowers[to] = append(b.borrowers[to], w)
	if c, _ := b.soonest(to); c != nil {
		b.unlist(c)
		b.lend(c)
	}
}

// lend gives a free connection to the attempt that has waited for longest, if one does. The caller holds mu.
func (b *Pool) lend(c *conn) bool {
	if len(b.borrowers[c.to]) == 0 {
		return false
	}
	w := b.borrowers[c.to][0]
	b.forgetBorrower(c.to, w)
	c.waiter, c.stage = w.waiter, resting
	w.lent <- c
	return true
}

// giveBack says that an attempt needs no other connection any more. One that it was lent meanwhile is free again.
func (b *Pool) giveBack(to discovery.Host, w *borrower) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetBorrower(to, w)
	select {
	case c := <-w.lent:
		if c.waiter == w.waiter {
			c.waiter = nil
			b.rest(c)
		}
	default:
	}
}

// forgetBorrower takes an attempt from those that wait. The caller holds mu.
func (b *Pool) forgetBorrower(to discovery.Host, w *borrower) {
	b.borrowers[to] = slices.DeleteFunc(b.borrowers[to], func(other *borrower) bool { return other == w })
	if len(b.borrowers[to]) == 0 {
		delete(b.borrowers, to)
	}
}

// settles is how long a connection has yet to settle.
func (b *Pool) settles(c *conn) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.since + b.limits.Settle - b.clock.Now()
}
