package replication

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/peering"
)

// Links are how a gateway reaches the others of its group.
type Links interface {
	// To is the newest link to a gateway of the group; nil: there is none.
	To(name string) *peering.Link
	// All are the links to all of them.
	All() []*peering.Link
}

// Options are what a Custodian is made of.
type Options struct {
	Self           Gateway
	Links          Links
	Group          func() []Gateway // all that live, this one among them, with the lives that links tell of
	Run            Run
	Step           func(record *Record, intents []Intent, timeLeft time.Duration) Step // what a successor would do with a request; must not block
	Heartbeat      time.Duration                                                       // between two heartbeats of a link, and
	Silence        time.Duration                                                       // how long one stands without an answer
	Replicas       int                                                                 // replicas of a request in a group that has as many
	Memory         int                                                                 // bytes held for others, about
	Retention      time.Duration                                                       // that an answer is kept after it was settled
	RecoveryWindow func() time.Duration                                                // that repeats of a key may come after its first request
	MaxIntentAge   time.Duration                                                       // an intent that is older when its first byte is to be written is asked for anew
	Now            func() time.Duration
	Log            *slog.Logger
}

// Run has a request carried out, by the engine of its pool: each attempt is allowed by w.Intend before its first byte. It
// returns when the request is answered, or when ctx ends; then its outcome's kind is 0. earlier are the attempts that others made.
type Run func(ctx context.Context, record *Record, priorIntents []Intent, w *Work) Outcome

// Times of a replicator. All of them are how soon something is tried, and none is needed for what the package promises.
const (
	quorumTimeout       = 2 * time.Second        // that replicas are waited for, where the request's time is not over before
	orphanCheckInterval = 20 * time.Millisecond  // for orphans, while requests are undecided
	idleCheckInterval   = 200 * time.Millisecond // and while none is
	claimRetryDelay     = 250 * time.Millisecond // after a claim that failed, at most
	findTimeout         = 400 * time.Millisecond // that a replica holds a question for an answer
	stragglerTimeout    = 50 * time.Millisecond  // that is waited for the others once a majority knows nothing of a key
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

// Counts are of what became of requests replicated, since the start.
type Counts struct {
	Taken   int `json:"taken"`   // own requests
	Alone   int `json:"alone"`   // for which too few replicas were to be reached
	Fenced  int `json:"fenced"`  // that another took over while they were in hand here
	Claimed int `json:"claimed"` // that this gateway took over
	Resumed int `json:"resumed"` // of them, carried on
	Asked   int `json:"asked"`   // by clients that came back
	Found   int `json:"found"`   // of them, that got the one answer
	// times that it knew again what an earlier incarnation of it may have voted for
	Recovered int `json:"recalled"`
}

// Status is what a replicator does now.
type Status struct {
	Counts
	InHand  int         `json:"in_hand"`
	Replica StoreCounts `json:"voter"`
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

// Status is what it does now.
func (r *Replicator) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{r.counts, len(r.active), r.store.status()}
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

// Errors of Take and Await.
var (
	// ErrAlone says that too few replicas are to be reached: nothing was recorded anywhere.
	ErrAlone = errors.New("replication: no quorum of replicas is reachable")
	// ErrDuplicate says that the request has been taken before: Await brings its answer.
	ErrDuplicate = errors.New("replication: the request was taken before")
	// ErrFull says that its replicas have no room for the request: nothing of it was begun.
	ErrFull = errors.New("replication: the replicas have no capacity")
	// ErrUnknown says that nobody holds such a request.
	ErrUnknown = errors.New("replication: no replica knows the request")
	// ErrForgotten says that whoever held the request has started anew since: nobody can tell what became of it.
	ErrForgotten = errors.New("replication: the replicas no longer have the request's outcome")
	// ErrUndecided says that the request is under way, or that too few of its replicas are to be reached to tell what became of it.
	ErrUndecided = errors.New("replication: the request is not decided")
	// ErrNoAnswer says that too few could be asked whether the request's key was taken before: nothing was recorded anywhere.
	ErrNoAnswer = fmt.Errorf("replication: no quorum on whether the key was taken before: %w", ErrUndecided)
)

// Take has a request recorded and carried out, and returns its outcome once a majority of its replicas has taken that. serve
// says that where replicas are lost on the way the outcome is told all the same. window is how long others could have taken the
// same key before the group changed. With ErrAlone, ErrFull and ErrNoAnswer nothing was begun; ErrDuplicate says to Await the answer.
func (r *Replicator) Take(ctx context.Context, record Record, serve bool, window time.Duration) (Outcome, error) {
	group := r.observeGroup()
	record.Owner = r.options.Self
	record.Replicas = ChooseReplicas(record.Key, r.options.Self.Name, group, r.options.Replicas)
	if record.IdempotencyKey != "" && r.options.Now()-r.groupChangedAt() < window {
		// The replicas of a key may be others than those that took it: all are asked once.
		_, generation, err := r.queryGroup(ctx, record.Key, 0)
		if errors.Is(err, ErrNoAnswer) {
			return Outcome{}, err
		}
		if !errors.Is(err, ErrUnknown) && generation >= record.Generation {
			return Outcome{}, ErrDuplicate
		}
	}
	reached := 0
	for _, replica := range record.Replicas {
		if replica.Name == r.options.Self.Name || r.options.Links.To(replica.Name) != nil {
			reached++
		}
	}
	if len(record.Replicas) == 0 || reached < Majority(len(record.Replicas)) {
		r.count(func(n *Counts) { n.Alone++ })
		return Outcome{}, ErrAlone
	}
	if entry, _ := r.store.lookup(record.Key); entry != nil && entry.Record.Generation >= record.Generation {
		return Outcome{}, ErrDuplicate // whether or not it is a replica of the key now
	}
	w, err := r.register(ctx, record, r.newBallot(1), nil)
	if err != nil {
		return Outcome{}, err
	}
	w.serveAlone = serve
	r.count(func(n *Counts) { n.Taken++ })
	// The record is on its way; the first intent follows it over the same links, and is not taken where the record was not.
	w.requestAll(topicRecord, func(replica Gateway) any { return recordRequest{record, w.ballot, replica.Incarnation} }, w.countRecordReply)
	return w.run(ctx)
}

func (r *Replicator) groupChangedAt() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groupChanged
}

func (r *Replicator) count(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
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
