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
	minRedial       = 50 * time.Millisecond
	maxRedial       = time.Second
	maxSilentRedial = 8 * time.Second // after links that came up and soon fell silent
	stableSilences  = 5               // a link that lived for so many times Options.Silence did not fall silent soon
)

// maxHandshakes bounds the handshakes that a hub begins at once.
const maxHandshakes = 8

// target is an address to which a hub keeps a link.
type target struct {
	cancel context.CancelFunc
	up     bool
	since  time.Duration // hub time since which the link is up or down
}

// Keep dials the gateway of a partner at an address, and again whenever the link has ended, until Drop or Close. An address
// that is kept already stays as it is.
func (h *Hub) Keep(address, partner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targets[address] != nil || h.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.targets[address] = &target{cancel: cancel, since: h.now()}
	h.tasks.Go(func() { h.maintain(ctx, address, partner) })
}

// Drop stops keeping a link to an address and ends the one that is up.
func (h *Hub) Drop(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[address]; t != nil {
		t.cancel()
		delete(h.targets, address)
	}
}

// Down returns for how long the link to a kept address has been down; 0: it is up, or the address is not kept.
func (h *Hub) Down(address string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[address]; t != nil && !t.up {
		return h.now() - t.since
	}
	return 0
}

// setUp notes that the link to a kept address came up or ended.
func (h *Hub) setUp(address string, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[address]; t != nil {
		t.up = up
		t.since = h.now()
	}
}

// attempt is the result of dialing once and of the link that came of it.
type attempt struct {
	up       bool          // a link came up
	lifetime time.Duration // from the handshake to the end of the link
	err      error         // why there was no link, or why it ended
}

// fellSilent says that a link came up and its other side stopped answering.
func (a attempt) fellSilent() bool {
	return a.up && (errors.Is(a.err, ErrSilent) || errors.Is(a.err, ErrStuck))
}

// maintain dials an address again and again until ctx ends.
func (h *Hub) maintain(ctx context.Context, address, partner string) {
	dialer := h.dialer()
	wait := minRedial
	for ctx.Err() == nil {
		a := h.dial(ctx, dialer, address, partner)
		if errors.Is(a.err, ErrKey) || errors.Is(a.err, ErrPeer) {
			h.options.Log.Warn("no link", "to", address, "partner", partner, "error", a.err)
			wait = maxRedial
		}
		clock.Sleep(ctx, wait/2+rand.N(wait))
		wait = Redial(wait, a.up, a.fellSilent(), a.lifetime, h.options.Silence)
	}
}

// dialer returns a dialer that uses the address on which the hub listens, if it is a particular one.
func (h *Hub) dialer() net.Dialer {
	d := net.Dialer{Timeout: h.options.Silence, KeepAlive: -1}
	if own, ok := h.listener.Addr().(*net.TCPAddr); ok && !own.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: own.IP}
	}
	return d
}

// dial dials an address once and serves the link until it ends.
func (h *Hub) dial(ctx context.Context, dialer net.Dialer, address, partner string) attempt {
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return attempt{err: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	release := h.acquireHandshake(ctx)
	defer release()
	defer h.setUp(address, false)
	var a attempt
	begin := time.Now()
	a.err = h.serve(c, true, partner, func() {
		a.up = true
		release()
		h.setUp(address, true)
	})
	a.lifetime = time.Since(begin)
	return a
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

// Redial returns the next pause before a link is dialed again, after a pause of wait. up says that a link came up, silent
// that it fell silent, lifetime for how long it was up; silence is Options.Silence. After a link that was stable the pauses
// begin anew. A link that came up and soon fell silent had a peer that is there and too slow: handshakes and full tables
// take much processor time, which an overloaded group must not spend on links that it loses again, so there the pauses grow
// further.
func Redial(wait time.Duration, up, silent bool, lifetime, silence time.Duration) time.Duration {
	switch {
	case up && silent && lifetime < stableSilences*silence:
		return min(max(2*wait, silence), maxSilentRedial)
	case up && lifetime > maxRedial:
		return minRedial
	default:
		return max(wait, min(2*wait, maxRedial))
	}
}
