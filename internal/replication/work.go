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
	replicator   *Replicator
	record       Record
	ballot       Ballot
	priorIntents []Intent
	deadline     time.Duration // its client's deadline
	serveAlone   bool
	fenced       chan struct{} // closed once another has it in hand, or had its key before

	mu         sync.Mutex
	fenceErr   error // why this gateway has the request in hand no more; nil: it has
	accepted   int   // replicas that have taken its record
	duplicates int   // replicas that have another request of its key in hand, and
	rejected   int   // such as have no room
}

// begin notes that a request is in this gateway's hand.
func (r *Replicator) register(ctx context.Context, record Record, ballot Ballot, priorIntents []Intent) (*Work, error) {
	w := &Work{
		replicator:   r,
		record:       record,
		ballot:       ballot,
		priorIntents: priorIntents,
		deadline:     r.options.Now() + record.TimeLeft,
		fenced:       make(chan struct{}),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[record.Key] != nil {
		return nil, ErrDuplicate
	}
	if r.ctx.Err() != nil || r.draining && ballot.Number == 1 {
		return nil, ErrAlone
	}
	r.active[record.Key] = w
	return w, nil
}

func (w *Work) unregister() {
	w.replicator.mu.Lock()
	defer w.replicator.mu.Unlock()
	if w.replicator.active[w.record.Key] == w {
		delete(w.replicator.active, w.record.Key)
	}
}

// fence says that this gateway has the request in hand no more, and why: the first reason stands.
func (w *Work) fence(why error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenceErr == nil {
		w.fenceErr = why
		close(w.fenced)
	}
}

// recorded takes a replica's word on the record. Once no majority can take it, nothing of it begins any more.
func (w *Work) countRecordReply(reply replicaReply) {
	quorum := Majority(len(w.record.Replicas))
	w.mu.Lock()
	switch reply.Verdict {
	case Yes:
		w.accepted++
		if w.accepted == quorum {
			defer fault.Point("custody.recorded")
		}
	case Duplicate, Higher:
		w.duplicates++
	case Full, OtherIncarnation, Unknown:
		w.rejected++
	}
	impossible := w.duplicates+w.rejected > len(w.record.Replicas)-quorum
	why := ErrFull
	if w.duplicates > 0 {
		why = ErrDuplicate
	}
	w.mu.Unlock()
	if impossible {
		w.fence(why)
	}
}

// why is what a request that is fenced comes to here.
func (w *Work) fenceReason() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fenceErr
}

// run is the request's story from here on, the same for whoever has it in hand: it is run, settled and told.
func (w *Work) run(ctx context.Context) (Outcome, error) {
	defer w.unregister()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(w.replicator.ctx, cancel)
	defer stop()
	w.replicator.tasks.Go(func() {
		select {
		case <-w.fenced:
			cancel()
		case <-ctx.Done():
		}
	})
	outcome := w.replicator.options.Run(ctx, &w.record, w.priorIntents, w)
	fault.Point("custody.ran")
	err := w.conclude(ctx, outcome)
	if err == nil {
		return outcome, nil
	}
	if errors.Is(err, ErrFull) || errors.Is(err, ErrDuplicate) && w.ballot.Number == 1 {
		w.withdraw()
	}
	w.relinquish()
	if outcome.Live != nil {
		outcome.Live.Discard()
	}
	return Outcome{}, err
}

// conclude has an outcome settled, unless there is none or the work is fenced.
func (w *Work) conclude(ctx context.Context, outcome Outcome) error {
	switch {
	case w.isFenced():
		w.replicator.count(func(n *Counts) { n.Fenced++ })
		return w.fenceReason()
	case outcome.Kind == 0:
		return ErrUndecided // nobody waits for it any more, or this gateway ends
	}
	return w.settle(ctx, outcome)
}

// broadcast says something of the request to all its replicas, without waiting; own is what this gateway takes of it, if it is one of them.
func (w *Work) notifyAll(topic string, n int, own func(*store)) {
	for _, replica := range w.record.Replicas {
		if replica.Name == w.replicator.options.Self.Name {
			own(w.replicator.store)
			continue
		}
		if link := w.replicator.linkTo(replica); link != nil {
			link.Tell(topic, ownerNotice{w.record.Key, w.ballot, n})
		}
	}
}

// withdraw tells replicas that nothing of a request was begun and nothing will be: other replicas of its key had no room for it or hold
// another request. Who has taken its record, and no intent behind it, releases it, so that the key is free to be taken again.
func (w *Work) withdraw() {
	w.notifyAll(topicWithdraw, 0, func(s *store) { s.withdraw(w.record.Key, w.ballot) })
}

// release tells replicas that this gateway has the request in hand no more, so that one of them may claim it.
func (w *Work) relinquish() {
	w.notifyAll(topicRelinquish, 0, func(s *store) { s.relinquish(w.record.Key, w.ballot) })
}

// TimeLeft is the time until the request's deadline.
func (w *Work) TimeLeft() time.Duration { return w.deadline - w.replicator.options.Now() }

// Intend has an attempt allowed by a majority of the replicas; false: it must not begin. It is called when the connection is up
// and its first byte is written next.
func (w *Work) Intend(ctx context.Context, intent Intent) bool {
	intent.Ballot, intent.ID = w.ballot, w.record.ID
	for {
		if w.isFenced() {
			return false
		}
		asked := time.Now()
		quorumCtx, cancel := context.WithTimeout(ctx, min(quorumTimeout, max(w.TimeLeft(), 0)))
		replies := w.replicator.collectQuorum(quorumCtx, w.record.Replicas, topicIntend, func(replica Gateway) any {
			return intentRequest{w.record.Key, intent, replica.Incarnation}
		})
		cancel()
		if !replies.reached() {
			if replies.superseded() {
				w.fence(ErrDuplicate)
			}
			return false
		}
		fault.Point("custody.intended")
		if time.Since(asked) < w.maxIntentAge() {
			return !w.isFenced()
		}
	}
}

// fresh is how old an intent may be. Where replicas are far the way to them counts.
func (w *Work) maxIntentAge() time.Duration {
	age := w.replicator.options.MaxIntentAge
	for _, replica := range w.record.Replicas {
		if link := w.replicator.options.Links.To(replica.Name); link != nil {
			age = max(age, 4*link.RTT())
		}
	}
	return age
}

func (w *Work) isFenced() bool {
	select {
	case <-w.fenced:
		return true
	default:
		return false
	}
}

// AttemptNotRun tells replicas that an attempt has ended and has not run. Whether they hear of it decides nothing.
func (w *Work) AttemptNotRun(n int) {
	w.notifyAll(topicEnded, n, func(s *store) { s.markNotRun(w.record.Key, w.ballot, n) })
}

// finish has the outcome taken by a majority of the replicas, and then tells all of them that it was.
func (w *Work) settle(ctx context.Context, outcome Outcome) error {
	outcome.Live = nil
	quorumCtx, cancel := context.WithTimeout(ctx, max(min(quorumTimeout, w.TimeLeft()), claimRetryDelay))
	defer cancel()
	decision := settleRequest{Key: w.record.Key, Generation: w.record.Generation, Outcome: outcome, Ballot: w.ballot}
	replies := w.replicator.collectQuorum(quorumCtx, w.record.Replicas, topicSettle, func(replica Gateway) any {
		proposal := decision
		proposal.ReplicaIncarnation = replica.Incarnation
		return proposal
	})
	switch {
	case replies.reached():
		fault.Point("custody.settled")
		w.announce(decision)
		return nil
	case replies.superseded():
		w.fence(ErrDuplicate)
		w.replicator.count(func(n *Counts) { n.Fenced++ })
		return ErrDuplicate
	case w.serveAlone:
		return nil // what this gives up is said with when_alone
	}
	return ErrUndecided
}

// announce notifies all replicas of the outcome that a majority has accepted.
func (w *Work) announce(decision settleRequest) {
	w.replicator.store.decide(decision.Key, decision.Generation, decision.Outcome, decision.Ballot)
	for _, replica := range w.record.Replicas {
		if link := w.replicator.linkTo(replica); link != nil {
			link.Tell(topicDecide, decision)
		}
	}
}
