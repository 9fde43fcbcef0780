package replication

import (
	"context"
	"errors"
	"sync"
	"time"

	"damsontrestle/internal/fault"
)

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
