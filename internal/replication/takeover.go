package replication

import (
	"context"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/fault"
)

// CheckOrphans triggers an immediate check by watchOrphans, for example after a link has ended.
func (r *Replicator) CheckOrphans() {
	select {
	case r.orphanCheck <- struct{}{}:
	default:
	}
}

// watchOrphans periodically looks for undecided requests whose owners are not alive and claims each in a separate task, until
// Close.
func (r *Replicator) watchOrphans() {
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.orphanCheck:
		case <-timer.C:
		}
		r.observeGroup()
		orphans, undecided := r.store.orphans(r.options.Self.Name, r.ownerAlive)
		for _, key := range orphans {
			r.tasks.Go(func() { r.takeOver(key) })
		}
		interval := idleCheckInterval
		if undecided {
			interval = orphanCheckInterval
		}
		timer.Reset(interval)
	}
}

// takeOver claims an orphan with a higher ballot and, once a majority has promised it, continues the request as its successor.
func (r *Replicator) takeOver(key Key) {
	defer r.store.endClaim(key)
	entry, _ := r.store.lookup(key)
	if entry == nil || entry.Decided {
		return
	}
	record := entry.Record
	ctx, cancel := context.WithTimeout(r.ctx, max(record.TimeLeft, quorumTimeout))
	defer cancel()
	ballot := r.newBallot(entry.Promised.Number + 1)
	promises, ok := r.prepare(ctx, record, ballot)
	if !ok {
		return
	}
	r.count(func(n *Counts) { n.Claimed++ })
	fault.Point("custody.claimed")
	merged, intents, outcome := Merge(promises)
	merged.Replicas = record.Replicas
	work, err := r.register(ctx, merged, ballot, intents)
	if err != nil {
		return
	}
	r.options.Log.Info("request is taken over", "class", merged.Key.Class, "id", merged.ID, "from", entry.Promised.Owner,
		"intents", len(intents), "answered", outcome != nil)
	if outcome != nil {
		err := work.settle(ctx, *outcome)
		work.unregister()
		if err != nil {
			clock.Sleep(ctx, claimRetryDelay)
		}
		return
	}
	r.count(func(n *Counts) { n.Resumed++ })
	work.run(ctx)
}

// prepare is the first phase of Paxos: it asks the replicas of a request to promise a ballot, and returns the entries of the
// promising majority. Without a majority it returns after a delay, which spaces the retries of the claim.
func (r *Replicator) prepare(ctx context.Context, record Record, ballot Ballot) (entries []Entry, ok bool) {
	replies := r.collectQuorum(ctx, record.Replicas, topicClaim, func(replica Gateway) any {
		return recordRequest{record, ballot, replica.Incarnation}
	})
	for _, reply := range replies.rejected {
		if reply.Entry != nil && reply.Entry.Decided {
			// The entry may belong to a later request of the key; its outcome also ends this request.
			r.store.decide(record.Key, record.Generation, *reply.Entry.Outcome, reply.Entry.AcceptedBy)
			return nil, false
		}
	}
	if !replies.reached() {
		clock.Sleep(ctx, ClaimRetryDelay(record.TimeLeft))
		return nil, false
	}
	for _, reply := range replies.accepted {
		entries = append(entries, *reply.Entry)
	}
	return entries, true
}

// ownerAlive reports whether the owner of a request was heard from recently enough, given the time left until its deadline.
func (r *Replicator) ownerAlive(entry *Entry, timeLeft time.Duration) bool {
	ballot := entry.Promised
	if ballot.Owner == r.options.Self.Name {
		r.mu.Lock()
		defer r.mu.Unlock()
		work := r.active[entry.Record.Key]
		return ballot.Incarnation == r.options.Self.Incarnation && work != nil && work.ballot == ballot && !work.isFenced()
	}
	link := r.linkTo(Gateway{Name: ballot.Owner, Incarnation: ballot.Incarnation})
	if link == nil {
		return false
	}
	silence := link.SinceHeartbeat()
	if silence < 2*r.options.Heartbeat {
		return true // recent enough for any request
	}
	step := r.options.NextStep(&entry.Record, entry.Intents, timeLeft)
	return silence < SuspectAfter(r.options.Heartbeat, link.RTT(), r.options.Silence, timeLeft, Servable(step))
}
