package replication

import (
	"context"
	"errors"
	"time"
)

// Execute records a request at its replicas, executes it, and returns its outcome once a majority of the replicas has accepted
// it. With serveWithoutQuorum it also returns an outcome that no majority accepted because replicas were lost meanwhile. For the
// duration window after a change of the group, an idempotency key may have been used at other replicas than its current ones;
// during that time Execute first queries all gateways.
//
// On ErrNoQuorum, ErrNoCapacity and ErrKeyUnchecked no attempt was begun. On ErrDuplicate, Await returns the outcome.
func (r *Replicator) Execute(ctx context.Context, record Record, serveWithoutQuorum bool, window time.Duration) (Outcome, error) {
	group := r.observeGroup()
	record.Owner = r.options.Self
	record.Replicas = ChooseReplicas(record.Key, r.options.Self.Name, group, r.options.Replicas)
	if record.IdempotencyKey != "" && r.options.Now()-r.lastGroupChange() < window {
		// The key may have been recorded at other replicas than the current ones: query all gateways once.
		if err := r.checkKeyUnused(ctx, &record); err != nil {
			return Outcome{}, err
		}
	}
	if !r.quorumReachable(record.Replicas) {
		r.count(func(n *Counts) { n.NoQuorum++ })
		return Outcome{}, ErrNoQuorum
	}
	if entry, _ := r.store.lookup(record.Key); entry != nil && entry.Record.Generation >= record.Generation {
		return Outcome{}, ErrDuplicate // even if this gateway is no longer a replica of the key
	}
	work, err := r.register(ctx, record, r.newBallot(1), nil)
	if err != nil {
		return Outcome{}, err
	}
	work.serveWithoutQuorum = serveWithoutQuorum
	r.count(func(n *Counts) { n.Taken++ })
	// Don't wait for the replies: the first intent follows the record over the same links, and replicas without the record reject it.
	message := func(replica Gateway) any { return recordRequest{record, work.ballot, replica.Incarnation} }
	work.requestAll(topicRecord, message, work.countRecordReply)
	return work.run(ctx)
}

// checkKeyUnused queries all gateways of the group for whether the key was used before in the generation of the record or a later
// one.
func (r *Replicator) checkKeyUnused(ctx context.Context, record *Record) error {
	_, generation, err := r.queryGroup(ctx, record.Key, 0)
	if errors.Is(err, ErrKeyUnchecked) {
		return err
	}
	if !errors.Is(err, ErrUnknown) && generation >= record.Generation {
		return ErrDuplicate
	}
	return nil
}

// quorumReachable reports whether a majority of the replicas is reachable, counting this gateway if it is one of them.
func (r *Replicator) quorumReachable(replicas []Gateway) bool {
	reachable := 0
	for _, replica := range replicas {
		if replica.Name == r.options.Self.Name || r.options.Links.To(replica.Name) != nil {
			reachable++
		}
	}
	return len(replicas) > 0 && reachable >= Majority(len(replicas))
}
