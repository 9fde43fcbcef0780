package replication

import (
	"context"
	"errors"
	"sync"
	"time"

	"damsontrestle/internal/fault"
)

// Work is the execution of a request by this gateway with one ballot. It is fenced once the ballot is superseded, once no
// majority can accept its record, or at shutdown; after that it begins no attempt and settles no outcome.
type Work struct {
	replicator         *Replicator
	record             Record
	ballot             Ballot
	priorIntents       []Intent      // attempts that earlier owners were permitted
	deadline           time.Duration // deadline of the client by Options.Now
	serveWithoutQuorum bool          // return the outcome even if no quorum accepted it
	fenced             chan struct{} // closed when fenceErr is set

	mu         sync.Mutex
	fenceErr   error // why the work is fenced; nil: it is not
	accepted   int   // replicas that have accepted the record
	duplicates int   // replicas that hold another request of the key or a higher ballot
	rejected   int   // replicas that have no capacity or have restarted
}

// register adds a request to the active work of this gateway. It returns ErrDuplicate if there is active work for the key, and
// ErrNoQuorum if the gateway is shutting down.
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

// unregister removes the work from the active work of the gateway.
func (w *Work) unregister() {
	w.replicator.mu.Lock()
	defer w.replicator.mu.Unlock()
	if w.replicator.active[w.record.Key] == w {
		delete(w.replicator.active, w.record.Key)
	}
}

// fence ends the right of this gateway to begin attempts of the request. Only the first reason is kept.
func (w *Work) fence(reason error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenceErr == nil {
		w.fenceErr = reason
		close(w.fenced)
	}
}

// countRecordReply counts the reply of a replica to the record, and fences the work once no majority can accept the record.
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

// fenceReason returns why the work is fenced, or nil.
func (w *Work) fenceReason() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fenceErr
}

// run executes the request and settles its outcome, for an owner or a successor. It returns the reason of the fence if the work
// was fenced.
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

// conclude settles an outcome, unless there is none or the work is fenced.
func (w *Work) conclude(ctx context.Context, outcome Outcome) error {
	switch {
	case w.isFenced():
		w.replicator.count(func(n *Counts) { n.Fenced++ })
		return w.fenceReason()
	case outcome.Kind == 0:
		return ErrUndecided // ctx ended: the client no longer waits, or this gateway is shutting down
	}
	return w.settle(ctx, outcome)
}

// notifyAll sends a notice about the request to all its replicas without waiting. If this gateway is a replica, applyLocal
// applies the notice to its store.
func (w *Work) notifyAll(topic string, attempt int, applyLocal func(*store)) {
	for _, replica := range w.record.Replicas {
		if replica.Name == w.replicator.options.Self.Name {
			applyLocal(w.replicator.store)
			continue
		}
		if link := w.replicator.linkTo(replica); link != nil {
			link.Notify(topic, ownerNotice{w.record.Key, w.ballot, attempt})
		}
	}
}

// withdraw notifies the replicas that no attempt of the request was or will be begun, because other replicas have no capacity for
// it or hold another request of the key. Replicas that accepted the record but no intent drop it, which frees the key.
func (w *Work) withdraw() {
	w.notifyAll(topicWithdraw, 0, func(s *store) { s.withdraw(w.record.Key, w.ballot) })
}

// relinquish notifies the replicas that this gateway no longer executes the request, so that a successor claims it without delay.
func (w *Work) relinquish() {
	w.notifyAll(topicRelinquish, 0, func(s *store) { s.relinquish(w.record.Key, w.ballot) })
}

// TimeLeft returns the time until the deadline of the request; it is negative after the deadline.
func (w *Work) TimeLeft() time.Duration { return w.deadline - w.replicator.options.Now() }

// Intend reports whether an attempt may begin: a majority of the replicas has accepted its intent. The caller calls it when the
// connection is established and the first byte is about to be written. An intent that is too old by the time of its acceptance is
// requested again, because a successor may have claimed the request meanwhile.
func (w *Work) Intend(ctx context.Context, intent Intent) bool {
	intent.Ballot = w.ballot
	intent.ID = w.record.ID
	for {
		if w.isFenced() {
			return false
		}
		requestedAt := time.Now()
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
		if time.Since(requestedAt) < w.maxIntentAge() {
			return !w.isFenced()
		}
	}
}

// maxIntentAge returns the maximum age of an intent when the first byte is written: Options.MaxIntentAge, or four round trips to
// the most distant replica if that is longer.
func (w *Work) maxIntentAge() time.Duration {
	age := w.replicator.options.MaxIntentAge
	for _, replica := range w.record.Replicas {
		if link := w.replicator.options.Links.To(replica.Name); link != nil {
			age = max(age, 4*link.RTT())
		}
	}
	return age
}

// isFenced reports whether the work is fenced.
func (w *Work) isFenced() bool {
	select {
	case <-w.fenced:
		return true
	default:
		return false
	}
}

// NotifyNotRun notifies the replicas that an attempt has ended and has not run. Safety does not depend on the notice, but a
// successor that has received it can resend the request.
func (w *Work) NotifyNotRun(attempt int) {
	w.notifyAll(topicEnded, attempt, func(s *store) { s.markNotRun(w.record.Key, w.ballot, attempt) })
}

// settle proposes the outcome to the replicas and, once a majority has accepted it, notifies all of them that it is decided. It
// returns ErrDuplicate if the ballot is superseded, and ErrUndecided if no quorum replied.
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
		return nil // the setting when_alone documents what is lost here
	}
	return ErrUndecided
}

// announce notifies all replicas of the outcome that a majority has accepted.
func (w *Work) announce(decision settleRequest) {
	w.replicator.store.decide(decision.Key, decision.Generation, decision.Outcome, decision.Ballot)
	for _, replica := range w.record.Replicas {
		if link := w.replicator.linkTo(replica); link != nil {
			link.Notify(topicDecide, decision)
		}
	}
}
