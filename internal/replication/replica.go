package replication

import (
	"time"

	"damsontrestle/internal/peering"
)

// Topics are how others reach it.
func (r *Replicator) Topics() map[string]peering.Handler {
	return map[string]peering.Handler{
		topicRecord: replyHandler(r.record),
		topicIntend: replyHandler(r.intend),
		topicSettle: replyHandler(r.settle),
		topicClaim:  replyHandler(r.claim),
		topicFind:   peering.Answer(func(_ *peering.Link, query findRequest, answer func(replicaReply)) { r.find(query, answer) }),
		topicEnded:  peering.Hear(func(_ *peering.Link, m ownerNotice) { r.store.markNotRun(m.Key, m.Ballot, m.Attempt) }),
		topicDecide: peering.Hear(func(_ *peering.Link, request settleRequest) { r.applyDecision(request) }),
		topicRelinquish: peering.Hear(func(_ *peering.Link, m ownerNotice) {
			r.store.relinquish(m.Key, m.Ballot)
			r.CheckOrphans()
		}),
		topicWithdraw:     peering.Hear(func(_ *peering.Link, m ownerNotice) { r.store.withdraw(m.Key, m.Ballot) }),
		topicIncarnations: peering.Hear(func(from *peering.Link, m incarnationNotice) { r.noteIncarnationEnd(from.Peer.Name, m.Ago) }),
		topicRecover: peering.Answer(func(_ *peering.Link, request recoverRequest, answer func(recoverReply)) {
			answer(r.serveRecovery(request))
		}),
	}
}

// handler is a handler of what a replica answers at once.
func replyHandler[Q any](f func(Q) replicaReply) peering.Handler {
	return peering.Answer(func(_ *peering.Link, q Q, answer func(replicaReply)) { answer(f(q)) })
}

func (r *Replicator) record(request recordRequest) replicaReply {
	if request.ReplicaIncarnation != r.options.Self.Incarnation || request.Record.IdempotencyKey != "" && r.isRecovering() {
		return replicaReply{Verdict: OtherIncarnation}
	}
	verdict, entry := r.store.record(request.Record, request.Ballot)
	return replicaReply{verdict, entry}
}

func (r *Replicator) intend(request intentRequest) replicaReply {
	if request.ReplicaIncarnation != r.options.Self.Incarnation {
		return replicaReply{Verdict: OtherIncarnation}
	}
	return replicaReply{Verdict: r.store.intend(request.Key, request.Intent)}
}

func (r *Replicator) settle(request settleRequest) replicaReply {
	if request.ReplicaIncarnation != r.options.Self.Incarnation {
		return replicaReply{Verdict: OtherIncarnation}
	}
	verdict, entry := r.store.settle(request.Key, request.Outcome, request.Ballot)
	return replicaReply{verdict, entry}
}

func (r *Replicator) claim(request recordRequest) replicaReply {
	if request.ReplicaIncarnation != r.options.Self.Incarnation {
		return replicaReply{Verdict: OtherIncarnation}
	}
	verdict, entry := r.store.claim(request.Record, request.Ballot, r.ownerAlive)
	return replicaReply{verdict, entry}
}

// decided notes an outcome that a majority has taken. Work that is still under way here for the same request is over: its client
// hears that outcome, and need not wait for an attempt that may take until the deadline.
func (r *Replicator) applyDecision(request settleRequest) {
	r.store.decide(request.Key, request.Generation, request.Outcome, request.Ballot)
	r.mu.Lock()
	w := r.active[request.Key]
	r.mu.Unlock()
	if w != nil && w.record.Generation == request.Generation && w.ballot.Compare(request.Ballot) < 0 {
		w.fence(ErrDuplicate)
	}
}

// isRecovering says that this gateway may have taken a key in an earlier incarnation, whose repeats may still come.
func (r *Replicator) isRecovering() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Now() < r.recoverUntil
}

// find answers with what is held of a key, as soon as it is decided, or when the wait is over.
func (r *Replicator) find(query findRequest, reply func(replicaReply)) {
	entry, changed := r.store.lookup(query.Key)
	switch {
	case entry == nil:
		reply(replicaReply{Verdict: Unknown})
		return
	case entry.Decided || query.Timeout <= 0:
		reply(replicaReply{Yes, entry})
		return
	}
	r.tasks.Go(func() {
		entry := r.waitDecided(query.Key, entry, changed, min(query.Timeout, findTimeout))
		if entry == nil {
			reply(replicaReply{Verdict: Unknown})
			return
		}
		reply(replicaReply{Yes, entry})
	})
}

// waitDecided waits until the entry of a key is decided, was dropped (nil), or the time is over.
func (r *Replicator) waitDecided(key Key, entry *Entry, changed <-chan struct{}, timeout time.Duration) *Entry {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for entry != nil && !entry.Decided {
		select {
		case <-changed:
			entry, changed = r.store.lookup(key)
		case <-timer.C:
			return entry
		case <-r.ctx.Done():
			return entry
		}
	}
	return entry
}
