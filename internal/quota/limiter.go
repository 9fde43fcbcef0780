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
	// leaderInterval is how often a candidate checks its term and a leader distributes tokens.
	leaderInterval = 10 * time.Millisecond
	// leaseRequestInterval is the pause between lease requests while tokens are short or surplus or no leader is known. It is
	// also the shortest time that a queued request waits for a token.
	leaseRequestInterval = 20 * time.Millisecond
	// rateInterval is the shortest time over which rates are measured.
	rateInterval = 100 * time.Millisecond
	// rateDecay is the time constant of the moving averages.
	rateDecay = 2 * time.Second
	// retryGrace is how long after its advised time a retry still has priority.
	retryGrace = 500 * time.Millisecond
	// retryReserve is how long after its advised time a token is reserved for a retry.
	retryReserve = 100 * time.Millisecond
	// maxRetryAfter is the longest delay that a rejected client is advised.
	maxRetryAfter = 2 * time.Second
	// maxTokensPerRequest is the most tokens that one lease request asks for or is granted.
	maxTokensPerRequest = 100_000
)

// Options configure a Limiter; all fields are required.
type Options struct {
	Budget Budget
	Self   peering.GatewayID
	LinkTo func(peering.GatewayID) *peering.Link // the link to a gateway; nil if there is none
	Now    func() time.Duration                  // monotonic time
	Log    *slog.Logger
}

// Limiter enforces one quota at a gateway. It keeps the gateway's token leases and, at a candidate, takes part in the election
// and keeps the token bucket. Its methods are safe for concurrent use.
type Limiter struct {
	options Options
	ctx     context.Context // for the tasks; canceled by Close
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	wake    chan struct{} // ends runRequester's pause

	mu               sync.Mutex
	leases           []tokenLease // sorted by expiry, earliest first
	available        int          // tokens in all leases
	waiters          []*waiter
	scheduledRetries []scheduledRetry
	rates            rates
	counts           Counts

	// State from the latest grants.
	term        uint64        // highest term of a leader
	leaderName  string        // partner/gateway; empty if unknown
	leaderTime  time.Duration // the leader's clock at its last grant
	lastGrantAt time.Duration // when that grant arrived; 0 if none has
	nextTokenIn time.Duration // the leader's estimate of when a token may be available

	// This gateway's share of its partner's floor, drawn from while no leader is reachable.
	waivedUntil   time.Duration // until then the leader may lend the share to others
	floorTokens   float64       // available from the share, at most 1
	floorFilledAt time.Duration // when floorTokens was last refilled

	leader *leader // nil if this gateway is not a candidate
}

// Counts are a limiter's counters since it was created.
type Counts struct {
	Drawn         int64 `json:"drawn"`         // requests that drew a token
	Rejected      int64 `json:"refused"`       // requests that drew none
	OwnFloor      int64 `json:"own_floor"`     // draws from the gateway's share of the floor, while no leader was reachable
	Wasted        int64 `json:"wasted"`        // tokens unused when their lease expired
	Granted       int64 `json:"given"`         // tokens that the leader granted
	Unbounded     int64 `json:"uncounted"`     // draws without a bound, while no leader was reachable
	Elected       int64 `json:"elected"`       // terms for which this gateway was elected leader
	OnTimeRetries int64 `json:"taken_at_time"` // draws by clients that retried at the advised time
	Undone        int64 `json:"undone"`        // draws undone because the request was not started
}

// Status is a snapshot of a limiter.
type Status struct {
	Counts
	Leader          string        `json:"keeper,omitempty"` // partner/gateway; empty if unknown
	Term            uint64        `json:"term,omitempty"`
	IsLeader        bool          `json:"mine,omitempty"` // whether this gateway is the leader
	Partitioned     bool          `json:"cut,omitempty"`  // whether no leader is reachable
	Available       int           `json:"held"`           // tokens available to draw
	GrantAge        time.Duration `json:"age,omitempty"`  // time since the leader's last grant
	GrantedAsLeader int64         `json:"gave,omitempty"` // tokens granted by this gateway as leader
}

// New starts a limiter. Until Close it requests tokens and, if this gateway is a candidate, campaigns for leadership.
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

// Close stops all tasks and waits for them to end.
func (l *Limiter) Close() {
	l.cancel()
	l.tasks.Wait()
}

// SetBudget replaces the budget. The candidates must stay the same (SameCandidates). Tokens already leased stay valid until
// their leases expire.
func (l *Limiter) SetBudget(b Budget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options.Budget = b
	if l.leader != nil {
		l.leader.setTerms(b.Terms, l.options.Now())
	}
}

// SameCandidates reports whether b has the same candidates, in the same order, as the limiter's budget.
func (l *Limiter) SameCandidates(b Budget) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Equal(l.options.Budget.Candidates, b.Candidates)
}

// Status returns a snapshot of the limiter.
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
