package replication

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/peering"
)

// Replicator is the replication component of a gateway: it executes the requests of the gateway, stores those of others as a
// replica, and takes over orphans, which are undecided requests whose owner is not alive. Its methods are safe for concurrent
// use. mu guards the fields below it.
type Replicator struct {
	options     Options
	store       *store
	ctx         context.Context // ends with Close; tasks may outlive the requests that started them
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	orphanCheck chan struct{} // triggers an immediate check by watchOrphans
	sequence    atomic.Uint64 // of the last ballot created
	started     time.Duration // start of this incarnation

	mu        sync.Mutex
	active    map[Key]*Work              // requests that this gateway executes
	draining  bool                       // no new request is accepted
	lostPeers map[string]lostIncarnation // by gateway name, the incarnation whose last link ended most recently
	counts    Counts

	recoverUntil    time.Duration   // after this time no key of an earlier incarnation can arrive; until then no key is voted on
	recoveredFrom   map[string]bool // gateways whose replies are part of a completed recovery
	recoveryRunning bool            // recoverVotes is running

	lastGroup       []Gateway     // the most recently observed group
	groupChangeTime time.Duration // when lastGroup was first observed
}

// lostIncarnation is an incarnation of a gateway whose last link has ended.
type lostIncarnation struct {
	incarnation uint64
	lostAt      time.Duration
}

// New returns a replicator and starts its watch for orphans. The caller registers its Topics with the links, and calls Close to
// stop it.
func New(options Options) *Replicator {
	r := &Replicator{
		options:       options,
		store:         newStore(options.Now, options.Retention, options.Memory),
		active:        map[Key]*Work{},
		lostPeers:     map[string]lostIncarnation{},
		recoveredFrom: map[string]bool{},
		started:       options.Now(),
		orphanCheck:   make(chan struct{}, 1),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.tasks.Go(r.watchOrphans)
	return r
}

// Close cancels all work in progress and waits for it to end.
func (r *Replicator) Close() {
	r.cancel()
	r.tasks.Wait()
}

// LinkUp handles a new link to a gateway of the group. If this gateway had a link to an earlier incarnation of the peer, it
// notifies the peer before anything else is sent over the link, because the peer may have forgotten votes.
func (r *Replicator) LinkUp(link *peering.Link) {
	r.mu.Lock()
	lost, known := r.lostPeers[link.Peer.Name]
	now := r.options.Now()
	r.mu.Unlock()
	if known && lost.incarnation != link.Peer.Incarnation && now-lost.lostAt < r.options.RecoveryWindow() {
		link.Notify(topicIncarnations, incarnationNotice{now - lost.lostAt})
	}
}

// PeerLost records that the last link to an incarnation of a gateway of the group has ended, and triggers a check for orphans.
func (r *Replicator) PeerLost(p peering.Peer) {
	r.mu.Lock()
	r.lostPeers[p.Name] = lostIncarnation{p.Incarnation, r.options.Now()}
	r.mu.Unlock()
	r.CheckOrphans()
}

// observeGroup returns the group, and records the time if it has changed.
func (r *Replicator) observeGroup() []Gateway {
	group := r.options.Group()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.EqualFunc(group, r.lastGroup, Gateway.sameName) {
		r.lastGroup = group
		r.groupChangeTime = r.options.Now()
	}
	return group
}

// lastGroupChange returns when a change of the group was last observed.
func (r *Replicator) lastGroupChange() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groupChangeTime
}

// newBallot returns a ballot with the given number that this gateway has not used before.
func (r *Replicator) newBallot(number uint32) Ballot {
	return Ballot{Number: number, Owner: r.options.Self.Name, Incarnation: r.options.Self.Incarnation, Sequence: r.sequence.Add(1)}
}

// HandOver relinquishes all requests that this gateway executes to successors, for a shutdown, and refuses new ones. It does not
// wait for attempts in flight, which end on their own.
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
