package replication

import (
	"context"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/fault"
)

// CheckOrphans has it look for requests that nobody has in hand, now rather than soon: a link has ended.
func (c *Replicator) CheckOrphans() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// watch looks for requests that nobody has in hand, and claims them, each in a task of its own.
func (c *Replicator) watch() {
	t := time.NewTimer(restEvery)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.kick:
		case <-t.C:
		}
		c.orphanCheck()
		lost, open := c.store.orphans(c.o.Self.Name, c.ownerAlive)
		for _, k := range lost {
			c.tasks.Go(func() { c.takeOver(k) })
		}
		if open {
			t.Reset(orphanCheckInterval)
		} else {
			t.Reset(restEvery)
		}
	}
}

// takeOver claims a request that nobody has in hand, and goes on with it.
func (c *Replicator) takeOver(k Key) {
	defer c.store.release(k)
	e, _ := c.store.find(k)
	if e == nil || e.Decided {
		return
	}
	r := e.Record
	ctx, cancel := context.WithTimeout(c.ctx, max(r.Left, pollLimit))
	defer cancel()
	by := c.ballot(e.Promised.Number + 1)
	yes, no := c.collect(ctx, r.Replicas, topicClaim, func(v Gateway) any { return recordMsg{r, by, v.Incarnation} })
	for _, w := range no {
		if w.Entry != nil && w.Entry.Decided {
			c.store.decide(k, r.Gen, *w.Entry.Outcome, w.Entry.At) // a later request of the key says what became of it, too
			return
		}
	}
	if len(yes) < Majority(len(r.Replicas)) {
		clock.Sleep(ctx, ClaimRetryDelay(r.Left))
		return
	}
	c.count(func(n *Counts) { n.Claimed++ })
	fault.Point("custody.claimed")
	var entries []Entry
	for _, w := range yes {
		entries = append(entries, *w.Entry)
	}
	replicas := r.Replicas
	r, intents, outcome := Merge(entries)
	r.Replicas = replicas
	w, err := c.begin(ctx, r, by, intents)
	if err != nil {
		return
	}
	c.o.Log.Info("request is taken over", "class", r.Key.Class, "id", r.ID, "from", e.Promised.Owner, "intents", len(intents), "answered", outcome != nil)
	if outcome != nil {
		err := w.finish(ctx, *outcome)
		w.done()
		if err != nil {
			clock.Sleep(ctx, claimRetryDelay)
		}
		return
	}
	c.count(func(n *Counts) { n.Resumed++ })
	w.run(ctx)
}
