package replication

import (
	"context"
	"errors"
	"time"

	"damsontrestle/internal/clock"
)

// Await returns the outcome of a request that was taken before, at whichever gateway, and waits for it until ctx ends.
// generation says which request of its key it was (Record.Generation). Errors: ErrUnknown, ErrOutcomeLost, ErrUndecided.
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

// queryGroup asks all gateways of the group once for the outcome of a request. An outcome is returned that one of them knows to
// be decided, or that a majority of the request's replicas has accepted by one ballot. ErrUnknown is returned once a majority
// of those who would be its replicas now hold nothing of it, and the others have replied too or stragglerTimeout is over: a
// slow gateway must not cost each request of a key its time.
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

// pollGroup sends a query to all gateways of the group, this one among them. As many replies come as were asked for.
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

// MayHold says that a gateway holds a request of the key, or that none could tell.
func (r *Replicator) MayHold(ctx context.Context, key Key) bool {
	_, _, err := r.queryGroup(ctx, key, 0)
	return !errors.Is(err, ErrUnknown)
}
