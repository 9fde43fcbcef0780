package quota

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"damsontrestle/internal/peering"
)

// Options are what a Purse is made of.
type Options struct {
	Budget Budget
	Self   peering.GatewayID
	To     func(peering.GatewayID) *peering.Link // nil: there is none
	Now    func() time.Duration                  // a clock that only goes on
	Log    *slog.Logger
}

// Limiter is a gateway's part in one budget: the tokens that it has, and its part as quota leader, if it may be that.
type Limiter struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	wake    chan struct{}

	mu            sync.Mutex
	leases        []tokenLease
	available     int
	requestRate   float64       // requests a second, lately
	grantRate     float64       // tokens a second, lately
	ratesAt       time.Duration // until when both were counted
	requestsSince int           // since then
	tokensSince   int           // likewise
	waiting       []*waiter
	bookings      []booking
	back          int

	term        uint64        // the highest quota leader's heard of
	leaderName  string        // who that is
	leaderStamp time.Duration // of its last answer
	grantedAt   time.Duration // when that came; 0: never
	waivedUntil time.Duration // until when the own floor is not drawn
	ownTokens   float64       // of it, what may be drawn
	ownFilledAt time.Duration
	hint        time.Duration
	counts      Counts

	leader *leader // nil: this gateway may not be it
}

// Counts are a limiter's since its start.
type Counts struct {
	Drawn     int64 `json:"drawn"`
	Rejected  int64 `json:"refused"`
	OwnFloor  int64 `json:"own_floor"`     // drawn of the own floor, cut off
	Wasted    int64 `json:"wasted"`        // tokens whose time was over
	Granted   int64 `json:"given"`         // tokens that came
	Unbounded int64 `json:"uncounted"`     // taken without a bound, cut off
	Elected   int64 `json:"elected"`       // terms that this gateway was quota leader for
	Returning int64 `json:"taken_at_time"` // requests that came back at the time that they were told
	Undone    int64 `json:"undone"`        // draws that were taken back, for nothing of the request was begun
}

// Status is a limiter's now.
type Status struct {
	Counts
	Leader          string        `json:"keeper,omitempty"`
	Term            uint64        `json:"term,omitempty"`
	IsLeader        bool          `json:"mine,omitempty"` // this gateway is the quota leader
	Partitioned     bool          `json:"cut,omitempty"`  // no quota leader is reached
	Held            int           `json:"held"`
	Age             time.Duration `json:"age,omitempty"` // of the quota leader's last answer
	GrantedAsLeader int64         `json:"gave,omitempty"`
}

// Times of a limiter.
const (
	leaderInterval      = 10 * time.Millisecond // of a quota leader
	shortInterval       = 20 * time.Millisecond
	rateDecay           = 2 * time.Second        // in which demand fades
	returnGrace         = 500 * time.Millisecond // in which who comes late still goes before others
	returnReserve       = 100 * time.Millisecond // in which a token is kept for it
	maxRetryAfter       = 2 * time.Second
	maxTokensPerRequest = 100_000 // tokens that may be asked for at once
)

// New returns a Purse that asks for tokens and, where it may, keeps the budget, until Close.
func New(o Options) *Limiter {
	l := &Limiter{options: o, wake: make(chan struct{}, 1)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	now := o.Now()
	l.ratesAt, l.ownFilledAt = now, now
	l.becomeCandidate(now)
	l.tasks.Go(l.requestTokens)
	return l
}

// Close ends all tasks and returns once they have ended.
func (l *Limiter) Close() {
	l.cancel()
	l.tasks.Wait()
}

// Change has other terms hold from now on; quota candidates stay as they are. Tokens that are out are used or end in a lease's time.
func (l *Limiter) Change(b Budget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options.Budget = b
	if l.leader != nil {
		l.leader.fill(l.options.Now())
		l.leader.terms = b.Terms
		l.leader.tokens = min(l.leader.tokens, b.Depth())
	}
}

// SameCandidates says that a budget is kept by the same as this one.
func (l *Limiter) SameCandidates(b Budget) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Equal(l.options.Budget.Candidates, b.Candidates)
}

// Status is what the limiter does now.
func (l *Limiter) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	s := Status{Counts: l.counts, Leader: l.leaderName, Term: l.term, Partitioned: l.isPartitioned(now), Held: l.available}
	if l.grantedAt > 0 {
		s.Age = now - l.grantedAt
	}
	if l.leader != nil {
		s.IsLeader, s.GrantedAsLeader = l.leader.isLeader(now), l.leader.granted
	}
	return s
}
