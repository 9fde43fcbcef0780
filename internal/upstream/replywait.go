package upstream

import (
	"sync/atomic"
	"time"
)

// Bounds of the wait for a reply.
const (
	minReplyRate   = 512                   // bytes per second of a body below which its server makes no progress
	handOverMargin = 50 * time.Millisecond // by which a reply in progress is handed over before its client's time ends
	handOverPart   = 10                    // the margin is at most this part of the client's time
)

// replyWait ends the wait of an attempt for its reply. The attempt's time bounds each wait for progress of the server: for the head
// from the request on, then for further bytes of the body. The client's time bounds all of it: when it ends, a reply in progress
// is handed over as far as it has come, and any other wait times out.
type replyWait struct {
	pool       *Pool
	conn       *conn
	waiter     chan reply
	deadline   time.Duration // clock time, of the attempt
	timeout    time.Duration // of the attempt
	clientTime time.Duration // how long the client waits in all
	timer      *time.Timer
	timedOut   atomic.Bool
}

// startReplyWait starts the time of an attempt whose request is written on a connection. The client's time ends at the connection's
// clientDeadline.
func (p *Pool) startReplyWait(c *conn, waiter chan reply, deadline, timeout, clientTime time.Duration) *replyWait {
	w := &replyWait{pool: p, conn: c, waiter: waiter, deadline: deadline, timeout: timeout, clientTime: clientTime}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, at := w.next(p.clock.Now())
	w.timer = time.AfterFunc(p.clock.Until(at), w.check)
	return w
}

// stop ends the wait: the attempt has its reply, or has ended otherwise.
func (w *replyWait) stop() { w.timer.Stop() }

// check carries out what is due, and sets the timer for what comes next.
func (w *replyWait) check() {
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.conn.waiter != w.waiter {
		return // the reply was delivered, or the attempt has ended
	}
	step, at := w.next(p.clock.Now())
	switch step {
	case waitOn:
		w.timer.Reset(p.clock.Until(at))
	case waitHandOver:
		p.handOver(w.conn)
	case waitTimedOut:
		w.timedOut.Store(true)
		p.abandonLocked(w.conn, w.waiter, closeAttemptEnded)
	}
}

// waitStep is what a replyWait does next.
type waitStep int

const (
	waitOn       waitStep = iota // until the returned clock time
	waitHandOver                 // the reply in progress is handed over
	waitTimedOut                 // the attempt ends
)

// next returns what to do now and, for waitOn, the clock time at which to ask again. The caller holds Pool.mu.
func (w *replyWait) next(now time.Duration) (step waitStep, at time.Duration) {
	handOverAt := w.conn.clientDeadline - min(handOverMargin, w.clientTime/handOverPart)
	stalledAt := w.deadline
	if w.conn.partial != nil {
		stalledAt = max(stalledAt, w.conn.progress.at+max(w.timeout, minReadStall))
		stalledAt = min(stalledAt, w.conn.clientDeadline)
	}
	switch {
	case now >= handOverAt && w.conn.replyInProgress(now):
		return waitHandOver, 0
	case now >= stalledAt:
		return waitTimedOut, 0
	case now < handOverAt:
		stalledAt = min(stalledAt, handOverAt)
	}
	return waitOn, stalledAt
}

// replyInProgress reports whether the body of a reply is arriving that can be handed over. The caller holds Pool.mu.
func (c *conn) replyInProgress(now time.Duration) bool {
	if c.partial == nil || c.early || len(c.partial.body) == 0 {
		return false
	}
	least := time.Duration(c.progress.received) * time.Second / minReplyRate
	return now-c.progress.at < minReadStall && now-c.progress.headAt <= least
}
