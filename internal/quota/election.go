package quota

import (
	"context"
	"slices"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// startCandidacy starts the election task if this gateway is a candidate.
func (l *Limiter) startCandidacy(now time.Duration) {
	var names []string
	isCandidate := false
	for _, candidate := range l.options.Budget.Candidates {
		names = append(names, candidate.id().String())
		if candidate.id() == l.options.Self {
			isCandidate = true
		}
	}
	if !isCandidate {
		return
	}
	l.leader = newLeader(l.options.Budget.Terms, l.options.Self.String(), names, now)
	l.tasks.Go(l.runCandidate)
}

// candidacy decides when a candidate campaigns.
type candidacy struct {
	rank         int           // index in the list of candidates
	vacantSince  time.Duration // since when there has been no leader; after a lost campaign, the end of the back-off
	campaignedAt time.Duration // start of the last campaign
}

// isDue reports whether to campaign now. A leader renews its term every quarter of a term. Other candidates campaign once there
// has been no leader for a time that grows with their rank, so that they don't all campaign at once.
func (c *candidacy) isDue(now, term time.Duration, isLeader, isVacant bool) bool {
	switch {
	case isLeader:
		return now-c.campaignedAt >= term/4
	case isVacant:
		return now-c.vacantSince >= time.Duration(c.rank)*term/4
	}
	return false
}

// runCandidate runs until Close. It campaigns while there is no leader; as leader it renews its term and distributes tokens.
func (l *Limiter) runCandidate() {
	tick := time.NewTicker(leaderInterval)
	defer tick.Stop()
	c := candidacy{rank: slices.Index(l.leader.candidates, l.options.Self.String())}
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
		l.mu.Lock()
		now := l.options.Now()
		term := l.options.Budget.LeaderTerm
		isLeader := l.actAsLeader(now)
		votedFor := l.votedFor(now)
		isVacant := !isLeader && (votedFor == "" || votedFor == l.leader.self)
		l.mu.Unlock()
		if !isVacant {
			c.vacantSince = now
		}
		if !c.isDue(now, term, isLeader, isVacant) {
			continue
		}
		c.campaignedAt = now
		if !l.campaign(now, isLeader) {
			c.vacantSince = l.options.Now() + time.Duration(c.rank+1)*term/8
		}
	}
}

// actAsLeader distributes tokens if this gateway is the leader, steps down if its term has expired, and reports whether it is
// the leader. The caller must hold mu.
func (l *Limiter) actAsLeader(now time.Duration) bool {
	if l.leader.isLeader(now) {
		l.leader.distribute(now, false)
		return true
	}
	if l.leader.termEnd > 0 {
		l.options.Log.Info("this gateway is no longer the quota leader", "quota", l.options.Budget.Name, "term", l.leader.term)
		l.leader.stepDown()
	}
	return false
}

// campaign requests votes from all candidates for a term that begins now: a new term or, with renew, an extension of the
// current one. It reports whether a majority granted them and, for a renewal, whether the term had not expired meanwhile.
func (l *Limiter) campaign(now time.Duration, renew bool) bool {
	l.mu.Lock()
	leader := l.leader
	newTerm := leader.term
	if !renew {
		newTerm = leader.nextTerm()
	}
	termLength := l.options.Budget.LeaderTerm
	candidates := l.options.Budget.Candidates
	request := voteRequest{l.options.Budget.Name, newTerm}
	l.mu.Unlock()
	if !l.collectVotes(candidates, request, termLength/4) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if renew && !leader.isLeader(l.options.Now()) {
		return false
	}
	until := now + budget.AtMost(termLength)
	if until <= l.options.Now() {
		return true // the votes arrived after the end of the term
	}
	if !renew {
		leader.startTerm(l.options.Now(), newTerm)
		l.counts.Elected++
		l.options.Log.Info("this gateway is the quota leader", "quota", l.options.Budget.Name, "term", newTerm)
	}
	leader.termEnd = until
	return true
}

// collectVotes requests votes from the candidates and reports whether a majority granted them within the given time.
func (l *Limiter) collectVotes(candidates []Candidate, request voteRequest, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(l.ctx, wait)
	defer cancel()
	votes := make(chan voteReply, len(candidates)) // buffered so that no sender blocks
	for _, candidate := range candidates {
		l.requestVote(ctx, candidate.id(), request, votes)
	}
	granted := 0
	for range candidates {
		reply := <-votes
		if reply.Granted {
			granted++
		}
		l.mu.Lock()
		l.leader.highestTerm = max(l.leader.highestTerm, reply.Term)
		l.mu.Unlock()
		if granted > len(candidates)/2 {
			return true
		}
	}
	return false
}

// requestVote sends the reply of one candidate to votes; an unreachable candidate counts as a refusal.
func (l *Limiter) requestVote(ctx context.Context, candidate peering.GatewayID, request voteRequest, votes chan<- voteReply) {
	if candidate == l.options.Self {
		votes <- l.handleVote(l.options.Self, request)
		return
	}
	link := l.options.LinkTo(candidate)
	if link == nil {
		votes <- voteReply{}
		return
	}
	l.tasks.Go(func() {
		var reply voteReply
		if err := link.Do(ctx, topicVote, request, &reply); err != nil {
			reply = voteReply{}
		}
		votes <- reply
	})
}

// handleVote returns this gateway's vote on another candidate's campaign, or on its own.
func (l *Limiter) handleVote(candidate peering.GatewayID, request voteRequest) voteReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	leader := l.leader
	if leader == nil || !slices.Contains(leader.candidates, candidate.String()) {
		return voteReply{}
	}
	vote, granted := budget.GrantVote(leader.vote, leader.startedAt, l.options.Now(), l.options.Budget.LeaderTerm, request.Term, candidate.String())
	leader.vote = vote
	leader.highestTerm = max(leader.highestTerm, request.Term)
	return voteReply{Granted: granted, Term: max(vote.Term, leader.highestTerm)}
}
