package replication

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/peering"
)

// Replicator is a gateway's part replicated: its own requests, those that it holds for others, and those that it takes over.
type Replicator struct {
	options  Options
	store    *store
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	checkNow chan struct{} // looks for orphans at once
	sequence atomic.Uint64 // ballots that it has made

	mu            sync.Mutex
	active        map[Key]*Work              // in this gateway's hand
	draining      bool                       // nothing more is taken into replication
	lostPeers     map[string]lostIncarnation // by gateway, the incarnation to which a link ended last
	recoverUntil  time.Duration              // until when this one may have known keys in an earlier incarnation, and does not know them again
	recoveredFrom map[string]bool            // gateways that told it what it may have voted for
	started       time.Duration              // when this incarnation began
	lastGroup     []Gateway                  // as it was last, and
	groupChanged  time.Duration              // when that changed
	counts        Counts

	recoveryRunning bool // it asks them
}

// incarnation is one of a gateway's, and when the link to it ended.
type lostIncarnation struct {
	incarnation uint64
	lostAt      time.Duration
}

// New returns a Custodian that answers others. Run claims what is lost.
func New(options Options) *Replicator {
	r := &Replicator{options: options, store: newStore(options.Now, options.Retention, options.Memory), active: map[Key]*Work{}, lostPeers: map[string]lostIncarnation{}, recoveredFrom: map[string]bool{}, started: options.Now(), checkNow: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.tasks.Go(r.watchOrphans)
	return r
}

// Close ends all that is under way and returns once it has ended.
func (r *Replicator) Close() {
	r.cancel()
	r.tasks.Wait()
}

// Linked notes that a link to a gateway of the group has come up. Whoever knew an earlier incarnation of its tells it so, first of all
// that goes over the link.
func (r *Replicator) Linked(link *peering.Link) {
	r.mu.Lock()
	was, known := r.lostPeers[link.Peer.Name]
	now := r.options.Now()
	r.mu.Unlock()
	if known && was.incarnation != link.Peer.Incarnation && now-was.lostAt < r.options.RecoveryWindow() {
		link.Tell(topicIncarnations, incarnationNotice{now - was.lostAt})
	}
}

// PeerLost notes that the last link to an incarnation of a gateway of the group has ended.
func (r *Replicator) PeerLost(p peering.Peer) {
	r.mu.Lock()
	r.lostPeers[p.Name] = lostIncarnation{p.Incarnation, r.options.Now()}
	r.mu.Unlock()
	r.CheckOrphans()
}

// orphanCheck notes whether the group has changed.
func (r *Replicator) observeGroup() []Gateway {
	group := r.options.Group()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.EqualFunc(group, r.lastGroup, func(a, b Gateway) bool { return a.Name == b.Name }) {
		r.lastGroup, r.groupChanged = group, r.options.Now()
	}
	return group
}

func (r *Replicator) groupChangedAt() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groupChanged
}

// ballot is this gateway's next one of a number.
func (r *Replicator) newBallot(n uint32) Ballot {
	return Ballot{Number: n, Owner: r.options.Self.Name, Incarnation: r.options.Self.Incarnation, Sequence: r.sequence.Add(1)}
}

// HandOver gives all requests that are in hand to others: this gateway ends. What is out is left to end by itself.
func (r *Replicator) HandOver() {
	r.mu.Lock()
	r.draining = true
	var active []*Work
	for _, w := range r.active {
		active = append(active, w)
	}
	r.mu.Unlock()
	for _, w := range active {
		w.fence(ErrDuplicate)
		w.relinquish()
	}
}
