package replication

import (
	"time"

	"damsontrestle/internal/peering"
)

// Topics are how others reach it.
func (c *Custodian) Topics() map[string]peering.Handler {
	return map[string]peering.Handler{
		topicRecord: voted(c.record),
		topicIntend: voted(c.intend),
		topicSettle: voted(c.settle),
		topicClaim:  voted(c.claim),
		topicFind:   peering.Answer(func(_ *peering.Link, m findMsg, answer func(word)) { c.find(m, answer) }),
		topicEnded:  peering.Hear(func(_ *peering.Link, m endedMsg) { c.store.ended(m.Key, m.By, m.N) }),
		topicDecide: peering.Hear(func(_ *peering.Link, m settleMsg) { c.decided(m) }),
		topicHand: peering.Hear(func(_ *peering.Link, m endedMsg) {
			c.store.hand(m.Key, m.By)
			c.Look()
		}),
		topicDrop:   peering.Hear(func(_ *peering.Link, m endedMsg) { c.store.withdraw(m.Key, m.By) }),
		topicLives:  peering.Hear(func(from *peering.Link, m livesMsg) { c.aged(from.Peer.Name, m.Ago) }),
		topicRecall: peering.Answer(func(_ *peering.Link, m recallMsg, answer func(recalledMsg)) { answer(c.recalled(m)) }),
	}
}

// voted is a handler of what a voter answers at once.
func voted[Q any](f func(Q) word) peering.Handler {
	return peering.Answer(func(_ *peering.Link, q Q, answer func(word)) { answer(f(q)) })
}

func (c *Custodian) record(m recordMsg) word {
	if m.Life != c.o.Self.Life || m.Record.Repeats != "" && c.isYoung() {
		return word{Verdict: NotOf}
	}
	v, e := c.store.record(m.Record, m.By)
	return word{v, e}
}

func (c *Custodian) intend(m intendMsg) word {
	if m.Life != c.o.Self.Life {
		return word{Verdict: NotOf}
	}
	return word{Verdict: c.store.intend(m.Key, m.Intent)}
}

func (c *Custodian) settle(m settleMsg) word {
	if m.Life != c.o.Self.Life {
		return word{Verdict: NotOf}
	}
	v, e := c.store.settle(m.Key, m.Outcome, m.By)
	return word{v, e}
}

func (c *Custodian) claim(m recordMsg) word {
	if m.Life != c.o.Self.Life {
		return word{Verdict: NotOf}
	}
	v, e := c.store.claim(m.Record, m.By, c.heard)
	return word{v, e}
}

// decided notes an outcome that a majority has taken. Work that is still under way here for the same call is over: its caller
// hears that outcome, and need not wait for an attempt that may take until the deadline.
func (c *Custodian) decided(m settleMsg) {
	c.store.decide(m.Key, m.Gen, m.Outcome, m.By)
	c.mu.Lock()
	w := c.works[m.Key]
	c.mu.Unlock()
	if w != nil && w.r.Gen == m.Gen && w.by.Compare(m.By) < 0 {
		w.fence(ErrKnown)
	}
}

// isYoung says that this gateway may have taken a key in an earlier life, whose repeats may still come.
func (c *Custodian) isYoung() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.o.Now() < c.young
}

// find answers with what is held of a key, as soon as it is decided, or when the wait is over.
func (c *Custodian) find(m findMsg, reply func(word)) {
	e, changed := c.store.find(m.Key)
	switch {
	case e == nil:
		reply(word{Verdict: Unknown})
		return
	case e.Decided || m.Wait <= 0:
		reply(word{Yes, e})
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
			reply(word{Verdict: Unknown})
		} else {
			reply(word{Yes, e})
		}
	})
}

// heard says that whoever has a call in hand is heard here, lately enough for the time that the call has left.
func (c *Custodian) heard(e *Entry, left time.Duration) bool {
	b := e.Promised
	if b.By == c.o.Self.Name {
		c.mu.Lock()
		defer c.mu.Unlock()
		w := c.works[e.Record.Key]
		return b.Life == c.o.Self.Life && w != nil && w.by == b && !w.isOver()
	}
	l := c.o.Links.To(b.By)
	if l == nil || l.Peer.Life != b.Life {
		return false
	}
	quiet := l.Quiet()
	if quiet < 2*c.o.Beat {
		return true // whatever the call, it is soon enough
	}
	return quiet < Doubt(c.o.Beat, l.RTT(), c.o.Silence, left, Servable(c.o.Step(&e.Record, e.Intents, left)))
}
