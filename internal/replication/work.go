package replication

import (
	"context"
	"errors"
	"sync"
	"time"

	"damsontrestle/internal/fault"
)

// Work is a request that this gateway has in hand.
type Work struct {
	c       *Replicator
	r       Record
	by      Ballot
	earlier []Intent
	until   time.Duration // its client's deadline
	serve   bool
	fenced  chan struct{} // closed once another has it in hand, or had its key before

	mu    sync.Mutex
	lost  error // why this gateway has the request in hand no more; nil: it has
	yes   int   // replicas that have taken its record
	taken int   // replicas that have another request of its key in hand, and
	full  int   // such as have no room
}

// begin notes that a request is in this gateway's hand.
func (c *Replicator) begin(ctx context.Context, r Record, by Ballot, earlier []Intent) (*Work, error) {
	w := &Work{c: c, r: r, by: by, earlier: earlier, until: c.o.Now() + r.Left, fenced: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.works[r.Key] != nil {
		return nil, ErrDuplicate
	}
	if c.ctx.Err() != nil || c.ending && by.Number == 1 {
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

// fence says that this gateway has the request in hand no more, and why: the first reason stands.
func (w *Work) fence(why error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost == nil {
		w.lost = why
		close(w.fenced)
	}
}

// recorded takes a replica's word on the record. Once no majority can take it, nothing of it begins any more.
func (w *Work) recorded(said replicaReply) {
	w.mu.Lock()
	switch said.Verdict {
	case Yes:
		if w.yes++; w.yes == Majority(len(w.r.Replicas)) {
			defer fault.Point("custody.recorded")
		}
	case Duplicate, Higher:
		w.taken++
	case Full, OtherIncarnation, Unknown:
		w.full++
	}
	lost := w.taken+w.full > len(w.r.Replicas)-Majority(len(w.r.Replicas))
	why := ErrFull
	if w.taken > 0 {
		why = ErrDuplicate
	}
	w.mu.Unlock()
	if lost {
		w.fence(why)
	}
}

// why is what a request that is fenced comes to here.
func (w *Work) why() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// run is the request's story from here on, the same for whoever has it in hand: it is run, settled and told.
func (w *Work) run(ctx context.Context) (Outcome, error) {
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
	err := ErrUndecided // nobody waits for it any more, or this gateway ends
	if w.isOver() {
		w.c.count(func(n *Counts) { n.Fenced++ })
		err = w.why()
	} else if out.Kind != 0 {
		if err = w.finish(ctx, out); err == nil {
			return out, nil
		}
	}
	if errors.Is(err, ErrFull) || errors.Is(err, ErrDuplicate) && w.by.Number == 1 {
		w.withdraw()
	}
	w.release()
	if out.Live != nil {
		out.Live.Discard()
	}
	return Outcome{}, err
}

// broadcast says something of the request to all its replicas, without waiting; own is what this gateway takes of it, if it is one of them.
func (w *Work) broadcast(topic string, n int, own func(*store)) {
	for _, v := range w.r.Replicas {
		if v.Name == w.c.o.Self.Name {
			own(w.c.store)
		} else if l := w.c.o.Links.To(v.Name); l != nil && l.Peer.Incarnation == v.Incarnation {
			l.Tell(topic, endedMsg{w.r.Key, w.by, n})
		}
	}
}

// withdraw tells replicas that nothing of a request was begun and nothing will be: other replicas of its key had no room for it or hold
// another request. Who has taken its record, and no intent behind it, releases it, so that the key is free to be taken again.
func (w *Work) withdraw() {
	w.broadcast(topicDrop, 0, func(s *store) { s.withdraw(w.r.Key, w.by) })
}

// release tells replicas that this gateway has the request in hand no more, so that one of them may claim it.
func (w *Work) release() {
	w.broadcast(topicHand, 0, func(s *store) { s.hand(w.r.Key, w.by) })
}

// Left is the time until the request's deadline.
func (w *Work) Left() time.Duration { return w.until - w.c.o.Now() }

// Intend has an attempt allowed by a majority of the replicas; false: it must not begin. It is called when the connection is up
// and its first byte is written next.
func (w *Work) Intend(ctx context.Context, in Intent) bool {
	in.By, in.ID = w.by, w.r.ID
	for {
		if w.isOver() {
			return false
		}
		asked := time.Now()
		limit, cancel := context.WithTimeout(ctx, min(pollLimit, max(w.Left(), 0)))
		yes, no := w.c.collect(limit, w.r.Replicas, topicIntend, func(v Gateway) any { return intendMsg{w.r.Key, in, v.Incarnation} })
		cancel()
		if len(yes) < Majority(len(w.r.Replicas)) {
			for _, said := range no {
				if said.Verdict == Higher || said.Verdict == Duplicate {
					w.fence(ErrDuplicate)
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

// fresh is how old an intent may be. Where replicas are far the way to them counts.
func (w *Work) fresh() time.Duration {
	d := w.c.o.Fresh
	for _, v := range w.r.Replicas {
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

// Ended tells replicas that an attempt has ended and has not run. Whether they hear of it decides nothing.
func (w *Work) Ended(n int) {
	w.broadcast(topicEnded, n, func(s *store) { s.ended(w.r.Key, w.by, n) })
}

// finish has the outcome taken by a majority of the replicas, and then tells all of them that it was.
func (w *Work) finish(ctx context.Context, out Outcome) error {
	out.Live = nil
	limit, cancel := context.WithTimeout(ctx, max(min(pollLimit, w.Left()), claimRetryDelay))
	defer cancel()
	yes, no := w.c.collect(limit, w.r.Replicas, topicSettle, func(v Gateway) any {
		return settleMsg{Key: w.r.Key, Gen: w.r.Gen, Outcome: out, By: w.by, Incarnation: v.Incarnation}
	})
	if len(yes) < Majority(len(w.r.Replicas)) {
		for _, said := range no {
			if said.Verdict == Higher || said.Verdict == Duplicate {
				w.fence(ErrDuplicate)
				w.c.count(func(n *Counts) { n.Fenced++ })
				return ErrDuplicate
			}
		}
		if w.serve {
			return nil // what this gives up is said with when_alone
		}
		return ErrUndecided
	}
	fault.Point("custody.settled")
	w.c.store.decide(w.r.Key, w.r.Gen, out, w.by)
	for _, v := range w.r.Replicas {
		if l := w.c.o.Links.To(v.Name); l != nil && l.Peer.Incarnation == v.Incarnation {
			l.Tell(topicDecide, settleMsg{Key: w.r.Key, Gen: w.r.Gen, Outcome: out, By: w.by})
		}
	}
	return nil
}
