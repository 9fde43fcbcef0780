package custody

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"woodpick/internal/clock"
	"woodpick/internal/fault"
	"woodpick/internal/peering"
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
	Self    Gateway
	Links   Links
	Group   func() []Gateway // all that live, this one among them, with the lives that links tell of
	Run     Run
	Step    func(r *Record, intents []Intent, left time.Duration) Step // what an heir would do with a call; must not block
	Beat    time.Duration                                              // between two heartbeats of a link, and
	Silence time.Duration                                              // how long one stands without an answer
	Holders int                                                        // voters of a call in a group that has as many
	Memory  int                                                        // bytes held for others, about
	Keep    time.Duration                                              // that an answer is kept after it was settled
	Forgets func() time.Duration                                       // that repeats of a key may come after its first call
	Fresh   time.Duration                                              // an intent that is older when its first byte is to be written is asked for anew
	Now     func() time.Duration
	Log     *slog.Logger
}

// Run has a call carried out, by the engine of its pool: each attempt is allowed by w.Intend before its first byte. It
// returns when the call is answered, or when ctx ends; then its outcome's kind is 0. earlier are the attempts that others made.
type Run func(ctx context.Context, r *Record, earlier []Intent, w *Work) Outcome

// Times of a custodian. All of them are how soon something is tried, and none is needed for what the package promises.
const (
	pollLimit  = 2 * time.Second        // that voters are waited for, where the call's time is not over before
	lookEvery  = 20 * time.Millisecond  // for orphans, while calls are undecided
	restEvery  = 200 * time.Millisecond // and while none is
	claimAgain = 250 * time.Millisecond // after a claim that failed, at most
	findWait   = 400 * time.Millisecond // that a voter holds a question for an answer
	slowest    = 50 * time.Millisecond  // that is waited for the others once a majority knows nothing of a key
)

// Topics of what custodians ask one another.
const (
	topicRecord = "custody.record"
	topicIntend = "custody.intend"
	topicEnded  = "custody.ended"
	topicSettle = "custody.settle"
	topicDecide = "custody.decide"
	topicClaim  = "custody.claim"
	topicHand   = "custody.hand"
	topicDrop   = "custody.drop"
	topicFind   = "custody.find"
	topicLives  = "custody.lives"
)

type (
	recordMsg struct {
		Record Record `cbor:"1,keyasint"`
		By     Ballot `cbor:"2,keyasint"`
		Life   uint64 `cbor:"3,keyasint"` // of the voter that is meant
	}
	intendMsg struct {
		Key    Key    `cbor:"1,keyasint"`
		Intent Intent `cbor:"2,keyasint"`
		Life   uint64 `cbor:"3,keyasint"`
	}
	endedMsg struct {
		Key Key    `cbor:"1,keyasint"`
		By  Ballot `cbor:"2,keyasint"`
		N   int    `cbor:"3,keyasint"`
	}
	settleMsg struct {
		Key     Key     `cbor:"1,keyasint"`
		Outcome Outcome `cbor:"2,keyasint"`
		By      Ballot  `cbor:"3,keyasint"`
		Life    uint64  `cbor:"4,keyasint"`
		Gen     uint32  `cbor:"5,keyasint,omitempty"` // of the record that it is the outcome of
	}
	findMsg struct {
		Key  Key           `cbor:"1,keyasint"`
		Wait time.Duration `cbor:"2,keyasint"`
	}
	livesMsg struct {
		Ago time.Duration `cbor:"1,keyasint"` // since the link to an earlier life of the one who is told ended
	}
	word struct {
		Verdict Verdict `cbor:"1,keyasint"`
		Entry   *Entry  `cbor:"2,keyasint,omitempty"`
	}
)

// Custodian is a gateway's part in custody: its own calls, those that it holds for others, and those that it takes over.
type Custodian struct {
	o     Options
	store *store
	ctx   context.Context
	end   context.CancelFunc
	tasks sync.WaitGroup
	kick  chan struct{} // looks for orphans at once
	calls atomic.Uint64 // ballots that it has made

	mu      sync.Mutex
	works   map[Key]*Work   // in this gateway's hand
	ending  bool            // nothing more is taken into custody
	lost    map[string]life // by gateway, the life to which a link ended last
	young   time.Duration   // until when this one may have known keys in an earlier life, and does not know them again
	told    map[string]bool // gateways that told it what it may have voted for
	born    time.Duration   // when this life began
	group   []Gateway       // as it was last, and
	changed time.Duration   // when that changed
	counts  Counts

	recalling bool // it asks them
}

// Counts are of what became of calls in custody, since the start.
type Counts struct {
	Taken   int `json:"taken"`   // own calls
	Alone   int `json:"alone"`   // for which too few voters were to be reached
	Fenced  int `json:"fenced"`  // that another took over while they were in hand here
	Claimed int `json:"claimed"` // that this gateway took over
	Resumed int `json:"resumed"` // of them, carried on
	Asked   int `json:"asked"`   // by callers that came back
	Found   int `json:"found"`   // of them, that got the one answer
	// times that it knew again what an earlier life of it may have voted for
	Recalled int `json:"recalled"`
}

// Status is what a custodian does now.
type Status struct {
	Counts
	InHand int         `json:"in_hand"`
	Voter  StoreCounts `json:"voter"`
}

// life is one of a gateway's, and when the link to it ended.
type life struct {
	number uint64
	ended  time.Duration
}

// New returns a Custodian that answers others. Run claims what is lost.
func New(o Options) *Custodian {
	c := &Custodian{o: o, store: newStore(o.Now, o.Keep, o.Memory), works: map[Key]*Work{}, lost: map[string]life{}, told: map[string]bool{}, born: o.Now(), kick: make(chan struct{}, 1)}
	c.ctx, c.end = context.WithCancel(context.Background())
	c.tasks.Go(c.watch)
	return c
}

// Close ends all that is under way and returns once it has ended.
func (c *Custodian) Close() {
	c.end()
	c.tasks.Wait()
}

// Status is what it does now.
func (c *Custodian) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{c.counts, len(c.works), c.store.status()}
}

// Topics are how others reach it.
func (c *Custodian) Topics() map[string]peering.Handler {
	return map[string]peering.Handler{
		topicRecord: voted(c.record),
		topicIntend: voted(c.intend),
		topicSettle: voted(c.settle),
		topicClaim:  voted(c.claim),
		topicFind:   peering.Answer(func(_ *peering.Link, m findMsg, answer func(word)) { c.find(m, answer) }),
		topicEnded:  peering.Hear(func(_ *peering.Link, m endedMsg) { c.store.ended(m.Key, m.By, m.N) }),
		topicDecide: peering.Hear(func(_ *peering.Link, m settleMsg) { c.decided(m) }),
		topicHand: peering.Hear(func(_ *peering.Link, m endedMsg) {
			c.store.hand(m.Key, m.By)
			c.Look()
		}),
		topicDrop:   peering.Hear(func(_ *peering.Link, m endedMsg) { c.store.withdraw(m.Key, m.By) }),
		topicLives:  peering.Hear(func(from *peering.Link, m livesMsg) { c.aged(from.Peer.Name, m.Ago) }),
		topicRecall: peering.Answer(func(_ *peering.Link, m recallMsg, answer func(recalledMsg)) { answer(c.recalled(m)) }),
	}
}

// voted is a handler of what a voter answers at once.
func voted[Q any](f func(Q) word) peering.Handler {
	return peering.Answer(func(_ *peering.Link, q Q, answer func(word)) { answer(f(q)) })
}

func (c *Custodian) record(m recordMsg) word {
	if m.Life != c.o.Self.Life || m.Record.Repeats != "" && c.isYoung() {
		return word{Verdict: NotOf}
	}
	v, e := c.store.record(m.Record, m.By)
	return word{v, e}
}

func (c *Custodian) intend(m intendMsg) word {
	if m.Life != c.o.Self.Life {
		return word{Verdict: NotOf}
	}
	return word{Verdict: c.store.intend(m.Key, m.Intent)}
}

func (c *Custodian) settle(m settleMsg) word {
	if m.Life != c.o.Self.Life {
		return word{Verdict: NotOf}
	}
	v, e := c.store.settle(m.Key, m.Outcome, m.By)
	return word{v, e}
}

func (c *Custodian) claim(m recordMsg) word {
	if m.Life != c.o.Self.Life {
		return word{Verdict: NotOf}
	}
	v, e := c.store.claim(m.Record, m.By, c.heard)
	return word{v, e}
}

// decided notes an outcome that a majority has taken. Work that is still under way here for the same call is over: its caller
// hears that outcome, and need not wait for an attempt that may take until the deadline.
func (c *Custodian) decided(m settleMsg) {
	c.store.decide(m.Key, m.Gen, m.Outcome, m.By)
	c.mu.Lock()
	w := c.works[m.Key]
	c.mu.Unlock()
	if w != nil && w.r.Gen == m.Gen && w.by.Compare(m.By) < 0 {
		w.fence(ErrKnown)
	}
}

// isYoung says that this gateway may have taken a key in an earlier life, whose repeats may still come.
func (c *Custodian) isYoung() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.o.Now() < c.young
}

// Linked notes that a link to a gateway of the group has come up. Whoever knew an earlier life of its tells it so, first of all
// that goes over the link.
func (c *Custodian) Linked(l *peering.Link) {
	c.mu.Lock()
	was, known := c.lost[l.Peer.Name]
	now := c.o.Now()
	c.mu.Unlock()
	if known && was.number != l.Peer.Life && now-was.ended < c.o.Forgets() {
		l.Tell(topicLives, livesMsg{now - was.ended})
	}
}

// Lost notes that the last link to a life of a gateway of the group has ended.
func (c *Custodian) Lost(p peering.Peer) {
	c.mu.Lock()
	c.lost[p.Name] = life{p.Life, c.o.Now()}
	c.mu.Unlock()
	c.Look()
}

// find answers with what is held of a key, as soon as it is decided, or when the wait is over.
func (c *Custodian) find(m findMsg, reply func(word)) {
	e, changed := c.store.find(m.Key)
	switch {
	case e == nil:
		reply(word{Verdict: Unknown})
		return
	case e.Decided || m.Wait <= 0:
		reply(word{Yes, e})
		return
	}
	c.tasks.Go(func() {
		t := time.NewTimer(min(m.Wait, findWait))
		defer t.Stop()
		for e != nil && !e.Decided {
			select {
			case <-changed:
				e, changed = c.store.find(m.Key)
				continue
			case <-t.C:
			case <-c.ctx.Done():
			}
			break
		}
		if e == nil {
			reply(word{Verdict: Unknown})
		} else {
			reply(word{Yes, e})
		}
	})
}

// heard says that whoever has a call in hand is heard here, lately enough for the time that the call has left.
func (c *Custodian) heard(e *Entry, left time.Duration) bool {
	b := e.Promised
	if b.By == c.o.Self.Name {
		c.mu.Lock()
		defer c.mu.Unlock()
		w := c.works[e.Record.Key]
		return b.Life == c.o.Self.Life && w != nil && w.by == b && !w.isOver()
	}
	l := c.o.Links.To(b.By)
	if l == nil || l.Peer.Life != b.Life {
		return false
	}
	quiet := l.Quiet()
	if quiet < 2*c.o.Beat {
		return true // whatever the call, it is soon enough
	}
	return quiet < Doubt(c.o.Beat, l.RTT(), c.o.Silence, left, Servable(c.o.Step(&e.Record, e.Intents, left)))
}

// Look has it look for calls that nobody has in hand, now rather than soon: a link has ended.
func (c *Custodian) Look() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// watch looks for calls that nobody has in hand, and claims them, each in a task of its own.
func (c *Custodian) watch() {
	t := time.NewTimer(restEvery)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.kick:
		case <-t.C:
		}
		c.look()
		lost, open := c.store.orphans(c.o.Self.Name, c.heard)
		for _, k := range lost {
			c.tasks.Go(func() { c.takeOver(k) })
		}
		if open {
			t.Reset(lookEvery)
		} else {
			t.Reset(restEvery)
		}
	}
}

// look notes whether the group has changed.
func (c *Custodian) look() []Gateway {
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
	// ErrAlone says that too few voters are to be reached: nothing was recorded anywhere.
	ErrAlone = errors.New("custody: too few holders are to be reached")
	// ErrKnown says that the call has been taken before: Await brings its answer.
	ErrKnown = errors.New("custody: the call has been taken before")
	// ErrFull says that its voters have no room for the call: nothing of it was begun.
	ErrFull = errors.New("custody: the holders have no room")
	// ErrUnknown says that nobody holds such a call.
	ErrUnknown = errors.New("custody: nobody here knows the call")
	// ErrForgotten says that whoever held the call has started anew since: nobody can tell what became of it.
	ErrForgotten = errors.New("custody: those who held the call have forgotten what became of it")
	// ErrUnsettled says that the call is under way, or that too few of its voters are to be reached to tell what became of it.
	ErrUnsettled = errors.New("custody: the call is not settled")
)

// Take has a call recorded and carried out, and returns its outcome once a majority of its voters has taken that. serve
// says that where voters are lost on the way the outcome is told all the same. window is how long others could have taken the
// same key before the group changed. With ErrAlone nothing was begun; ErrKnown says to Await the answer.
func (c *Custodian) Take(ctx context.Context, r Record, serve bool, window time.Duration) (Outcome, error) {
	group := c.look()
	r.Owner = c.o.Self
	r.Voters = Voters(r.Key, c.o.Self.Name, group, c.o.Holders)
	if r.Repeats != "" && c.o.Now()-c.changedAt() < window {
		// The voters of a key may be others than those that took it: all are asked once.
		if _, gen, err := c.ask(ctx, r.Key, 0); !errors.Is(err, ErrUnknown) && gen >= r.Gen {
			return Outcome{}, ErrKnown
		}
	}
	reached := 0
	for _, v := range r.Voters {
		if v.Name == c.o.Self.Name || c.o.Links.To(v.Name) != nil {
			reached++
		}
	}
	if len(r.Voters) == 0 || reached < Majority(len(r.Voters)) {
		c.count(func(n *Counts) { n.Alone++ })
		return Outcome{}, ErrAlone
	}
	if e, _ := c.store.find(r.Key); e != nil && e.Record.Gen >= r.Gen {
		return Outcome{}, ErrKnown // whether or not it is a voter of the key now
	}
	w, err := c.begin(ctx, r, c.ballot(1), nil)
	if err != nil {
		return Outcome{}, err
	}
	w.serve = serve
	c.count(func(n *Counts) { n.Taken++ })
	// The record is on its way; the first intent follows it over the same links, and is not taken where the record was not.
	w.send(topicRecord, func(v Gateway) any { return recordMsg{r, w.by, v.Life} }, w.recorded)
	return w.carry(ctx)
}

func (c *Custodian) changedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *Custodian) count(f func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.counts)
}

// ballot is this gateway's next one of a number.
func (c *Custodian) ballot(n uint32) Ballot {
	return Ballot{N: n, By: c.o.Self.Name, Life: c.o.Self.Life, Call: c.calls.Add(1)}
}

// takeOver claims a call that nobody has in hand, and goes on with it.
func (c *Custodian) takeOver(k Key) {
	defer c.store.release(k)
	e, _ := c.store.find(k)
	if e == nil || e.Decided {
		return
	}
	r := e.Record
	ctx, cancel := context.WithTimeout(c.ctx, max(r.Left, pollLimit))
	defer cancel()
	by := c.ballot(e.Promised.N + 1)
	yes, no := c.poll(ctx, r.Voters, topicClaim, func(v Gateway) any { return recordMsg{r, by, v.Life} })
	for _, w := range no {
		if w.Entry != nil && w.Entry.Decided {
			c.store.decide(k, r.Gen, *w.Entry.Outcome, w.Entry.At) // a later call of the key says what became of it, too
			return
		}
	}
	if len(yes) < Majority(len(r.Voters)) {
		clock.Sleep(ctx, ClaimAgain(r.Left))
		return
	}
	c.count(func(n *Counts) { n.Claimed++ })
	fault.Point("custody.claimed")
	var entries []Entry
	for _, w := range yes {
		entries = append(entries, *w.Entry)
	}
	voters := r.Voters
	r, intents, outcome := Merge(entries)
	r.Voters = voters
	w, err := c.begin(ctx, r, by, intents)
	if err != nil {
		return
	}
	c.o.Log.Info("a call is taken over", "class", r.Key.Class, "id", r.ID, "from", e.Promised.By, "intents", len(intents), "answered", outcome != nil)
	if outcome != nil {
		err := w.finish(ctx, *outcome)
		w.done()
		if err != nil {
			clock.Sleep(ctx, claimAgain)
		}
		return
	}
	c.count(func(n *Counts) { n.Resumed++ })
	w.carry(ctx)
}

// Work is a call that this gateway has in hand.
type Work struct {
	c       *Custodian
	r       Record
	by      Ballot
	earlier []Intent
	until   time.Duration // its caller's deadline
	serve   bool
	fenced  chan struct{} // closed once another has it in hand, or had its key before

	mu    sync.Mutex
	lost  error // why this gateway has the call in hand no more; nil: it has
	yes   int   // voters that have taken its record
	taken int   // voters that have another call of its key in hand, and
	full  int   // such as have no room
}

// begin notes that a call is in this gateway's hand.
func (c *Custodian) begin(ctx context.Context, r Record, by Ballot, earlier []Intent) (*Work, error) {
	w := &Work{c: c, r: r, by: by, earlier: earlier, until: c.o.Now() + r.Left, fenced: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.works[r.Key] != nil {
		return nil, ErrKnown
	}
	if c.ctx.Err() != nil || c.ending && by.N == 1 {
		return nil, ErrAlone
	}
	c.works[r.Key] = w
	return w, nil
}

func (w *Work) done() {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	if w.c.works[w.r.Key] == w {
		delete(w.c.works, w.r.Key)
	}
}

// fence says that this gateway has the call in hand no more, and why: the first reason stands.
func (w *Work) fence(why error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost == nil {
		w.lost = why
		close(w.fenced)
	}
}

// recorded takes a voter's word on the record. Once no majority can take it, nothing of it begins any more.
func (w *Work) recorded(said word) {
	w.mu.Lock()
	switch said.Verdict {
	case Yes:
		if w.yes++; w.yes == Majority(len(w.r.Voters)) {
			defer fault.Point("custody.recorded")
		}
	case Known, Higher:
		w.taken++
	case Full, NotOf, Unknown:
		w.full++
	}
	lost := w.taken+w.full > len(w.r.Voters)-Majority(len(w.r.Voters))
	why := ErrFull
	if w.taken > 0 {
		why = ErrKnown
	}
	w.mu.Unlock()
	if lost {
		w.fence(why)
	}
}

// why is what a call that is fenced comes to here.
func (w *Work) why() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// carry is the call's story from here on, the same for whoever has it in hand: it is run, settled and told.
func (w *Work) carry(ctx context.Context) (Outcome, error) {
	defer w.done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(w.c.ctx, cancel)
	defer stop()
	w.c.tasks.Go(func() {
		select {
		case <-w.fenced:
			cancel()
		case <-ctx.Done():
		}
	})
	out := w.c.o.Run(ctx, &w.r, w.earlier, w)
	fault.Point("custody.ran")
	err := ErrUnsettled // nobody waits for it any more, or this gateway ends
	if w.isOver() {
		w.c.count(func(n *Counts) { n.Fenced++ })
		err = w.why()
	} else if out.Kind != 0 {
		if err = w.finish(ctx, out); err == nil {
			return out, nil
		}
	}
	if errors.Is(err, ErrFull) || errors.Is(err, ErrKnown) && w.by.N == 1 {
		w.withdraw()
	}
	w.giveOut()
	if out.Live != nil {
		out.Live.Discard()
	}
	return Outcome{}, err
}

// tell says something of the call to all its voters, without waiting; own is what this gateway takes of it, if it is one of them.
func (w *Work) tell(topic string, n int, own func(*store)) {
	for _, v := range w.r.Voters {
		if v.Name == w.c.o.Self.Name {
			own(w.c.store)
		} else if l := w.c.o.Links.To(v.Name); l != nil && l.Peer.Life == v.Life {
			l.Tell(topic, endedMsg{w.r.Key, w.by, n})
		}
	}
}

// withdraw tells voters that nothing of a call was begun and nothing will be: other voters of its key had no room for it or hold
// another call. Who has taken its record, and no intent behind it, lets go of it, so that the key is free to be taken again.
func (w *Work) withdraw() {
	w.tell(topicDrop, 0, func(s *store) { s.withdraw(w.r.Key, w.by) })
}

// giveOut tells voters that this gateway has the call in hand no more, so that one of them may claim it.
func (w *Work) giveOut() {
	w.tell(topicHand, 0, func(s *store) { s.hand(w.r.Key, w.by) })
}

// Left is the time until the call's deadline.
func (w *Work) Left() time.Duration { return w.until - w.c.o.Now() }

// Intend has an attempt allowed by a majority of the voters; false: it must not begin. It is called when the connection is up
// and its first byte is written next.
func (w *Work) Intend(ctx context.Context, in Intent) bool {
	in.By, in.ID = w.by, w.r.ID
	for {
		if w.isOver() {
			return false
		}
		asked := time.Now()
		limit, cancel := context.WithTimeout(ctx, min(pollLimit, max(w.Left(), 0)))
		yes, no := w.c.poll(limit, w.r.Voters, topicIntend, func(v Gateway) any { return intendMsg{w.r.Key, in, v.Life} })
		cancel()
		if len(yes) < Majority(len(w.r.Voters)) {
			for _, said := range no {
				if said.Verdict == Higher || said.Verdict == Known {
					w.fence(ErrKnown)
				}
			}
			return false
		}
		fault.Point("custody.intended")
		if time.Since(asked) < w.fresh() {
			return !w.isOver()
		}
	}
}

// fresh is how old an intent may be. Where voters are far the way to them counts.
func (w *Work) fresh() time.Duration {
	d := w.c.o.Fresh
	for _, v := range w.r.Voters {
		if l := w.c.o.Links.To(v.Name); l != nil {
			d = max(d, 4*l.RTT())
		}
	}
	return d
}

func (w *Work) isOver() bool {
	select {
	case <-w.fenced:
		return true
	default:
		return false
	}
}

// Ended tells voters that an attempt has ended and has not run. Whether they hear of it decides nothing.
func (w *Work) Ended(n int) {
	w.tell(topicEnded, n, func(s *store) { s.ended(w.r.Key, w.by, n) })
}

// finish has the outcome taken by a majority of the voters, and then tells all of them that it was.
func (w *Work) finish(ctx context.Context, out Outcome) error {
	out.Live = nil
	limit, cancel := context.WithTimeout(ctx, max(min(pollLimit, w.Left()), claimAgain))
	defer cancel()
	yes, no := w.c.poll(limit, w.r.Voters, topicSettle, func(v Gateway) any {
		return settleMsg{Key: w.r.Key, Gen: w.r.Gen, Outcome: out, By: w.by, Life: v.Life}
	})
	if len(yes) < Majority(len(w.r.Voters)) {
		for _, said := range no {
			if said.Verdict == Higher || said.Verdict == Known {
				w.fence(ErrKnown)
				w.c.count(func(n *Counts) { n.Fenced++ })
				return ErrKnown
			}
		}
		if w.serve {
			return nil // what this gives up is said with when_alone
		}
		return ErrUnsettled
	}
	fault.Point("custody.settled")
	w.c.store.decide(w.r.Key, w.r.Gen, out, w.by)
	for _, v := range w.r.Voters {
		if l := w.c.o.Links.To(v.Name); l != nil && l.Peer.Life == v.Life {
			l.Tell(topicDecide, settleMsg{Key: w.r.Key, Gen: w.r.Gen, Outcome: out, By: w.by})
		}
	}
	return nil
}

// HandOver gives all calls that are in hand to others: this gateway ends. What is out is left to end by itself.
func (c *Custodian) HandOver() {
	c.mu.Lock()
	c.ending = true
	var all []*Work
	for _, w := range c.works {
		all = append(all, w)
	}
	c.mu.Unlock()
	for _, w := range all {
		w.fence(ErrKnown)
		w.giveOut()
	}
}

// send asks voters something without waiting; each word is told as it comes.
func (w *Work) send(topic string, message func(Gateway) any, told func(word)) {
	c := w.c
	for _, v := range w.r.Voters {
		if v.Name == c.o.Self.Name {
			told(c.own(topic, message(v)))
			continue
		}
		c.put(v, topic, message(v), func(said *word) {
			if said != nil {
				told(*said)
			}
		})
	}
}

// own is this gateway's own word as a voter.
func (c *Custodian) own(topic string, message any) word {
	switch m := message.(type) {
	case recordMsg:
		if topic == topicClaim {
			return c.claim(m)
		}
		return c.record(m)
	case intendMsg:
		return c.intend(m)
	case settleMsg:
		return c.settle(m)
	}
	panic(fmt.Sprintf("custody: %s is asked of nobody", topic)) // a defect of this package
}

// put sends a question to a voter. told hears its word once, on the link's reader, or nil where none comes; it must not block.
// nil: the voter is not to be reached in the life that the record names, and told hears nothing.
func (c *Custodian) put(v Gateway, topic string, message any, told func(*word)) (forget func()) {
	l := c.o.Links.To(v.Name)
	if l == nil || l.Peer.Life != v.Life {
		return nil
	}
	forget, err := l.AskThen(topic, message, func(read func(any) error) {
		var said word
		if read(&said) != nil {
			told(nil)
			return
		}
		told(&said)
	})
	if err != nil {
		return nil
	}
	return forget
}

// poll asks all voters at once, and returns when enough of them have said yes, or can't any more, or ctx ends.
func (c *Custodian) poll(ctx context.Context, voters []Gateway, topic string, message func(Gateway) any) (yes, no []word) {
	words := make(chan *word, len(voters))
	for _, v := range voters {
		if v.Name == c.o.Self.Name {
			said := c.own(topic, message(v))
			words <- &said
			continue
		}
		forget := c.put(v, topic, message(v), func(said *word) { words <- said })
		if forget == nil {
			words <- nil
			continue
		}
		defer forget()
	}
	need := Majority(len(voters))
	for left := len(voters); left > 0; left-- {
		var said *word
		select {
		case said = <-words:
		case <-ctx.Done():
			return yes, no
		}
		switch {
		case said == nil:
		case said.Verdict == Yes:
			yes = append(yes, *said)
		default:
			no = append(no, *said)
		}
		if len(yes) >= need || len(yes)+left-1 < need && len(no) > 0 {
			break
		}
	}
	return yes, no
}

// Await brings the one answer to a call that was taken before, at whichever gateway, and waits for it as long as ctx goes on.
// gen is which of the calls of its key it was, for Record.Gen.
func (c *Custodian) Await(ctx context.Context, k Key) (out Outcome, gen uint32, err error) {
	c.count(func(n *Counts) { n.Asked++ })
	for {
		out, gen, err = c.ask(ctx, k, findWait)
		switch {
		case err == nil:
			c.count(func(n *Counts) { n.Found++ })
			return out, gen, nil
		case errors.Is(err, ErrUnknown), errors.Is(err, ErrForgotten):
			return Outcome{}, gen, err
		case ctx.Err() != nil || c.ctx.Err() != nil:
			return Outcome{}, gen, ErrUnsettled
		}
		clock.Sleep(ctx, lookEvery)
	}
}

// ask asks all gateways of the group once what became of a call. An outcome is told that one of them knows to be decided, or
// that a majority of the call's voters has taken by one ballot. That nobody knows it is said once a majority says so of those
// who would be its voters now, and the others have said so too or have had slowest to say anything: one who is slow must not cost
// each call of a key its time.
func (c *Custodian) ask(ctx context.Context, k Key, wait time.Duration) (out Outcome, gen uint32, err error) {
	limit, cancel := context.WithTimeout(ctx, wait+pollLimit)
	defer cancel()
	type said struct {
		by   string
		word *word
	}
	links := c.o.Links.All()
	words := make(chan said, len(links)+1)
	c.find(findMsg{k, wait}, func(w word) { words <- said{c.o.Self.Name, &w} })
	for _, l := range links {
		a, err := l.Ask(topicFind, findMsg{k, wait})
		if err != nil {
			words <- said{l.Peer.Name, nil}
			continue
		}
		c.tasks.Go(func() {
			var w word
			if a.Wait(limit, &w) != nil {
				words <- said{l.Peer.Name, nil}
				return
			}
			words <- said{l.Peer.Name, &w}
		})
	}
	type vote struct {
		at  Ballot
		gen uint32
	}
	votes, known := map[vote]int{}, false
	recalled, silent := false, false
	voters := Voters(k, c.o.Self.Name, c.o.Group(), c.o.Holders)
	strangers := 0
	var late <-chan time.Time
	for left := len(links) + 1; left > 0; left-- {
		var s said
		select {
		case s = <-words:
		case <-late:
			left = 0
			continue
		}
		switch {
		case s.word == nil:
			silent = true
		case s.word.Entry == nil:
			if slices.ContainsFunc(voters, func(g Gateway) bool { return g.Name == s.by }) {
				strangers++
			}
			if late == nil && wait == 0 && strangers >= Majority(len(voters)) {
				t := time.NewTimer(slowest)
				defer t.Stop()
				late = t.C
			}
		case s.word.Entry.Decided:
			return *s.word.Entry.Outcome, s.word.Entry.Record.Gen, nil
		case s.word.Entry.Recalled:
			recalled = true
			gen = max(gen, s.word.Entry.Record.Gen)
		default:
			known = true
			e := s.word.Entry
			gen = max(gen, e.Record.Gen)
			if e.Outcome != nil {
				v := vote{e.At, e.Record.Gen}
				if votes[v]++; votes[v] >= Majority(len(e.Record.Voters)) {
					return *e.Outcome, e.Record.Gen, nil
				}
			}
		}
	}
	if !known && recalled && !silent {
		return Outcome{}, gen, ErrForgotten
	}
	if !known && !recalled && (len(voters) == 0 || strangers >= Majority(len(voters))) {
		return Outcome{}, 0, ErrUnknown
	}
	return Outcome{}, gen, ErrUnsettled
}

// Holds says that somebody holds a call of a key, or that nobody could tell.
func (c *Custodian) Holds(ctx context.Context, k Key) bool {
	_, _, err := c.ask(ctx, k, 0)
	return !errors.Is(err, ErrUnknown)
}
