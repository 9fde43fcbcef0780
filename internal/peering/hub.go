// Package peering carries messages between gateways, of the same and of different partners, over TCP connections. It owns the links:
// the handshake and keys, heartbeats, bounded queues and redialing. The handlers of topics define the meaning of messages.
//
// It guarantees:
//
//   - A link comes up only between two sides with the same key (Options.Key). Each frame carries a tag that depends on the link's key
//     and the frame's position: a frame that was changed, dropped, replayed or reordered ends the link.
//   - Messages on one link arrive in the order in which they were sent, or the link ends and both sides detect it.
//   - Nothing is dropped silently. A message that does not fit into the queue is rejected (ErrQueueFull); a reply or heartbeat that
//     does not fit ends the link (ErrOverflow).
//   - A link ends if the peer has not replied to a heartbeat for Options.HeartbeatTimeout (ErrHeartbeatTimeout), and one
//     Options.HeartbeatInterval later on the side that was dialed. This covers a crash, a partition in one or both directions, and a
//     stalled reader. A link also ends if a write makes no progress for Options.WriteTimeout (ErrWriteTimeout). No other link is
//     affected.
//   - At most Options.MaxQueueBytes are queued on a link. A link uses two goroutines, a reader and a writer. Handlers must not block
//     the reader.
//   - Wall-clock time is not used: the system clock may be changed while links are up.
//
// A gateway that restarts under the same name is another incarnation (Peer.Incarnation). Its links replace those of the earlier one.
package peering

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/listener"
)

// Hub owns all links of a gateway. Its methods are safe for concurrent use.
type Hub struct {
	options  Options
	listener *listener.Listener
	ctx      context.Context // cancelled by Close; bounds the lifetime of the hub's goroutines
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	start    time.Time // origin of hub time

	handshakes chan struct{} // semaphore of the handshakes of dialed links

	mu        sync.Mutex
	links     map[GatewayID][]*Link  // the newest last
	targets   map[string]*dialTarget // by address
	stats     Stats
	queueFull atomic.Int64
}

// Stats are counts of events on links since the start.
type Stats struct {
	Up        int            `json:"up"`               // links that came up
	Ended     map[string]int `json:"ended,omitempty"`  // links that ended, by reason
	Rejected  int            `json:"turned,omitempty"` // connections whose handshake failed
	QueueFull int64          `json:"full,omitempty"`   // messages that were rejected with ErrQueueFull
}

// Open listens at Options.Listen and accepts links until Close.
func Open(options Options) (*Hub, error) {
	ln, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("peering: %w", err)
	}
	return Serve(ln, options), nil
}

// Serve accepts links from a listener until Close, which also closes the listener.
func Serve(ln net.Listener, options Options) *Hub {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	h := &Hub{
		options:    options,
		listener:   listener.New(ln, options.Log),
		ctx:        ctx,
		cancel:     cancel,
		start:      time.Now(),
		handshakes: make(chan struct{}, maxHandshakes),
		links:      map[GatewayID][]*Link{},
		targets:    map[string]*dialTarget{},
		stats:      Stats{Ended: map[string]int{}},
	}
	h.tasks.Go(h.accept)
	return h
}

// now returns the hub time: the time since the hub was opened.
func (h *Hub) now() time.Duration { return time.Since(h.start) }

// Addr returns the address on which the hub listens.
func (h *Hub) Addr() string { return h.listener.Addr().String() }

// Self returns the Peer that this gateway presents to others.
func (h *Hub) Self() Peer { return h.options.Self }

// Close ends all links and returns once every goroutine of the hub has ended.
func (h *Hub) Close() {
	h.cancel()
	h.listener.Close()
	for _, l := range h.Links("") {
		l.fail(ErrClosed)
	}
	h.tasks.Wait()
}

// accept serves the links that other gateways dial.
func (h *Hub) accept() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.tasks.Go(func() {
			err := h.serve(conn, false, "", func() {})
			if errors.Is(err, ErrKeyMismatch) || errors.Is(err, ErrPeerRejected) || errors.Is(err, ErrMalformedFrame) {
				h.options.Log.Warn("connection rejected", "from", conn.RemoteAddr(), "error", err)
			}
		})
	}
}

// serve performs the handshake on a connection and serves the link until it ends. It calls onUp when the link is up. It returns why
// the handshake failed or the link ended.
func (h *Hub) serve(conn net.Conn, dialed bool, partner string, onUp func()) error {
	defer conn.Close()
	stop := context.AfterFunc(h.ctx, func() { conn.Close() })
	defer stop()
	s, err := handshake(conn, h.options, dialed, partner)
	if err != nil {
		h.mu.Lock()
		h.stats.Rejected++
		h.mu.Unlock()
		return err
	}
	l := newLink(h, conn, dialed, s)
	if !h.add(l) {
		return ErrClosed
	}
	onUp()
	writerDone := make(chan struct{})
	h.tasks.Go(func() {
		defer close(writerDone)
		l.writeLoop()
	})
	l.fail(l.readLoop())
	<-writerDone
	h.remove(l)
	return l.Err()
}

// add registers a link as the newest one to its peer, and ends the links of other incarnations. It returns false if the hub is closed.
func (h *Hub) add(l *Link) bool {
	id := l.Peer.ID()
	h.mu.Lock()
	if h.ctx.Err() != nil {
		h.mu.Unlock()
		return false
	}
	existing := h.links[id]
	var replaced []*Link
	for _, other := range existing {
		if other.Peer.Incarnation != l.Peer.Incarnation {
			replaced = append(replaced, other)
		}
	}
	first := len(existing) == len(replaced)
	h.links[id] = append(existing, l)
	h.stats.Up++
	h.mu.Unlock()
	for _, other := range replaced {
		other.fail(ErrReplaced)
	}
	h.options.OnLinkUp(l)
	if first {
		h.options.Log.Info("link", "gateway", id, "life", l.Peer.Incarnation, "up", true)
		h.options.OnPeerChange(l.Peer, true, nil)
	}
	return true
}

// remove unregisters a link that has ended.
func (h *Hub) remove(l *Link) {
	id := l.Peer.ID()
	err := l.Err()
	h.mu.Lock()
	links := slices.DeleteFunc(h.links[id], func(o *Link) bool { return o == l })
	h.links[id] = links
	if len(links) == 0 {
		delete(h.links, id)
	}
	last := !slices.ContainsFunc(links, func(o *Link) bool { return o.Peer.Incarnation == l.Peer.Incarnation })
	h.stats.Ended[endReason(err)]++
	h.mu.Unlock()
	if !last {
		return
	}
	if h.ctx.Err() == nil {
		h.options.Log.Info("link", "gateway", id, "life", l.Peer.Incarnation, "up", false, "why", err)
	}
	h.options.OnPeerChange(l.Peer, false, err)
}

// Link returns the newest link to a gateway, or nil if there is none.
func (h *Hub) Link(id GatewayID) *Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	links := h.links[id]
	if len(links) == 0 {
		return nil
	}
	return links[len(links)-1]
}

// Links returns the newest link to each gateway of a partner, or of all partners if partner is empty, sorted by gateway ID.
func (h *Hub) Links(partner string) []*Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*Link
	for id, links := range h.links {
		if partner == "" || id.Partner == partner {
			out = append(out, links[len(links)-1])
		}
	}
	slices.SortFunc(out, func(a, b *Link) int {
		return cmp.Or(cmp.Compare(a.Peer.Partner, b.Peer.Partner), cmp.Compare(a.Peer.Name, b.Peer.Name))
	})
	return out
}

// Stats returns a copy of the current counts.
func (h *Hub) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stats
	s.QueueFull = h.queueFull.Load()
	s.Ended = maps.Clone(h.stats.Ended)
	return s
}
