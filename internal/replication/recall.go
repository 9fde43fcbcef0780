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
		Name  string `cbor:"1,keyasint"` // whose votes are asked for
		After Key    `cbor:"2,keyasint"` // of the keys behind this one
	}
	recoverReply struct {
		Entries        []Entry  `cbor:"1,keyasint,omitempty"` // of keys, without what was asked for, and with answers that are decided
		More           bool     `cbor:"2,keyasint,omitempty"`
		RecentGateways []string `cbor:"3,keyasint,omitempty"` // gateways of the group that lived lately, as this one knows
		Recovering     bool     `cbor:"4,keyasint,omitempty"` // this one has forgotten, too
	}
)

// Times and sizes of a recall.
const (
	maxRecoveryBytes  = 512 << 10 // bytes of entries in an answer, about, beyond the first
	recoverRetryDelay = 250 * time.Millisecond
)

// HasRecovered says whether one who started anew knows again all that it may have voted for: from every gateway of its group that
// lived lately, as anybody tells who answered, an answer has come of one who has not forgotten itself.
func HasRecovered(self string, recoveries map[string]Recovery) bool {
	if len(recoveries) == 0 {
		return false
	}
	for _, recovery := range recoveries {
		if recovery.Recovering {
			return false
		}
		for _, name := range recovery.RecentGateways {
			if _, told := recoveries[name]; name != self && !told {
				return false
			}
		}
	}
	return true
}

// Recovery is what a gateway told of who lived lately.
type Recovery struct {
	Recovering     bool
	RecentGateways []string
}

// compareKeys is an order of keys.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.ID, b.ID))
}

// serveRecovery answers one who started anew.
func (r *Replicator) serveRecovery(request recoverRequest) recoverReply {
	entries, more := r.store.recoverable(request.Name, request.After, maxRecoveryBytes)
	reply := recoverReply{Entries: entries, More: more, Recovering: r.isRecovering()}
	for _, g := range r.options.Group() {
		reply.RecentGateways = append(reply.RecentGateways, g.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	for name, l := range r.lostPeers {
		if now-l.lostAt < r.options.RecoveryWindow() && !slices.Contains(reply.RecentGateways, name) {
			reply.RecentGateways = append(reply.RecentGateways, name)
		}
	}
	return reply
}

// noteIncarnationEnd notes that an earlier incarnation of this gateway ended a while ago, as another tells that knew it.
func (r *Replicator) noteIncarnationEnd(by string, ago time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recoveredFrom[by] {
		return // that was asked what the earlier incarnation may have voted for
	}
	r.recoverUntil = max(r.recoverUntil, r.options.Now()+r.options.RecoveryWindow()-ago)
	if !r.recoveryRunning && r.ctx.Err() == nil {
		r.recoveryRunning = true
		r.tasks.Go(r.recoverVotes)
	}
}

// recoverVotes asks the others for what an earlier incarnation may have voted for, until it knows, or no key of then can come any more. It
// begins when no attempt can begin any more that an intent of then allowed: an intent that is older than Options.Fresh is asked
// for anew, and a link is silent for no longer than Options.Silence.
func (r *Replicator) recoverVotes() {
	defer func() {
		r.mu.Lock()
		r.recoveryRunning = false
		r.mu.Unlock()
	}()
	clock.Sleep(r.ctx, r.options.Silence-(r.options.Now()-r.started))
	for r.ctx.Err() == nil && r.isRecovering() {
		recoveries := map[string]Recovery{}
		var entries []Entry
		complete := true
		for _, link := range r.options.Links.All() {
			recovery, recovered, ok := r.recoverFrom(link)
			complete = complete && ok
			if ok {
				recoveries[link.Peer.Name], entries = recovery, append(entries, recovered...)
			}
		}
		// Nothing of it is kept unless it is complete: a key that is known to some of its replicas and to others not is taken by nobody.
		if complete && HasRecovered(r.options.Self.Name, recoveries) && !slices.ContainsFunc(entries, func(entry Entry) bool { return !r.store.addRecovered(entry) }) {
			r.mu.Lock()
			for name := range maps.Keys(recoveries) {
				r.recoveredFrom[name] = true
			}
			r.recoverUntil = 0
			r.counts.Recovered++
			r.mu.Unlock()
			r.options.Log.Info("votes of an earlier incarnation are recovered", "by", len(recoveries))
			return
		}
		clock.Sleep(r.ctx, recoverRetryDelay)
	}
}

// recoverFrom asks one gateway, page by page. false: not all of it came.
func (r *Replicator) recoverFrom(link *peering.Link) (recovery Recovery, entries []Entry, ok bool) {
	request := recoverRequest{Name: r.options.Self.Name}
	for {
		ctx, cancel := context.WithTimeout(r.ctx, quorumTimeout)
		var reply recoverReply
		err := link.Do(ctx, topicRecover, request, &reply)
		cancel()
		if err != nil || reply.More && len(reply.Entries) == 0 {
			return Recovery{}, nil, false
		}
		entries = append(entries, reply.Entries...)
		if !reply.More {
			return Recovery{reply.Recovering, reply.RecentGateways}, entries, true
		}
		request.After = reply.Entries[len(reply.Entries)-1].Record.Key
	}
}

// votes are the entries of keys of which a gateway may have allowed an attempt in any incarnation, behind a key in their order, of about
// most bytes. One without an intent here allowed none with this replica's word; where two others allowed one they tell of it.
func (s *store) recoverable(name string, from Key, maxBytes int) (entries []Entry, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []Key
	for key, held := range s.entries {
		if held.Record.IdempotencyKey != "" && (len(held.Intents) > 0 || held.Outcome != nil || held.Recovered) && compareKeys(key, from) > 0 && slices.ContainsFunc(held.Record.Replicas, func(g Gateway) bool { return g.Name == name }) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	now, size := s.now(), 0
	for _, key := range keys {
		entry := s.entries[key].snapshot(now)
		entry.Record.Body, entry.Record.Headers, entry.Intents = nil, nil, nil
		size += sizeOf(&entry.Record)
		if !entry.Decided {
			entry.Outcome = nil // it is this replica's word, and no other's
		} else {
			size += len(entry.Outcome.Body)
		}
		if size > maxBytes && len(entries) > 0 {
			return entries, true
		}
		entries = append(entries, *entry)
	}
	return entries, false
}

// remember notes a request that an earlier incarnation may have voted for. It is known, and no vote: whoever counts votes asks lives.
func (s *store) addRecovered(entry Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.entries[entry.Record.Key]; held != nil && (!held.Recovered || held.Record.Generation >= entry.Record.Generation) {
		return true // what this incarnation has voted for stays
	}
	if !s.makeSpace(sizeOf(&entry.Record)) {
		s.counts.Full++
		return false
	}
	if held := s.entries[entry.Record.Key]; held != nil {
		s.drop(held)
	}
	held := s.add(entry.Record, entry.Promised)
	held.Entry, held.Recovered = entry, true
	if entry.Decided {
		held.decidedAt = s.now()
	}
	s.resize(held)
	return true
}
