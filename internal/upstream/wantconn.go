package upstream

import (
	"slices"

	"damsontrestle/internal/discovery"
)

// wantConn is an attempt whose connect is late. Until the connect is done, the attempt takes a connection to the same server that
// becomes idle.
type wantConn struct {
	waiter    chan reply
	delivered chan *conn // receives the connection
}

// queueForIdleConn queues an attempt for the next idle connection to a host; one that is idle already is delivered at once.
func (p *Pool) queueForIdleConn(host discovery.Host, w *wantConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wantConns[host] = append(p.wantConns[host], w)
	if c, _ := p.earliestUsable(host); c != nil {
		p.removeIdle(c)
		p.deliverIdleConn(c)
	}
}

// deliverIdleConn delivers a connection to the attempt that has waited longest, and reports whether there was one. The caller
// holds mu.
func (p *Pool) deliverIdleConn(c *conn) bool {
	if len(p.wantConns[c.host]) == 0 {
		return false
	}
	w := p.wantConns[c.host][0]
	p.removeWantConn(c.host, w)
	c.waiter = w.waiter
	c.stage = stageIdle
	w.delivered <- c
	return true
}

// cancelWantConn removes an attempt from the queue. A connection that was delivered meanwhile becomes idle again.
func (p *Pool) cancelWantConn(host discovery.Host, w *wantConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeWantConn(host, w)
	select {
	case c := <-w.delivered:
		p.returnDeliveredLocked(c, w.waiter)
	default:
	}
}

// returnDelivered makes a delivered connection idle again, because the attempt uses the one that it has opened itself.
func (p *Pool) returnDelivered(c *conn, waiter chan reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returnDeliveredLocked(c, waiter)
}

// returnDeliveredLocked is returnDelivered for a caller that holds mu. What a connection that was closed meanwhile has sent to the
// waiter is dropped: it would end the attempt.
func (p *Pool) returnDeliveredLocked(c *conn, waiter chan reply) {
	if c.waiter == waiter {
		c.waiter = nil
		p.putIdle(c)
		return
	}
	select {
	case <-waiter:
	default:
	}
}

// removeWantConn removes an attempt from the queue. The caller holds mu.
func (p *Pool) removeWantConn(host discovery.Host, w *wantConn) {
	p.wantConns[host] = slices.DeleteFunc(p.wantConns[host], func(other *wantConn) bool { return other == w })
	if len(p.wantConns[host]) == 0 {
		delete(p.wantConns, host)
	}
}
