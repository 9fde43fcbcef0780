package replication

import (
	"context"
	"errors"
	"slices"
	"time"

	"damsontrestle/internal/clock"
)

// Await brings the one answer to a request that was taken before, at whichever gateway, and waits for it as long as ctx goes on.
// gen is which of the requests of its key it was, for Record.Gen.
func (c *Replicator) Await(ctx context.Context, k Key) (out Outcome, gen uint32, err error) {
	c.count(func(n *Counts) { n.Asked++ })
	for {
		out, gen, err = c.query(ctx, k, findWait)
		switch {
		case err == nil:
			c.count(func(n *Counts) { n.Found++ })
			return out, gen, nil
		case errors.Is(err, ErrUnknown), errors.Is(err, ErrForgotten):
			return Outcome{}, gen, err
		case ctx.Err() != nil || c.ctx.Err() != nil:
			return Outcome{}, gen, ErrUndecided
		}
		clock.Sleep(ctx, orphanCheckInterval)
	}
}

// query asks all gateways of the group once what became of a request. An outcome is told that one of them knows to be decided, or
// that a majority of the request's replicas has taken by one ballot. That nobody knows it is said once a majority says so of those
// who would be its replicas now, and the others have said so too or have had slowest to say anything: one who is slow must not cost
// each request of a key its time.
func (c *Replicator) query(ctx context.Context, k Key, wait time.Duration) (out Outcome, gen uint32, err error) {
	limit, cancel := context.WithTimeout(ctx, wait+pollLimit)
	defer cancel()
	words, asked := c.queryAll(limit, k, wait)
	t := newTally(ChooseReplicas(k, c.o.Self.Name, c.o.Group(), c.o.Replicas))
	var late <-chan time.Time
	for left := asked; left > 0; left-- {
		select {
		case s := <-words:
			if e := t.take(s); e != nil {
				return *e.Outcome, e.Record.Gen, nil
			}
		case <-late:
			return Outcome{}, t.gen, t.err()
		}
		if late == nil && wait == 0 && t.isUnknown() {
			timer := time.NewTimer(slowest)
			defer timer.Stop()
			late = timer.C
		}
	}
	return Outcome{}, t.gen, t.err()
}

// groupReply is what a gateway of the group says that it holds of a request.
type groupReply struct {
	by    string
	reply *replicaReply // nil: it has not answered
}

// queryAll asks all gateways of the group, this one among them. As many answers come as were asked.
func (c *Replicator) queryAll(limit context.Context, k Key, wait time.Duration) (answers <-chan groupReply, asked int) {
	links := c.o.Links.All()
	words := make(chan groupReply, len(links)+1)
	c.find(findMsg{k, wait}, func(w replicaReply) { words <- groupReply{c.o.Self.Name, &w} })
	for _, l := range links {
		a, err := l.Request(topicFind, findMsg{k, wait})
		if err != nil {
			words <- groupReply{l.Peer.Name, nil}
			continue
		}
		c.tasks.Go(func() {
			var w replicaReply
			if a.Wait(limit, &w) != nil {
				words <- groupReply{l.Peer.Name, nil}
				return
			}
			words <- groupReply{l.Peer.Name, &w}
		})
	}
	return words, len(links) + 1
}

// tally is what gateways have said of a request so far.
type tally struct {
	replicas   []Gateway    // who would be its replicas now
	strangers  int          // of them who hold nothing of it
	votes      map[vote]int // for outcomes
	duplicates bool         // somebody holds it, undecided
	recovered  bool         // somebody started anew since, and was told of it
	silent     bool         // somebody has not answered
	gen        uint32       // of the latest request of its key
}

// vote is for the outcome that a ballot brought.
type vote struct {
	at  Ballot
	gen uint32
}

func newTally(replicas []Gateway) *tally { return &tally{replicas: replicas, votes: map[vote]int{}} }

// take counts what one gateway says. It returns the entry whose outcome stands by that, if one does.
func (t *tally) take(s groupReply) *Entry {
	if s.reply == nil {
		t.silent = true
		return nil
	}
	e := s.reply.Entry
	if e == nil {
		if slices.ContainsFunc(t.replicas, func(g Gateway) bool { return g.Name == s.by }) {
			t.strangers++
		}
		return nil
	}
	if e.Decided {
		return e
	}
	t.gen = max(t.gen, e.Record.Gen)
	if e.Recovered {
		t.recovered = true
		return nil
	}
	t.duplicates = true
	if e.Outcome == nil {
		return nil
	}
	v := vote{e.At, e.Record.Gen}
	if t.votes[v]++; t.votes[v] >= Majority(len(e.Record.Replicas)) {
		return e
	}
	return nil
}

// isUnknown says that a majority of the replicas holds nothing of the request.
func (t *tally) isUnknown() bool { return t.strangers >= Majority(len(t.replicas)) }

// err is what the answers come to where none brought an outcome.
func (t *tally) err() error {
	switch {
	case t.duplicates:
		return ErrUndecided
	case t.recovered && !t.silent:
		return ErrForgotten
	case !t.recovered && (len(t.replicas) == 0 || t.isUnknown()):
		return ErrUnknown
	case !t.recovered:
		return ErrNoAnswer
	}
	return ErrUndecided
}

// Holds says that somebody holds a request of a key, or that nobody could tell.
func (c *Replicator) Holds(ctx context.Context, k Key) bool {
	_, _, err := c.query(ctx, k, 0)
	return !errors.Is(err, ErrUnknown)
}
