// Package upstream owns the connections to servers: it opens them within a share of descriptors, keeps idle ones, sends
// attempts on them and reads servers' replies and load reports (RFC 9110, RFC 9112). The outcome of each attempt proves whether
// the request may have run: a request that was not written completely has not. The package sends nothing twice; choosing a
// server and retrying is up to the engine.
package upstream

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/descriptors"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/metrics"
)

// Pool sends attempts on idle connections, the one used last first, and implements engine.Backend. http.Transport is not used
// because it resends some requests itself and does not report whether the last byte was written. The methods are safe for
// concurrent use.
type Pool struct {
	clock    clock.Clock
	share    *descriptors.Share // shared by all pools, for all connections to servers
	counters *metrics.Recorder
	dial     dialFunc // nil for a net.Dialer's
	recvfrom recvfromFunc
	log      *slog.Logger

	connNumbers atomic.Int64 // of the connection opened last

	mu        sync.Mutex
	limits    Limits
	idle      map[discovery.Host][]*conn       // oldest first
	wantConns map[discovery.Host][]*wantConn   // attempts whose connects are late, longest waiting first
	open      int                              // connections that are open or being opened
	dialed    int                              // connects ever started
	listed    map[string]discovery.Target      // listed servers by id
	records   map[discovery.Host]*serverRecord // of listed servers
	gaps      gapRecord                        // of all servers
	closed    bool
}

// dialFunc opens a connection like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns a Pool without servers. All its connections count against the share.
func NewPool(c clock.Clock, share *descriptors.Share, counters *metrics.Recorder, limits Limits) *Pool {
	return &Pool{
		clock:     c,
		share:     share,
		counters:  counters,
		recvfrom:  syscall.Recvfrom,
		log:       slog.New(slog.DiscardHandler),
		limits:    limits,
		idle:      map[discovery.Host][]*conn{},
		wantConns: map[discovery.Host][]*wantConn{},
		listed:    map[string]discovery.Target{},
		records:   map[discovery.Host]*serverRecord{},
	}
}

// SetDial replaces the net.Dialer, for tests. It must be called before the first attempt.
func (p *Pool) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	p.dial = dial
}

// SetLogger sets the destination of log records; by default they are discarded. It must be called before the first attempt.
func (p *Pool) SetLogger(log *slog.Logger) { p.log = log }

// SetLimits changes the limits. Connects in progress keep the old ones; idle connections beyond the new ones are closed, the
// oldest first.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	for p.open > limits.MaxConnections && p.discardOldestIdle(closeForCapacity) {
	}
}

// Close closes the idle connections. From now on, every other connection is closed when its attempt ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for p.discardOldestIdle(closePoolClosed) {
	}
}

// Connections returns how many connections are open or being opened.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Servers implements engine.Backend: it applies changes of the endpoint list, or a full snapshot. Idle connections to a server
// that was removed, is draining or has restarted are closed.
func (p *Pool) Servers(targets []discovery.Target, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := map[string]bool{}
	for _, t := range targets {
		present[t.ID] = true
		p.updateServer(t)
	}
	if !full {
		return
	}
	for id, t := range p.listed {
		if !present[id] {
			p.discardIdle(t.Host(), closeServerNotReady)
			delete(p.listed, id)
			delete(p.records, t.Host())
		}
	}
}

// updateServer applies one entry of the endpoint list. The caller holds mu.
func (p *Pool) updateServer(t discovery.Target) {
	old, known := p.listed[t.ID]
	p.listed[t.ID] = t
	if known && (t.State != balancer.Ready || t.Host() != old.Host()) {
		p.discardIdle(old.Host(), closeServerNotReady)
	}
	if known && t.Host() != old.Host() {
		p.moveRecord(old.Host(), t.Host())
	}
	if t.State == balancer.Removed {
		delete(p.listed, t.ID)
		delete(p.records, t.Host())
	}
}

// isReady reports whether a server is listed as the incarnation in h and is ready for requests. The caller holds mu.
func (p *Pool) isReady(h discovery.Host) bool {
	t, listed := p.listed[h.Server]
	return listed && t.State == balancer.Ready && t.Host() == h
}

// CloseIdle implements engine.Backend.
func (p *Pool) CloseIdle(h discovery.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardIdle(h, closeBalancerDecision)
}

// Sweep closes connections that have been idle for longer than maxIdle, until ctx ends.
func (p *Pool) Sweep(ctx context.Context) {
	for {
		maxIdle := p.sweepOnce()
		clock.Sleep(ctx, max(maxIdle/20, time.Millisecond))
		if ctx.Err() != nil {
			return
		}
	}
}

// sweepOnce closes the connections that have been idle for maxIdle, and returns maxIdle.
func (p *Pool) sweepOnce() (maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maxIdle = p.limits.maxIdle()
	for host := range p.idle {
		for len(p.idle[host]) > 0 && p.clock.Now()-p.idle[host][0].idleSince >= maxIdle {
			p.discard(p.idle[host][0], closeIdleTimeout)
		}
	}
	return maxIdle
}
