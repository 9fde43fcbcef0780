package replication

import (
	"context"
	"fmt"
)

// send asks replicas something without waiting; each word is told as it comes.
func (w *Work) requestAll(topic string, message func(Gateway) any, onReply func(replicaReply)) {
	r := w.replicator
	for _, replica := range w.record.Replicas {
		if replica.Name == r.options.Self.Name {
			onReply(r.localReply(topic, message(replica)))
			continue
		}
		r.request(replica, topic, message(replica), func(reply *replicaReply) {
			if reply != nil {
				onReply(*reply)
			}
		})
	}
}

// localReply is this gateway's own word as a replica.
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
	panic(fmt.Sprintf("replication: no replica answers %s", topic)) // a defect of this package
}

// send sends a question to a replica. told hears its word once, on the link's reader, or nil where none comes; it must not block.
// nil: the replica is not to be reached in the incarnation that the record names, and told hears nothing.
func (r *Replicator) request(replica Gateway, topic string, message any, onReply func(*replicaReply)) (forget func()) {
	link := r.options.Links.To(replica.Name)
	if link == nil || link.Peer.Incarnation != replica.Incarnation {
		return nil
	}
	forget, err := link.RequestAsync(topic, message, func(read func(any) error) {
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
	return forget
}

// collect asks all replicas at once, and returns when enough of them have said yes, or can't any more, or ctx ends.
func (r *Replicator) collectQuorum(ctx context.Context, replicas []Gateway, topic string, message func(Gateway) any) (accepted, rejected []replicaReply) {
	replies := make(chan *replicaReply, len(replicas))
	for _, replica := range replicas {
		if replica.Name == r.options.Self.Name {
			reply := r.localReply(topic, message(replica))
			replies <- &reply
			continue
		}
		forget := r.request(replica, topic, message(replica), func(reply *replicaReply) { replies <- reply })
		if forget == nil {
			replies <- nil
			continue
		}
		defer forget()
	}
	quorum := Majority(len(replicas))
	for left := len(replicas); left > 0; left-- {
		var reply *replicaReply
		select {
		case reply = <-replies:
		case <-ctx.Done():
			return accepted, rejected
		}
		switch {
		case reply == nil:
		case reply.Verdict == Yes:
			accepted = append(accepted, *reply)
		default:
			rejected = append(rejected, *reply)
		}
		if len(accepted) >= quorum || len(accepted)+left-1 < quorum && len(rejected) > 0 {
			break
		}
	}
	return accepted, rejected
}
