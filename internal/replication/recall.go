package replication

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/peering"
)

// A gateway that starts anew may have voted in an earlier incarnation for requests whose keys still come, and forgot it: it votes for no key
// until none of them can come any more. It need not wait so long where the others of its group tell it what it may have voted for:
// a request that was taken has a majority of its replicas, so that whoever of them has not forgotten it holds it too.

const topicRecover = "custody.recall"

type (
	recoverRequest struct {
		Name string `cbor:"1,keyasint"` // whose votes are asked for
		From Key    `cbor:"2,keyasint"` // of the keys behind this one
	}
	recoverReply struct {
		Entries      []Entry  `cbor:"1,keyasint,omitempty"` // of keys, without what was asked for, and with answers that are decided
		More         bool     `cbor:"2,keyasint,omitempty"`
		Incarnations []string `cbor:"3,keyasint,omitempty"` // gateways of the group that lived lately, as this one knows
		Recovering   bool     `cbor:"4,keyasint,omitempty"` // this one has forgotten, too
	}
)

// Times and sizes of a recall.
const (
	maxRecovered      = 512 << 10 // bytes of entries in an answer, about, beyond the first
	recoverRetryDelay = 250 * time.Millisecond
)

// HasRecovered says whether one who started anew knows again all that it may have voted for: from every gateway of its group that
// lived lately, as anybody tells who answered, an answer has come of one who has not forgotten itself.
func HasRecovered(self string, answers map[string]Recovery) bool {
	if len(answers) == 0 {
		return false
	}
	for _, a := range answers {
		if a.Young {
			return false
		}
		for _, name := range a.Seen {
			if _, told := answers[name]; name != self && !told {
				return false
			}
		}
	}
	return true
}

// Recovery is what a gateway told of who lived lately.
type Recovery struct {
	Young bool
	Seen  []string
}

// compareKeys is an order of keys.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.ID, b.ID))
}

// serveRecovery answers one who started anew.
func (c *Replicator) serveRecovery(m recoverRequest) recoverReply {
	entries, more := c.store.votes(m.Name, m.From, maxRecovered)
	a := recoverReply{Entries: entries, More: more, Recovering: c.isRecovering()}
	for _, g := range c.o.Group() {
		a.Incarnations = append(a.Incarnations, g.Name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Now()
	for name, l := range c.lost {
		if now-l.ended < c.o.Forgets() && !slices.Contains(a.Incarnations, name) {
			a.Incarnations = append(a.Incarnations, name)
		}
	}
	return a
}

// noteIncarnationEnd notes that an earlier incarnation of this gateway ended a while ago, as another tells that knew it.
func (c *Replicator) noteIncarnationEnd(by string, ago time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.told[by] {
		return // that was asked what the earlier incarnation may have voted for
	}
	c.young = max(c.young, c.o.Now()+c.o.Forgets()-ago)
	if !c.recovering && c.ctx.Err() == nil {
		c.recovering = true
		c.tasks.Go(c.recoverVotes)
	}
}

// recoverVotes asks the others for what an earlier incarnation may have voted for, until it knows, or no key of then can come any more. It
// begins when no attempt can begin any more that an intent of then allowed: an intent that is older than Options.Fresh is asked
// for anew, and a link is silent for no longer than Options.Silence.
func (c *Replicator) recoverVotes() {
	defer func() {
		c.mu.Lock()
		c.recovering = false
		c.mu.Unlock()
	}()
	clock.Sleep(c.ctx, c.o.Silence-(c.o.Now()-c.born))
	for c.ctx.Err() == nil && c.isRecovering() {
		answers := map[string]Recovery{}
		var entries []Entry
		complete := true
		for _, l := range c.o.Links.All() {
			a, told, ok := c.recoverFrom(l)
			complete = complete && ok
			if ok {
				answers[l.Peer.Name], entries = a, append(entries, told...)
			}
		}
		// Nothing of it is kept unless it is complete: a key that is known to some of its replicas and to others not is taken by nobody.
		if complete && HasRecovered(c.o.Self.Name, answers) && !slices.ContainsFunc(entries, func(e Entry) bool { return !c.store.remember(e) }) {
			c.mu.Lock()
			for name := range maps.Keys(answers) {
				c.told[name] = true
			}
			c.young = 0
			c.counts.Recovered++
			c.mu.Unlock()
			c.o.Log.Info("votes of an earlier incarnation are recovered", "by", len(answers))
			return
		}
		clock.Sleep(c.ctx, recoverRetryDelay)
	}
}

// recoverFrom asks one gateway, page by page. false: not all of it came.
func (c *Replicator) recoverFrom(l *peering.Link) (r Recovery, entries []Entry, ok bool) {
	m := recoverRequest{Name: c.o.Self.Name}
	for {
		ctx, cancel := context.WithTimeout(c.ctx, pollLimit)
		var a recoverReply
		err := l.Do(ctx, topicRecover, m, &a)
		cancel()
		if err != nil || a.More && len(a.Entries) == 0 {
			return Recovery{}, nil, false
		}
		entries = append(entries, a.Entries...)
		if !a.More {
			return Recovery{a.Recovering, a.Incarnations}, entries, true
		}
		m.From = a.Entries[len(a.Entries)-1].Record.Key
	}
}

// votes are the entries of keys of which a gateway may have allowed an attempt in any incarnation, behind a key in their order, of about
// most bytes. One without an intent here allowed none with this replica's word; where two others allowed one they tell of it.
func (s *store) votes(name string, from Key, most int) (out []Entry, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []Key
	for k, h := range s.held {
		if h.Record.IdempotencyKey != "" && (len(h.Intents) > 0 || h.Outcome != nil || h.Recovered) && compareKeys(k, from) > 0 && slices.ContainsFunc(h.Record.Replicas, func(g Gateway) bool { return g.Name == name }) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, compareKeys)
	now, size := s.now(), 0
	for _, k := range keys {
		e := s.held[k].snapshot(now)
		e.Record.Body, e.Record.Headers, e.Intents = nil, nil, nil
		size += sizeOf(&e.Record)
		if !e.Decided {
			e.Outcome = nil // it is this replica's word, and no other's
		} else {
			size += len(e.Outcome.Body)
		}
		if size > most && len(out) > 0 {
			return out, true
		}
		out = append(out, *e)
	}
	return out, false
}

// remember notes a request that an earlier incarnation may have voted for. It is known, and no vote: whoever counts votes asks lives.
func (s *store) remember(e Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.held[e.Record.Key]; h != nil && (!h.Recovered || h.Record.Gen >= e.Record.Gen) {
		return true // what this incarnation has voted for stays
	}
	if !s.makeSpace(sizeOf(&e.Record)) {
		s.counts.Full++
		return false
	}
	if h := s.held[e.Record.Key]; h != nil {
		s.drop(h)
	}
	h := s.add(e.Record, e.Promised)
	h.Entry, h.Recovered = e, true
	if e.Decided {
		h.settled = s.now()
	}
	s.resize(h)
	return true
}
