package replication

import (
	"context"
	"fmt"

	"damsontrestle/internal/peering"
)

// quorumReplies collects the replies of the replicas of a request to one message.
type quorumReplies struct {
	quorum   int // number of acceptances required
	accepted []replicaReply
	rejected []replicaReply
}

// reached reports whether a majority of the replicas has accepted.
func (q *quorumReplies) reached() bool { return len(q.accepted) >= q.quorum }

// superseded reports whether a replica has promised a higher ballot, or holds another request of the key or a decided outcome, so
// that the ballot of the message is no longer valid.
func (q *quorumReplies) superseded() bool {
	for _, reply := range q.rejected {
		if reply.Verdict == HigherBallot || reply.Verdict == Duplicate {
			return true
		}
	}
	return false
}

// add counts one reply; nil stands for a replica that is unreachable.
func (q *quorumReplies) add(reply *replicaReply) {
	switch {
	case reply == nil:
	case reply.Verdict == Accepted:
		q.accepted = append(q.accepted, *reply)
	default:
		q.rejected = append(q.rejected, *reply)
	}
}

// linkTo returns the link to a replica in the incarnation that a record names, or nil. A later incarnation is no replica of the
// record, because it has forgotten what the earlier one accepted.
func (r *Replicator) linkTo(replica Gateway) *peering.Link {
	link := r.options.Links.To(replica.Name)
	if link == nil || link.Peer.Incarnation != replica.Incarnation {
		return nil
	}
	return link
}

// requestAll sends a message to all replicas without waiting. onReply is called for each reply as it arrives, and must not block.
func (w *Work) requestAll(topic string, message func(Gateway) any, onReply func(replicaReply)) {
	replicator := w.replicator
	for _, replica := range w.record.Replicas {
		if replica.Name == replicator.options.Self.Name {
			onReply(replicator.localReply(topic, message(replica)))
			continue
		}
		replicator.request(replica, topic, message(replica), func(reply *replicaReply) {
			if reply != nil {
				onReply(*reply)
			}
		})
	}
}

// localReply returns this gateway's own reply as a replica.
func (r *Replicator) localReply(topic string, message any) replicaReply {
	switch m := message.(type) {
	case recordRequest:
		if topic == topicClaim {
			return r.claim(m)
		}
		return r.record(m)
	case intentRequest:
		return r.intend(m)
	case settleRequest:
		return r.settle(m)
	}
	panic(fmt.Sprintf("replication: local replica has no handler for topic %s", topic)) // a bug in this package
}

// request sends a message to a replica. onReply is called once with the reply, or with nil if none arrives, on the reader of the
// link or on the goroutine that ends the link; it must not block. cancel prevents the call. If the replica is unreachable in the
// incarnation that the record names, request returns nil and never calls onReply.
func (r *Replicator) request(replica Gateway, topic string, message any, onReply func(*replicaReply)) (cancel func()) {
	link := r.linkTo(replica)
	if link == nil {
		return nil
	}
	cancel, err := link.RequestAsync(topic, message, func(read func(any) error) {
		var reply replicaReply
		if read(&reply) != nil {
			onReply(nil)
			return
		}
		onReply(&reply)
	})
	if err != nil {
		return nil
	}
	return cancel
}

// collectQuorum sends a message to all replicas at once. It returns once a majority has accepted, once a majority has become
// impossible and a rejection gives the cause, once all have replied, or when ctx ends.
func (r *Replicator) collectQuorum(ctx context.Context, replicas []Gateway, topic string, message func(Gateway) any) quorumReplies {
	replies := make(chan *replicaReply, len(replicas))
	for _, replica := range replicas {
		if replica.Name == r.options.Self.Name {
			reply := r.localReply(topic, message(replica))
			replies <- &reply
			continue
		}
		cancel := r.request(replica, topic, message(replica), func(reply *replicaReply) { replies <- reply })
		if cancel == nil {
			replies <- nil
			continue
		}
		defer cancel()
	}
	collected := quorumReplies{quorum: Majority(len(replicas))}
	for remaining := len(replicas) - 1; remaining >= 0; remaining-- {
		select {
		case reply := <-replies:
			collected.add(reply)
		case <-ctx.Done():
			return collected
		}
		if collected.reached() {
			return collected
		}
		impossible := len(collected.accepted)+remaining < collected.quorum
		if impossible && len(collected.rejected) > 0 {
			return collected
		}
	}
	return collected
}
