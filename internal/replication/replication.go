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
	Self      Gateway
	Links     Links
	Group     func() []Gateway // all that live, this one among them, with the lives that links tell of
	Run       Run
	Step      func(r *Record, intents []Intent, left time.Duration) Step // what a successor would do with a request; must not block
	Beat      time.Duration                                              // between two heartbeats of a link, and
	Silence   time.Duration                                              // how long one stands without an answer
	Replicas  int                                                        // replicas of a request in a group that has as many
	Memory    int                                                        // bytes held for others, about
	Retention time.Duration                                              // that an answer is kept after it was settled
	Forgets   func() time.Duration                                       // that repeats of a key may come after its first request
	Fresh     time.Duration                                              // an intent that is older when its first byte is to be written is asked for anew
	Now       func() time.Duration
	Log       *slog.Logger
}

// Run has a request carried out, by the engine of its pool: each attempt is allowed by w.Intend before its first byte. It
// returns when the request is answered, or when ctx ends; then its outcome's kind is 0. earlier are the attempts that others made.
type Run func(ctx context.Context, r *Record, earlier []Intent, w *Work) Outcome

// Times of a replicator. All of them are how soon something is tried, and none is needed for what the package promises.
const (
	pollLimit           = 2 * time.Second        // that replicas are waited for, where the request's time is not over before
	orphanCheckInterval = 20 * time.Millisecond  // for orphans, while requests are undecided
	restEvery           = 200 * time.Millisecond // and while none is
	claimRetryDelay     = 250 * time.Millisecond // after a claim that failed, at most
	findWait            = 400 * time.Millisecond // that a replica holds a question for an answer
	slowest             = 50 * time.Millisecond  // that is waited for the others once a majority knows nothing of a key
)

// Replicator is a gateway's part replicated: its own requests, those that it holds for others, and those that it takes over.
type Replicator struct {
	o     Options
	store *store
	ctx   context.Context
	end   context.CancelFunc
	tasks sync.WaitGroup
	kick  chan struct{} // looks for orphans at once
	calls atomic.Uint64 // ballots that it has made

	mu      sync.Mutex
	works   map[Key]*Work          // in this gateway's hand
	ending  bool                   // nothing more is taken into replication
	lost    map[string]incarnation // by gateway, the incarnation to which a link ended last
	young   time.Duration          // until when this one may have known keys in an earlier incarnation, and does not know them again
	told    map[string]bool        // gateways that told it what it may have voted for
	born    time.Duration          // when this incarnation began
	group   []Gateway              // as it was last, and
	changed time.Duration          // when that changed
	counts  Counts

	recovering bool // it asks them
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
type incarnation struct {
	number uint64
	ended  time.Duration
}

// New returns a Custodian that answers others. Run claims what is lost.
func New(o Options) *Replicator {
	c := &Replicator{o: o, store: newStore(o.Now, o.Retention, o.Memory), works: map[Key]*Work{}, lost: map[string]incarnation{}, told: map[string]bool{}, born: o.Now(), kick: make(chan struct{}, 1)}
	c.ctx, c.end = context.WithCancel(context.Background())
	c.tasks.Go(c.watch)
	return c
}

// Close ends all that is under way and returns once it has ended.
func (c *Replicator) Close() {
	c.end()
	c.tasks.Wait()
}

// Status is what it does now.
func (c *Replicator) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{c.counts, len(c.works), c.store.status()}
}

// Linked notes that a link to a gateway of the group has come up. Whoever knew an earlier incarnation of its tells it so, first of all
// that goes over the link.
func (c *Replicator) Linked(l *peering.Link) {
	c.mu.Lock()
	was, known := c.lost[l.Peer.Name]
	now := c.o.Now()
	c.mu.Unlock()
	if known && was.number != l.Peer.Incarnation && now-was.ended < c.o.Forgets() {
		l.Tell(topicIncarnations, incarnationsMsg{now - was.ended})
	}
}

// PeerLost notes that the last link to an incarnation of a gateway of the group has ended.
func (c *Replicator) PeerLost(p peering.Peer) {
	c.mu.Lock()
	c.lost[p.Name] = incarnation{p.Incarnation, c.o.Now()}
	c.mu.Unlock()
	c.CheckOrphans()
}

// orphanCheck notes whether the group has changed.
func (c *Replicator) orphanCheck() []Gateway {
	group := c.o.Group()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.EqualFunc(group, c.group, func(a, b Gateway) bool { return a.Name == b.Name }) {
		c.group, c.changed = group, c.o.Now()
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
func (c *Replicator) Take(ctx context.Context, r Record, serve bool, window time.Duration) (Outcome, error) {
	group := c.orphanCheck()
	r.Owner = c.o.Self
	r.Replicas = ChooseReplicas(r.Key, c.o.Self.Name, group, c.o.Replicas)
	if r.IdempotencyKey != "" && c.o.Now()-c.changedAt() < window {
		// The replicas of a key may be others than those that took it: all are asked once.
		_, gen, err := c.query(ctx, r.Key, 0)
		if errors.Is(err, ErrNoAnswer) {
			return Outcome{}, err
		}
		if !errors.Is(err, ErrUnknown) && gen >= r.Gen {
			return Outcome{}, ErrDuplicate
		}
	}
	reached := 0
	for _, v := range r.Replicas {
		if v.Name == c.o.Self.Name || c.o.Links.To(v.Name) != nil {
			reached++
		}
	}
	if len(r.Replicas) == 0 || reached < Majority(len(r.Replicas)) {
		c.count(func(n *Counts) { n.Alone++ })
		return Outcome{}, ErrAlone
	}
	if e, _ := c.store.find(r.Key); e != nil && e.Record.Gen >= r.Gen {
		return Outcome{}, ErrDuplicate // whether or not it is a replica of the key now
	}
	w, err := c.begin(ctx, r, c.ballot(1), nil)
	if err != nil {
		return Outcome{}, err
	}
	w.serve = serve
	c.count(func(n *Counts) { n.Taken++ })
	// The record is on its way; the first intent follows it over the same links, and is not taken where the record was not.
	w.send(topicRecord, func(v Gateway) any { return recordMsg{r, w.by, v.Incarnation} }, w.recorded)
	return w.run(ctx)
}

func (c *Replicator) changedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *Replicator) count(f func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.counts)
}

// ballot is this gateway's next one of a number.
func (c *Replicator) ballot(n uint32) Ballot {
	return Ballot{Number: n, Owner: c.o.Self.Name, Incarnation: c.o.Self.Incarnation, Call: c.calls.Add(1)}
}

// HandOver gives all requests that are in hand to others: this gateway ends. What is out is left to end by itself.
func (c *Replicator) HandOver() {
	c.mu.Lock()
	c.ending = true
	var all []*Work
	for _, w := range c.works {
		all = append(all, w)
	}
	c.mu.Unlock()
	for _, w := range all {
		w.fence(ErrDuplicate)
		w.release()
	}
}
