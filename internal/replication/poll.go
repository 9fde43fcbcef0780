package replication

import (
	"context"
	"fmt"
)

// send asks replicas something without waiting; each word is told as it comes.
func (w *Work) send(topic string, message func(Gateway) any, told func(replicaReply)) {
	c := w.c
	for _, v := range w.r.Replicas {
		if v.Name == c.o.Self.Name {
			told(c.localReply(topic, message(v)))
			continue
		}
		c.send(v, topic, message(v), func(said *replicaReply) {
			if said != nil {
				told(*said)
			}
		})
	}
}

// localReply is this gateway's own word as a replica.
func (c *Replicator) localReply(topic string, message any) replicaReply {
	switch m := message.(type) {
	case recordMsg:
		if topic == topicClaim {
			return c.claim(m)
		}
		return c.record(m)
	case intendMsg:
		return c.intend(m)
	case settleMsg:
		return c.settle(m)
	}
	panic(fmt.Sprintf("custody: %s is asked of nobody", topic)) // a defect of this package
}

// send sends a question to a replica. told hears its word once, on the link's reader, or nil where none comes; it must not block.
// nil: the replica is not to be reached in the incarnation that the record names, and told hears nothing.
func (c *Replicator) send(v Gateway, topic string, message any, told func(*replicaReply)) (forget func()) {
	l := c.o.Links.To(v.Name)
	if l == nil || l.Peer.Incarnation != v.Incarnation {
		return nil
	}
	forget, err := l.RequestAsync(topic, message, func(read func(any) error) {
		var said replicaReply
		if read(&said) != nil {
			told(nil)
			return
		}
		told(&said)
	})
	if err != nil {
		return nil
	}
	return forget
}

// collect asks all replicas at once, and returns when enough of them have said yes, or can't any more, or ctx ends.
func (c *Replicator) collect(ctx context.Context, replicas []Gateway, topic string, message func(Gateway) any) (yes, no []replicaReply) {
	words := make(chan *replicaReply, len(replicas))
	for _, v := range replicas {
		if v.Name == c.o.Self.Name {
			said := c.localReply(topic, message(v))
			words <- &said
			continue
		}
		forget := c.send(v, topic, message(v), func(said *replicaReply) { words <- said })
		if forget == nil {
			words <- nil
			continue
		}
		defer forget()
	}
	need := Majority(len(replicas))
	for left := len(replicas); left > 0; left-- {
		var said *replicaReply
		select {
		case said = <-words:
		case <-ctx.Done():
			return yes, no
		}
		switch {
		case said == nil:
		case said.Verdict == Yes:
			yes = append(yes, *said)
		default:
			no = append(no, *said)
		}
		if len(yes) >= need || len(yes)+left-1 < need && len(no) > 0 {
			break
		}
	}
	return yes, no
}
