package quota

import (
	"context"
	"slices"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// becomeCandidate starts the gateway's part in the election, if it is one of the candidates.
func (l *Limiter) becomeCandidate(now time.Duration) {
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

// candidacy is when a candidate campaigns.
type candidacy struct {
	rank      int           // in the order of candidates
	vacantAt  time.Duration // until when there was a leader, or when the last campaign may be followed by another
	renewedAt time.Duration // when the last campaign began
}

// isDue says whether to campaign now: as leader each quarter of a term; else once the office has been vacant for a time that
// grows with the rank, so that candidates don't all campaign at once.
func (c *candidacy) isDue(now, term time.Duration, isLeader, isVacant bool) bool {
	switch {
	case isLeader:
		return now-c.renewedAt >= term/4
	case isVacant:
		return now-c.vacantAt >= time.Duration(c.rank)*term/4
	}
	return false
}

// runCandidate is the gateway's part as a candidate, until Close: it campaigns when there is no leader, renews its own term, and
// distributes tokens while it is the leader.
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
			c.vacantAt = now
		}
		if !c.isDue(now, term, isLeader, isVacant) {
			continue
		}
		c.renewedAt = now
		if !l.campaign(now, isLeader) {
			c.vacantAt = l.options.Now() + time.Duration(c.rank+1)*term/8
		}
	}
}

// actAsLeader distributes tokens if this gateway is the leader, steps down if its term is over, and says whether it is the
// leader. The caller holds mu.
func (l *Limiter) actAsLeader(now time.Duration) bool {
	if l.leader.isLeader(now) {
		l.leader.distribute(now, false)
		return true
	}
	if l.leader.until > 0 {
		l.options.Log.Info("this gateway is no longer the quota leader", "quota", l.options.Budget.Name, "term", l.leader.term)
		l.leader.stepDown()
	}
	return false
}

// campaign asks all candidates for their votes for a term that begins now: a new one, or the present one once more. It says
// whether a majority voted for it.
func (l *Limiter) campaign(now time.Duration, renew bool) bool {
	l.mu.Lock()
	leader := l.leader
	number := leader.term
	if !renew {
		number = leader.nextTerm()
	}
	term := l.options.Budget.LeaderTerm
	candidates := l.options.Budget.Candidates
	request := voteRequest{l.options.Budget.Name, number}
	l.mu.Unlock()
	if !l.collectVotes(candidates, request, term/4) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if renew && !leader.isLeader(l.options.Now()) {
		return false
	}
	until := now + budget.AtMost(term)
	if until <= l.options.Now() {
		return true // the votes came too late to be of use
	}
	if !renew {
		leader.begin(l.options.Now(), number)
		l.counts.Elected++
		l.options.Log.Info("this gateway is the quota leader", "quota", l.options.Budget.Name, "term", number)
	}
	leader.until = until
	return true
}

// collectVotes asks candidates for their votes for a term and says whether a majority gave theirs. It waits for a time at most.
func (l *Limiter) collectVotes(candidates []Candidate, request voteRequest, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(l.ctx, wait)
	defer cancel()
	votes := make(chan voteReply, len(candidates)) // each sends one without waiting
	for _, candidate := range candidates {
		l.requestVote(ctx, candidate.id(), request, votes)
	}
	given := 0
	for range candidates {
		v := <-votes
		if v.Yes {
			given++
		}
		l.mu.Lock()
		l.leader.highestTerm = max(l.leader.highestTerm, v.Term)
		l.mu.Unlock()
		if given > len(candidates)/2 {
			return true
		}
	}
	return false
}

// requestVote has the vote of one candidate sent to votes; one that is not reached counts as no.
func (l *Limiter) requestVote(ctx context.Context, candidate peering.GatewayID, m voteRequest, votes chan<- voteReply) {
	if candidate == l.options.Self {
		votes <- l.handleVote(l.options.Self, m)
		return
	}
	link := l.options.To(candidate)
	if link == nil {
		votes <- voteReply{}
		return
	}
	l.tasks.Go(func() {
		var v voteReply
		if err := link.Do(ctx, topicVote, m, &v); err != nil {
			v = voteReply{}
		}
		votes <- v
	})
}

// handleVote is this gateway's reply to a candidate that campaigns.
func (l *Limiter) handleVote(candidate peering.GatewayID, m voteRequest) voteReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	leader := l.leader
	if leader == nil || !slices.Contains(leader.candidates, candidate.String()) {
		return voteReply{}
	}
	vote, ok := budget.GrantVote(leader.vote, leader.startedAt, l.options.Now(), l.options.Budget.LeaderTerm, m.Term, candidate.String())
	leader.vote = vote
	leader.highestTerm = max(leader.highestTerm, m.Term)
	return voteReply{Yes: ok, Term: max(vote.Term, leader.highestTerm)}
}
