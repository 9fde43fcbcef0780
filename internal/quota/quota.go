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
	topicAsk  = "quota.ask"
	topicVote = "quota.vote"
)

type (
	askMsg struct {
		Quota string        `cbor:"1,keyasint"`
		Want  int           `cbor:"2,keyasint"`
		Due   int           `cbor:"3,keyasint,omitempty"` // of them, for callers who come back when they were told to
		Back  int           `cbor:"4,keyasint,omitempty"` // tokens that are not needed after all
		Term  uint64        `cbor:"5,keyasint"`           // of the answer that Stamp is of
		Stamp time.Duration `cbor:"6,keyasint"`           // the keeper's clock, as its last answer told it
		Floor float64       `cbor:"7,keyasint,omitempty"` // the own part of a floor, that is waived with this
		Wait  time.Duration `cbor:"8,keyasint"`           // for tokens, at most
	}
	givenMsg struct {
		Keeper string        `cbor:"1,keyasint"` // who it is; only of the keeper's own answers the rest counts
		Mine   bool          `cbor:"2,keyasint"`
		Term   uint64        `cbor:"3,keyasint"`
		Stamp  time.Duration `cbor:"4,keyasint"`
		Given  int           `cbor:"5,keyasint"`
		Hint   time.Duration `cbor:"6,keyasint"` // when there may be one, where there were too few
	}
	voteMsg struct {
		Quota string `cbor:"1,keyasint"`
		Term  uint64 `cbor:"2,keyasint"`
	}
	votedMsg struct {
		Yes  bool   `cbor:"1,keyasint"`
		Term uint64 `cbor:"2,keyasint"` // the highest that the voter has heard of
	}
)

// Keeper is one who may keep a budget.
type Keeper struct{ Partner, Name string }

func (k Keeper) who() peering.Who { return peering.Who{Partner: k.Partner, Name: k.Name} }

// KeeperOf reads partner/gateway.
func KeeperOf(name string) Keeper {
	partner, gateway, _ := strings.Cut(name, "/")
	return Keeper{partner, gateway}
}

// Budget is one quota of a file.
type Budget struct {
	budget.Terms
	Keepers []Keeper // in the order in which they try to be it; an odd number
	Classes []string // of the calls that draw; empty: all
	Tenants []string // likewise
}

// Match says that a call draws from the budget.
func (b *Budget) Match(class, tenant string) bool {
	return (len(b.Classes) == 0 || slices.Contains(b.Classes, class)) && (len(b.Tenants) == 0 || slices.Contains(b.Tenants, tenant))
}

// Options are what a Purse is made of.
type Options struct {
	Budget Budget
	Self   peering.Who
	To     func(peering.Who) *peering.Link // nil: there is none
	Now    func() time.Duration            // a clock that only goes on
	Log    *slog.Logger
}

// Purse is a gateway's part in one budget: the tokens that it has, and its part as keeper, if it may be that.
type Purse struct {
	o     Options
	ctx   context.Context
	end   context.CancelFunc
	tasks sync.WaitGroup
	kick  chan struct{}

	mu      sync.Mutex
	batches []batch
	held    int
	demand  float64       // calls a second, lately
	came    float64       // tokens a second, lately
	counted time.Duration // until when both were counted
	calls   int           // since then
	tokens  int           // likewise
	waiting []*waiter
	booked  []booking
	back    int

	term   uint64        // the highest keeper's heard of
	known  string        // who that is
	stamp  time.Duration // of its last answer
	heard  time.Duration // when that came; 0: never
	waived time.Duration // until when the own floor is not drawn
	floor  float64       // of it, what may be drawn
	flowed time.Duration
	hint   time.Duration
	counts Counts

	office *keeper // nil: this gateway may not be it
}

// Counts are a purse's since its start.
type Counts struct {
	Drawn   int64 `json:"drawn"`
	Refused int64 `json:"refused"`
	Own     int64 `json:"own_floor"`     // drawn of the own floor, cut off
	Wasted  int64 `json:"wasted"`        // tokens whose time was over
	Given   int64 `json:"given"`         // tokens that came
	Open    int64 `json:"uncounted"`     // taken without a bound, cut off
	Elected int64 `json:"elected"`       // terms that this gateway was keeper for
	Taken   int64 `json:"taken_at_time"` // calls that came back at the time that they were told
	Undone  int64 `json:"undone"`        // draws that were taken back, for nothing of the call was begun
}

// Status is a purse's now.
type Status struct {
	Counts
	Keeper   string        `json:"keeper,omitempty"`
	Term     uint64        `json:"term,omitempty"`
	Mine     bool          `json:"mine,omitempty"` // this gateway is the keeper
	Cut      bool          `json:"cut,omitempty"`  // no keeper is reached
	Held     int           `json:"held"`
	Age      time.Duration `json:"age,omitempty"` // of the keeper's last answer
	KeptGave int64         `json:"gave,omitempty"`
}

// batch are tokens that came together.
type batch struct {
	n     int
	until time.Duration
}

// waiter is a call that waits for a token.
type waiter struct {
	got chan Token
	due bool
}

// Token is a draw: until when it may be used for another call, where nothing of its own was begun. 0: there is none.
type Token time.Duration

// spent is the Token of a draw that is of no use to another call: of the own floor, which flows on by itself.
const spent Token = 1

// booking is a call that was refused and told when to come back.
type booking struct {
	id string
	at time.Duration
}

// Times of a purse.
const (
	dealEvery = 10 * time.Millisecond // of a keeper
	askSoon   = 20 * time.Millisecond
	forget    = 2 * time.Second        // in which demand fades
	comeGrace = 500 * time.Millisecond // in which who comes late still goes before others
	comeSoon  = 100 * time.Millisecond // in which a token is kept for it
	mostHint  = 2 * time.Second
	mostBatch = 100_000 // tokens that may be asked for at once
)

// New returns a Purse that asks for tokens and, where it may, keeps the budget, until Close.
func New(o Options) *Purse {
	p := &Purse{o: o, kick: make(chan struct{}, 1)}
	p.ctx, p.end = context.WithCancel(context.Background())
	now := o.Now()
	p.counted, p.flowed = now, now
	p.sit(now)
	p.tasks.Go(p.fetch)
	return p
}

// sit makes the gateway's part as keeper, if it may be that.
func (p *Purse) sit(now time.Duration) {
	var all []string
	mine := false
	for _, k := range p.o.Budget.Keepers {
		all = append(all, k.who().String())
		mine = mine || k.who() == p.o.Self
	}
	if mine {
		p.office = newKeeper(p.o.Budget.Terms, p.o.Self.String(), all, now)
		p.tasks.Go(p.keep)
	}
}

// Close ends all tasks and returns once they have ended.
func (p *Purse) Close() {
	p.end()
	p.tasks.Wait()
}

// Change has other terms hold from now on; keepers stay as they are. Tokens that are out are used or end in a lease's time.
func (p *Purse) Change(b Budget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.o.Budget = b
	if p.office != nil {
		p.office.fill(p.o.Now())
		p.office.terms = b.Terms
		p.office.tokens = min(p.office.tokens, b.Depth())
	}
}

// SameKeepers says that a budget is kept by the same as this one.
func (p *Purse) SameKeepers(b Budget) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Equal(p.o.Budget.Keepers, b.Keepers)
}

// Status is what the purse does now.
func (p *Purse) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Now()
	s := Status{Counts: p.counts, Keeper: p.known, Term: p.term, Cut: p.cut(now), Held: p.held}
	if p.heard > 0 {
		s.Age = now - p.heard
	}
	if p.office != nil {
		s.Mine, s.KeptGave = p.office.is(now), p.office.given
	}
	return s
}

// cut says that no keeper has answered for so long that the floor is not waived any more. The caller holds mu.
func (p *Purse) cut(now time.Duration) bool { return now >= p.waived }

// own is the gateway's part of its partner's floor, in calls a second. The caller holds mu.
func (p *Purse) own() float64 {
	if p.o.Budget.WhenCut != budget.Floor {
		return 0
	}
	for _, k := range p.o.Budget.Partners {
		if k.Name == p.o.Self.Partner && k.Gateways > 0 {
			return k.Floor / float64(k.Gateways)
		}
	}
	return 0
}

// take takes a token, if there is one. The caller holds mu.
func (p *Purse) take(now time.Duration) Token {
	for len(p.batches) > 0 {
		b := &p.batches[0]
		if now >= b.until {
			p.counts.Wasted += int64(b.n)
			p.held -= b.n
			p.batches = p.batches[1:]
			continue
		}
		t := Token(b.until)
		b.n--
		p.held--
		if b.n == 0 {
			p.batches = p.batches[1:]
		}
		return t
	}
	if !p.cut(now) {
		p.flowed, p.floor = now, 0
		return 0
	}
	switch p.o.Budget.WhenCut {
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

// Undo takes a draw back of a call of which nothing was begun: its token is another call's, for as long as it would have been
// good. It is for whoever drew it.
func (p *Purse) Undo(t Token) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Now()
	if t == 0 {
		return
	}
	p.counts.Undone++
	if now >= time.Duration(t) {
		return
	}
	p.batches = append(p.batches, batch{1, time.Duration(t)})
	slices.SortStableFunc(p.batches, func(a, b batch) int { return cmp.Compare(a.until, b.until) })
	p.held++
	p.serve(now)
}

// flow lets the own floor fill up to one call since the gateway was cut off. The caller holds mu.
func (p *Purse) flow(now time.Duration) {
	from := max(p.flowed, p.waived)
	if now > from {
		p.floor = min(1, p.floor+(now-from).Seconds()*p.own())
	}
	p.flowed = now
}

// Draw draws one call from the budget, and waits for that no longer than the file says. Where it may not, retry says when
// it may: a call that comes back then by the same id goes before others. Its id is its caller's key, or what it was refused by.
func (p *Purse) Draw(ctx context.Context, id, again string) (t Token, retry time.Duration) {
	now := p.o.Now()
	p.mu.Lock()
	p.calls++
	due := p.comes(id, again, now)
	if t := p.take(now); t != 0 {
		p.counts.Drawn++
		if due {
			p.counts.Taken++
		}
		want := p.wanted(now)
		p.mu.Unlock()
		if want > 0 {
			p.hurry()
		}
		return t, 0
	}
	wait := p.o.Budget.Wait
	if wait <= 0 && !due {
		retry = p.refuse(id, now)
		p.mu.Unlock()
		p.hurry()
		return 0, retry
	}
	w := &waiter{got: make(chan Token, 1), due: due}
	p.waiting = append(p.waiting, w)
	p.mu.Unlock()
	p.hurry()
	limit := time.NewTimer(max(wait, askSoon))
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
	return 0, p.refuse(id, p.o.Now())
}

// comes notes that a call comes that may have been told to. The caller holds mu.
func (p *Purse) comes(id, again string, now time.Duration) bool {
	p.booked = slices.DeleteFunc(p.booked, func(b booking) bool { return now > b.at+comeGrace })
	for i, b := range p.booked {
		if b.id == id || b.id == again {
			p.booked = slices.Delete(p.booked, i, i+1)
			return now >= b.at-askSoon
		}
	}
	return false
}

// refuse says when a call may come back. As many are booked as tokens came lately for; beyond that the time is only a guess.
// The caller holds mu.
func (p *Purse) refuse(id string, now time.Duration) time.Duration {
	p.counts.Refused++
	share := p.came
	if share <= 0 {
		share = 1 / max(p.hint, askSoon).Seconds()
	}
	at := time.Duration(float64(len(p.booked)+1) / share * float64(time.Second))
	if at > mostHint {
		return mostHint
	}
	p.booked = append(p.booked, booking{id: id, at: now + at})
	return max(at, dealEvery)
}

// hurry has the keeper asked at once.
func (p *Purse) hurry() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// wanted is how many tokens to ask for now: for calls that wait, for those that come back soon, and for what is likely to come
// before the next answer. The caller holds mu.
func (p *Purse) wanted(now time.Duration) int {
	if d := now - p.counted; d > 100*time.Millisecond {
		share := 1 - math.Exp(-d.Seconds()/forget.Seconds())
		p.demand += share * (float64(p.calls)/d.Seconds() - p.demand)
		p.came += share * (float64(p.tokens)/d.Seconds() - p.came)
		p.calls, p.tokens, p.counted = 0, 0, now
	}
	ahead := p.demand * p.o.Budget.Lease.Seconds() / 2
	n := len(p.waiting) + p.due(now)
	switch {
	case ahead >= 1:
		n += int(math.Round(ahead))
	case p.o.Budget.Wait <= 0 && p.demand > 0.05:
		n++ // a call that can't wait needs one that is there
	}
	return min(mostBatch, n-p.held)
}

// due are the calls that come back before the next answer. The caller holds mu.
func (p *Purse) due(now time.Duration) (n int) {
	for _, b := range p.booked {
		if b.at <= now+p.o.Budget.Lease/4 && now <= b.at+comeSoon {
			n++
		}
	}
	return n
}

// fetch asks the keeper for tokens: at once when calls wait or tokens run low, else now and then, so that it knows that this
// gateway's floor is not needed.
func (p *Purse) fetch() {
	next := 0 // of the keepers, where none is known
	for p.ctx.Err() == nil {
		p.mu.Lock()
		now := p.o.Now()
		lease := p.o.Budget.Lease
		want := p.wanted(now)
		m := askMsg{Quota: p.o.Budget.Name, Want: max(0, want), Due: p.due(now), Term: p.term, Stamp: p.stamp, Floor: p.own(), Wait: lease / 4}
		for _, w := range p.waiting {
			if w.due {
				m.Due++
			}
		}
		if want < 0 && len(p.waiting) == 0 {
			m.Back = p.giveBack(-want, now)
		}
		if m.Stamp > 0 {
			// Whoever hears this lends the floor from its stamp on, which came here before this goes out; whether it answers
			// or not.
			_, until := budget.Lent(m.Stamp, now)
			p.waived = max(p.waived, until)
		}
		to := p.known
		keepers := p.o.Budget.Keepers
		p.mu.Unlock()
		if to == "" && len(keepers) > 0 {
			to = keepers[next%len(keepers)].who().String()
			next++
		}
		answer, ok := p.askOne(to, m, lease)
		p.mu.Lock()
		p.took(now, m, answer, ok, to)
		want = p.wanted(p.o.Now())
		hungry, rich := len(p.waiting) > 0 || want > 0, want < 0
		p.mu.Unlock()
		pause := budget.Waiver / 4
		switch {
		case !ok || !answer.Mine:
			pause = askSoon
		case hungry:
			pause = askSoon
			if answer.Given > 0 {
				pause = 0
			}
		case rich:
			pause = askSoon // what came too late for whoever waited is of use to others, as long as its lease lasts
		}
		if pause == 0 {
			continue
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-p.ctx.Done():
		case <-p.kick:
			if !ok || !answer.Mine { // nobody to hurry
				clock.Sleep(p.ctx, askSoon/2)
			}
		}
		t.Stop()
	}
}

// giveBack takes tokens out of the purse that nobody is likely to need, those last that came last. The caller holds mu.
func (p *Purse) giveBack(n int, now time.Duration) (back int) {
	for n > 0 && len(p.batches) > 0 {
		b := &p.batches[len(p.batches)-1]
		if now >= b.until {
			break
		}
		k := min(n, b.n)
		b.n -= k
		p.held -= k
		back, n = back+k, n-k
		if b.n == 0 {
			p.batches = p.batches[:len(p.batches)-1]
		}
	}
	return back
}

// askOne asks a gateway, perhaps this one itself.
func (p *Purse) askOne(to string, m askMsg, lease time.Duration) (answer givenMsg, ok bool) {
	ctx, cancel := context.WithTimeout(p.ctx, lease)
	defer cancel()
	if to == p.o.Self.String() {
		got := make(chan givenMsg, 1)
		p.asked(p.o.Self, m, func(g givenMsg) { got <- g })
		select {
		case answer = <-got:
			return answer, true
		case <-ctx.Done():
			return answer, false
		}
	}
	for _, k := range p.o.Budget.Keepers {
		if k.who().String() != to {
			continue
		}
		if l := p.o.To(k.who()); l != nil {
			return answer, l.Do(ctx, topicAsk, m, &answer) == nil
		}
	}
	return answer, false
}

// took takes an answer to what was asked at a time. Tokens of a keeper whom a later one has followed are none, and theirs is a
// lease's time from when they were asked for. The caller holds mu.
func (p *Purse) took(asked time.Duration, m askMsg, g givenMsg, ok bool, from string) {
	now := p.o.Now()
	if !ok || !g.Mine {
		if p.known == from {
			p.known = ""
		}
		if ok && g.Keeper != from {
			p.known = g.Keeper
		}
		p.serve(now) // perhaps of the own floor
		return
	}
	if g.Term < p.term {
		p.known = ""
		return
	}
	p.term, p.known, p.stamp, p.heard = g.Term, from, g.Stamp, now
	p.hint = g.Hint
	if g.Given > 0 {
		p.counts.Given += int64(g.Given)
		p.tokens += g.Given
		until := asked + budget.Shorter(p.o.Budget.Lease)
		if now < until {
			p.batches = append(p.batches, batch{g.Given, until})
			p.held += g.Given
		} else {
			p.counts.Wasted += int64(g.Given)
		}
	}
	p.serve(now)
}

// serve gives tokens to calls that wait. The caller holds mu.
func (p *Purse) serve(now time.Duration) {
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
			p.counts.Taken++
		}
		w.got <- t
	}
}

// asked takes a question of another gateway's, or of this one's own, and answers it when there are tokens, or soon.
func (p *Purse) asked(who peering.Who, m askMsg, reply func(givenMsg)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Now()
	k := p.office
	if k == nil || !k.is(now) {
		g := givenMsg{}
		if k != nil && now < k.vote.Until {
			g.Keeper = k.vote.Keeper
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
		go reply(givenMsg{Keeper: k.self, Mine: true, Term: k.term, Stamp: now, Given: given, Hint: hint})
	}
	if m.Want <= 0 {
		k.tokens = min(k.terms.Depth(), k.tokens+float64(max(0, m.Back)))
		answer(0, 0)
		return
	}
	a := &asked{want: min(m.Want, mostBatch), due: m.Due, reply: answer}
	k.ask(who, a, max(0, m.Back))
	p.tasks.Go(func() { // it is answered in time, whatever there is
		clock.Sleep(p.ctx, min(m.Wait, time.Second))
		p.mu.Lock()
		defer p.mu.Unlock()
		if k.asks[who] == a {
			k.deal(p.o.Now(), false)
			if k.asks[who] == a {
				delete(k.asks, who)
				a.reply(a.got, time.Duration(float64(len(k.asks)+1)/max(k.rate(p.o.Now()), 1e-3)*float64(time.Second)))
			}
		}
	})
	if k.tokens >= 1 {
		k.deal(now, false)
	}
}

// keep is a gateway's part as one of the keepers: it asks the others for a term when there is no keeper, renews its own, and
// deals out what the bucket holds.
func (p *Purse) keep() {
	tick := time.NewTicker(dealEvery)
	defer tick.Stop()
	rank := slices.Index(p.office.all, p.o.Self.String())
	var vacant, renewed time.Duration
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		now, term := p.o.Now(), p.o.Budget.Term
		k := p.office
		is := k.is(now)
		if is {
			k.deal(now, false)
		} else if k.until > 0 {
			p.o.Log.Info("this gateway keeps the quota no more", "quota", p.o.Budget.Name, "term", k.term)
			k.until = 0
			for who, a := range k.asks {
				delete(k.asks, who)
				a.reply(0, 0)
			}
		}
		taken := !is && now < k.vote.Until && k.vote.Keeper != k.self
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
			vacant = p.o.Now() + time.Duration(rank+1)*term/8
		}
	}
}

// campaign asks all who could be keeper for a term, from the time when it asks on: a new one, or the same once more.
func (p *Purse) campaign(now time.Duration, renew bool) bool {
	p.mu.Lock()
	k := p.office
	number := k.term
	if !renew {
		k.seen = max(k.seen, k.vote.Term) + 1
		number = k.seen
	}
	term, keepers := p.o.Budget.Term, p.o.Budget.Keepers
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, term/4)
	defer cancel()
	votes := make(chan votedMsg, len(keepers))
	for _, who := range keepers {
		if who.who() == p.o.Self {
			votes <- p.voted(p.o.Self, voteMsg{p.o.Budget.Name, number})
			continue
		}
		l := p.o.To(who.who())
		if l == nil {
			votes <- votedMsg{}
			continue
		}
		p.tasks.Go(func() {
			var v votedMsg
			if l.Do(ctx, topicVote, voteMsg{p.o.Budget.Name, number}, &v) != nil {
				v = votedMsg{}
			}
			votes <- v
		})
	}
	yes := 0
	for range keepers {
		v := <-votes
		if v.Yes {
			yes++
		}
		p.mu.Lock()
		k.seen = max(k.seen, v.Term)
		p.mu.Unlock()
		if yes > len(keepers)/2 {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if yes <= len(keepers)/2 || renew && !k.is(p.o.Now()) {
		return false
	}
	if until := now + budget.Shorter(term); until > p.o.Now() {
		if !renew {
			k.begin(p.o.Now(), number)
			p.counts.Elected++
			p.o.Log.Info("this gateway keeps the quota", "quota", p.o.Budget.Name, "term", number)
		}
		k.until = until
	}
	return true
}

// voted is this gateway's answer to one who would be keeper.
func (p *Purse) voted(who peering.Who, m voteMsg) votedMsg {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.office
	if k == nil || !slices.Contains(k.all, who.String()) {
		return votedMsg{}
	}
	now := p.o.Now()
	v, ok := budget.MayVote(k.vote, k.began, now, p.o.Budget.Term, m.Term, who.String())
	k.vote = v
	k.seen = max(k.seen, m.Term)
	return votedMsg{Yes: ok, Term: max(v.Term, k.seen)}
}

// Topics are how others reach the purses of a gateway, by their budgets' names. One that is not there answers nothing of use.
func Topics(of func(name string) *Purse) map[string]peering.Handler {
	return map[string]peering.Handler{
		topicAsk: peering.Answer(func(from *peering.Link, m askMsg, answer func(givenMsg)) {
			if p := of(m.Quota); p != nil {
				p.asked(from.Peer.Who(), m, answer)
			} else {
				answer(givenMsg{})
			}
		}),
		topicVote: peering.Answer(func(from *peering.Link, m voteMsg, answer func(votedMsg)) {
			if p := of(m.Quota); p != nil {
				answer(p.voted(from.Peer.Who(), m))
			} else {
				answer(votedMsg{})
			}
		}),
	}
}
