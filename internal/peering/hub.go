// Package peering carries messages between gateways, of one partner and of several, over TCP streams. It owns the links:
// who is at the other end, whether that one still hears, and what is to be told of a link that is slow or gone. What
// messages mean is their topics' owners'.
//
// What it promises:
//
//   - A link comes up only between two that have one key (Options.Key), and each frame is of that key, of this link and in
//     its place: a frame that was changed, left out, repeated or moved ends the link.
//   - What is sent over one link comes in the order in which it was sent, or the link ends and both sides are told.
//   - Nothing is dropped in silence. A message for which the queue has no room is refused to whoever sends it (ErrFull); an
//     answer or a heartbeat for which it has none ends the link (ErrOverflow).
//   - A link ends when its other side has not answered a heartbeat for Options.Silence (ErrSilent), and a beat more on the side
//     that did not open it, be it stopped, cut off, one way or both, or its reader stalled; or when bytes could not be written for Options.Stuck (ErrStuck). That is the
//     end of the link and of no other.
//   - At most Options.Queue bytes wait on a link, and it takes two goroutines, one that reads it from hello to end and one
//     that writes it. What a topic does with a message must not block its reader.
//   - No time of day counts: clocks may be set while links are up.
//
// A gateway that starts anew under its name is another incarnation (Peer.Life); its links take the place of the old incarnation's.
package peering

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/listener"
)

// Bounds.
const (
	MaxFrame         = 1 << 20 // bytes of a frame's body
	frameOverhead    = 64      // bytes that a frame counts beside its own in a queue
	minRedial        = 50 * time.Millisecond
	maxRedial        = time.Second
	maxSilentRedial  = 8 * time.Second // for one whose links come up and end soon
	stableSilences   = 5               // times the silence, after which a link has stood
	maxHandshakes    = 8               // links with which a gateway shakes hands at once
	handshakeTimeout = 2 * time.Second
)

// Hub has all links of a gateway.
type Hub struct {
	options  Options
	listener *listener.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	start    time.Time

	handshakes chan struct{} // to shake hands

	mu        sync.Mutex
	links     map[GatewayID][]*Link // the newest last
	targets   map[string]*target
	stats     Stats
	queueFull atomic.Int64
}

// Stats count what links did since the start.
type Stats struct {
	Up       int            `json:"up"`               // links that came up
	Ended    map[string]int `json:"ended,omitempty"`  // by why
	Rejected int            `json:"turned,omitempty"` // connections that were rejected at their hello
	Full     int64          `json:"full,omitempty"`   // messages that were refused for want of room
}

// Open listens. Links come in from now on, and go out as Keep says, until Close.
func Open(o Options) (*Hub, error) {
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peering: %w", err)
	}
	return Serve(ln, o), nil
}

// Serve is Open with a listener, which Close closes.
func Serve(ln net.Listener, o Options) *Hub {
	o = o.withDefaults()
	h := &Hub{options: o, listener: listener.New(ln, o.Log), start: time.Now(), links: map[GatewayID][]*Link{}, targets: map[string]*target{}, stats: Stats{Ended: map[string]int{}}, handshakes: make(chan struct{}, maxHandshakes)}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.tasks.Go(h.accept)
	return h
}

// now is the time since the hub was opened.
func (h *Hub) now() time.Duration { return time.Since(h.start) }

// Addr is where it listens.
func (h *Hub) Addr() string { return h.listener.Addr().String() }

// Self is this gateway.
func (h *Hub) Self() Peer { return h.options.Self }

// Close ends all links and returns once every goroutine has ended.
func (h *Hub) Close() {
	h.cancel()
	h.listener.Close()
	for _, l := range h.Links("") {
		l.fail(ErrClosed)
	}
	h.tasks.Wait()
}

// accept takes links that others open.
func (h *Hub) accept() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.tasks.Go(func() {
			if err := h.serve(c, false, "", func() {}); errors.Is(err, ErrKey) || errors.Is(err, ErrStrange) || errors.Is(err, ErrFrame) {
				h.options.Log.Warn("connection rejected", "from", c.RemoteAddr(), "error", err)
			}
		})
	}
}

// serve is a link's reader from hello to end. It returns why the link ended.
func (h *Hub) serve(c net.Conn, dialed bool, partner string, up func()) error {
	defer c.Close()
	stop := context.AfterFunc(h.ctx, func() { c.Close() })
	defer stop()
	s, err := handshake(c, h.options, dialed, partner)
	if err != nil {
		h.mu.Lock()
		h.stats.Rejected++
		h.mu.Unlock()
		return err
	}
	l := &Link{Peer: s.peer, hub: h, conn: c, dialed: dialed, reader: s.in, out: s.out, queued: make(chan struct{}, 1), pending: map[uint64]func(frame){}, done: make(chan struct{})}
	l.answeredPulse.Store(int64(h.now()))
	l.lastPulse.Store(int64(h.now()))
	if !h.add(l) {
		return ErrClosed
	}
	up()
	written := make(chan struct{})
	h.tasks.Go(func() { defer close(written); l.writeLoop() })
	l.fail(l.readLoop())
	<-written
	h.remove(l)
	return l.Err()
}

// add has a link be the one to its peer. An older incarnation's end with it.
func (h *Hub) add(l *Link) bool {
	h.mu.Lock()
	if h.ctx.Err() != nil {
		h.mu.Unlock()
		return false
	}
	who := l.Peer.ID()
	old := h.links[who]
	var gone []*Link
	for _, o := range old {
		if o.Peer.Incarnation != l.Peer.Incarnation {
			gone = append(gone, o)
		}
	}
	h.links[who] = append(old, l)
	h.stats.Up++
	h.mu.Unlock()
	for _, o := range gone {
		o.fail(ErrReplaced)
	}
	h.options.Up(l)
	if len(old) == len(gone) {
		h.options.Log.Info("link", "gateway", who, "life", l.Peer.Incarnation, "up", true)
		h.options.Changed(l.Peer, true, nil)
	}
	return true
}

func (h *Hub) remove(l *Link) {
	h.mu.Lock()
	who := l.Peer.ID()
	h.links[who] = slices.DeleteFunc(h.links[who], func(o *Link) bool { return o == l })
	last := !slices.ContainsFunc(h.links[who], func(o *Link) bool { return o.Peer.Incarnation == l.Peer.Incarnation })
	if len(h.links[who]) == 0 {
		delete(h.links, who)
	}
	h.stats.Ended[endReason(l.Err())]++
	h.mu.Unlock()
	if last {
		if h.ctx.Err() == nil {
			h.options.Log.Info("link", "gateway", who, "life", l.Peer.Incarnation, "up", false, "why", l.Err())
		}
		h.options.Changed(l.Peer, false, l.Err())
	}
}

// To is the newest link to a gateway; nil: there is none.
func (h *Hub) To(who GatewayID) *Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	if all := h.links[who]; len(all) > 0 {
		return all[len(all)-1]
	}
	return nil
}

// Links are the newest link to each gateway of a partner; empty: to each of all. They come in the order of names.
func (h *Hub) Links(partner string) (out []*Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for who, all := range h.links {
		if partner == "" || who.Partner == partner {
			out = append(out, all[len(all)-1])
		}
	}
	slices.SortFunc(out, func(a, b *Link) int {
		return cmp.Or(cmp.Compare(a.Peer.Partner, b.Peer.Partner), cmp.Compare(a.Peer.Name, b.Peer.Name))
	})
	return out
}

// Stats are what links did so far.
func (h *Hub) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stats
	s.Full = h.queueFull.Load()
	s.Ended = map[string]int{}
	for k, v := range h.stats.Ended {
		s.Ended[k] = v
	}
	return s
}
