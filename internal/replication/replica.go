package replication

import (
	"time"

	"damsontrestle/internal/peering"
)

// Topics are how others reach it.
func (c *Replicator) Topics() map[string]peering.Handler {
	return map[string]peering.Handler{
		topicRecord: handler(c.record),
		topicIntend: handler(c.intend),
		topicSettle: handler(c.settle),
		topicClaim:  handler(c.claim),
		topicFind:   peering.Answer(func(_ *peering.Link, m findMsg, answer func(replicaReply)) { c.find(m, answer) }),
		topicEnded:  peering.Hear(func(_ *peering.Link, m endedMsg) { c.store.ended(m.Key, m.By, m.N) }),
		topicDecide: peering.Hear(func(_ *peering.Link, m settleMsg) { c.decided(m) }),
		topicHand: peering.Hear(func(_ *peering.Link, m endedMsg) {
			c.store.hand(m.Key, m.By)
			c.CheckOrphans()
		}),
		topicDrop:         peering.Hear(func(_ *peering.Link, m endedMsg) { c.store.withdraw(m.Key, m.By) }),
		topicIncarnations: peering.Hear(func(from *peering.Link, m incarnationsMsg) { c.noteIncarnationEnd(from.Peer.Name, m.Ago) }),
		topicRecover:      peering.Answer(func(_ *peering.Link, m recoverRequest, answer func(recoverReply)) { answer(c.serveRecovery(m)) }),
	}
}

// handler is a handler of what a replica answers at once.
func handler[Q any](f func(Q) replicaReply) peering.Handler {
	return peering.Answer(func(_ *peering.Link, q Q, answer func(replicaReply)) { answer(f(q)) })
}

func (c *Replicator) record(m recordMsg) replicaReply {
	if m.Incarnation != c.o.Self.Incarnation || m.Record.IdempotencyKey != "" && c.isRecovering() {
		return replicaReply{Verdict: OtherIncarnation}
	}
	v, e := c.store.record(m.Record, m.By)
	return replicaReply{v, e}
}

func (c *Replicator) intend(m intendMsg) replicaReply {
	if m.Incarnation != c.o.Self.Incarnation {
		return replicaReply{Verdict: OtherIncarnation}
	}
	return replicaReply{Verdict: c.store.intend(m.Key, m.Intent)}
}

func (c *Replicator) settle(m settleMsg) replicaReply {
	if m.Incarnation != c.o.Self.Incarnation {
		return replicaReply{Verdict: OtherIncarnation}
	}
	v, e := c.store.settle(m.Key, m.Outcome, m.By)
	return replicaReply{v, e}
}

func (c *Replicator) claim(m recordMsg) replicaReply {
	if m.Incarnation != c.o.Self.Incarnation {
		return replicaReply{Verdict: OtherIncarnation}
	}
	v, e := c.store.claim(m.Record, m.By, c.ownerAlive)
	return replicaReply{v, e}
}

// decided notes an outcome that a majority has taken. Work that is still under way here for the same request is over: its client
// hears that outcome, and need not wait for an attempt that may take until the deadline.
func (c *Replicator) decided(m settleMsg) {
	c.store.decide(m.Key, m.Gen, m.Outcome, m.By)
	c.mu.Lock()
	w := c.works[m.Key]
	c.mu.Unlock()
	if w != nil && w.r.Gen == m.Gen && w.by.Compare(m.By) < 0 {
		w.fence(ErrDuplicate)
	}
}

// isRecovering says that this gateway may have taken a key in an earlier incarnation, whose repeats may still come.
func (c *Replicator) isRecovering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.o.Now() < c.young
}

// find answers with what is held of a key, as soon as it is decided, or when the wait is over.
func (c *Replicator) find(m findMsg, reply func(replicaReply)) {
	e, changed := c.store.find(m.Key)
	switch {
	case e == nil:
		reply(replicaReply{Verdict: Unknown})
		return
	case e.Decided || m.Wait <= 0:
		reply(replicaReply{Yes, e})
		return
	}
	c.tasks.Go(func() {
		t := time.NewTimer(min(m.Wait, findWait))
		defer t.Stop()
		for e != nil && !e.Decided {
			select {
			case <-changed:
				e, changed = c.store.find(m.Key)
				continue
			case <-t.C:
			case <-c.ctx.Done():
			}
			break
		}
		if e == nil {
			reply(replicaReply{Verdict: Unknown})
		} else {
			reply(replicaReply{Yes, e})
		}
	})
}

// ownerAlive says that whoever has a request in hand is heard here, lately enough for the time that the request has left.
func (c *Replicator) ownerAlive(e *Entry, left time.Duration) bool {
	b := e.Promised
	if b.Owner == c.o.Self.Name {
		c.mu.Lock()
		defer c.mu.Unlock()
		w := c.works[e.Record.Key]
		return b.Incarnation == c.o.Self.Incarnation && w != nil && w.by == b && !w.isOver()
	}
	l := c.o.Links.To(b.Owner)
	if l == nil || l.Peer.Incarnation != b.Incarnation {
		return false
	}
	quiet := l.Quiet()
	if quiet < 2*c.o.Beat {
		return true // whatever the request, it is soon enough
	}
	return quiet < Suspect(c.o.Beat, l.RTT(), c.o.Silence, left, Servable(c.o.Step(&e.Record, e.Intents, left)))
}
