package replication

import (
	"context"
	"errors"
	"time"

	"damsontrestle/internal/clock"
)

// Await brings the one answer to a request that was taken before, at whichever gateway, and waits for it as long as ctx goes on.
// gen is which of the requests of its key it was, for Record.Gen.
func (r *Replicator) Await(ctx context.Context, key Key) (outcome Outcome, generation uint32, err error) {
	r.count(func(n *Counts) { n.Asked++ })
	for {
		outcome, generation, err = r.queryGroup(ctx, key, findTimeout)
		switch {
		case err == nil:
			r.count(func(n *Counts) { n.Found++ })
			return outcome, generation, nil
		case errors.Is(err, ErrUnknown), errors.Is(err, ErrForgotten):
			return Outcome{}, generation, err
		case ctx.Err() != nil || r.ctx.Err() != nil:
			return Outcome{}, generation, ErrUndecided
		}
		clock.Sleep(ctx, orphanCheckInterval)
	}
}

// query asks all gateways of the group once what became of a request. An outcome is told that one of them knows to be decided, or
// that a majority of the request's replicas has taken by one ballot. That nobody knows it is said once a majority says so of those
// who would be its replicas now, and the others have said so too or have had slowest to say anything: one who is slow must not cost
// each request of a key its time.
func (r *Replicator) queryGroup(ctx context.Context, key Key, timeout time.Duration) (outcome Outcome, generation uint32, err error) {
	quorumCtx, cancel := context.WithTimeout(ctx, timeout+quorumTimeout)
	defer cancel()
	replies, asked := r.pollGroup(quorumCtx, key, timeout)
	votes := newTally(ChooseReplicas(key, r.options.Self.Name, r.options.Group(), r.options.Replicas))
	var late <-chan time.Time
	for left := asked; left > 0; left-- {
		select {
		case reply := <-replies:
			if entry := votes.add(reply); entry != nil {
				return *entry.Outcome, entry.Record.Generation, nil
			}
		case <-late:
			return Outcome{}, votes.generation, votes.err()
		}
		if late == nil && timeout == 0 && votes.isUnknown() {
			timer := time.NewTimer(stragglerTimeout)
			defer timer.Stop()
			late = timer.C
		}
	}
	return Outcome{}, votes.generation, votes.err()
}

// queryAll asks all gateways of the group, this one among them. As many answers come as were asked.
func (r *Replicator) pollGroup(quorumCtx context.Context, key Key, timeout time.Duration) (answers <-chan groupReply, asked int) {
	links := r.options.Links.All()
	replies := make(chan groupReply, len(links)+1)
	r.find(findRequest{key, timeout}, func(reply replicaReply) { replies <- groupReply{r.options.Self.Name, &reply} })
	for _, link := range links {
		a, err := link.Request(topicFind, findRequest{key, timeout})
		if err != nil {
			replies <- groupReply{link.Peer.Name, nil}
			continue
		}
		r.tasks.Go(func() {
			var reply replicaReply
			if a.Wait(quorumCtx, &reply) != nil {
				replies <- groupReply{link.Peer.Name, nil}
				return
			}
			replies <- groupReply{link.Peer.Name, &reply}
		})
	}
	return replies, len(links) + 1
}

// Holds says that somebody holds a request of a key, or that nobody could tell.
func (r *Replicator) Holds(ctx context.Context, key Key) bool {
	_, _, err := r.queryGroup(ctx, key, 0)
	return !errors.Is(err, ErrUnknown)
}
