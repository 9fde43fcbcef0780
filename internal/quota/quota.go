package quota

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/peering"
)

// Topics of what gateways ask one another.
const (
	topicLease = "quota.ask"
	topicVote  = "quota.vote"
)

type (
	leaseRequest struct {
		Quota     string        `cbor:"1,keyasint"`
		Wanted    int           `cbor:"2,keyasint"`
		Returning int           `cbor:"3,keyasint,omitempty"` // of them, for clients who come back when they were told to
		Returned  int           `cbor:"4,keyasint,omitempty"` // tokens that are not needed after all
		Term      uint64        `cbor:"5,keyasint"`           // of the answer that Stamp is of
		Stamp     time.Duration `cbor:"6,keyasint"`           // the quota leader's clock, as its last answer told it
		Floor     float64       `cbor:"7,keyasint,omitempty"` // the own part of a floor, that is waived with this
		Wait      time.Duration `cbor:"8,keyasint"`           // for tokens, at most
	}
	leaseGrant struct {
		Leader   string        `cbor:"1,keyasint"` // who it is; only of the quota leader's own answers the rest counts
		IsLeader bool          `cbor:"2,keyasint"`
		Term     uint64        `cbor:"3,keyasint"`
		Stamp    time.Duration `cbor:"4,keyasint"`
		Granted  int           `cbor:"5,keyasint"`
		Hint     time.Duration `cbor:"6,keyasint"` // when there may be one, where there were too few
	}
	voteRequest struct {
		Quota string `cbor:"1,keyasint"`
		Term  uint64 `cbor:"2,keyasint"`
	}
	voteReply struct {
		Yes  bool   `cbor:"1,keyasint"`
		Term uint64 `cbor:"2,keyasint"` // the highest that the replica has heard of
	}
)

// Candidate is one who may keep a budget.
type Candidate struct{ Partner, Name string }

func (c Candidate) id() peering.GatewayID { return peering.GatewayID{Partner: c.Partner, Name: c.Name} }

// ParseCandidate reads partner/gateway.
func ParseCandidate(name string) Candidate {
	partner, gateway, _ := strings.Cut(name, "/")
	return Candidate{partner, gateway}
}

// Budget is one quota of a file.
type Budget struct {
	budget.Terms
	Candidates []Candidate // in the order in which they try to be it; an odd number
	Classes    []string    // of the requests that draw; empty: all
	Tenants    []string    // likewise
}

// Matches says that a request draws from the budget.
func (b *Budget) Matches(class, tenant string) bool {
	return (len(b.Classes) == 0 || slices.Contains(b.Classes, class)) && (len(b.Tenants) == 0 || slices.Contains(b.Tenants, tenant))
}

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

// tokenLease are tokens that came together.
type tokenLease struct {
	tokens int
	until  time.Duration
}

// waiter is a request that waits for a token.
type waiter struct {
	token     chan Token
	returning bool
}

// Token is a draw: until when it may be used for another request, where nothing of its own was begun. 0: there is none.
type Token time.Duration

// tokenWithoutLease is the Token of a draw that is of no use to another request: of the own floor, which flows on by itself.
const tokenWithoutLease Token = 1

// booking is a request that was refused and told when to come back.
type booking struct {
	id string
	at time.Duration
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

// becomeCandidate makes the gateway's part as quota leader, if it may be that.
func (l *Limiter) becomeCandidate(now time.Duration) {
	var all []string
	mine := false
	for _, candidate := range l.options.Budget.Candidates {
		all = append(all, candidate.id().String())
		mine = mine || candidate.id() == l.options.Self
	}
	if mine {
		l.leader = newLeader(l.options.Budget.Terms, l.options.Self.String(), all, now)
		l.tasks.Go(l.runCandidate)
	}
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

// isPartitioned says that no quota leader has answered for so long that the floor is not waived any more. The caller holds mu.
func (l *Limiter) isPartitioned(now time.Duration) bool { return now >= l.waivedUntil }

// ownFloor is the gateway's part of its partner's floor, in requests a second. The caller holds mu.
func (l *Limiter) ownFloor() float64 {
	if l.options.Budget.Fallback != budget.Floor {
		return 0
	}
	for _, partner := range l.options.Budget.Partners {
		if partner.Name == l.options.Self.Partner && partner.Gateways > 0 {
			return partner.Floor / float64(partner.Gateways)
		}
	}
	return 0
}

// take takes a token, if there is one. The caller holds mu.
func (l *Limiter) take(now time.Duration) Token {
	for len(l.leases) > 0 {
		b := &l.leases[0]
		if now >= b.until {
			l.counts.Wasted += int64(b.tokens)
			l.available -= b.tokens
			l.leases = l.leases[1:]
			continue
		}
		t := Token(b.until)
		b.tokens--
		l.available--
		if b.tokens == 0 {
			l.leases = l.leases[1:]
		}
		return t
	}
	if !l.isPartitioned(now) {
		l.ownFilledAt, l.ownTokens = now, 0
		return 0
	}
	switch l.options.Budget.Fallback {
	case budget.Open:
		l.counts.Unbounded++
		return tokenWithoutLease
	case budget.Floor:
		l.fillOwnFloor(now)
		if l.ownTokens >= 1 {
			l.ownTokens--
			l.counts.OwnFloor++
			return tokenWithoutLease
		}
	}
	return 0
}

// Undo takes a draw back of a request of which nothing was begun: its token is another request's, for as long as it would have been
// good. It is for whoever drew it.
func (l *Limiter) Undo(t Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	if t == 0 {
		return
	}
	l.counts.Undone++
	if now >= time.Duration(t) {
		return
	}
	l.leases = append(l.leases, tokenLease{1, time.Duration(t)})
	slices.SortStableFunc(l.leases, func(a, b tokenLease) int { return cmp.Compare(a.until, b.until) })
	l.available++
	l.serveWaiting(now)
}

// fillOwnFloor lets the own floor fill up to one request since the gateway was cut off. The caller holds mu.
func (l *Limiter) fillOwnFloor(now time.Duration) {
	from := max(l.ownFilledAt, l.waivedUntil)
	if now > from {
		l.ownTokens = min(1, l.ownTokens+(now-from).Seconds()*l.ownFloor())
	}
	l.ownFilledAt = now
}

// Draw draws one request from the budget, and waits for that no longer than the file says. Where it may not, retry says when
// it may: a request that comes back then by the same id goes before others. Its id is its client's key, or what it was refused by.
func (l *Limiter) Draw(ctx context.Context, id, again string) (t Token, retry time.Duration) {
	now := l.options.Now()
	l.mu.Lock()
	l.requestsSince++
	due := l.noteReturn(id, again, now)
	if t := l.take(now); t != 0 {
		l.counts.Drawn++
		if due {
			l.counts.Returning++
		}
		want := l.wanted(now)
		l.mu.Unlock()
		if want > 0 {
			l.requestNow()
		}
		return t, 0
	}
	wait := l.options.Budget.Wait
	if wait <= 0 && !due {
		retry = l.reject(id, now)
		l.mu.Unlock()
		l.requestNow()
		return 0, retry
	}
	w := &waiter{token: make(chan Token, 1), returning: due}
	l.waiting = append(l.waiting, w)
	l.mu.Unlock()
	l.requestNow()
	limit := time.NewTimer(max(wait, shortInterval))
	defer limit.Stop()
	select {
	case t = <-w.token:
		return t, 0
	case <-limit.C:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case t = <-w.token: // it came just now
		return t, 0
	default:
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(o *waiter) bool { return o == w })
	return 0, l.reject(id, l.options.Now())
}

// noteReturn notes that a request comes that may have been told to. The caller holds mu.
func (l *Limiter) noteReturn(id, again string, now time.Duration) bool {
	l.bookings = slices.DeleteFunc(l.bookings, func(b booking) bool { return now > b.at+returnGrace })
	for i, b := range l.bookings {
		if b.id == id || b.id == again {
			l.bookings = slices.Delete(l.bookings, i, i+1)
			return now >= b.at-shortInterval
		}
	}
	return false
}

// reject says when a request may come back. As many are booked as tokens came lately for; beyond that the time is only a guess.
// The caller holds mu.
func (l *Limiter) reject(id string, now time.Duration) time.Duration {
	l.counts.Rejected++
	share := l.grantRate
	if share <= 0 {
		share = 1 / max(l.hint, shortInterval).Seconds()
	}
	at := time.Duration(float64(len(l.bookings)+1) / share * float64(time.Second))
	if at > maxRetryAfter {
		return maxRetryAfter
	}
	l.bookings = append(l.bookings, booking{id: id, at: now + at})
	return max(at, leaderInterval)
}

// requestNow has the quota leader asked at once.
func (l *Limiter) requestNow() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// wanted is how many tokens to ask for now: for requests that wait, for those that come back soon, and for what is likely to come
// before the next answer. The caller holds mu.
func (l *Limiter) wanted(now time.Duration) int {
	if d := now - l.ratesAt; d > 100*time.Millisecond {
		share := 1 - math.Exp(-d.Seconds()/rateDecay.Seconds())
		l.requestRate += share * (float64(l.requestsSince)/d.Seconds() - l.requestRate)
		l.grantRate += share * (float64(l.tokensSince)/d.Seconds() - l.grantRate)
		l.requestsSince, l.tokensSince, l.ratesAt = 0, 0, now
	}
	ahead := l.requestRate * l.options.Budget.Lease.Seconds() / 2
	n := len(l.waiting) + l.expectedReturns(now)
	switch {
	case ahead >= 1:
		n += int(math.Round(ahead))
	case l.options.Budget.Wait <= 0 && l.requestRate > 0.05:
		n++ // a request that can't wait needs one that is there
	}
	return min(maxTokensPerRequest, n-l.available)
}

// expectedReturns are the requests that come back before the next answer. The caller holds mu.
func (l *Limiter) expectedReturns(now time.Duration) (n int) {
	for _, b := range l.bookings {
		if b.at <= now+l.options.Budget.Lease/4 && now <= b.at+returnReserve {
			n++
		}
	}
	return n
}

// requestTokens asks the quota leader for tokens: at once when requests wait or tokens run low, else now and then, so that it knows that this
// gateway's floor is not needed.
func (l *Limiter) requestTokens() {
	next := 0 // of the quota candidates, where none is known
	for l.ctx.Err() == nil {
		l.mu.Lock()
		now := l.options.Now()
		lease := l.options.Budget.Lease
		want := l.wanted(now)
		m := leaseRequest{Quota: l.options.Budget.Name, Wanted: max(0, want), Returning: l.expectedReturns(now), Term: l.term, Stamp: l.leaderStamp, Floor: l.ownFloor(), Wait: lease / 4}
		for _, w := range l.waiting {
			if w.returning {
				m.Returning++
			}
		}
		if want < 0 && len(l.waiting) == 0 {
			m.Returned = l.returnUnused(-want, now)
		}
		if m.Stamp > 0 {
			// Whoever hears this lends the floor from its stamp on, which came here before this goes out; whether it answers
			// or not.
			_, until := budget.FloorLoanEnds(m.Stamp, now)
			l.waivedUntil = max(l.waivedUntil, until)
		}
		to := l.leaderName
		candidates := l.options.Budget.Candidates
		l.mu.Unlock()
		if to == "" && len(candidates) > 0 {
			to = candidates[next%len(candidates)].id().String()
			next++
		}
		answer, ok := l.requestFrom(to, m, lease)
		l.mu.Lock()
		l.applyGrant(now, m, answer, ok, to)
		want = l.wanted(l.options.Now())
		hungry, rich := len(l.waiting) > 0 || want > 0, want < 0
		l.mu.Unlock()
		pause := budget.FloorLoan / 4
		switch {
		case !ok || !answer.IsLeader:
			pause = shortInterval
		case hungry:
			pause = shortInterval
			if answer.Granted > 0 {
				pause = 0
			}
		case rich:
			pause = shortInterval // what came too late for whoever waited is of use to others, as long as its lease lasts
		}
		if pause == 0 {
			continue
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-l.ctx.Done():
		case <-l.wake:
			if !ok || !answer.IsLeader { // nobody to hurry
				clock.Sleep(l.ctx, shortInterval/2)
			}
		}
		t.Stop()
	}
}

// returnUnused takes tokens out of the limiter that nobody is likely to need, those last that came last. The caller holds mu.
func (l *Limiter) returnUnused(n int, now time.Duration) (back int) {
	for n > 0 && len(l.leases) > 0 {
		b := &l.leases[len(l.leases)-1]
		if now >= b.until {
			break
		}
		k := min(n, b.tokens)
		b.tokens -= k
		l.available -= k
		back, n = back+k, n-k
		if b.tokens == 0 {
			l.leases = l.leases[:len(l.leases)-1]
		}
	}
	return back
}

// requestFrom asks a gateway, perhaps this one itself.
func (l *Limiter) requestFrom(to string, m leaseRequest, lease time.Duration) (answer leaseGrant, ok bool) {
	ctx, cancel := context.WithTimeout(l.ctx, lease)
	defer cancel()
	if to == l.options.Self.String() {
		got := make(chan leaseGrant, 1)
		l.handleRequest(l.options.Self, m, func(g leaseGrant) { got <- g })
		select {
		case answer = <-got:
			return answer, true
		case <-ctx.Done():
			return answer, false
		}
	}
	for _, candidate := range l.options.Budget.Candidates {
		if candidate.id().String() != to {
			continue
		}
		if link := l.options.To(candidate.id()); link != nil {
			return answer, link.Do(ctx, topicLease, m, &answer) == nil
		}
	}
	return answer, false
}

// applyGrant takes an answer to what was asked at a time. Tokens of a quota leader whom a later one has followed are none, and theirs is a
// lease's time from when they were asked for. The caller holds mu.
func (l *Limiter) applyGrant(asked time.Duration, m leaseRequest, g leaseGrant, ok bool, from string) {
	now := l.options.Now()
	if !ok || !g.IsLeader {
		if l.leaderName == from {
			l.leaderName = ""
		}
		if ok && g.Leader != from {
			l.leaderName = g.Leader
		}
		l.serveWaiting(now) // perhaps of the own floor
		return
	}
	if g.Term < l.term {
		l.leaderName = ""
		return
	}
	l.term, l.leaderName, l.leaderStamp, l.grantedAt = g.Term, from, g.Stamp, now
	l.hint = g.Hint
	if g.Granted > 0 {
		l.counts.Granted += int64(g.Granted)
		l.tokensSince += g.Granted
		until := asked + budget.Shorter(l.options.Budget.Lease)
		if now < until {
			l.leases = append(l.leases, tokenLease{g.Granted, until})
			l.available += g.Granted
		} else {
			l.counts.Wasted += int64(g.Granted)
		}
	}
	l.serveWaiting(now)
}

// serveWaiting gives tokens to requests that wait. The caller holds mu.
func (l *Limiter) serveWaiting(now time.Duration) {
	slices.SortStableFunc(l.waiting, func(a, b *waiter) int {
		switch {
		case a.returning == b.returning:
			return 0
		case a.returning:
			return -1
		}
		return 1
	})
	for len(l.waiting) > 0 {
		t := l.take(now)
		if t == 0 {
			return
		}
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.counts.Drawn++
		if w.returning {
			l.counts.Returning++
		}
		w.token <- t
	}
}

// handleRequest takes a question of another gateway's, or of this one's own, and answers it when there are tokens, or soon.
func (l *Limiter) handleRequest(who peering.GatewayID, m leaseRequest, reply func(leaseGrant)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	leader := l.leader
	if leader == nil || !leader.isLeader(now) {
		g := leaseGrant{}
		if leader != nil && now < leader.vote.Until {
			g.Leader = leader.vote.Leader
		}
		go reply(g) // never under the lock: it may be this gateway's own
		return
	}
	leader.fill(now)
	if m.Term == leader.term && m.Stamp > 0 && m.Stamp <= now {
		until, _ := budget.FloorLoanEnds(m.Stamp, 0)
		leader.waive(who, m.Floor, until)
	}
	answer := func(given int, hint time.Duration) {
		go reply(leaseGrant{Leader: leader.self, IsLeader: true, Term: leader.term, Stamp: now, Granted: given, Hint: hint})
	}
	if m.Wanted <= 0 {
		leader.tokens = min(leader.terms.Depth(), leader.tokens+float64(max(0, m.Returned)))
		answer(0, 0)
		return
	}
	a := &pendingRequest{wanted: min(m.Wanted, maxTokensPerRequest), returning: m.Returning, reply: answer}
	leader.request(who, a, max(0, m.Returned))
	l.tasks.Go(func() { // it is answered in time, whatever there is
		clock.Sleep(l.ctx, min(m.Wait, time.Second))
		l.mu.Lock()
		defer l.mu.Unlock()
		if leader.pending[who] == a {
			leader.distribute(l.options.Now(), false)
			if leader.pending[who] == a {
				delete(leader.pending, who)
				a.reply(a.granted, time.Duration(float64(len(leader.pending)+1)/max(leader.rate(l.options.Now()), 1e-3)*float64(time.Second)))
			}
		}
	})
	if leader.tokens >= 1 {
		leader.distribute(now, false)
	}
}

// runCandidate is a gateway's part as one of the quota candidates: it asks the others for a term when there is no quota leader, renews its own, and
// deals out what the bucket holds.
func (l *Limiter) runCandidate() {
	tick := time.NewTicker(leaderInterval)
	defer tick.Stop()
	rank := slices.Index(l.leader.candidates, l.options.Self.String())
	var vacant, renewed time.Duration
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
		l.mu.Lock()
		now, term := l.options.Now(), l.options.Budget.Term
		leader := l.leader
		is := leader.isLeader(now)
		if is {
			leader.distribute(now, false)
		} else if leader.until > 0 {
			l.options.Log.Info("this gateway is no longer the quota leader", "quota", l.options.Budget.Name, "term", leader.term)
			leader.until = 0
			for who, a := range leader.pending {
				delete(leader.pending, who)
				a.reply(0, 0)
			}
		}
		taken := !is && now < leader.vote.Until && leader.vote.Leader != leader.self
		if is || taken {
			vacant = now
		}
		due := is && now-renewed >= term/4 || !is && !taken && now-vacant >= time.Duration(rank)*term/4
		l.mu.Unlock()
		if !due {
			continue
		}
		renewed = now
		if !l.campaign(now, is) {
			vacant = l.options.Now() + time.Duration(rank+1)*term/8
		}
	}
}

// campaign asks all who could be quota leader for a term, from the time when it asks on: a new one, or the same once more.
func (l *Limiter) campaign(now time.Duration, renew bool) bool {
	l.mu.Lock()
	leader := l.leader
	number := leader.term
	if !renew {
		leader.highestTerm = max(leader.highestTerm, leader.vote.Term) + 1
		number = leader.highestTerm
	}
	term, candidates := l.options.Budget.Term, l.options.Budget.Candidates
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, term/4)
	defer cancel()
	votes := make(chan voteReply, len(candidates))
	for _, who := range candidates {
		if who.id() == l.options.Self {
			votes <- l.handleVote(l.options.Self, voteRequest{l.options.Budget.Name, number})
			continue
		}
		link := l.options.To(who.id())
		if link == nil {
			votes <- voteReply{}
			continue
		}
		l.tasks.Go(func() {
			var v voteReply
			if link.Do(ctx, topicVote, voteRequest{l.options.Budget.Name, number}, &v) != nil {
				v = voteReply{}
			}
			votes <- v
		})
	}
	yes := 0
	for range candidates {
		v := <-votes
		if v.Yes {
			yes++
		}
		l.mu.Lock()
		leader.highestTerm = max(leader.highestTerm, v.Term)
		l.mu.Unlock()
		if yes > len(candidates)/2 {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if yes <= len(candidates)/2 || renew && !leader.isLeader(l.options.Now()) {
		return false
	}
	if until := now + budget.Shorter(term); until > l.options.Now() {
		if !renew {
			leader.begin(l.options.Now(), number)
			l.counts.Elected++
			l.options.Log.Info("this gateway is the quota leader", "quota", l.options.Budget.Name, "term", number)
		}
		leader.until = until
	}
	return true
}

// handleVote is this gateway's answer to one who would be quota leader.
func (l *Limiter) handleVote(who peering.GatewayID, m voteRequest) voteReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	leader := l.leader
	if leader == nil || !slices.Contains(leader.candidates, who.String()) {
		return voteReply{}
	}
	now := l.options.Now()
	v, ok := budget.MayVote(leader.vote, leader.startedAt, now, l.options.Budget.Term, m.Term, who.String())
	leader.vote = v
	leader.highestTerm = max(leader.highestTerm, m.Term)
	return voteReply{Yes: ok, Term: max(v.Term, leader.highestTerm)}
}

// Topics are how others reach the limiter of a gateway, by their budgets' names. One that is not there answers nothing of use.
func Topics(of func(name string) *Limiter) map[string]peering.Handler {
	return map[string]peering.Handler{
		topicLease: peering.Answer(func(from *peering.Link, m leaseRequest, answer func(leaseGrant)) {
			if l := of(m.Quota); l != nil {
				l.handleRequest(from.Peer.ID(), m, answer)
			} else {
				answer(leaseGrant{})
			}
		}),
		topicVote: peering.Answer(func(from *peering.Link, m voteRequest, answer func(voteReply)) {
			if l := of(m.Quota); l != nil {
				answer(l.handleVote(from.Peer.ID(), m))
			} else {
				answer(voteReply{})
			}
		}),
	}
}
