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

// Pauses before a link is dialed again.
const (
	minRedialDelay        = 50 * time.Millisecond
	maxRedialDelay        = time.Second
	maxTimeoutRedialDelay = 8 * time.Second // after links that came up and soon fell silent
	stableLinkTimeouts    = 5               // a link that lived for so many times Options.HeartbeatTimeout did not fall silent soon
)

// maxHandshakes bounds the handshakes that a hub begins at once.
const maxHandshakes = 8

// dialTarget is an address to which a hub keeps a link.
type dialTarget struct {
	cancel context.CancelFunc
	up     bool
	since  time.Duration // hub time since which the link is up or down
}

// Connect dials the gateway of a partner at an address, and again whenever the link has ended, until Drop or Close. An address
// that is kept already stays as it is.
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

// Disconnect stops keeping a link to an address and ends the one that is up.
func (h *Hub) Disconnect(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[address]; t != nil {
		t.cancel()
		delete(h.targets, address)
	}
}

// DownFor returns for how long the link to a kept address has been down; 0: it is up, or the address is not kept.
func (h *Hub) DownFor(address string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[address]; t != nil && !t.up {
		return h.now() - t.since
	}
	return 0
}

// setLinkUp notes that the link to a kept address came up or ended.
func (h *Hub) setLinkUp(address string, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[address]; t != nil {
		t.up = up
		t.since = h.now()
	}
}

// dialResult is the result of dialing once and of the link that came of it.
type dialResult struct {
	up       bool          // a link came up
	lifetime time.Duration // from the handshake to the end of the link
	err      error         // why there was no link, or why it ended
}

// timedOut says that a link came up and its other side stopped answering.
func (a dialResult) timedOut() bool {
	return a.up && (errors.Is(a.err, ErrHeartbeatTimeout) || errors.Is(a.err, ErrWriteTimeout))
}

// maintain dials an address again and again until ctx ends.
func (h *Hub) maintain(ctx context.Context, address, partner string) {
	dialer := h.dialer()
	delay := minRedialDelay
	for ctx.Err() == nil {
		result := h.dial(ctx, dialer, address, partner)
		if errors.Is(result.err, ErrKeyMismatch) || errors.Is(result.err, ErrPeerRejected) {
			h.options.Log.Warn("no link", "to", address, "partner", partner, "error", result.err)
			delay = maxRedialDelay
		}
		clock.Sleep(ctx, delay/2+rand.N(delay))
		delay = RedialDelay(delay, result.up, result.timedOut(), result.lifetime, h.options.HeartbeatTimeout)
	}
}

// dialer returns a dialer that uses the address on which the hub listens, if it is a particular one.
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

// acquireHandshake waits until fewer than maxHandshakes are under way, and returns what ends this one. A gateway that starts
// and has many links to dial would otherwise compute all handshakes at once.
func (h *Hub) acquireHandshake(ctx context.Context) (release func()) {
	select {
	case h.handshakes <- struct{}{}:
		return sync.OnceFunc(func() { <-h.handshakes })
	case <-ctx.Done():
		return func() {}
	}
}

// RedialDelay returns the next pause before a link is dialed again, after a pause of wait. up says that a link came up, silent
// that it fell silent, lifetime for how long it was up; silence is Options.HeartbeatTimeout. After a link that was stable the pauses
// begin anew. A link that came up and soon fell silent had a peer that is there and too slow: handshakes and full tables
// take much processor time, which an overloaded group must not spend on links that it loses again, so there the pauses grow
// further.
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
