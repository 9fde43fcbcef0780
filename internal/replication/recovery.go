package replication

import (
	"cmp"
	"context"
	"slices"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/peering"
)

// A restarted gateway may have voted, in its earlier incarnation, for requests whose keys can still arrive, and has forgotten those
// votes. If it voted on such a key again, two requests of one key could begin. Therefore it votes on no key until none of these keys
// can arrive any more. It can vote earlier if the other gateways of its group report what it may have voted for: a request that
// was accepted is held by a majority of its replicas, and those that have not lost their state report it. (This is the recovery
// protocol of Viewstamped Replication Revisited, section 4.3, restricted to keys.)

const (
	maxRecoveryBytes  = 512 << 10 // approximate size of the entries in one reply; the first entry may exceed it
	recoverRetryDelay = 250 * time.Millisecond
)

// RecoveryComplete reports whether a restarted gateway knows everything that it may have voted for. recoveries holds the replies
// by gateway name. It is complete if every gateway of the group that was recently alive according to any reply has itself replied
// and is not recovering.
func RecoveryComplete(self string, recoveries map[string]Recovery) bool {
	if len(recoveries) == 0 {
		return false
	}
	for _, recovery := range recoveries {
		if recovery.Recovering {
			return false
		}
		for _, name := range recovery.RecentGateways {
			if _, replied := recoveries[name]; name != self && !replied {
				return false
			}
		}
	}
	return true
}

// Recovery is the part of a recovery reply that decides whether the recovery is complete.
type Recovery struct {
	Recovering     bool     // the replying gateway has itself forgotten votes
	RecentGateways []string // gateways that were alive within the recovery window
}

// compareKeys orders keys for the pages of a recovery.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.ID, b.ID))
}

// serveRecovery returns a page of entries for a restarted gateway.
func (r *Replicator) serveRecovery(request recoverRequest) recoverReply {
	entries, more := r.store.recoverable(request.Name, request.After, maxRecoveryBytes)
	reply := recoverReply{Entries: entries, More: more, Recovering: r.isRecovering()}
	for _, g := range r.options.Group() {
		reply.RecentGateways = append(reply.RecentGateways, g.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	for name, lost := range r.lostPeers {
		if now-lost.lostAt < r.options.RecoveryWindow() && !slices.Contains(reply.RecentGateways, name) {
			reply.RecentGateways = append(reply.RecentGateways, name)
		}
	}
	return reply
}

// handleIncarnationNotice starts a recovery: peer had a link to an earlier incarnation of this gateway, which ended the given
// time ago.
func (r *Replicator) handleIncarnationNotice(peer string, ago time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recoveredFrom[peer] {
		return // a completed recovery already includes the reply of this peer
	}
	r.recoverUntil = max(r.recoverUntil, r.options.Now()+r.options.RecoveryWindow()-ago)
	if !r.recoveryRunning && r.ctx.Err() == nil {
		r.recoveryRunning = true
		r.tasks.Go(r.recoverVotes)
	}
}

// recoverVotes requests the votes of the earlier incarnation from the other gateways until it knows them all or no key of that
// incarnation can arrive any more. First it waits until no attempt can begin with an intent of the earlier incarnation: an intent
// older than Options.MaxIntentAge is requested again, and a link ends after Options.Silence without a heartbeat.
func (r *Replicator) recoverVotes() {
	defer func() {
		r.mu.Lock()
		r.recoveryRunning = false
		r.mu.Unlock()
	}()
	clock.Sleep(r.ctx, r.options.Silence-(r.options.Now()-r.started))
	for r.ctx.Err() == nil && r.isRecovering() {
		if r.tryRecovery() {
			return
		}
		clock.Sleep(r.ctx, recoverRetryDelay)
	}
}

// tryRecovery queries each linked gateway of the group once and reports whether this gateway now knows all of its earlier votes.
func (r *Replicator) tryRecovery() bool {
	recoveries := map[string]Recovery{}
	var entries []Entry
	complete := true
	for _, link := range r.options.Links.All() {
		recovery, recovered, ok := r.recoverFrom(link)
		if !ok {
			complete = false
			continue
		}
		recoveries[link.Peer.Name] = recovery
		entries = append(entries, recovered...)
	}
	// An incomplete recovery is discarded: no gateway could use a key that only some of its replicas know.
	if !complete || !RecoveryComplete(r.options.Self.Name, recoveries) {
		return false
	}
	for _, entry := range entries {
		if !r.store.addRecovered(entry) {
			return false
		}
	}
	r.mu.Lock()
	for name := range recoveries {
		r.recoveredFrom[name] = true
	}
	r.recoverUntil = 0
	r.counts.Recovered++
	r.mu.Unlock()
	r.options.Log.Info("votes of an earlier incarnation are recovered", "by", len(recoveries))
	return true
}

// recoverFrom requests all pages from one gateway. ok is false if not all of them arrived.
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
