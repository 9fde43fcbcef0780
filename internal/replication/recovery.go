package replication

import (
	"cmp"
	"context"
	"slices"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/peering"
)

// A gateway that restarts may have voted in its earlier incarnation for requests whose keys still come, and has forgotten it. Voting
// on such a key again could let two requests of one key begin, so it votes on no key until none of them can come any more. It need
// not wait that long where the others of its group tell it what it may have voted for: a request that was taken has a majority
// of replicas, so that each of them that has not forgotten it holds it too. (The recovery protocol of Viewstamped Replication
// Revisited, section 4.3, for the keys alone.)

const (
	maxRecoveryBytes  = 512 << 10 // of entries in one reply, about, beyond the first
	recoverRetryDelay = 250 * time.Millisecond
)

// RecoveryComplete says whether a gateway that restarted knows all that it may have voted for, by the recoveries of others by name:
// each gateway of its group that was alive lately, as any of them tells, has replied and is not recovering itself.
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

// Recovery is what a gateway replied on who was alive lately.
type Recovery struct {
	Recovering     bool     // it has forgotten votes itself
	RecentGateways []string // that were alive within the recovery window
}

// compareKeys orders keys, for the pages of a recovery.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.ID, b.ID))
}

// serveRecovery replies to a gateway that restarted.
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

// handleIncarnationNotice notes that an earlier incarnation of this gateway ended a while ago, as a peer says that knew it, and
// begins a recovery.
func (r *Replicator) handleIncarnationNotice(peer string, ago time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recoveredFrom[peer] {
		return // that was asked what the earlier incarnation may have voted for
	}
	r.recoverUntil = max(r.recoverUntil, r.options.Now()+r.options.RecoveryWindow()-ago)
	if !r.recoveryRunning && r.ctx.Err() == nil {
		r.recoveryRunning = true
		r.tasks.Go(r.recoverVotes)
	}
}

// recoverVotes asks the others what an earlier incarnation may have voted for, until it knows, or no key of then can come any
// more. It begins when no attempt can begin any more by an intent of then: an intent older than Options.MaxIntentAge is asked
// for again, and a link is silent for no longer than Options.Silence.
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

// tryRecovery asks each gateway of the group once. It reports whether this one knows all of its earlier votes now.
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
	// Nothing of it is stored unless it is complete: a key that some of its replicas know and others don't is taken by nobody.
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
