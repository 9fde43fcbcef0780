package upstream

import (
	"slices"

	"damsontrestle/internal/discovery"
)

// wantConn is an attempt whose own connection is late to come up. Until it is, the attempt takes one to the same server whose
// exchange has ended.
type wantConn struct {
	waiter    chan reply
	delivered chan *conn // takes one
}

// queueWant has an attempt take a connection to a server as soon as one is of use.
func (p *Pool) queueWant(to discovery.Host, w *wantConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanting[to] = append(p.wanting[to], w)
	if c, _ := p.soonest(to); c != nil {
		p.removeIdle(c)
		p.deliver(c)
	}
}

// deliver gives a free connection to the attempt that has waited for longest. It reports whether there was one. The caller
// holds mu.
func (p *Pool) deliver(c *conn) bool {
	if len(p.wanting[c.host]) == 0 {
		return false
	}
	w := p.wanting[c.host][0]
	p.removeWant(c.host, w)
	c.waiter = w.waiter
	c.stage = stageIdle
	w.delivered <- c
	return true
}

// cancelWant says that an attempt needs no other connection any more. One that was delivered meanwhile is idle again.
func (p *Pool) cancelWant(to discovery.Host, w *wantConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeWant(to, w)
	select {
	case c := <-w.delivered:
		if c.waiter == w.waiter {
			c.waiter = nil
			p.putIdle(c)
		}
	default:
	}
}

// removeWant takes an attempt from those that wait. The caller holds mu.
func (p *Pool) removeWant(to discovery.Host, w *wantConn) {
	p.wanting[to] = slices.DeleteFunc(p.wanting[to], func(other *wantConn) bool { return other == w })
	if len(p.wanting[to]) == 0 {
		delete(p.wanting, to)
	}
}
