// Package upstream owns the connections to servers: it opens them within a share of descriptors, keeps idle ones, carries
// attempts over them and reads servers' replies and load reports (RFC 9110, RFC 9112). Of each attempt it promises an outcome
// with proof of whether the request may have run: what was not written completely has not. It sends nothing twice; which
// server gets what, and whether an attempt is made again, is the engine's.
package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/descriptors"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/metrics"
)

// Pool carries attempts over idle connections, the one used last first, and implements engine.Backend. http.Transport would
// send some requests again by itself, and does not tell whether the last byte was written. Its methods are safe for any
// number of goroutines.
type Pool struct {
	clock    clock.Clock
	share    *descriptors.Share // of all connections to servers, over all pools
	counters *metrics.Set
	dial     dialFunc // nil: a net.Dialer's
	recvfrom recvfromFunc

	mu        sync.Mutex
	limits    Limits
	idle      map[discovery.Host][]*conn     // the oldest first
	wantConns map[discovery.Host][]*wantConn // attempts whose own connections are late, the longest waiting first
	open      int                            // connections that are open or being opened
	dialed    int                            // connections that were ever opened, or tried to
	listed    map[string]discovery.Target    // the listed servers by id
	closed    bool
}

// dialFunc opens a connection as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns a Pool that knows no servers yet. All its connections count against the share.
func NewPool(c clock.Clock, share *descriptors.Share, counters *metrics.Set, limits Limits) *Pool {
	return &Pool{
		clock:     c,
		share:     share,
		counters:  counters,
		recvfrom:  syscall.Recvfrom,
		limits:    limits,
		idle:      map[discovery.Host][]*conn{},
		wantConns: map[discovery.Host][]*wantConn{},
		listed:    map[string]discovery.Target{},
	}
}

// SetDial has connections opened by something else than a net.Dialer, as tests do. It comes before the first attempt.
func (p *Pool) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	p.dial = dial
}

// SetLimits changes the limits. Connections that are being opened go by the old ones; idle ones beyond the new
// ones are closed, the oldest first.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	for p.open > limits.MaxConnections && p.discardOldestIdle() {
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

// Connections returns how many connections are open or being opened.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Servers implements engine.Backend: it takes changes of the endpoint list, or a full snapshot. Idle connections to a server
// that was removed, drains or has restarted are closed.
func (p *Pool) Servers(targets []discovery.Target, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	named := map[string]bool{}
	for _, t := range targets {
		named[t.ID] = true
		p.updateServer(t)
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

// updateServer takes one entry of the endpoint list. The caller holds mu.
func (p *Pool) updateServer(t discovery.Target) {
	old, known := p.listed[t.ID]
	p.listed[t.ID] = t
	if known && (t.State != balancer.Ready || t.Host() != old.Host()) {
		p.discardIdle(old.Host())
	}
	if t.State == balancer.Removed {
		delete(p.listed, t.ID)
	}
}

// isReady reports whether a server is listed as the incarnation that a host names, and takes requests. The caller holds mu.
func (p *Pool) isReady(h discovery.Host) bool {
	t, listed := p.listed[h.Server]
	return listed && t.State == balancer.Ready && t.Host() == h
}

// CloseIdle implements engine.Backend.
func (p *Pool) CloseIdle(h discovery.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardIdle(h)
}

// Sweep closes connections that have been idle for too long, until ctx ends.
func (p *Pool) Sweep(ctx context.Context) {
	for {
		maxIdle := p.sweepOnce()
		clock.Sleep(ctx, max(maxIdle/20, time.Millisecond))
		if ctx.Err() != nil {
			return
		}
	}
}

// sweepOnce closes the connections that have been idle for longer than they may, and returns how long that is.
func (p *Pool) sweepOnce() (maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maxIdle = p.limits.maxIdle()
	for host := range p.idle {
		for len(p.idle[host]) > 0 && p.clock.Now()-p.idle[host][0].idleSince >= maxIdle {
			p.discard(p.idle[host][0])
		}
	}
	return maxIdle
}
