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

// queueForIdleConn has an attempt take a connection to a server as soon as one is of use.
func (p *Pool) queueForIdleConn(to discovery.Host, w *wantConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wantConns[to] = append(p.wantConns[to], w)
	if c, _ := p.earliestUsable(to); c != nil {
		p.removeIdle(c)
		p.deliverIdleConn(c)
	}
}

// deliverIdleConn gives a free connection to the attempt that has waited for longest. It reports whether there was one. The caller
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

// cancelWantConn says that an attempt needs no other connection any more. One that was delivered meanwhile is idle again.
func (p *Pool) cancelWantConn(to discovery.Host, w *wantConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeWantConn(to, w)
	select {
	case c := <-w.delivered:
		if c.waiter == w.waiter {
			c.waiter = nil
			p.putIdle(c)
		}
	default:
	}
}

// removeWantConn takes an attempt from those that wait. The caller holds mu.
func (p *Pool) removeWantConn(to discovery.Host, w *wantConn) {
	p.wantConns[to] = slices.DeleteFunc(p.wantConns[to], func(other *wantConn) bool { return other == w })
	if len(p.wantConns[to]) == 0 {
		delete(p.wantConns, to)
	}
}
