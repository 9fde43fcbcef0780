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

// relay passes the events of a watch to a pool's engine. Until it is attached to one it buffers them, so that a watch can
// be tried before it is used.
type relay struct {
	resubscribe func() // subscribes the watch again

	mu      sync.Mutex
	sink    discovery.Sink
	pending []discovery.List
	closed  bool

	readyIDs         map[string]bool // ids of the listed servers in service
	snapshotReceived chan struct{}   // closed once a full snapshot has come
	serverReady      chan struct{}   // closed once one has come and a server of it is in service
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

// trackReadiness follows whether the list has come and has servers in service. The caller holds mu.
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

// resubscribeDelay is when a failed watch that no engine is attached to yet is subscribed again.
const resubscribeDelay = 500 * time.Millisecond

// ListFailed implements discovery.Sink. An engine subscribes again by itself; while none is attached, the relay does.
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

// attach has updates go to an engine from now on, the buffered ones first.
func (r *relay) attach(to discovery.Sink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sink = to
	for _, l := range r.pending {
		to.UpdateList(l)
	}
	r.pending = nil
}

// close drops all later events.
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

// source is a watch of a registry with its goroutine, where a pool's endpoint list comes from.
type source struct {
	watch  *discovery.Watch
	relay  *relay
	pushed bool
	cancel context.CancelFunc
	done   chan struct{}
}

// newSource is a source that watches a registry from a revision on; -1: from none.
func (n *Node) newSource(r config.Registry, rev int64, log *slog.Logger) *source {
	s := &source{relay: newRelay(), pushed: r.Mode != config.Polled, done: make(chan struct{})}
	s.watch = discovery.NewWatch(r.Address, rev, s.relay, log)
	s.relay.resubscribe = s.watch.Subscribe
	if n.options.configureWatch != nil {
		n.options.configureWatch(s.watch)
	}
	return s
}

// start runs the watch until stop. A registry that is polled gets no request before Subscribe.
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

// stop ends the watch and waits for its goroutine; no event comes from it any more.
func (s *source) stop() {
	s.relay.close()
	s.cancel()
	<-s.done
}

// staticList is the full snapshot that a configuration holds. A server counts as warmed up, unless it is new to a list
// that was there before: then it has just started as far as is known, and gets a slow start.
func staticList(p config.Pool, before map[string]discovery.Target, now time.Duration) discovery.List {
	l := discovery.List{Full: true}
	for _, s := range p.Servers {
		t := discovery.Target{Endpoint: s.Address, Server: balancer.Server{ID: s.Name, Zone: s.Zone, Cell: s.Cell, Size: s.Size}}
		if s.State == config.Draining {
			t.State = balancer.Draining
		}
		if was, known := before[s.Name]; known && was.Endpoint == s.Address {
			t.Boot = was.Boot
		} else if before != nil {
			t.Boot = now
		}
		l.Targets = append(l.Targets, t)
	}
	return l
}

// targetsOf indexes a list by the servers' names.
func targetsOf(l discovery.List) map[string]discovery.Target {
	out := make(map[string]discovery.Target, len(l.Targets))
	for _, t := range l.Targets {
		out[t.ID] = t
	}
	return out
}
