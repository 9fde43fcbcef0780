package replication

import (
	"context"
	"errors"
	"time"
)

// Execute has a request recorded and carried out, and returns its outcome once a majority of its replicas has accepted that. serve
// says that the outcome is returned also where replicas are lost on the way. window is for how long after a change of the group
// a key may have been taken by others than its replicas of now.
//
// With ErrNoQuorum, ErrNoCapacity and ErrKeyUnchecked no attempt was begun. With ErrDuplicate, Await returns the outcome.
func (r *Replicator) Execute(ctx context.Context, record Record, serveWithoutQuorum bool, window time.Duration) (Outcome, error) {
	group := r.observeGroup()
	record.Owner = r.options.Self
	record.Replicas = ChooseReplicas(record.Key, r.options.Self.Name, group, r.options.Replicas)
	if record.IdempotencyKey != "" && r.options.Now()-r.lastGroupChange() < window {
		// The replicas of a key may be others than those that took it: all are asked once.
		if err := r.checkKeyUnused(ctx, &record); err != nil {
			return Outcome{}, err
		}
	}
	if !r.quorumReachable(record.Replicas) {
		r.count(func(n *Counts) { n.NoQuorum++ })
		return Outcome{}, ErrNoQuorum
	}
	if entry, _ := r.store.lookup(record.Key); entry != nil && entry.Record.Generation >= record.Generation {
		return Outcome{}, ErrDuplicate // whether or not it is a replica of the key now
	}
	work, err := r.register(ctx, record, r.newBallot(1), nil)
	if err != nil {
		return Outcome{}, err
	}
	work.serveWithoutQuorum = serveWithoutQuorum
	r.count(func(n *Counts) { n.Taken++ })
	// The record is on its way; the first intent follows it over the same links, and is not taken where the record was not.
	message := func(replica Gateway) any { return recordRequest{record, work.ballot, replica.Incarnation} }
	work.requestAll(topicRecord, message, work.countRecordReply)
	return work.run(ctx)
}

// checkKeyUnused asks all gateways of the group whether the key was taken before in the record's generation or a later one.
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

// quorumReachable says that a majority of replicas is linked, this gateway among them if it is one.
func (r *Replicator) quorumReachable(replicas []Gateway) bool {
	reachable := 0
	for _, replica := range replicas {
		if replica.Name == r.options.Self.Name || r.options.Links.To(replica.Name) != nil {
			reachable++
		}
	}
	return len(replicas) > 0 && reachable >= Majority(len(replicas))
}
