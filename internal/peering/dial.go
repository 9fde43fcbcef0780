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

// target is an address that a link is held to.
type target struct {
	cancel context.CancelFunc
	up     bool
	since  time.Duration // hub's time since which it is so
}

// Keep holds a link to the gateway of a partner at an address, and opens another whenever it has ended, until Drop or
// Close.
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

// Drop no longer holds a link to an address; one that is up ends.
func (h *Hub) Drop(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := h.targets[address]; k != nil {
		k.cancel()
		delete(h.targets, address)
	}
}

// Down is for how long the link to a kept address has been down; 0: it is up, or the address is not kept.
func (h *Hub) Down(address string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := h.targets[address]; k != nil && !k.up {
		return h.now() - k.since
	}
	return 0
}

// setUp notes that the link to a kept address is up or down.
func (h *Hub) setUp(address string, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := h.targets[address]; k != nil {
		k.up, k.since = up, h.now()
	}
}

func (h *Hub) maintain(ctx context.Context, address, partner string) {
	d := net.Dialer{Timeout: h.options.Silence, KeepAlive: -1}
	if own, ok := h.listener.Addr().(*net.TCPAddr); ok && !own.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: own.IP} // links go out from where they come in
	}
	wait := minRedial
	for ctx.Err() == nil {
		c, err := d.DialContext(ctx, "tcp", address)
		stood, up := time.Duration(0), false
		if err == nil {
			stop := context.AfterFunc(ctx, func() { c.Close() })
			done := h.acquireHandshake(ctx) // one whose start has it open many links does not shake hands with all of them at once
			begin := time.Now()
			err = h.serve(c, true, partner, func() { up = true; done(); h.setUp(address, true) })
			done()
			stop()
			h.setUp(address, false)
			stood = time.Since(begin)
		}
		if errors.Is(err, ErrKey) || errors.Is(err, ErrStrange) {
			h.options.Log.Warn("no link", "to", address, "partner", partner, "error", err)
			wait = maxRedial
		}
		silent := up && (errors.Is(err, ErrSilent) || errors.Is(err, ErrStuck))
		clock.Sleep(ctx, wait/2+rand.N(wait))
		wait = Redial(wait, up, silent, stood, h.options.Silence)
	}
}

// acquireHandshake waits for its turn to shake hands, and returns what ends it.
func (h *Hub) acquireHandshake(ctx context.Context) (done func()) {
	select {
	case h.handshakes <- struct{}{}:
		return sync.OnceFunc(func() { <-h.handshakes })
	case <-ctx.Done():
		return func() {}
	}
}

// Redial is the next pause before a link is opened again, after one of wait. After a link that stood it begins anew. A link that
// came up and soon fell silent was with somebody who is there and too slow: hellos and tables are dear, and a fleet that is short
// of processor time must not spend it on links that it then loses again, so there the pause grows for longer.
func Redial(wait time.Duration, up, silent bool, stood, silence time.Duration) time.Duration {
	switch {
	case up && silent && stood < stableSilences*silence:
		return min(max(2*wait, silence), maxSilentRedial)
	case up && stood > maxRedial:
		return minRedial
	}
	return max(wait, min(2*wait, maxRedial))
}
