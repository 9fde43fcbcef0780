package quota

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"damsontrestle/internal/peering"
)

// Times and bounds of a limiter.
const (
	// leaderInterval is how often a candidate looks at its term, and a leader distributes tokens.
	leaderInterval = 10 * time.Millisecond
	// leaseRequestInterval is the pause between two requests to the leader while one more may be of use, and the shortest time that a
	// waiting request waits for a token.
	leaseRequestInterval = 20 * time.Millisecond
	// rateInterval is the shortest time over which rates are measured.
	rateInterval = 100 * time.Millisecond
	// rateDecay is the time constant in which measured rates fade.
	rateDecay = 2 * time.Second
	// returnGrace is how late a client may return after its advised time and still go before others.
	retryGrace = 500 * time.Millisecond
	// returnReserve is how long after that time a token is kept for it.
	retryReserve = 100 * time.Millisecond
	// maxRetryAfter is the longest time that a rejected client is asked to wait.
	maxRetryAfter = 2 * time.Second
	// maxTokensPerRequest bounds what one request to the leader may ask for.
	maxTokensPerRequest = 100_000
)

// Options are what a Limiter is made of; all but To's result are required.
type Options struct {
	Budget Budget
	Self   peering.GatewayID
	LinkTo func(peering.GatewayID) *peering.Link // the link to a gateway; nil: there is none
	Now    func() time.Duration                  // monotonic time
	Log    *slog.Logger
}

// Limiter is a gateway's part in one quota: the token leases that it holds and, where it is a candidate, its part in the
// election and the token bucket. Its methods may be called by several goroutines at once.
type Limiter struct {
	options Options
	ctx     context.Context // of the tasks; ended by Close
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	wake    chan struct{} // has runRequester go on at once

	mu               sync.Mutex
	leases           []tokenLease // by their end, the first first
	available        int          // tokens of all leases
	waiters          []*waiter
	scheduledRetries []scheduledRetry
	rates            rates
	counts           Counts

	// What the last grants said.
	term        uint64        // the highest of a leader
	leaderName  string        // partner/gateway; empty: not known
	leaderTime  time.Duration // the leader's clock, as its last grant had it
	lastGrantAt time.Duration // when that came; 0: never
	nextTokenIn time.Duration // the leader's, until there may be a token

	// The own part of the partner's floor, which is drawn while no leader is reached.
	waivedUntil   time.Duration // before that the leader may have lent it to others
	floorTokens   float64       // that may be drawn of it, at most one
	floorFilledAt time.Duration // until when they were counted

	leader *leader // nil: this gateway is no candidate
}

// Counts are those of a limiter since it was made.
type Counts struct {
	Drawn         int64 `json:"drawn"`         // requests that drew a token
	Rejected      int64 `json:"refused"`       // requests that did not
	OwnFloor      int64 `json:"own_floor"`     // draws of the own floor, while no leader was reached
	Wasted        int64 `json:"wasted"`        // tokens whose lease ended unused
	Granted       int64 `json:"given"`         // tokens that the leader granted
	Unbounded     int64 `json:"uncounted"`     // draws without a bound, while no leader was reached
	Elected       int64 `json:"elected"`       // terms that this gateway was elected leader for
	OnTimeRetries int64 `json:"taken_at_time"` // draws of clients that returned at the time that they were advised
	Undone        int64 `json:"undone"`        // draws that were undone, for nothing of the request was begun
}

// Status is what a limiter does at one moment.
type Status struct {
	Counts
	Leader          string        `json:"keeper,omitempty"` // partner/gateway; empty: not known
	Term            uint64        `json:"term,omitempty"`
	IsLeader        bool          `json:"mine,omitempty"` // this gateway is the leader
	Partitioned     bool          `json:"cut,omitempty"`  // no leader is reached
	Available       int           `json:"held"`           // tokens that may be drawn
	GrantAge        time.Duration `json:"age,omitempty"`  // of the leader's last grant
	GrantedAsLeader int64         `json:"gave,omitempty"` // tokens that this gateway granted as leader
}

// New returns a limiter that requests tokens and, where it may, campaigns for the quota's leadership, until Close.
func New(o Options) *Limiter {
	now := o.Now()
	l := &Limiter{
		options:       o,
		wake:          make(chan struct{}, 1),
		rates:         rates{measuredAt: now},
		floorFilledAt: now,
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.startCandidacy(now)
	l.tasks.Go(l.runRequester)
	return l
}

// Close ends all tasks and returns once they have ended.
func (l *Limiter) Close() {
	l.cancel()
	l.tasks.Wait()
}

// Change has other terms hold from now on; the candidates must be the same (SameCandidates). Tokens that are out are used or
// end with their leases.
func (l *Limiter) SetBudget(b Budget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options.Budget = b
	if l.leader != nil {
		l.leader.setTerms(b.Terms, l.options.Now())
	}
}

// SameCandidates says whether a budget has the same candidates as the limiter's.
func (l *Limiter) SameCandidates(b Budget) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Equal(l.options.Budget.Candidates, b.Candidates)
}

// Status returns what the limiter does now.
func (l *Limiter) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	s := Status{
		Counts:      l.counts,
		Leader:      l.leaderName,
		Term:        l.term,
		Partitioned: l.isPartitioned(now),
		Available:   l.available,
	}
	if l.lastGrantAt > 0 {
		s.GrantAge = now - l.lastGrantAt
	}
	if l.leader != nil {
		s.IsLeader = l.leader.isLeader(now)
		s.GrantedAsLeader = l.leader.granted
	}
	return s
}
