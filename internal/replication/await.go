package replication

import (
	"context"
	"errors"
	"time"

	"damsontrestle/internal/clock"
)

// Await waits until ctx ends for the outcome of a request that was submitted before, at any gateway, and returns it. generation
// identifies the request among those of its key (Record.Generation). The error is ErrUnknown, ErrOutcomeLost or ErrUndecided.
func (r *Replicator) Await(ctx context.Context, key Key) (outcome Outcome, generation uint32, err error) {
	r.count(func(n *Counts) { n.Queries++ })
	for {
		outcome, generation, err = r.queryGroup(ctx, key, findTimeout)
		switch {
		case err == nil:
			r.count(func(n *Counts) { n.QueriesAnswered++ })
			return outcome, generation, nil
		case errors.Is(err, ErrUnknown), errors.Is(err, ErrOutcomeLost):
			return Outcome{}, generation, err
		case ctx.Err() != nil || r.ctx.Err() != nil:
			return Outcome{}, generation, ErrUndecided
		}
		clock.Sleep(ctx, orphanCheckInterval)
	}
}

// queryGroup queries all gateways of the group once for the outcome of a request. It returns an outcome that one of them knows to
// be decided or that a majority of the replicas of the request has accepted with one ballot. It returns ErrUnknown once a
// majority of the current replicas of the key hold nothing for it and either all other gateways have replied or, with a zero
// timeout, stragglerTimeout has passed: a slow gateway must not delay every request of a key.
func (r *Replicator) queryGroup(ctx context.Context, key Key, timeout time.Duration) (outcome Outcome, generation uint32, err error) {
	quorumCtx, cancel := context.WithTimeout(ctx, timeout+quorumTimeout)
	defer cancel()
	replies, asked := r.pollGroup(quorumCtx, key, timeout)
	votes := newTally(ChooseReplicas(key, r.options.Self.Name, r.options.Group(), r.options.Replicas))
	var stragglerTimer <-chan time.Time
	for range asked {
		select {
		case reply := <-replies:
			if entry := votes.add(reply); entry != nil {
				return *entry.Outcome, entry.Record.Generation, nil
			}
		case <-stragglerTimer:
			return Outcome{}, votes.generation, votes.err()
		}
		if stragglerTimer == nil && timeout == 0 && votes.isUnknown() {
			timer := time.NewTimer(stragglerTimeout)
			defer timer.Stop()
			stragglerTimer = timer.C
		}
	}
	return Outcome{}, votes.generation, votes.err()
}

// pollGroup sends a query to all gateways of the group, including this one. incoming receives exactly asked replies; one from an
// unreachable gateway is nil.
func (r *Replicator) pollGroup(ctx context.Context, key Key, timeout time.Duration) (incoming <-chan groupReply, asked int) {
	links := r.options.Links.All()
	replies := make(chan groupReply, len(links)+1)
	r.find(findRequest{key, timeout}, func(reply replicaReply) { replies <- groupReply{r.options.Self.Name, &reply} })
	for _, link := range links {
		pending, err := link.Request(topicFind, findRequest{key, timeout})
		if err != nil {
			replies <- groupReply{link.Peer.Name, nil}
			continue
		}
		r.tasks.Go(func() {
			var reply replicaReply
			if pending.Wait(ctx, &reply) != nil {
				replies <- groupReply{link.Peer.Name, nil}
				return
			}
			replies <- groupReply{link.Peer.Name, &reply}
		})
	}
	return replies, len(links) + 1
}

// MayHold reports whether a gateway holds a request of the key, or whether that could not be determined.
func (r *Replicator) MayHold(ctx context.Context, key Key) bool {
	_, _, err := r.queryGroup(ctx, key, 0)
	return !errors.Is(err, ErrUnknown)
}
