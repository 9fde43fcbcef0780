package replication

import (
	"context"
	"errors"
	"sync"
	"time"

	"damsontrestle/internal/fault"
)

// Work is a request that this gateway carries, by one ballot. It is fenced once the ballot is superseded: from then on it begins
// no attempt and settles nothing.
type Work struct {
	replicator         *Replicator
	record             Record
	ballot             Ballot
	priorIntents       []Intent      // of earlier owners
	deadline           time.Duration // of the client, by Options.Now
	serveWithoutQuorum bool          // the outcome counts though no quorum accepted it
	fenced             chan struct{} // closed with fenceErr

	mu         sync.Mutex
	fenceErr   error // why it is fenced; nil: it is not
	accepted   int   // replicas that have accepted its record,
	duplicates int   // that go by another request of its key or a higher ballot,
	rejected   int   // and that have no capacity or have restarted
}

// register makes a request the work of this gateway. ErrDuplicate: it carries one of that key already. ErrNoQuorum: it shuts down.
func (r *Replicator) register(ctx context.Context, record Record, ballot Ballot, priorIntents []Intent) (*Work, error) {
	work := &Work{
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
		return nil, ErrNoQuorum
	}
	r.active[record.Key] = work
	return work, nil
}

// unregister ends the work: the gateway carries the request no more.
func (w *Work) unregister() {
	w.replicator.mu.Lock()
	defer w.replicator.mu.Unlock()
	if w.replicator.active[w.record.Key] == w {
		delete(w.replicator.active, w.record.Key)
	}
}

// fence ends the right of this gateway to begin attempts of the request. The first reason stands.
func (w *Work) fence(reason error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenceErr == nil {
		w.fenceErr = reason
		close(w.fenced)
	}
}

// countRecordReply counts a replica's reply to the record. Once no majority can accept it the work is fenced.
func (w *Work) countRecordReply(reply replicaReply) {
	quorum := Majority(len(w.record.Replicas))
	w.mu.Lock()
	switch reply.Verdict {
	case Accepted:
		w.accepted++
		if w.accepted == quorum {
			defer fault.Point("custody.recorded")
		}
	case Duplicate, HigherBallot:
		w.duplicates++
	case NoCapacity, OtherIncarnation, UnknownRequest:
		w.rejected++
	}
	impossible := w.duplicates+w.rejected > len(w.record.Replicas)-quorum
	reason := ErrNoCapacity
	if w.duplicates > 0 {
		reason = ErrDuplicate
	}
	w.mu.Unlock()
	if impossible {
		w.fence(reason)
	}
}

// fenceReason is why the work is fenced; nil: it is not.
func (w *Work) fenceReason() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fenceErr
}

// run carries the request out and settles its outcome, the same for an owner and a successor. The first error of Execute stands
// for what it returns.
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
	if errors.Is(err, ErrNoCapacity) || errors.Is(err, ErrDuplicate) && w.ballot.Number == 1 {
		w.withdraw()
	}
	w.relinquish()
	if outcome.Response != nil {
		outcome.Response.Discard()
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

// notifyAll sends a notice on the request to all its replicas without waiting; own applies it to this gateway's store, if it is
// a replica.
func (w *Work) notifyAll(topic string, attempt int, applyLocal func(*store)) {
	for _, replica := range w.record.Replicas {
		if replica.Name == w.replicator.options.Self.Name {
			applyLocal(w.replicator.store)
			continue
		}
		if link := w.replicator.linkTo(replica); link != nil {
			link.Tell(topic, ownerNotice{w.record.Key, w.ballot, attempt})
		}
	}
}

// withdraw notifies replicas that no attempt of the request was begun and none will be: other replicas of its key had no
// capacity for it or hold another request. Those that accepted its record, and no intent behind it, drop it, so that the key is
// free.
func (w *Work) withdraw() {
	w.notifyAll(topicWithdraw, 0, func(s *store) { s.withdraw(w.record.Key, w.ballot) })
}

// relinquish notifies replicas that this gateway carries the request no more, so that a successor claims it at once.
func (w *Work) relinquish() {
	w.notifyAll(topicRelinquish, 0, func(s *store) { s.relinquish(w.record.Key, w.ballot) })
}

// TimeLeft is the time until the request's deadline; negative past it.
func (w *Work) TimeLeft() time.Duration { return w.deadline - w.replicator.options.Now() }

// Intend has a majority of the replicas accept an attempt's intent; false: the attempt must not begin. It is called when the
// connection is up and the first byte is written next: an intent that has grown old by then is asked for again, for a successor
// may have claimed the request meanwhile.
func (w *Work) Intend(ctx context.Context, intent Intent) bool {
	intent.Ballot = w.ballot
	intent.ID = w.record.ID
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

// maxIntentAge is how old an intent may be when the first byte is written. Where replicas are far the round trip counts.
func (w *Work) maxIntentAge() time.Duration {
	age := w.replicator.options.MaxIntentAge
	for _, replica := range w.record.Replicas {
		if link := w.replicator.options.Links.To(replica.Name); link != nil {
			age = max(age, 4*link.RTT())
		}
	}
	return age
}

// isFenced says that the work is fenced.
func (w *Work) isFenced() bool {
	select {
	case <-w.fenced:
		return true
	default:
		return false
	}
}

// NotifyNotRun notifies replicas that an attempt has ended and has not run. Nothing depends on whether they hear it; a
// successor that knows it may send the request again.
func (w *Work) NotifyNotRun(attempt int) {
	w.notifyAll(topicEnded, attempt, func(s *store) { s.markNotRun(w.record.Key, w.ballot, attempt) })
}

// settle has a majority of the replicas accept the outcome, and then notifies all of them that it is decided. ErrDuplicate: the
// ballot is superseded. ErrUndecided: no quorum has replied.
func (w *Work) settle(ctx context.Context, outcome Outcome) error {
	outcome.Response = nil
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
	case w.serveWithoutQuorum:
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
