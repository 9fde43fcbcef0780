package replication

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/peering"
)

// Replicator is a gateway's part in replication: its own requests, those that it stores as a replica, and those that it takes
// over. Its methods may be called by any goroutine; mu guards what follows it.
type Replicator struct {
	options     Options
	store       *store
	ctx         context.Context // ends with Close; tasks go on past the requests that began them
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	orphanCheck chan struct{} // has watchOrphans look at once
	sequence    atomic.Uint64 // of the ballots that it has made
	started     time.Duration // when this incarnation began

	mu        sync.Mutex
	active    map[Key]*Work              // that this gateway carries
	draining  bool                       // no request of its own is taken any more
	lostPeers map[string]lostIncarnation // by gateway, the incarnation to which a link ended last
	counts    Counts

	recoverUntil    time.Duration   // when no key of an earlier incarnation can come any more; before, it votes on none
	recoveredFrom   map[string]bool // gateways that told what this one may have voted for
	recoveryRunning bool            // recoverVotes runs

	lastGroup       []Gateway     // the group as it was last seen
	groupChangeTime time.Duration // when it was first seen so
}

// lostIncarnation is an incarnation of a gateway to which the last link has ended.
type lostIncarnation struct {
	incarnation uint64
	lostAt      time.Duration
}

// New returns a replicator that watches for orphans. Others reach it by its Topics. Close ends it.
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

// Close ends all that is under way, and returns once it has ended.
func (r *Replicator) Close() {
	r.cancel()
	r.tasks.Wait()
}

// LinkUp notes that a link to a gateway of the group has come up. If this gateway knew an earlier incarnation of the peer it
// says so, before anything else goes over the link: the peer may have forgotten votes.
func (r *Replicator) LinkUp(link *peering.Link) {
	r.mu.Lock()
	lost, known := r.lostPeers[link.Peer.Name]
	now := r.options.Now()
	r.mu.Unlock()
	if known && lost.incarnation != link.Peer.Incarnation && now-lost.lostAt < r.options.RecoveryWindow() {
		link.Tell(topicIncarnations, incarnationNotice{now - lost.lostAt})
	}
}

// PeerLost notes that the last link to an incarnation of a gateway of the group has ended.
func (r *Replicator) PeerLost(p peering.Peer) {
	r.mu.Lock()
	r.lostPeers[p.Name] = lostIncarnation{p.Incarnation, r.options.Now()}
	r.mu.Unlock()
	r.CheckOrphans()
}

// observeGroup returns the group, and notes whether it has changed.
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

// lastGroupChange is when the group was seen to change last.
func (r *Replicator) lastGroupChange() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groupChangeTime
}

// newBallot returns a ballot of that number that this gateway has not used before.
func (r *Replicator) newBallot(number uint32) Ballot {
	return Ballot{Number: number, Owner: r.options.Self.Name, Incarnation: r.options.Self.Incarnation, Sequence: r.sequence.Add(1)}
}

// HandOver gives all requests that this gateway carries to successors: it shuts down. Attempts in flight end by themselves.
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
