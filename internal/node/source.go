package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
)

// relay passes the events of a watch to a pool's engine. It buffers them until an engine is attached, so that a watch can
// be tested before it is used.
type relay struct {
	resubscribe func() // subscribes the watch again

	mu      sync.Mutex
	sink    discovery.Sink
	pending []discovery.List
	closed  bool

	readyIDs         map[string]bool // IDs of the listed servers in service
	snapshotReceived chan struct{}   // closed once a full snapshot has been received
	serverReady      chan struct{}   // closed once a snapshot has been received and a listed server is in service
}

func newRelay() *relay {
	return &relay{readyIDs: map[string]bool{}, snapshotReceived: make(chan struct{}), serverReady: make(chan struct{})}
}

// UpdateList implements discovery.Sink.
func (r *relay) UpdateList(l discovery.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.trackReadiness(l)
	if r.sink != nil {
		r.sink.UpdateList(l)
		return
	}
	r.pending = append(r.pending, l)
}

// trackReadiness records whether a full snapshot has been received and which servers are in service. The caller holds mu.
func (r *relay) trackReadiness(l discovery.List) {
	if l.Full {
		clear(r.readyIDs)
		closeOnce(r.snapshotReceived)
	}
	for _, t := range l.Targets {
		if t.State == balancer.Ready {
			r.readyIDs[t.ID] = true
		} else {
			delete(r.readyIDs, t.ID)
		}
	}
	if isClosed(r.snapshotReceived) && len(r.readyIDs) > 0 {
		closeOnce(r.serverReady)
	}
}

// resubscribeDelay is the delay before a failed watch without an attached engine is subscribed again.
const resubscribeDelay = 500 * time.Millisecond

// ListFailed implements discovery.Sink. An engine subscribes again by itself. While none is attached, the relay does it.
func (r *relay) ListFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closed:
	case r.sink != nil:
		r.sink.ListFailed()
	default:
		time.AfterFunc(resubscribeDelay, r.resubscribe)
	}
}

// attach passes the buffered updates and all later ones to an engine.
func (r *relay) attach(sink discovery.Sink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sink = sink
	for _, l := range r.pending {
		sink.UpdateList(l)
	}
	r.pending = nil
}

// close makes the relay drop all later events.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func closeOnce(c chan struct{}) {
	if !isClosed(c) {
		close(c)
	}
}

// source is a registry watch with its goroutine. It supplies the endpoint list of a pool.
type source struct {
	watch  *discovery.Watch
	relay  *relay
	pushed bool
	cancel context.CancelFunc
	done   chan struct{}
}

// newSource creates a source that watches a registry from a revision on. A revision of -1 requests a full snapshot.
func (n *Node) newSource(r config.Registry, rev int64, log *slog.Logger) *source {
	s := &source{relay: newRelay(), pushed: r.Mode != config.Polled, done: make(chan struct{})}
	s.watch = discovery.NewWatch(r.Address, rev, s.relay, log)
	s.relay.resubscribe = s.watch.Subscribe
	if n.options.configureWatch != nil {
		n.options.configureWatch(s.watch)
	}
	return s
}

// start runs the watch until stop. A polled registry gets no request before Subscribe.
func (s *source) start() {
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(s.done)
		if s.pushed {
			s.watch.Push(ctx)
		} else {
			s.watch.Poll(ctx)
		}
	}()
}

// stop ends the watch and waits for its goroutine. No event is passed on afterwards.
func (s *source) stop() {
	s.relay.close()
	s.cancel()
	<-s.done
}

// staticList returns the endpoint list in a configuration as a full snapshot. The servers of a first list count as warmed
// up. In a later list, a server that the previous list did not have at this address is assumed to have just started and
// gets a slow start.
func staticList(p config.Pool, previous map[string]discovery.Target, now time.Duration) discovery.List {
	l := discovery.List{Full: true}
	for _, s := range p.Servers {
		t := discovery.Target{Endpoint: s.Address, Server: balancer.Server{ID: s.Name, Zone: s.Zone, Cell: s.Cell, Size: s.Size}}
		if s.State == config.Draining {
			t.State = balancer.Draining
		}
		if old, found := previous[s.Name]; found && old.Endpoint == s.Address {
			t.Boot = old.Boot
		} else if previous != nil {
			t.Boot = now
		}
		l.Targets = append(l.Targets, t)
	}
	return l
}

// targetsOf indexes the targets of a list by server name.
func targetsOf(l discovery.List) map[string]discovery.Target {
	out := make(map[string]discovery.Target, len(l.Targets))
	for _, t := range l.Targets {
		out[t.ID] = t
	}
	return out
}
