package replication

import (
	"context"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/fault"
)

// CheckOrphans has it look for requests that nobody has in hand, now rather than soon: a link has ended.
func (r *Replicator) CheckOrphans() {
	select {
	case r.checkNow <- struct{}{}:
	default:
	}
}

// watch looks for requests that nobody has in hand, and claims them, each in a task of its own.
func (r *Replicator) watchOrphans() {
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.checkNow:
		case <-timer.C:
		}
		r.observeGroup()
		lost, open := r.store.orphans(r.options.Self.Name, r.ownerAlive)
		for _, key := range lost {
			r.tasks.Go(func() { r.takeOver(key) })
		}
		if open {
			timer.Reset(orphanCheckInterval)
		} else {
			timer.Reset(idleCheckInterval)
		}
	}
}

// takeOver claims a request that nobody has in hand, and goes on with it.
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
	accepted, rejected := r.collectQuorum(ctx, record.Replicas, topicClaim, func(replica Gateway) any { return recordRequest{record, ballot, replica.Incarnation} })
	for _, reply := range rejected {
		if reply.Entry != nil && reply.Entry.Decided {
			r.store.decide(key, record.Generation, *reply.Entry.Outcome, reply.Entry.AcceptedBy) // a later request of the key says what became of it, too
			return
		}
	}
	if len(accepted) < Majority(len(record.Replicas)) {
		clock.Sleep(ctx, ClaimRetryDelay(record.TimeLeft))
		return
	}
	r.count(func(n *Counts) { n.Claimed++ })
	fault.Point("custody.claimed")
	var entries []Entry
	for _, reply := range accepted {
		entries = append(entries, *reply.Entry)
	}
	replicas := record.Replicas
	record, intents, outcome := Merge(entries)
	record.Replicas = replicas
	w, err := r.register(ctx, record, ballot, intents)
	if err != nil {
		return
	}
	r.options.Log.Info("request is taken over", "class", record.Key.Class, "id", record.ID, "from", entry.Promised.Owner, "intents", len(intents), "answered", outcome != nil)
	if outcome != nil {
		err := w.settle(ctx, *outcome)
		w.unregister()
		if err != nil {
			clock.Sleep(ctx, claimRetryDelay)
		}
		return
	}
	r.count(func(n *Counts) { n.Resumed++ })
	w.run(ctx)
}

// ownerAlive says that whoever has a request in hand is heard here, lately enough for the time that the request has left.
func (r *Replicator) ownerAlive(entry *Entry, timeLeft time.Duration) bool {
	ballot := entry.Promised
	if ballot.Owner == r.options.Self.Name {
		r.mu.Lock()
		defer r.mu.Unlock()
		w := r.active[entry.Record.Key]
		return ballot.Incarnation == r.options.Self.Incarnation && w != nil && w.ballot == ballot && !w.isFenced()
	}
	link := r.options.Links.To(ballot.Owner)
	if link == nil || link.Peer.Incarnation != ballot.Incarnation {
		return false
	}
	quiet := link.Quiet()
	if quiet < 2*r.options.Heartbeat {
		return true // whatever the request, it is soon enough
	}
	return quiet < SuspectAfter(r.options.Heartbeat, link.RTT(), r.options.Silence, timeLeft, Servable(r.options.Step(&entry.Record, entry.Intents, timeLeft)))
}
