package replication

import (
	"time"

	"damsontrestle/internal/peering"
)

// Topics returns the handlers for the messages of other gateways of the group.
func (r *Replicator) Topics() map[string]peering.Handler {
	return map[string]peering.Handler{
		topicRecord: replyHandler(r.record),
		topicIntend: replyHandler(r.intend),
		topicSettle: replyHandler(r.settle),
		topicClaim:  replyHandler(r.claim),
		topicFind:   peering.RequestHandler(func(_ *peering.Link, query findRequest, reply func(replicaReply)) { r.find(query, reply) }),
		topicEnded:  peering.NotificationHandler(func(_ *peering.Link, m ownerNotice) { r.store.markNotRun(m.Key, m.Ballot, m.Attempt) }),
		topicDecide: peering.NotificationHandler(func(_ *peering.Link, request settleRequest) { r.applyDecision(request) }),
		topicRelinquish: peering.NotificationHandler(func(_ *peering.Link, m ownerNotice) {
			r.store.relinquish(m.Key, m.Ballot)
			r.CheckOrphans()
		}),
		topicWithdraw:     peering.NotificationHandler(func(_ *peering.Link, m ownerNotice) { r.store.withdraw(m.Key, m.Ballot) }),
		topicIncarnations: peering.NotificationHandler(func(from *peering.Link, m incarnationNotice) { r.handleIncarnationNotice(from.Peer.Name, m.Ago) }),
		topicRecover: peering.RequestHandler(func(_ *peering.Link, request recoverRequest, reply func(recoverReply)) {
			reply(r.serveRecovery(request))
		}),
	}
}

// replyHandler returns the handler of a message to which a replica replies immediately.
func replyHandler[Q any](f func(Q) replicaReply) peering.Handler {
	return peering.RequestHandler(func(_ *peering.Link, message Q, reply func(replicaReply)) { reply(f(message)) })
}

// record returns this replica's reply to a record from its owner.
func (r *Replicator) record(request recordRequest) replicaReply {
	if request.ReplicaIncarnation != r.options.Self.Incarnation {
		return replicaReply{Verdict: OtherIncarnation}
	}
	if request.Record.IdempotencyKey != "" && r.isRecovering() {
		return replicaReply{Verdict: OtherIncarnation} // it may have voted on the key before its restart
	}
	verdict, entry := r.store.record(request.Record, request.Ballot)
	return replicaReply{verdict, entry}
}

// intend returns this replica's reply to an intent.
func (r *Replicator) intend(request intentRequest) replicaReply {
	if request.ReplicaIncarnation != r.options.Self.Incarnation {
		return replicaReply{Verdict: OtherIncarnation}
	}
	return replicaReply{Verdict: r.store.intend(request.Key, request.Intent)}
}

// settle returns this replica's reply to a proposed outcome.
func (r *Replicator) settle(request settleRequest) replicaReply {
	if request.ReplicaIncarnation != r.options.Self.Incarnation {
		return replicaReply{Verdict: OtherIncarnation}
	}
	verdict, entry := r.store.settle(request.Key, request.Outcome, request.Ballot)
	return replicaReply{verdict, entry}
}

// claim returns this replica's reply to a successor's ballot: phase 1b of Paxos, except that it refuses while it considers the
// owner alive.
func (r *Replicator) claim(request recordRequest) replicaReply {
	if request.ReplicaIncarnation != r.options.Self.Incarnation {
		return replicaReply{Verdict: OtherIncarnation}
	}
	verdict, entry := r.store.claim(request.Record, request.Ballot, r.ownerAlive)
	return replicaReply{verdict, entry}
}

// applyDecision stores an outcome that a majority has accepted. It fences work with a lower ballot that is in progress here for
// the same request: its client receives that outcome, and does not wait for an attempt that may last until the deadline.
func (r *Replicator) applyDecision(request settleRequest) {
	r.store.decide(request.Key, request.Generation, request.Outcome, request.Ballot)
	r.mu.Lock()
	work := r.active[request.Key]
	r.mu.Unlock()
	if work != nil && work.record.Generation == request.Generation && work.ballot.Compare(request.Ballot) < 0 {
		work.fence(ErrDuplicate)
	}
}

// isRecovering reports whether an earlier incarnation of this gateway may have voted on keys that can still be repeated.
func (r *Replicator) isRecovering() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Now() < r.recoverUntil
}

// find replies with the entry of a key as soon as it is decided or the timeout of the query expires.
func (r *Replicator) find(query findRequest, reply func(replicaReply)) {
	entry, changed := r.store.lookup(query.Key)
	switch {
	case entry == nil:
		reply(replicaReply{Verdict: UnknownRequest})
		return
	case entry.Decided || query.Timeout <= 0:
		reply(replicaReply{Accepted, entry})
		return
	}
	r.tasks.Go(func() {
		entry := r.waitDecided(query.Key, entry, changed, min(query.Timeout, findTimeout))
		if entry == nil {
			reply(replicaReply{Verdict: UnknownRequest})
			return
		}
		reply(replicaReply{Accepted, entry})
	})
}

// waitDecided waits until the entry of a key is decided or dropped (nil), or the timeout expires.
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
