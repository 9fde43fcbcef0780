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

func (k Candidate) id() peering.GatewayID { return peering.GatewayID{Partner: k.Partner, Name: k.Name} }

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

// Match says that a request draws from the budget.
func (b *Budget) Match(class, tenant string) bool {
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
	end     context.CancelFunc
	tasks   sync.WaitGroup
	wake    chan struct{}

	mu       sync.Mutex
	leases   []tokenLease
	held     int
	demand   float64       // requests a second, lately
	granted  float64       // tokens a second, lately
	counted  time.Duration // until when both were counted
	requests int           // since then
	tokens   int           // likewise
	waiting  []*waiter
	booked   []booking
	back     int

	term       uint64        // the highest quota leader's heard of
	leaderName string        // who that is
	stamp      time.Duration // of its last answer
	grantedAt  time.Duration // when that came; 0: never
	waived     time.Duration // until when the own floor is not drawn
	floor      float64       // of it, what may be drawn
	flowed     time.Duration
	hint       time.Duration
	counts     Counts

	leader *leader // nil: this gateway may not be it
}

// Counts are a limiter's since its start.
type Counts struct {
	Drawn     int64 `json:"drawn"`
	Rejected  int64 `json:"refused"`
	Own       int64 `json:"own_floor"`     // drawn of the own floor, cut off
	Wasted    int64 `json:"wasted"`        // tokens whose time was over
	Granted   int64 `json:"given"`         // tokens that came
	Open      int64 `json:"uncounted"`     // taken without a bound, cut off
	Elected   int64 `json:"elected"`       // terms that this gateway was quota leader for
	Returning int64 `json:"taken_at_time"` // requests that came back at the time that they were told
	Undone    int64 `json:"undone"`        // draws that were taken back, for nothing of the request was begun
}

// Status is a limiter's now.
type Status struct {
	Counts
	Leader   string        `json:"keeper,omitempty"`
	Term     uint64        `json:"term,omitempty"`
	Mine     bool          `json:"mine,omitempty"` // this gateway is the quota leader
	Cut      bool          `json:"cut,omitempty"`  // no quota leader is reached
	Held     int           `json:"held"`
	Age      time.Duration `json:"age,omitempty"` // of the quota leader's last answer
	KeptGave int64         `json:"gave,omitempty"`
}

// tokenLease are tokens that came together.
type tokenLease struct {
	n     int
	until time.Duration
}

// waiter is a request that waits for a token.
type waiter struct {
	got chan Token
	due bool
}

// Token is a draw: until when it may be used for another request, where nothing of its own was begun. 0: there is none.
type Token time.Duration

// spent is the Token of a draw that is of no use to another request: of the own floor, which flows on by itself.
const spent Token = 1

// booking is a request that was refused and told when to come back.
type booking struct {
	id string
	at time.Duration
}

// Times of a limiter.
const (
	dealEvery   = 10 * time.Millisecond // of a quota leader
	requestSoon = 20 * time.Millisecond
	forget      = 2 * time.Second        // in which demand fades
	comeGrace   = 500 * time.Millisecond // in which who comes late still goes before others
	comeSoon    = 100 * time.Millisecond // in which a token is kept for it
	mostHint    = 2 * time.Second
	mostBatch   = 100_000 // tokens that may be asked for at once
)

// New returns a Purse that asks for tokens and, where it may, keeps the budget, until Close.
func New(o Options) *Limiter {
	p := &Limiter{options: o, wake: make(chan struct{}, 1)}
	p.ctx, p.end = context.WithCancel(context.Background())
	now := o.Now()
	p.counted, p.flowed = now, now
	p.becomeCandidate(now)
	p.tasks.Go(p.requestTokens)
	return p
}

// becomeCandidate makes the gateway's part as quota leader, if it may be that.
func (p *Limiter) becomeCandidate(now time.Duration) {
	var all []string
	mine := false
	for _, k := range p.options.Budget.Candidates {
		all = append(all, k.id().String())
		mine = mine || k.id() == p.options.Self
	}
	if mine {
		p.leader = newLeader(p.options.Budget.Terms, p.options.Self.String(), all, now)
		p.tasks.Go(p.runCandidate)
	}
}

// Close ends all tasks and returns once they have ended.
func (p *Limiter) Close() {
	p.end()
	p.tasks.Wait()
}

// Change has other terms hold from now on; quota candidates stay as they are. Tokens that are out are used or end in a lease's time.
func (p *Limiter) Change(b Budget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.Budget = b
	if p.leader != nil {
		p.leader.fill(p.options.Now())
		p.leader.terms = b.Terms
		p.leader.tokens = min(p.leader.tokens, b.Depth())
	}
}

// SameCandidates says that a budget is kept by the same as this one.
func (p *Limiter) SameCandidates(b Budget) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Equal(p.options.Budget.Candidates, b.Candidates)
}

// Status is what the limiter does now.
func (p *Limiter) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	s := Status{Counts: p.counts, Leader: p.leaderName, Term: p.term, Cut: p.isDisconnected(now), Held: p.held}
	if p.grantedAt > 0 {
		s.Age = now - p.grantedAt
	}
	if p.leader != nil {
		s.Mine, s.KeptGave = p.leader.isLeader(now), p.leader.granted
	}
	return s
}

// isDisconnected says that no quota leader has answered for so long that the floor is not waived any more. The caller holds mu.
func (p *Limiter) isDisconnected(now time.Duration) bool { return now >= p.waived }

// own is the gateway's part of its partner's floor, in requests a second. The caller holds mu.
func (p *Limiter) own() float64 {
	if p.options.Budget.WhenCut != budget.Floor {
		return 0
	}
	for _, k := range p.options.Budget.Partners {
		if k.Name == p.options.Self.Partner && k.Gateways > 0 {
			return k.Floor / float64(k.Gateways)
		}
	}
	return 0
}

// take takes a token, if there is one. The caller holds mu.
func (p *Limiter) take(now time.Duration) Token {
	for len(p.leases) > 0 {
		b := &p.leases[0]
		if now >= b.until {
			p.counts.Wasted += int64(b.n)
			p.held -= b.n
			p.leases = p.leases[1:]
			continue
		}
		t := Token(b.until)
		b.n--
		p.held--
		if b.n == 0 {
			p.leases = p.leases[1:]
		}
		return t
	}
	if !p.isDisconnected(now) {
		p.flowed, p.floor = now, 0
		return 0
	}
	switch p.options.Budget.WhenCut {
	case budget.Open:
		p.counts.Open++
		return spent
	case budget.Floor:
		p.flow(now)
		if p.floor >= 1 {
			p.floor--
			p.counts.Own++
			return spent
		}
	}
	return 0
}

// Undo takes a draw back of a request of which nothing was begun: its token is another request's, for as long as it would have been
// good. It is for whoever drew it.
func (p *Limiter) Undo(t Token) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	if t == 0 {
		return
	}
	p.counts.Undone++
	if now >= time.Duration(t) {
		return
	}
	p.leases = append(p.leases, tokenLease{1, time.Duration(t)})
	slices.SortStableFunc(p.leases, func(a, b tokenLease) int { return cmp.Compare(a.until, b.until) })
	p.held++
	p.serveWaiting(now)
}

// flow lets the own floor fill up to one request since the gateway was cut off. The caller holds mu.
func (p *Limiter) flow(now time.Duration) {
	from := max(p.flowed, p.waived)
	if now > from {
		p.floor = min(1, p.floor+(now-from).Seconds()*p.own())
	}
	p.flowed = now
}

// Draw draws one request from the budget, and waits for that no longer than the file says. Where it may not, retry says when
// it may: a request that comes back then by the same id goes before others. Its id is its client's key, or what it was refused by.
func (p *Limiter) Draw(ctx context.Context, id, again string) (t Token, retry time.Duration) {
	now := p.options.Now()
	p.mu.Lock()
	p.requests++
	due := p.noteReturn(id, again, now)
	if t := p.take(now); t != 0 {
		p.counts.Drawn++
		if due {
			p.counts.Returning++
		}
		want := p.wanted(now)
		p.mu.Unlock()
		if want > 0 {
			p.requestNow()
		}
		return t, 0
	}
	wait := p.options.Budget.Wait
	if wait <= 0 && !due {
		retry = p.reject(id, now)
		p.mu.Unlock()
		p.requestNow()
		return 0, retry
	}
	w := &waiter{got: make(chan Token, 1), due: due}
	p.waiting = append(p.waiting, w)
	p.mu.Unlock()
	p.requestNow()
	limit := time.NewTimer(max(wait, requestSoon))
	defer limit.Stop()
	select {
	case t = <-w.got:
		return t, 0
	case <-limit.C:
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case t = <-w.got: // it came just now
		return t, 0
	default:
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(o *waiter) bool { return o == w })
	return 0, p.reject(id, p.options.Now())
}

// noteReturn notes that a request comes that may have been told to. The caller holds mu.
func (p *Limiter) noteReturn(id, again string, now time.Duration) bool {
	p.booked = slices.DeleteFunc(p.booked, func(b booking) bool { return now > b.at+comeGrace })
	for i, b := range p.booked {
		if b.id == id || b.id == again {
			p.booked = slices.Delete(p.booked, i, i+1)
			return now >= b.at-requestSoon
		}
	}
	return false
}

// reject says when a request may come back. As many are booked as tokens came lately for; beyond that the time is only a guess.
// The caller holds mu.
func (p *Limiter) reject(id string, now time.Duration) time.Duration {
	p.counts.Rejected++
	share := p.granted
	if share <= 0 {
		share = 1 / max(p.hint, requestSoon).Seconds()
	}
	at := time.Duration(float64(len(p.booked)+1) / share * float64(time.Second))
	if at > mostHint {
		return mostHint
	}
	p.booked = append(p.booked, booking{id: id, at: now + at})
	return max(at, dealEvery)
}

// requestNow has the quota leader asked at once.
func (p *Limiter) requestNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// wanted is how many tokens to ask for now: for requests that wait, for those that come back soon, and for what is likely to come
// before the next answer. The caller holds mu.
func (p *Limiter) wanted(now time.Duration) int {
	if d := now - p.counted; d > 100*time.Millisecond {
		share := 1 - math.Exp(-d.Seconds()/forget.Seconds())
		p.demand += share * (float64(p.requests)/d.Seconds() - p.demand)
		p.granted += share * (float64(p.tokens)/d.Seconds() - p.granted)
		p.requests, p.tokens, p.counted = 0, 0, now
	}
	ahead := p.demand * p.options.Budget.Lease.Seconds() / 2
	n := len(p.waiting) + p.due(now)
	switch {
	case ahead >= 1:
		n += int(math.Round(ahead))
	case p.options.Budget.Wait <= 0 && p.demand > 0.05:
		n++ // a request that can't wait needs one that is there
	}
	return min(mostBatch, n-p.held)
}

// due are the requests that come back before the next answer. The caller holds mu.
func (p *Limiter) due(now time.Duration) (n int) {
	for _, b := range p.booked {
		if b.at <= now+p.options.Budget.Lease/4 && now <= b.at+comeSoon {
			n++
		}
	}
	return n
}

// requestTokens asks the quota leader for tokens: at once when requests wait or tokens run low, else now and then, so that it knows that this
// gateway's floor is not needed.
func (p *Limiter) requestTokens() {
	next := 0 // of the quota candidates, where none is known
	for p.ctx.Err() == nil {
		p.mu.Lock()
		now := p.options.Now()
		lease := p.options.Budget.Lease
		want := p.wanted(now)
		m := leaseRequest{Quota: p.options.Budget.Name, Wanted: max(0, want), Returning: p.due(now), Term: p.term, Stamp: p.stamp, Floor: p.own(), Wait: lease / 4}
		for _, w := range p.waiting {
			if w.due {
				m.Returning++
			}
		}
		if want < 0 && len(p.waiting) == 0 {
			m.Returned = p.returnUnused(-want, now)
		}
		if m.Stamp > 0 {
			// Whoever hears this lends the floor from its stamp on, which came here before this goes out; whether it answers
			// or not.
			_, until := budget.Lent(m.Stamp, now)
			p.waived = max(p.waived, until)
		}
		to := p.leaderName
		candidates := p.options.Budget.Candidates
		p.mu.Unlock()
		if to == "" && len(candidates) > 0 {
			to = candidates[next%len(candidates)].id().String()
			next++
		}
		answer, ok := p.requestFrom(to, m, lease)
		p.mu.Lock()
		p.applyGrant(now, m, answer, ok, to)
		want = p.wanted(p.options.Now())
		hungry, rich := len(p.waiting) > 0 || want > 0, want < 0
		p.mu.Unlock()
		pause := budget.Waiver / 4
		switch {
		case !ok || !answer.IsLeader:
			pause = requestSoon
		case hungry:
			pause = requestSoon
			if answer.Granted > 0 {
				pause = 0
			}
		case rich:
			pause = requestSoon // what came too late for whoever waited is of use to others, as long as its lease lasts
		}
		if pause == 0 {
			continue
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-p.ctx.Done():
		case <-p.wake:
			if !ok || !answer.IsLeader { // nobody to hurry
				clock.Sleep(p.ctx, requestSoon/2)
			}
		}
		t.Stop()
	}
}

// returnUnused takes tokens out of the limiter that nobody is likely to need, those last that came last. The caller holds mu.
func (p *Limiter) returnUnused(n int, now time.Duration) (back int) {
	for n > 0 && len(p.leases) > 0 {
		b := &p.leases[len(p.leases)-1]
		if now >= b.until {
			break
		}
		k := min(n, b.n)
		b.n -= k
		p.held -= k
		back, n = back+k, n-k
		if b.n == 0 {
			p.leases = p.leases[:len(p.leases)-1]
		}
	}
	return back
}

// requestFrom asks a gateway, perhaps this one itself.
func (p *Limiter) requestFrom(to string, m leaseRequest, lease time.Duration) (answer leaseGrant, ok bool) {
	ctx, cancel := context.WithTimeout(p.ctx, lease)
	defer cancel()
	if to == p.options.Self.String() {
		got := make(chan leaseGrant, 1)
		p.handleRequest(p.options.Self, m, func(g leaseGrant) { got <- g })
		select {
		case answer = <-got:
			return answer, true
		case <-ctx.Done():
			return answer, false
		}
	}
	for _, k := range p.options.Budget.Candidates {
		if k.id().String() != to {
			continue
		}
		if l := p.options.To(k.id()); l != nil {
			return answer, l.Do(ctx, topicLease, m, &answer) == nil
		}
	}
	return answer, false
}

// applyGrant takes an answer to what was asked at a time. Tokens of a quota leader whom a later one has followed are none, and theirs is a
// lease's time from when they were asked for. The caller holds mu.
func (p *Limiter) applyGrant(asked time.Duration, m leaseRequest, g leaseGrant, ok bool, from string) {
	now := p.options.Now()
	if !ok || !g.IsLeader {
		if p.leaderName == from {
			p.leaderName = ""
		}
		if ok && g.Leader != from {
			p.leaderName = g.Leader
		}
		p.serveWaiting(now) // perhaps of the own floor
		return
	}
	if g.Term < p.term {
		p.leaderName = ""
		return
	}
	p.term, p.leaderName, p.stamp, p.grantedAt = g.Term, from, g.Stamp, now
	p.hint = g.Hint
	if g.Granted > 0 {
		p.counts.Granted += int64(g.Granted)
		p.tokens += g.Granted
		until := asked + budget.Shorter(p.options.Budget.Lease)
		if now < until {
			p.leases = append(p.leases, tokenLease{g.Granted, until})
			p.held += g.Granted
		} else {
			p.counts.Wasted += int64(g.Granted)
		}
	}
	p.serveWaiting(now)
}

// serveWaiting gives tokens to requests that wait. The caller holds mu.
func (p *Limiter) serveWaiting(now time.Duration) {
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int {
		switch {
		case a.due == b.due:
			return 0
		case a.due:
			return -1
		}
		return 1
	})
	for len(p.waiting) > 0 {
		t := p.take(now)
		if t == 0 {
			return
		}
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.counts.Drawn++
		if w.due {
			p.counts.Returning++
		}
		w.got <- t
	}
}

// handleRequest takes a question of another gateway's, or of this one's own, and answers it when there are tokens, or soon.
func (p *Limiter) handleRequest(who peering.GatewayID, m leaseRequest, reply func(leaseGrant)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	k := p.leader
	if k == nil || !k.isLeader(now) {
		g := leaseGrant{}
		if k != nil && now < k.vote.Until {
			g.Leader = k.vote.Leader
		}
		go reply(g) // never under the lock: it may be this gateway's own
		return
	}
	k.fill(now)
	if m.Term == k.term && m.Stamp > 0 && m.Stamp <= now {
		until, _ := budget.Lent(m.Stamp, 0)
		k.waive(who, m.Floor, until)
	}
	answer := func(given int, hint time.Duration) {
		go reply(leaseGrant{Leader: k.self, IsLeader: true, Term: k.term, Stamp: now, Granted: given, Hint: hint})
	}
	if m.Wanted <= 0 {
		k.tokens = min(k.terms.Depth(), k.tokens+float64(max(0, m.Returned)))
		answer(0, 0)
		return
	}
	a := &pendingRequest{want: min(m.Wanted, mostBatch), due: m.Returning, reply: answer}
	k.request(who, a, max(0, m.Returned))
	p.tasks.Go(func() { // it is answered in time, whatever there is
		clock.Sleep(p.ctx, min(m.Wait, time.Second))
		p.mu.Lock()
		defer p.mu.Unlock()
		if k.requests[who] == a {
			k.distribute(p.options.Now(), false)
			if k.requests[who] == a {
				delete(k.requests, who)
				a.reply(a.got, time.Duration(float64(len(k.requests)+1)/max(k.rate(p.options.Now()), 1e-3)*float64(time.Second)))
			}
		}
	})
	if k.tokens >= 1 {
		k.distribute(now, false)
	}
}

// runCandidate is a gateway's part as one of the quota candidates: it asks the others for a term when there is no quota leader, renews its own, and
// deals out what the bucket holds.
func (p *Limiter) runCandidate() {
	tick := time.NewTicker(dealEvery)
	defer tick.Stop()
	rank := slices.Index(p.leader.all, p.options.Self.String())
	var vacant, renewed time.Duration
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		now, term := p.options.Now(), p.options.Budget.Term
		k := p.leader
		is := k.isLeader(now)
		if is {
			k.distribute(now, false)
		} else if k.until > 0 {
			p.options.Log.Info("this gateway is no longer the quota leader", "quota", p.options.Budget.Name, "term", k.term)
			k.until = 0
			for who, a := range k.requests {
				delete(k.requests, who)
				a.reply(0, 0)
			}
		}
		taken := !is && now < k.vote.Until && k.vote.Leader != k.self
		if is || taken {
			vacant = now
		}
		due := is && now-renewed >= term/4 || !is && !taken && now-vacant >= time.Duration(rank)*term/4
		p.mu.Unlock()
		if !due {
			continue
		}
		renewed = now
		if !p.campaign(now, is) {
			vacant = p.options.Now() + time.Duration(rank+1)*term/8
		}
	}
}

// campaign asks all who could be quota leader for a term, from the time when it asks on: a new one, or the same once more.
func (p *Limiter) campaign(now time.Duration, renew bool) bool {
	p.mu.Lock()
	k := p.leader
	number := k.term
	if !renew {
		k.seen = max(k.seen, k.vote.Term) + 1
		number = k.seen
	}
	term, candidates := p.options.Budget.Term, p.options.Budget.Candidates
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, term/4)
	defer cancel()
	votes := make(chan voteReply, len(candidates))
	for _, who := range candidates {
		if who.id() == p.options.Self {
			votes <- p.handleVote(p.options.Self, voteRequest{p.options.Budget.Name, number})
			continue
		}
		l := p.options.To(who.id())
		if l == nil {
			votes <- voteReply{}
			continue
		}
		p.tasks.Go(func() {
			var v voteReply
			if l.Do(ctx, topicVote, voteRequest{p.options.Budget.Name, number}, &v) != nil {
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
		p.mu.Lock()
		k.seen = max(k.seen, v.Term)
		p.mu.Unlock()
		if yes > len(candidates)/2 {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if yes <= len(candidates)/2 || renew && !k.isLeader(p.options.Now()) {
		return false
	}
	if until := now + budget.Shorter(term); until > p.options.Now() {
		if !renew {
			k.begin(p.options.Now(), number)
			p.counts.Elected++
			p.options.Log.Info("this gateway is the quota leader", "quota", p.options.Budget.Name, "term", number)
		}
		k.until = until
	}
	return true
}

// handleVote is this gateway's answer to one who would be quota leader.
func (p *Limiter) handleVote(who peering.GatewayID, m voteRequest) voteReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.leader
	if k == nil || !slices.Contains(k.all, who.String()) {
		return voteReply{}
	}
	now := p.options.Now()
	v, ok := budget.MayVote(k.vote, k.began, now, p.options.Budget.Term, m.Term, who.String())
	k.vote = v
	k.seen = max(k.seen, m.Term)
	return voteReply{Yes: ok, Term: max(v.Term, k.seen)}
}

// Topics are how others reach the limiter of a gateway, by their budgets' names. One that is not there answers nothing of use.
func Topics(of func(name string) *Limiter) map[string]peering.Handler {
	return map[string]peering.Handler{
		topicLease: peering.Answer(func(from *peering.Link, m leaseRequest, answer func(leaseGrant)) {
			if p := of(m.Quota); p != nil {
				p.handleRequest(from.Peer.ID(), m, answer)
			} else {
				answer(leaseGrant{})
			}
		}),
		topicVote: peering.Answer(func(from *peering.Link, m voteRequest, answer func(voteReply)) {
			if p := of(m.Quota); p != nil {
				answer(p.handleVote(from.Peer.ID(), m))
			} else {
				answer(voteReply{})
			}
		}),
	}
}
