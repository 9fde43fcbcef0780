package peering

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"damsontrestle/internal/clock"
)

// Delays before a link is dialed again.
const (
	minRedialDelay        = 50 * time.Millisecond
	maxRedialDelay        = time.Second
	maxTimeoutRedialDelay = 8 * time.Second // after links that came up and soon timed out
	stableLinkTimeouts    = 5               // a link that was up for so many heartbeat timeouts did not time out soon
)

// maxHandshakes is the maximum number of concurrent handshakes of dialed links.
const maxHandshakes = 8

// dialTarget is an address to which a hub maintains a link.
type dialTarget struct {
	cancel context.CancelFunc
	up     bool
	since  time.Duration // hub time of the last change of up
}

// Connect dials the gateway of a partner at an address, and redials it whenever the link has ended, until Disconnect or Close. It does
// nothing if the hub already maintains a link to the address.
func (h *Hub) Connect(address, partner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targets[address] != nil || h.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.targets[address] = &dialTarget{cancel: cancel, since: h.now()}
	h.tasks.Go(func() { h.maintain(ctx, address, partner) })
}

// Disconnect stops maintaining a link to an address and ends the link.
func (h *Hub) Disconnect(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[address]; t != nil {
		t.cancel()
		delete(h.targets, address)
	}
}

// DownFor returns how long the link to an address has been down. It returns 0 if the link is up or Connect was not called.
func (h *Hub) DownFor(address string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[address]; t != nil && !t.up {
		return h.now() - t.since
	}
	return 0
}

// setLinkUp records that the link to an address came up or ended.
func (h *Hub) setLinkUp(address string, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[address]; t != nil {
		t.up = up
		t.since = h.now()
	}
}

// dialResult is the result of dialing once and serving the link.
type dialResult struct {
	up       bool          // a link came up
	lifetime time.Duration // from the handshake to the end of the link
	err      error         // why dialing failed or the link ended
}

// timedOut reports whether a link came up and its peer stopped responding.
func (result dialResult) timedOut() bool {
	return result.up && (errors.Is(result.err, ErrHeartbeatTimeout) || errors.Is(result.err, ErrWriteTimeout))
}

// maintain dials an address and serves the link, repeatedly, until ctx ends.
func (h *Hub) maintain(ctx context.Context, address, partner string) {
	dialer := h.dialer()
	delay := minRedialDelay
	for ctx.Err() == nil {
		result := h.dial(ctx, dialer, address, partner)
		if errors.Is(result.err, ErrKeyMismatch) || errors.Is(result.err, ErrPeerRejected) {
			h.options.Log.Warn("handshake with gateway failed", "to", address, "partner", partner, "error", result.err)
			delay = maxRedialDelay
		}
		clock.Sleep(ctx, delay/2+rand.N(delay))
		delay = RedialDelay(delay, result.up, result.timedOut(), result.lifetime, h.options.HeartbeatTimeout)
	}
}

// dialer returns a dialer whose source address is the hub's listen address, unless that is a wildcard.
func (h *Hub) dialer() net.Dialer {
	d := net.Dialer{Timeout: h.options.HeartbeatTimeout, KeepAlive: -1}
	if own, ok := h.listener.Addr().(*net.TCPAddr); ok && !own.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: own.IP}
	}
	return d
}

// dial dials an address once and serves the link until it ends.
func (h *Hub) dial(ctx context.Context, dialer net.Dialer, address, partner string) dialResult {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return dialResult{err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	release := h.acquireHandshake(ctx)
	defer release()
	defer h.setLinkUp(address, false)
	var result dialResult
	start := time.Now()
	result.err = h.serve(conn, true, partner, func() {
		result.up = true
		release()
		h.setLinkUp(address, true)
	})
	result.lifetime = time.Since(start)
	return result
}

// acquireHandshake waits until fewer than maxHandshakes are in progress, and returns a function that releases the slot. A starting
// gateway with many links to dial would otherwise compute all handshakes at once.
func (h *Hub) acquireHandshake(ctx context.Context) (release func()) {
	select {
	case h.handshakes <- struct{}{}:
		return sync.OnceFunc(func() { <-h.handshakes })
	case <-ctx.Done():
		return func() {}
	}
}

// RedialDelay returns the delay before a link is dialed again, given the last delay. up reports whether a link came up, timedOut
// whether it ended because its peer stopped responding, and lifetime how long it was up. heartbeatTimeout is
// Options.HeartbeatTimeout. The delay is reset after a stable link. It grows beyond maxRedialDelay after a link that soon timed out, as
// its peer is reachable but too slow: handshakes and full route tables take much CPU time, which an overloaded group must not spend on
// links that it loses again.
func RedialDelay(lastDelay time.Duration, up, timedOut bool, lifetime, heartbeatTimeout time.Duration) time.Duration {
	switch {
	case up && timedOut && lifetime < stableLinkTimeouts*heartbeatTimeout:
		return min(max(2*lastDelay, heartbeatTimeout), maxTimeoutRedialDelay)
	case up && lifetime > maxRedialDelay:
		return minRedialDelay
	default:
		return max(lastDelay, min(2*lastDelay, maxRedialDelay))
	}
}
